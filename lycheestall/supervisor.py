"""A supervisor that restarts failed children with exponential backoff."""

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
BACKOFF_RESET_AFTER_S = 30.0


class ChildState(Enum):
    """The state of a supervised child."""

    STOPPED = "stopped"
    RUNNING = "running"
    BACKOFF = "backoff"


@dataclass(frozen=True, slots=True)
class ChildStatus:
    """The status of a supervised child.

    Attributes:
        name: The child's name.
        state: The child's state.
        restarts: Number of restarts.
        last_error: The last error, empty if there was none.
    """

    name: str
    state: ChildState
    restarts: int
    last_error: str


class Child(ABC):
    """A task that runs until it is stopped or fails."""

    name: str

    @abstractmethod
    def run(self) -> Deferred[None]:
        """Starts the child; fires when it has ended or failed."""

    @abstractmethod
    def stop(self) -> Deferred[None]:
        """Stops the child; fires when it has ended."""


class _SupervisedChild:
    """A child with its state and restart backoff."""

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
    """Runs children, restarts those that fail, stops in reverse order.

    Args:
        clock: Times the restarts.
        logger: Logs the failures.
    """

    def __init__(self, *, clock: Clock, logger: Logger) -> None:
        self._clock = clock
        self._logger = logger
        self._children: list[_SupervisedChild] = []
        self._stopping = False

    def add(self, child: Child) -> None:
        """Starts a child and restarts it whenever it ends."""
        supervised = _SupervisedChild(child)
        self._children.append(supervised)
        self._start(supervised)

    def status(self) -> tuple[ChildStatus, ...]:
        """Returns the status of every child."""
        return tuple(supervised.status() for supervised in self._children)

    def stop(self) -> Deferred[list[tuple[bool, None]]]:
        """Stops all children, the last started first."""
        self._stopping = True
        stops: list[Deferred[None]] = []
        for supervised in reversed(self._children):
            stops.append(self._stop(supervised))
        return DeferredList(stops, consumeErrors=True)

    def _start(self, supervised: _SupervisedChild) -> None:
        supervised.timer = None
        supervised.state = ChildState.RUNNING
        supervised.started_at = self._clock.seconds()
        done = supervised.child.run()
        done.addCallbacks(
            lambda _: self._on_end(supervised, None),
            lambda failure: self._on_end(supervised, failure),
        )

    def _stop(self, supervised: _SupervisedChild) -> Deferred[None]:
        if supervised.timer is not None:
            supervised.timer.cancel()
            supervised.timer = None
        if supervised.state is not ChildState.RUNNING:
            return succeed(None)
        return supervised.child.stop()

    def _on_end(
        self, supervised: _SupervisedChild, failure: Failure | None
    ) -> None:
        supervised.state = ChildState.STOPPED
        if self._stopping:
            return
        error = "ended" if failure is None else failure.getErrorMessage()
        supervised.last_error = error
        self._logger.error(
            "child failed", child=supervised.child.name, error=error
        )
        if (
            self._clock.seconds() - supervised.started_at
            > BACKOFF_RESET_AFTER_S
        ):
            supervised.backoff_s = FIRST_BACKOFF_S
        supervised.state = ChildState.BACKOFF
        supervised.restarts += 1
        supervised.timer = self._clock.callLater(
            supervised.backoff_s, self._start, supervised
        )
        supervised.backoff_s = min(supervised.backoff_s * 2, MAX_BACKOFF_S)
