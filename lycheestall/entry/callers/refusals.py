"""Refusals of requests that have not run, and their causes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..http_messages import encode_response
from ..responses import PLAIN_TEXT_HEADERS
from .connection_budget import STALL_S

__all__ = [
    "OUT_OF_DESCRIPTORS",
    "OUT_OF_MEMORY",
    "LimitCause",
    "Refusal",
]


class LimitCause(Enum):
    """Why a request was refused or a connection closed.

    Attributes:
        HEAD_BYTES: The head is larger than allowed.
        HEAD_TIME: The head took too long.
        EMPTY_BYTES: Too many bytes came between two requests.
        BODY_BYTES: The body is larger than allowed.
        BODY_TIME: The body stopped for too long.
        FRAMING_BYTES: Trailers or chunk extensions are too long.
        MALFORMED: The request is malformed.
        MEMORY: The memory for connections is used up.
        DESCRIPTORS: The descriptors, or the memory of idle connections, are
            used up.
        UNREAD: The caller doesn't read its responses.
    """

    HEAD_BYTES = "head_bytes"
    HEAD_TIME = "head_time"
    EMPTY_BYTES = "empty_bytes"
    BODY_BYTES = "body_bytes"
    BODY_TIME = "body_time"
    FRAMING_BYTES = "framing_bytes"
    MALFORMED = "malformed"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    UNREAD = "unread"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A response that refuses a request, which has not run.

    Attributes:
        status: The status code.
        reason: The text of the body.
        cause: The bound that was reached.
        retry_after_s: Value of the ``Retry-After`` header, if any.
    """

    status: int
    reason: str
    cause: LimitCause
    retry_after_s: float | None = None

    def encode(self) -> bytes:
        """Returns the response, which announces that it is the last one."""
        headers = list(PLAIN_TEXT_HEADERS)
        if self.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % self.retry_after_s))
        body = self.reason.encode() + b"\n"
        return encode_response(self.status, headers, body, close=True)


# After this time, what makes no progress gives way.
OUT_OF_MEMORY = Refusal(
    503, "no memory for the request now", LimitCause.MEMORY, STALL_S
)
OUT_OF_DESCRIPTORS = Refusal(
    503, "too many connections now", LimitCause.DESCRIPTORS, STALL_S
)
