"""Collects a whole answer in memory, for the daemon's own questions."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .calls import CallSink, ResponseHead
from .outcomes import Outcome

__all__ = ["Collected", "CollectingSink"]


@dataclass(frozen=True, slots=True)
class Collected:
    """A whole answer.

    Attributes:
        outcome: How the call ended.
        body: The answer's body.
    """

    outcome: Outcome
    body: bytes


class CollectingSink(CallSink):
    """Keeps what it is given.

    Attributes:
        done: Fires with the answer.
    """

    def __init__(self) -> None:
        self.done: Deferred[Collected] = Deferred()
        self._parts: list[bytes] = []

    def start(self, head: ResponseHead) -> None:
        """Passes over status and headers."""

    def chunk(self, data: bytes) -> None:
        """Keeps body bytes."""
        self._parts.append(data)

    def finish(self, outcome: Outcome) -> None:
        """Hands the answer out."""
        self.done.callback(Collected(outcome, b"".join(self._parts)))
