"""Interface for parsing and writing the platform's headers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from ..ids import TargetId
from .accounts import AccountId
from .http_messages import Header, Request, ResponseHead
from .message_metadata import RequestMetadata, ResponseMetadata

__all__ = ["HeaderCodec", "InvalidRequest"]


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A request that must be rejected for its headers.

    Attributes:
        reason: Text for the caller.
    """

    reason: str


class HeaderCodec(ABC):
    """Converts between headers and metadata.

    Implementations define the header names.
    """

    @abstractmethod
    def parse_request_headers(
        self, request: Request
    ) -> RequestMetadata | InvalidRequest:
        """Parses the headers of a caller's request.

        Args:
            request: The request.

        Returns:
            Its metadata, or why it is invalid.
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
        authenticated: bool = False,
        account: AccountId | None = None,
    ) -> list[Header]:
        """Returns the headers of the request to a target.

        Args:
            headers: The caller's headers.
            target: The only target that may run the request.
            remaining_s: Seconds left until the deadline.
            urgency: 0 (most urgent) to 9; None for the target's default.
            resume_after: ID of the last event to skip, if any.
            authenticated: Whether the configuration has accounts, so that
                the caller's credentials and what it says of its account are
                dropped.
            account: The account that the caller has proven, if any.
        """

    @abstractmethod
    def replace_deadline(
        self, headers: Sequence[Header], *, remaining_s: float
    ) -> list[Header]:
        """Returns a request's headers to a target with another deadline.

        Args:
            headers: The headers from ``target_headers``.
            remaining_s: Seconds left until the deadline.
        """

    @abstractmethod
    def parse_response_headers(self, head: ResponseHead) -> ResponseMetadata:
        """Parses the headers of a target's response."""

    @abstractmethod
    def caller_headers(self, headers: Sequence[Header]) -> list[Header]:
        """Returns a response's headers without the hop-by-hop headers."""
