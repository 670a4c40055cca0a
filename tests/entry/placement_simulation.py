"""Engines of several speeds behind many VMs, in virtual time.

The VMs' choosers and collectors are the real ones; engines and the exchange
of reports are fakes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheestall.entry.placement.figure_messages import ONE_VM, ShareFigures
from lycheestall.entry.placement.figures_collector import FiguresCollector
from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.placement.target_loads import ReportedLoads
from lycheestall.entry.placement.work import CompletedStream, Work
from lycheestall.entry.token_ledger import HolderId
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_table

SLOTS = 6
READ_S = 1e-5
EVENT_S = 14 * 0.003
PREFIX_TOKENS = 1200
MEAN_EVENTS = 5
SESSIONS = 200
SLOWDOWN_PER_REQUEST = 0.15
MOMENT_S = 0.6
MOMENT_FACTOR = 2.5
MOMENT_SHARE = 0.15
REPORT_S = 0.4
PREFIX_KEPT_S = 20.0
FULL_BATCH = SLOTS / (1.0 + SLOWDOWN_PER_REQUEST * (SLOTS - 1))
WORK_S = MEAN_EVENTS * EVENT_S + 0.5 * PREFIX_TOKENS * READ_S


@dataclass
class Turn:
    """One stream; its work is in seconds of an engine of the usual speed."""

    vm: int
    target: TargetId
    sent_at: float
    prefix_tokens: int
    events: int
    until_first_s: float
    remaining_s: float
    first_at: float | None = None


@dataclass
class Engine:
    """A batch in which more requests slow each other down."""

    speed: float
    slow_from: list[float]
    up: bool = True
    running: list[Turn] = field(default_factory=list)
    queue: list[Turn] = field(default_factory=list)
    cached: dict[str, float] = field(default_factory=dict)
    at: float = 0.0
    busy_s: float = 0.0
    version: int = 0

    def rate(self, now: float) -> float:
        """Returns the work that each running request gets per second."""
        rate = self.speed
        if any(t <= now < t + MOMENT_S for t in self.slow_from):
            rate /= MOMENT_FACTOR
        return rate / (1.0 + SLOWDOWN_PER_REQUEST * (len(self.running) - 1))

    def backlog_s(self, work_s: float, now: float) -> float:
        """Returns when a further request would end, given everything."""
        left = sum(t.remaining_s for t in self.running + self.queue)
        batch = min(len(self.running) + len(self.queue) + 1, SLOTS)
        each = self.rate(now) * (
            1.0 + SLOWDOWN_PER_REQUEST * (len(self.running) - 1)
        )
        each /= 1.0 + SLOWDOWN_PER_REQUEST * (batch - 1)
        waiting = max(0, len(self.running) + len(self.queue) + 1 - SLOTS)
        wait_s = left / SLOTS / each if waiting else 0.0
        return wait_s + work_s / each


class Cluster:
    """VMs that send turns of sessions to engines.

    Args:
        speeds: Speed of each engine.
        load: Share of the engines' capacity that arrives; or a function of
            the time and the VM's zone.
        mode: ``new``, ``alone`` (no reports), ``today`` or ``knows`` (a
            chooser that knows everything).
        moments: Share of the time that an engine is in a slow moment.
    """

    def __init__(
        self,
        speeds: list[float],
        load: float,
        mode: str,
        *,
        vms: int = 73,
        moments: float = MOMENT_SHARE,
        seed: int = 3,
    ) -> None:
        self.random = random.Random(seed)
        self.mode = mode
        self.table = new_table(len(speeds))
        self.choosers = [
            TargetChooser(self.table, vm=f"vm-{n}") for n in range(vms)
        ]
        self.engines = {
            TargetId(f"t{n}"): Engine(speed, self._moments(moments))
            for n, speed in enumerate(speeds)
        }
        lost = moments * (1.0 - 1.0 / MOMENT_FACTOR)
        self.rate_s = load * sum(speeds) * (1.0 - lost) * FULL_BATCH / WORK_S
        self.group_size = 18
        self.collectors = [
            FiguresCollector(HolderId(str(n)))
            for n in range(math.ceil(vms / self.group_size))
        ]
        self.cut = False
        self.now = 0.0
        self.done: list[tuple[float, Turn]] = []
        self.idle_while_queue = 0.0
        self.vm_weight: Callable[[float, int], float] = lambda now, vm: 1.0
        self._events: list[tuple[float, int, TargetId, int]] = []
        self._count = 0
        self._reports_at = [
            self.random.random() * REPORT_S for _ in range(vms)
        ]

    def _moments(self, share: float) -> list[float]:
        at, starts = 0.0, []
        while share and at < 120.0:
            pause_s = MOMENT_S * (1.0 - share) / share
            at += self.random.expovariate(1.0 / pause_s) + MOMENT_S
            starts.append(at - MOMENT_S)
        return starts

    def play(self, seconds: float) -> None:
        """Plays Poisson arrivals for a time."""
        end = self.now + seconds
        while True:
            arrival = self.now + self.random.expovariate(self.rate_s)
            self._run_engines(min(arrival, end))
            if arrival >= end:
                self.now = end
                return
            self.now = arrival
            self._report()
            self._send()

    def percentile_s(self, share: float, *, since: float) -> float:
        """Returns a percentile of the times of turns sent since a time."""
        times = sorted(
            end - turn.sent_at
            for end, turn in self.done
            if turn.sent_at > since
        )
        return times[int(share * (len(times) - 1))]

    def _send(self) -> None:
        now = self.now
        vms = range(len(self.choosers))
        weights = [self.vm_weight(now, vm) for vm in vms]
        vm = self.random.choices(vms, weights)[0]
        session = f"{self.random.randrange(SESSIONS)}-{int(now / 3)}"
        events = max(2, round(self.random.gauss(MEAN_EVENTS, 1.2)))
        prefix = int(self.random.lognormvariate(math.log(PREFIX_TOKENS), 0.4))
        target = self._choose(vm, session, prefix, events)
        engine = self.engines[target]
        known = now - engine.cached.get(session, -math.inf) < PREFIX_KEPT_S
        engine.cached[session] = now
        read_s = 0.0 if known else prefix * READ_S
        turn = Turn(
            vm,
            target,
            now,
            prefix,
            events,
            read_s + EVENT_S,
            read_s + events * EVENT_S,
        )
        self.choosers[vm].request_started(target)
        self._advance(engine, now)
        engine.queue.append(turn)
        self._schedule(target)

    def _choose(
        self, vm: int, session: str, prefix: int, events: int
    ) -> TargetId:
        if self.mode == "knows":
            return min(
                (t for t, e in self.engines.items() if e.up),
                key=lambda t: self._true_end(t, session, prefix, events),
            )
        self._count += 1
        work = None
        if self.mode != "today":
            work = Work(prefix, 2 * MEAN_EVENTS, is_engine=True)
        chosen = self.choosers[vm].choose(
            SERVICE,
            affinity=session,
            tie_break=b"%d" % self._count,
            avoid=(),
            now=self.now,
            work=work,
        )
        assert chosen is not None
        return chosen.target

    def _true_end(
        self, target: TargetId, session: str, prefix: int, events: int
    ) -> float:
        engine = self.engines[target]
        self._advance(engine, self.now)
        known = self.now - engine.cached.get(session, -math.inf)
        read_s = 0.0 if known < PREFIX_KEPT_S else prefix * READ_S
        return engine.backlog_s(read_s + events * EVENT_S, self.now)

    def _advance(self, engine: Engine, now: float) -> None:
        # Rates change at the starts and ends of slow moments.
        while engine.at < now:
            changes = [
                t
                for start in engine.slow_from
                for t in (start, start + MOMENT_S)
                if engine.at < t < now
            ]
            until = min(changes, default=now)
            done_s = (until - engine.at) * engine.rate(engine.at)
            if engine.running:
                engine.busy_s += until - engine.at
            for turn in engine.running:
                turn.remaining_s -= done_s
                turn.until_first_s -= done_s
                if turn.first_at is None and turn.until_first_s <= 1e-9:
                    turn.first_at = until
            engine.at = until

    def _schedule(self, target: TargetId) -> None:
        engine = self.engines[target]
        while engine.queue and len(engine.running) < SLOTS:
            engine.running.append(engine.queue.pop(0))
        engine.version += 1
        if not engine.running:
            return
        now = engine.at
        left = min(
            t.remaining_s if t.first_at is not None else t.until_first_s
            for t in engine.running
        )
        at = now + max(left, 0.0) / engine.rate(now) + 1e-6
        change = min(
            (
                t
                for start in engine.slow_from
                for t in (start, start + MOMENT_S)
                if t > now
            ),
            default=math.inf,
        )
        event = (min(at, change + 1e-6), self._count, target, engine.version)
        heapq.heappush(self._events, event)

    def _run_engines(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, target, version = heapq.heappop(self._events)
            engine = self.engines[target]
            if version != engine.version:
                continue
            self._advance(engine, at)
            ended = [t for t in engine.running if t.remaining_s <= 1e-6]
            engine.running = [t for t in engine.running if t not in ended]
            for turn in ended:
                self._end(turn, at)
            self._schedule(target)

    def _end(self, turn: Turn, now: float) -> None:
        self.done.append((now, turn))
        chooser = self.choosers[turn.vm]
        chooser.request_ended(turn.target)
        first_at = turn.first_at or now
        first_s = first_at - turn.sent_at
        chooser.record_response(turn.target, "route", first_s, now)
        chooser.record_stream(
            turn.target,
            CompletedStream(
                turn.prefix_tokens, first_s, now - first_at, turn.events
            ),
            now,
        )

    def _report(self) -> None:
        if self.mode != "new" or self.cut:
            return
        now = self.now
        for vm, at in enumerate(self._reports_at):
            if at > now:
                continue
            self._reports_at[vm] = at + REPORT_S
            group = vm // self.group_size
            collector = self.collectors[group]
            if vm % self.group_size == 0:
                for number, other in enumerate(self.collectors):
                    if number != group:
                        collector.add(other.group_figures(number, now), now)
            chooser = self.choosers[vm]
            loads = chooser.loads.all_own()
            own = ShareFigures(
                HolderId(f"vm-{vm}"),
                ONE_VM,
                1,
                0.0,
                loads,
                chooser.speeds.take_observations(),
            )
            collector.add(own, now)
            reply = collector.all_figures(now)
            others = {
                t: float(max(0, n - loads.get(t, 0)))
                for t, n in reply.loads.items()
            }
            coverage = (reply.heard - 1) / (len(self.choosers) - 1)
            chooser.loads.set_reported(
                ReportedLoads(others, coverage, now - reply.age_s)
            )
            chooser.speeds.set_shared(reply.speeds, now)
