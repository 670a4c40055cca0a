"""How the caller learns where the body of a response ends."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from ..http_messages import (
    STATUSES_WITHOUT_BODY,
    Header,
    Request,
    encode_chunk,
    encode_response,
    encode_response_head,
)

__all__ = ["BodyFraming"]


class BodyFraming(Enum):
    """What delimits the body of a response.

    Attributes:
        NONE: There is no body, whatever the headers say.
        LENGTH: ``Content-Length``.
        CHUNKS: Chunks, of which the last one is empty.
        UNTIL_CLOSE: The end of the connection. A reset tells a caller that
            the body is not complete.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    UNTIL_CLOSE = "until close"

    @classmethod
    def of_whole(cls, request: Request, status: int) -> BodyFraming:
        """Returns the framing of a response that is sent at once.

        Args:
            request: The request.
            status: Status code of the response.
        """
        return cls.NONE if _has_no_body(request, status) else cls.LENGTH

    @classmethod
    def of_parts(cls, request: Request, status: int) -> BodyFraming:
        """Returns the framing of a response that is sent in parts.

        Args:
            request: The request.
            status: Status code of the response.
        """
        if _has_no_body(request, status):
            return cls.NONE
        return cls.CHUNKS if request.supports_chunks else cls.UNTIL_CLOSE

    def encode_whole(
        self,
        status: int,
        headers: Sequence[Header],
        body: bytes,
        *,
        close: bool,
    ) -> bytes:
        """Encodes a response that is sent at once."""
        if self is BodyFraming.NONE:
            return encode_response_head(status, headers, close=close)
        return encode_response(status, headers, body, close=close)

    def encode_head(
        self, status: int, headers: Sequence[Header], *, close: bool
    ) -> bytes:
        """Encodes the head of a response that is sent in parts."""
        if self is BodyFraming.CHUNKS:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        return encode_response_head(status, headers, close=close)

    def encode_part(self, data: bytes) -> bytes:
        """Encodes a part of the body, which is not empty."""
        if self is BodyFraming.NONE:
            return b""
        return encode_chunk(data) if self is BodyFraming.CHUNKS else data

    def encode_end(self) -> bytes:
        """Encodes the end of the body."""
        return encode_chunk(b"") if self is BodyFraming.CHUNKS else b""


def _has_no_body(request: Request, status: int) -> bool:
    return request.method == b"HEAD" or status in STATUSES_WITHOUT_BODY
