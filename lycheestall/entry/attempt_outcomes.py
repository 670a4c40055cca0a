"""Outcomes of an attempt to send a request to a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .http_client_connection import BreakReason
from .http_messages import ResponseHead

__all__ = [
    "AttemptOutcome",
    "Broken",
    "NotRun",
    "NotRunReason",
    "NotSent",
    "PermitExpired",
    "Stopped",
    "StreamEnded",
    "Unreachable",
    "WholeAnswer",
]


class NotRunReason(Enum):
    """Why a target did not run a request."""

    FULL = "full"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made; the target has not received the request.

    Attributes:
        error: Why.
        timed_out: Whether nothing was heard; otherwise the connection was
            refused.
    """

    error: str
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The VM has lost its link to the target, and no peer sent the request.

    Attributes:
        reason: Why no peer did.
        target_lost: Whether a peer that reaches other targets doesn't reach
            this one; otherwise nothing is known of the target.
    """

    reason: str
    target_lost: bool = False


@dataclass(frozen=True, slots=True)
class PermitExpired:
    """The permit for the target had expired before the request was sent."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target states that it did not run the request.

    Attributes:
        reason: Why, as far as the status code tells.
        status: The status code.
        head: Head of the response, for refusals that the caller should
            see.
        body: Body of the response.
    """

    reason: NotRunReason
    status: int
    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete response, not yet sent to the caller."""

    head: ResponseHead
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the status code is a server error."""
        return self.head.status >= 500


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The whole stream was forwarded to the caller."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run, but no complete response was received.

    Attributes:
        reason: How the connection or the response ended.
        response_started: Whether the head of a response was read.
    """

    reason: BreakReason
    response_started: bool


@dataclass(frozen=True, slots=True)
class Stopped:
    """The VM cancelled it: deadline passed or caller disconnected.

    Attributes:
        sent: Whether the target may have received the request.
    """

    sent: bool


AttemptOutcome: TypeAlias = (
    NotSent
    | Unreachable
    | PermitExpired
    | NotRun
    | WholeAnswer
    | StreamEnded
    | Broken
    | Stopped
)
