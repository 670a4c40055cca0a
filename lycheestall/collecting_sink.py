"""Collects a call's response in memory, for calls made by the daemon."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .calls import CallSink, ResponseHead
from .outcomes import Outcome

__all__ = ["CollectedResponse", "CollectingSink"]


@dataclass(frozen=True, slots=True)
class CollectedResponse:
    """The complete response to a call.

    Attributes:
        outcome: How the call ended.
        body: The response body.
    """

    outcome: Outcome
    body: bytes


class CollectingSink(CallSink):
    """Collects the response body until the call ends.

    Attributes:
        done: Fires with the response.
    """

    def __init__(self) -> None:
        self.done: Deferred[CollectedResponse] = Deferred()
        self._chunks: list[bytes] = []

    def start(self, head: ResponseHead) -> None:
        """Ignores status and headers."""

    def chunk(self, data: bytes) -> None:
        """Adds bytes to the body."""
        self._chunks.append(data)

    def finish(self, outcome: Outcome) -> None:
        """Fires ``done`` with the outcome and the body."""
        self.done.callback(CollectedResponse(outcome, b"".join(self._chunks)))
