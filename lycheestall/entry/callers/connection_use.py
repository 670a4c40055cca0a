"""What one connection uses, and the connections that it displaces."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .connection_budget import ConnectionBudget, Decision, Standing
from .refusals import LimitCause

__all__ = ["ConnectionUse", "Displaceable"]

RUNNING_BYTES = 4096
"""Memory of a request in progress besides its head and its body."""

RUNNING_BODY_COPIES = 2
"""The body of a request in progress, and its copy that is sent to a target."""

SEND_BUFFER_BYTES = 65_536
"""Unsent bytes from which on the transport pauses the response."""

SIZE_STEP = 4096
"""Sizes are rounded up to a multiple of this, to change them seldom."""


class Displaceable(ABC):
    """A connection that gives way to others."""

    @abstractmethod
    def give_way(self, cause: LimitCause) -> None:
        """Frees what the connection uses.

        Args:
            cause: The bound that was reached.
        """


class ConnectionUse:
    """Sums up the memory of one connection and reports it to the budget.

    Args:
        owner: The connection.
        budget: Decides on the memory and the descriptors that it may use.
        now: The current time.

    Attributes:
        response_bytes: Memory of a response that is collected.
    """

    __slots__ = (
        "_budget",
        "_connect_decision",
        "_running_bytes",
        "_unsent_bytes",
        "_usage",
        "response_bytes",
    )

    def __init__(
        self,
        owner: Displaceable,
        budget: ConnectionBudget[Displaceable],
        now: float,
    ) -> None:
        self._budget = budget
        self._usage, self._connect_decision = budget.connect(owner, now)
        self._running_bytes = 0
        self._unsent_bytes = 0
        self.response_bytes = 0

    def displace_others(self) -> bool:
        """Closes the connections that were evicted when this one was added.

        Returns:
            Whether this one may stay open.
        """
        _displace(self._connect_decision, LimitCause.DESCRIPTORS)
        return self._connect_decision.granted

    def start_request(
        self, head_bytes: int, body_bytes: int, now: float
    ) -> bool:
        """Counts a request in progress.

        Returns:
            Whether there are descriptors for it.
        """
        self._running_bytes = (
            RUNNING_BYTES + head_bytes + RUNNING_BODY_COPIES * body_bytes
        )
        decision = self._budget.start_request(self._usage, now)
        _displace(decision, LimitCause.DESCRIPTORS)
        return decision.granted

    def end_request(self) -> None:
        """Stops counting the request in progress."""
        self._running_bytes = 0
        self.response_bytes = 0

    def writing_paused(self) -> None:
        """Counts a full send buffer."""
        self._unsent_bytes = SEND_BUFFER_BYTES

    def written(self, size: int) -> None:
        """Counts bytes that are added to a full send buffer."""
        self._unsent_bytes += size

    def all_sent(self) -> None:
        """Counts an empty send buffer."""
        self._unsent_bytes = 0

    def received(self, size: int, now: float) -> None:
        """Counts received bytes as progress."""
        self._budget.progressed(self._usage, size, now)

    def update(
        self, standing: Standing, waiting_bytes: int, now: float
    ) -> bool:
        """Reports the current use.

        Args:
            standing: What the connection does.
            waiting_bytes: Memory of the requests that are read or wait.
            now: The current time.

        Returns:
            Whether there is memory for it.
        """
        if standing is not self._usage.standing:
            self._budget.change(self._usage, standing, now)
        size = (
            waiting_bytes
            + self._running_bytes
            + self.response_bytes
            + self._unsent_bytes
        )
        size += -size % SIZE_STEP
        decision = self._budget.resize(self._usage, size, now)
        _displace(decision, LimitCause.MEMORY)
        return decision.granted

    def disconnect(self) -> None:
        """Removes the connection from the budget."""
        self._budget.disconnect(self._usage)


def _displace(decision: Decision[Displaceable], cause: LimitCause) -> None:
    for connection in decision.evicted:
        connection.give_way(cause)
