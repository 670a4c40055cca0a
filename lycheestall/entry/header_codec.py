"""Reading and writing headers, whatever their names on the wire."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from ..ids import TargetId
from .http_messages import AnswerHead, Header, Request
from .request_facts import AnswerFacts, RequestFacts

__all__ = ["HeaderCodec", "InvalidRequest"]


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """Headers that no target may see; ``reason`` says why."""

    reason: str


class HeaderCodec(ABC):
    """Translates headers to facts and back."""

    @abstractmethod
    def request_facts(self, request: Request) -> RequestFacts | InvalidRequest:
        """Reads a caller's headers.

        Args:
            request: The request.

        Returns:
            Its facts, or why it must be refused as invalid.
        """

    @abstractmethod
    def target_headers(
        self,
        headers: Sequence[Header],
        *,
        target: TargetId,
        remaining_s: float,
        urgency: int | None,
        resume_after: int | None,
    ) -> list[Header]:
        """Returns the headers to send to a target.

        Args:
            headers: The caller's headers.
            target: The only target that may run the request.
            remaining_s: Time that is left for it.
            urgency: 0 (first) to 9; None leaves the target's default.
            resume_after: Id of the last event to skip, if any.
        """

    @abstractmethod
    def answer_facts(self, head: AnswerHead) -> AnswerFacts:
        """Reads a target's headers."""

    @abstractmethod
    def caller_headers(self, headers: Sequence[Header]) -> list[Header]:
        """Returns an answer's headers without those of one connection."""
