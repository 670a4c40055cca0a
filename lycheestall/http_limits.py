"""Size and time limits of the daemon's HTTP servers."""

from __future__ import annotations

from io import BytesIO

from twisted.web.server import Request, Site

__all__ = ["MAX_BODY_BYTES", "BoundedRequest", "BoundedSite"]

MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 300


class BoundedRequest(Request):
    """A request whose body is kept in memory, up to a size limit.

    By default, Twisted spools large bodies to a file, but these VMs have
    no disk.

    Attributes:
        too_large: Whether the body exceeds the limit; the excess is
            discarded.
    """

    too_large = False
    content: BytesIO

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepares for a body of the given content length."""
        self.too_large = length is not None and length > MAX_BODY_BYTES
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Appends a piece of the body, or discards it over the limit."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.too_large = True
        if self.too_large:
            return
        self.content.write(data)

    def process(self) -> None:
        """Responds 413 to an oversized body, else renders as usual."""
        if not self.too_large:
            super().process()
            return
        self.setResponseCode(413)
        self.setHeader(b"content-type", b"text/plain")
        self.write(f"body over {MAX_BODY_BYTES} bytes\n".encode())
        self.finish()


class BoundedSite(Site):
    """A site that serves a resource with ``BoundedRequest``."""

    def __init__(self, resource: object) -> None:
        super().__init__(
            resource, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_S
        )
