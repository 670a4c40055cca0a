"""What the callers of a load run saw, call by call."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["CallEnd", "CallRecord", "Cut"]


class CallEnd(Enum):
    """How a call ended for its caller."""

    COMPLETED = "completed"
    REFUSED = "refused_not_run"
    UNKNOWN = "failed_may_have_run"


@dataclass(frozen=True, slots=True)
class Cut:
    """A request that was sent and whose answer did not come whole.

    Attributes:
        at_s: When, on the caller's clock.
        base_url: The entry VM.
    """

    at_s: float
    base_url: str


@dataclass(slots=True)
class CallRecord:
    """One call and what its caller saw of it.

    Attributes:
        program: The program.
        number: The call's position in it.
        kind: ``chat`` or the operation.
        key: The idempotency key, or empty.
        end: How it ended.
        reason: The typed reason of a refusal or failure.
        needs: What a refusal says a repeat has to carry.
        tries: Requests sent for it.
        resumes: Requests that took a broken answer up again.
        duration_s: From the first request to the end.
        text: A chat answer's text.
        body: The request's body.
        cuts: Its requests that got no whole answer.
    """

    program: str
    number: int
    kind: str
    key: str
    body: bytes
    end: CallEnd = CallEnd.UNKNOWN
    reason: str = ""
    needs: str = ""
    tries: int = 0
    resumes: int = 0
    duration_s: float = 0.0
    text: str = ""
    cuts: list[Cut] = field(default_factory=list)
