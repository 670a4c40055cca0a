"""Records of the calls of a load run, as seen by the callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["CallEnd", "CallRecord", "Cut"]


class CallEnd(Enum):
    """Outcome of a call as its caller sees it."""

    COMPLETED = "completed"
    REFUSED = "refused_not_run"
    UNKNOWN = "failed_may_have_run"


@dataclass(frozen=True, slots=True)
class Cut:
    """A request that was sent but whose response was lost or incomplete.

    Attributes:
        at_s: Time of the failure on the caller's clock.
        base_url: Base URL of the entry VM.
    """

    at_s: float
    base_url: str


@dataclass(slots=True)
class CallRecord:
    """One call with its outcome as seen by the caller.

    Attributes:
        program: The program's id.
        number: The call's number within the program.
        kind: ``chat``, or the operation of an application call.
        key: The idempotency key, or empty.
        body: The request body.
        end: The outcome.
        reason: The reason code of a refusal or failure.
        needs: What a retry must carry according to the refusal.
        tries: Number of requests sent, including resumes.
        resumes: Number of requests that resumed an interrupted answer.
        duration_s: Time from the first request to the outcome.
        text: The text of a chat answer.
        cuts: The requests whose response was lost or incomplete.
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
