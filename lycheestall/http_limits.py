"""Bounds on callers' HTTP requests."""

from __future__ import annotations

from io import BytesIO

from twisted.web.server import Request, Site

__all__ = ["MAX_BODY_BYTES", "BoundedRequest", "BoundedSite"]

MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 300


class BoundedRequest(Request):
    """A request whose body is kept in memory, up to a bound.

    Twisted spools large bodies to a file; these VMs have no disk.

    Attributes:
        too_large: Whether the body went over the bound; the rest of it
            was dropped.
    """

    too_large = False
    content: BytesIO

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepares for a body of the announced length."""
        self.too_large = length is not None and length > MAX_BODY_BYTES
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a piece of the body, or drops it past the bound."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.too_large = True
        if self.too_large:
            return
        self.content.write(data)

    def process(self) -> None:
        """Answers 413 for an oversized body, else renders as usual."""
        if not self.too_large:
            super().process()
            return
        self.setResponseCode(413)
        self.setHeader(b"content-type", b"text/plain")
        self.write(f"body over {MAX_BODY_BYTES} bytes\n".encode())
        self.finish()


class BoundedSite(Site):
    """Serves a resource with bounded requests."""

    def __init__(self, resource: object) -> None:
        super().__init__(
            resource, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_S
        )
