"""Virtual time: nodes that are paused, killed and restarted.

A ``World`` holds the time and the pending events of all nodes. Each node
has its own clock; pausing a node holds its timers and deliveries until it
resumes, killing it drops them for good. Nothing here sleeps, and equal
seeds give equal runs.
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
        due = self._clock.world_time(self._at)
        self._clock.world.at(due, lambda: self._fire(version), self._clock)

    def _fire(self, version: int) -> None:
        if not self._active or version != self._version:
            return
        self._active = False
        self._run()

    def getTime(self) -> float:  # noqa: N802
        """Returns when it is due, on the node's clock."""
        return self._at

    def cancel(self) -> None:
        """Drops the timer."""
        self._active = False

    def delay(self, secondsLater: float) -> None:  # noqa: N803
        """Puts the timer off."""
        self._at += secondsLater
        self._schedule()

    def reset(self, secondsFromNow: float) -> None:  # noqa: N803
        """Starts the timer anew."""
        self._at = self._clock.seconds() + secondsFromNow
        self._schedule()

    def active(self) -> bool:
        """Returns whether it is still to fire."""
        return self._active


@implementer(IReactorTime)
class NodeClock:
    """One life of one node: its monotonic clock and its timers.

    Attributes:
        world: The shared time.
        name: The node.
        rate: How fast the clock runs against true time.
        alive: False after a kill.
        paused: Whether the node stands still.
    """

    def __init__(self, world: World, name: str, rate: float) -> None:
        self.world = world
        self.name = name
        self.rate = rate
        self.alive = True
        self.paused = False
        self.backlog: list[Callable[[], Any]] = []
        self._start = world.now
        self._offset = world.rng.uniform(100.0, 10_000.0)

    def seconds(self) -> float:
        """Returns the node's monotonic time."""
        return self._offset + (self.world.now - self._start) * self.rate

    def world_time(self, seconds: float) -> float:
        """Returns the true time of a reading of this clock."""
        return self._start + (seconds - self._offset) / self.rate

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> FakeDelayedCall:
        """Runs something later on this node."""
        at = self.seconds() + delay
        return FakeDelayedCall(self, at, lambda: callable(*args, **kw))

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802
        """Not kept by this clock."""
        return []


class World:
    """Shared virtual time and the fate of the nodes.

    Attributes:
        now: True time in seconds.
        rng: The run's only source of chance.
        clock_by_node: The newest life of each node.
        after_event: Called after each event with the node's life that
            it ran on, for checkers.
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

    def boot(self, name: str, *, rate: float = 1.0) -> NodeClock:
        """Starts a new life of a node and returns its clock."""
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
        """Schedules an event at a true time, on a node's life if given."""
        entry = (max(time, self.now), next(self._order), run, clock)
        heapq.heappush(self._events, entry)

    def later(
        self,
        delay: float,
        run: Callable[[], Any],
        clock: NodeClock | None = None,
    ) -> None:
        """Schedules an event after a true delay."""
        self.at(self.now + delay, run, clock)

    def kill(self, name: str) -> None:
        """Ends a node's life; its timers and deliveries never come."""
        clock = self.clock_by_node[name]
        clock.alive = False
        clock.backlog.clear()
        for hook in self.on_kill:
            hook(name)

    def pause(self, name: str) -> None:
        """Makes a node stand still."""
        self.clock_by_node[name].paused = True

    def resume(self, name: str) -> None:
        """Lets a node run on; what was due meanwhile comes in a lump."""
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
        """Runs the next event; False when there is none."""
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
        """Runs all events up to a true time."""
        while self._events and self._events[0][0] <= time:
            self.step()
        self.now = max(self.now, time)

    def run_for(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        self.run_until(self.now + seconds)

    def run_while(self, wanted: Callable[[], bool], limit_s: float) -> bool:
        """Runs until ``wanted`` is False; False when time is up."""
        end = self.now + limit_s
        while wanted():
            if not self._events or self._events[0][0] > end:
                self.now = max(self.now, end)
                return not wanted()
            self.step()
        return True

    def sleep(self, seconds: float, clock: NodeClock) -> Deferred[None]:
        """Returns a Deferred that fires on a node after a true delay."""
        done: Deferred[None] = Deferred()
        self.later(seconds, lambda: done.callback(None), clock)
        return done
