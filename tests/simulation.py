"""Deterministic simulation of nodes in virtual time.

A ``Simulation`` has the virtual time and the pending events of all nodes. Each
node has its own clock and can be paused, killed and restarted. Pausing a
node delays its timers and deliveries until it resumes; killing it drops
them. Nothing here sleeps, and runs with the same seed are identical.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

FOREVER = float("inf")


@implementer(IDelayedCall)
class FakeDelayedCall:
    """A timer of one node."""

    def __init__(self, clock: NodeClock, at: float, run: Callable[[], Any]):
        self._clock = clock
        self._at = at
        self._run = run
        self._active = True
        self._version = 0
        self._schedule()

    def _schedule(self) -> None:
        self._version += 1
        version = self._version
        due = self._clock.virtual_time(self._at)
        self._clock.simulation.at(
            due, lambda: self._fire(version), self._clock
        )

    def _fire(self, version: int) -> None:
        if not self._active or version != self._version:
            return
        self._active = False
        self._run()

    def getTime(self) -> float:  # noqa: N802
        """Returns when the timer is due on the node's clock."""
        return self._at

    def cancel(self) -> None:
        """Cancels the timer."""
        self._active = False

    def delay(self, secondsLater: float) -> None:  # noqa: N803
        """Postpones the timer."""
        self._at += secondsLater
        self._schedule()

    def reset(self, secondsFromNow: float) -> None:  # noqa: N803
        """Restarts the timer."""
        self._at = self._clock.seconds() + secondsFromNow
        self._schedule()

    def active(self) -> bool:
        """Returns whether the timer is still pending."""
        return self._active


@implementer(IReactorTime)
class NodeClock:
    """The monotonic clock and timers of one incarnation of a node.

    Attributes:
        simulation: The simulation that the node is part of.
        name: The node.
        rate: Clock speed relative to virtual time, for clock drift.
        alive: False once this incarnation was killed.
        paused: Whether the node is paused.
        backlog: Events that came due while the node was paused.
    """

    def __init__(self, simulation: Simulation, name: str, rate: float) -> None:
        self.simulation = simulation
        self.name = name
        self.rate = rate
        self.alive = True
        self.paused = False
        self.backlog: list[Callable[[], Any]] = []
        self._start = simulation.now
        self._offset = simulation.rng.uniform(100.0, 10_000.0)

    def seconds(self) -> float:
        """Returns the node's monotonic time."""
        return self._offset + (self.simulation.now - self._start) * self.rate

    def virtual_time(self, seconds: float) -> float:
        """Converts a reading of this clock to virtual time."""
        return self._start + (seconds - self._offset) / self.rate

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> FakeDelayedCall:
        """Schedules a call on this node."""
        at = self.seconds() + delay
        return FakeDelayedCall(self, at, lambda: callable(*args, **kw))

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802
        """Returns an empty list; this clock does not track its timers."""
        return []


class Simulation:
    """The virtual time, the event queue and the nodes of a simulation.

    Attributes:
        now: Virtual time in seconds.
        rng: The run's only source of randomness.
        clock_by_node: The clock of each node's latest incarnation.
        after_event: Called after each event with the clock of the node
            that it ran on, if any; used by invariant checks.
        on_kill: Called with the name of each killed node.
    """

    def __init__(self, seed: int = 0) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.clock_by_node: dict[str, NodeClock] = {}
        self.after_event: list[Callable[[NodeClock | None], None]] = []
        self.on_kill: list[Callable[[str], None]] = []
        self._events: list[
            tuple[float, int, Callable[[], Any], NodeClock | None]
        ] = []
        self._order = itertools.count()

    def start_node(self, name: str, *, rate: float = 1.0) -> NodeClock:
        """Starts a new incarnation of a node and returns its clock.

        A running incarnation is killed first.
        """
        if name in self.clock_by_node:
            self.kill(name)
        clock = NodeClock(self, name, rate)
        self.clock_by_node[name] = clock
        return clock

    def at(
        self,
        time: float,
        run: Callable[[], Any],
        clock: NodeClock | None = None,
    ) -> None:
        """Schedules an event at a virtual time, on a node if given."""
        entry = (max(time, self.now), next(self._order), run, clock)
        heapq.heappush(self._events, entry)

    def later(
        self,
        delay: float,
        run: Callable[[], Any],
        clock: NodeClock | None = None,
    ) -> None:
        """Schedules an event after a virtual delay, on a node if given."""
        self.at(self.now + delay, run, clock)

    def kill(self, name: str) -> None:
        """Kills a node; its pending timers and deliveries are dropped."""
        clock = self.clock_by_node[name]
        clock.alive = False
        clock.backlog.clear()
        for hook in self.on_kill:
            hook(name)

    def pause(self, name: str) -> None:
        """Pauses a node."""
        self.clock_by_node[name].paused = True

    def resume(self, name: str) -> None:
        """Resumes a node; its delayed events run at once."""
        clock = self.clock_by_node[name]
        clock.paused = False
        backlog, clock.backlog = clock.backlog, []
        for run in backlog:
            self.at(self.now, run, clock)

    def running(self, name: str) -> bool:
        """Returns whether a node is alive and not paused."""
        clock = self.clock_by_node.get(name)
        return clock is not None and clock.alive and not clock.paused

    def step(self) -> bool:
        """Runs the next event; returns False if there is none."""
        if not self._events:
            return False
        time, _, run, clock = heapq.heappop(self._events)
        self.now = max(self.now, time)
        if clock is not None and not clock.alive:
            return True
        if clock is not None and clock.paused:
            clock.backlog.append(run)
            return True
        run()
        for check in self.after_event:
            check(clock)
        return True

    def run_until(self, time: float) -> None:
        """Runs all events up to a virtual time."""
        while self._events and self._events[0][0] <= time:
            self.step()
        self.now = max(self.now, time)

    def run_for(self, seconds: float) -> None:
        """Runs all events for a virtual duration."""
        self.run_until(self.now + seconds)

    def run_while(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Runs until ``condition`` is false; returns False on a timeout."""
        end = self.now + limit_s
        while condition():
            if not self._events or self._events[0][0] > end:
                self.now = max(self.now, end)
                return not condition()
            self.step()
        return True

    def sleep(self, seconds: float, clock: NodeClock) -> Deferred[None]:
        """Returns a Deferred that fires on a node after a virtual delay."""
        done: Deferred[None] = Deferred()
        self.later(seconds, lambda: done.callback(None), clock)
        return done
