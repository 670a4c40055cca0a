"""Token budgets of many VMs over one store, with the delays of messages.

It runs on a fake clock; each VM's loops run at the intervals of its process.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from heapq import heappop, heappush
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred

from lycheestall.entry.entry_vm import LEDGER_CHECK_S, SURVEY_INTERVAL_S
from lycheestall.entry.failure_detector import MEMBER_CHECK_INTERVAL_S
from lycheestall.entry.membership import Members
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.reservation_decision import ReservationDecision
from lycheestall.entry.routed_store import RoutedStore
from lycheestall.entry.store import (
    AppendUnknown,
    KeyedWrite,
    StoreFailed,
    Topic,
    WriterFence,
)
from lycheestall.entry.store_health import StoreHealth
from lycheestall.entry.token_allocator import TurnId
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.token_service import TokenService
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, ProgramId, ZoneId
from lycheestall.logs import get_logger
from lycheestall.polling import Poller
from tests.entry.memory_store import MemoryLog, MemoryStore

PEER_DELAY_S = 0.002
STORE_DELAY_S = 0.005
STORE_TIMEOUT_S = 0.4
RETRY_S = 0.05
USED_SHARE = 0.4


class _Call:
    """A scheduled call; ``IDelayedCall`` as far as it is used."""

    def __init__(self, run: Callable[[], None]) -> None:
        self._run: Callable[[], None] | None = run

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return self._run is not None

    def cancel(self) -> None:
        """Cancels the call."""
        self._run = None

    def run(self) -> None:
        """Runs the call unless it was cancelled."""
        run, self._run = self._run, None
        if run is not None:
            run()


class FleetClock:
    """A virtual clock for hundreds of thousands of calls."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = count()
        self._calls: list[tuple[float, int, _Call]] = []

    def seconds(self) -> float:
        """Returns the virtual time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> _Call:
        """Schedules a call."""
        scheduled = _Call(partial(call, *args))
        entry = (self._now + delay, next(self._order), scheduled)
        heappush(self._calls, entry)
        return scheduled

    def advance(self, seconds: float) -> None:
        """Runs the calls that are due within some seconds."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, scheduled = heappop(self._calls)
            scheduled.run()
        self._now = end


class DelayedStore(MemoryStore):
    """A client whose calls take a while, or fail in an outage.

    Attributes:
        failing: Whether calls fail.
        silent: Whether failing calls end with a timeout.
    """

    def __init__(self, log: MemoryLog, clock: FleetClock) -> None:
        super().__init__(log)
        self.failing = False
        self.silent = False
        self._clock = clock

    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
        *,
        shard: int = 0,
    ) -> Deferred[Any]:
        """Appends records after a delay."""
        if self.failing:
            return self._fail(AppendUnknown("away"))
        return self._later(super().append(topic, writes, fence, shard=shard))

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[Any]:
        """Reads records after a delay."""
        if self.failing:
            return self._fail(StoreFailed("away"))
        return self._later(super().read(topic, start, wait_s=wait_s))

    def newest(
        self, topic: Topic, *, after: str | None = None, shard: int = 0
    ) -> Deferred[Any]:
        """Lists records after a delay."""
        if self.failing:
            return self._fail(StoreFailed("away"))
        return self._later(super().newest(topic, after=after, shard=shard))

    def _fail(self, outcome: Any) -> Deferred[Any]:
        delay_s = STORE_TIMEOUT_S if self.silent else STORE_DELAY_S
        result: Deferred[Any] = Deferred(lambda _: None)
        self._clock.callLater(delay_s, _fire, result, outcome)
        return result

    def _later(self, outcome: Deferred[Any]) -> Deferred[Any]:
        result: Deferred[Any] = Deferred(lambda _: None)
        outcome.addCallback(
            lambda value: self._clock.callLater(
                STORE_DELAY_S, _fire, result, value
            )
        )
        return result


def _fire(result: Deferred[Any], value: Any) -> None:
    if not result.called:
        result.callback(value)


class FleetVm:
    """The token budgets of one run of a VM's process."""

    def __init__(self, fleet: TokenFleet, name: str, address: Address) -> None:
        self.fleet = fleet
        self.address = address
        self.alive = True
        self.direct = DelayedStore(fleet.log, fleet.clock)
        logger = get_logger()
        peers: Any = self
        store = RoutedStore(self.direct, peers, fleet.clock, logger)
        health = StoreHealth(
            logger,
            "ledger",
            on_recovered=lambda now: self.service.store_recovered(),
            on_unavailable=lambda: self.service.store_lost(),
        )
        self.service = TokenService(
            holder=HolderId(name),
            address=address,
            zone=ZoneId("zone"),
            members=Members(),
            store=store,
            health=health,
            peers=peers,
            reactor=fleet.clock,
            logger=logger,
        )
        service = self.service
        self._pollers = [
            Poller(str(number), step, interval_s=interval_s, clock=fleet.clock)
            for number, (step, interval_s) in enumerate(
                (
                    (service.poll, LEDGER_CHECK_S),
                    (service.survey, SURVEY_INTERVAL_S),
                    (service.catch_up, SURVEY_INTERVAL_S),
                    (service.detect_failures, MEMBER_CHECK_INTERVAL_S),
                )
            )
        ]
        for poller in self._pollers:
            fleet.clock.callLater(
                fleet.random.random() * SURVEY_INTERVAL_S, poller.run
            )

    def kill(self) -> None:
        """Ends the process; it calls nobody and doesn't reply."""
        self.alive = False
        self.direct.failing = self.direct.silent = True
        for poller in self._pollers:
            poller.stop()

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Returns a peer's reply, or None after the timeout."""
        reply: Deferred[Any] = Deferred(lambda _: None)
        if not self.alive:
            return reply
        clock = self.fleet.clock
        self.fleet.sent[type(message).__name__] += 1
        clock.callLater(timeout_s, _fire, reply, None)
        clock.callLater(PEER_DELAY_S, self._deliver, address, message, reply)
        return reply

    def _deliver(
        self, address: Address, message: Any, reply: Deferred[Any]
    ) -> None:
        peer = self.fleet.by_address.get(address)
        if peer is None or not peer.alive:
            return
        handled: Any = maybeDeferred(
            peer.service.handle_message, decode(encode(message))
        )
        handled.addCallback(
            lambda value: self.fleet.clock.callLater(
                PEER_DELAY_S, _fire, reply, decode(encode(value))
            )
        )


class TokenFleet:
    """VMs that have run for some seconds with the store available.

    Args:
        vms: Number of VMs.
        seed: Determines what is random.
    """

    def __init__(self, *, vms: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.clock = FleetClock()
        self.log = MemoryLog()
        self.by_address: dict[Address, FleetVm] = {}
        self.sent: Counter[str] = Counter()
        self.outage_began_at = 0.0
        self._started = 0
        self._turns = 0
        self.failing = False
        self.silent = False
        for number in range(vms):
            self._start(Address(f"10.0.{number // 200}.{number % 200 + 1}", 1))
        self.advance(4.0)

    @property
    def vms(self) -> list[FleetVm]:
        """The VMs whose processes run."""
        return [vm for vm in self.by_address.values() if vm.alive]

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.clock.advance(seconds)

    def fail_store(self, *, silent: bool = False) -> None:
        """Makes the store fail for all VMs, by resets or without a reply."""
        self.failing, self.silent = True, silent
        self.outage_began_at = self.clock.seconds()
        for vm in self.vms:
            vm.direct.failing, vm.direct.silent = True, silent
            # Resets also break the long polls of the configuration.
            if not silent:
                self.clock.callLater(0.001, vm.service.refresh)

    def restore_store(self) -> None:
        """Makes the store available to all VMs."""
        self.failing = False
        for vm in self.vms:
            vm.direct.failing = False

    def restart(self, vm: FleetVm, *, after_s: float = 1.0) -> None:
        """Kills a VM and starts a new process at its address later."""
        vm.kill()
        self.clock.callLater(after_s, self._start, vm.address)

    def run_turns(
        self,
        vm: FleetVm,
        program: str,
        turns: int,
        *,
        max_tokens: int = 280,
        budget: int = 2240,
        give_up_s: float = 7.0,
        used_share: float = USED_SHARE,
    ) -> list[float]:
        """Runs turns one by one; returns the seconds that each waited."""
        waits: list[float] = []
        for _ in range(turns):
            wait_s = self._run_turn(
                vm,
                ProgramId(program),
                max_tokens,
                budget,
                give_up_s,
                used=int(max_tokens * used_share),
            )
            waits.append(wait_s)
        return waits

    def _run_turn(
        self,
        vm: FleetVm,
        program: ProgramId,
        max_tokens: int,
        budget: int,
        give_up_s: float,
        *,
        used: int,
    ) -> float:
        began_at = self.clock.seconds()
        while self.clock.seconds() - began_at < give_up_s:
            self._turns += 1
            turn = TurnId(self._turns)
            results: list[Any] = []
            result = vm.service.reservations.reserve(
                program, turn, max_tokens=max_tokens, budget=budget
            )
            if isinstance(result, Deferred):
                result.addBoth(results.append)
            else:
                results.append(result)
            while not results:
                self.advance(0.002)
            if results == [ReservationDecision.GRANTED]:
                waited_s = self.clock.seconds() - began_at
                vm.service.reservations.settle(program, turn, used)
                return waited_s
            self.advance(RETRY_S)
        return give_up_s

    def _start(self, address: Address) -> None:
        self._started += 1
        vm = FleetVm(self, f"vm-{self._started}", address)
        vm.direct.failing, vm.direct.silent = self.failing, self.silent
        self.by_address[address] = vm
