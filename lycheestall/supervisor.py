"""A supervisor: restarts failed children with backoff."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from twisted.internet.defer import Deferred, DeferredList, succeed
from twisted.python.failure import Failure

from .clock import Clock, Timer
from .logs import Logger

__all__ = ["Child", "ChildState", "ChildStatus", "Supervisor"]

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 10.0
HEALTHY_AFTER_S = 30.0


class ChildState(Enum):
    """What a supervised child is doing."""

    STOPPED = "stopped"
    RUNNING = "running"
    BACKOFF = "backoff"


@dataclass(frozen=True, slots=True)
class ChildStatus:
    """One line of the supervisor's status.

    Attributes:
        name: The child's name.
        state: What it is doing.
        restarts: How often it was started again.
        last_error: Its last failure, empty when there was none.
    """

    name: str
    state: ChildState
    restarts: int
    last_error: str


class Child(ABC):
    """Something that runs until it is stopped or fails."""

    name: str

    @abstractmethod
    def run(self) -> Deferred[None]:
        """Starts; the result fires when the child ends or fails."""

    @abstractmethod
    def stop(self) -> Deferred[None]:
        """Ends the child; the result fires when it has ended."""


class _Slot:
    """A child with its restart record."""

    def __init__(self, child: Child) -> None:
        self.child = child
        self.state = ChildState.STOPPED
        self.restarts = 0
        self.last_error = ""
        self.backoff_s = FIRST_BACKOFF_S
        self.started_at = 0.0
        self.timer: Timer | None = None

    def status(self) -> ChildStatus:
        return ChildStatus(
            self.child.name, self.state, self.restarts, self.last_error
        )


class Supervisor:
    """Runs children in order and stops them in reverse.

    Args:
        clock: Times the backoff.
        logger: Where failures are logged.
    """

    def __init__(self, *, clock: Clock, logger: Logger) -> None:
        self._clock = clock
        self._logger = logger
        self._slots: list[_Slot] = []
        self._stopping = False

    def add(self, child: Child) -> None:
        """Starts a child and keeps it running."""
        slot = _Slot(child)
        self._slots.append(slot)
        self._start(slot)

    def status(self) -> tuple[ChildStatus, ...]:
        """Returns every child's state."""
        return tuple(slot.status() for slot in self._slots)

    def stop(self) -> Deferred[list[tuple[bool, None]]]:
        """Stops all children, the last started first."""
        self._stopping = True
        waits: list[Deferred[None]] = []
        for slot in reversed(self._slots):
            waits.append(self._stop(slot))
        return DeferredList(waits, consumeErrors=True)

    def _start(self, slot: _Slot) -> None:
        slot.timer = None
        slot.state = ChildState.RUNNING
        slot.started_at = self._clock.seconds()
        ended = slot.child.run()
        ended.addCallbacks(
            lambda _: self._ended(slot, None),
            lambda failure: self._ended(slot, failure),
        )

    def _stop(self, slot: _Slot) -> Deferred[None]:
        if slot.timer is not None:
            slot.timer.cancel()
            slot.timer = None
        if slot.state is not ChildState.RUNNING:
            return succeed(None)
        return slot.child.stop()

    def _ended(self, slot: _Slot, failure: Failure | None) -> None:
        slot.state = ChildState.STOPPED
        if self._stopping:
            return
        error = "ended" if failure is None else failure.getErrorMessage()
        slot.last_error = error
        self._logger.error("child failed", child=slot.child.name, error=error)
        if self._clock.seconds() - slot.started_at > HEALTHY_AFTER_S:
            slot.backoff_s = FIRST_BACKOFF_S
        slot.state = ChildState.BACKOFF
        slot.restarts += 1
        slot.timer = self._clock.callLater(slot.backoff_s, self._start, slot)
        slot.backoff_s = min(slot.backoff_s * 2, MAX_BACKOFF_S)
