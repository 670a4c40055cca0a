"""Callers that respect no limit, and one that respects all."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from tests.untrusted_callers.vm_process import VmProcess

MAX_PIECE_BYTES = 65_536
MAX_ATTEMPTS = 20
"""Attempts of the ordinary caller, which is told when to come back."""


def head(
    method: str, path: str, request_id: str, lines: Sequence[bytes] = ()
) -> bytes:
    """Returns the head of a request."""
    start = (
        f"{method} {path} HTTP/1.1\r\nHost: crew.example\r\n"
        f"X-Request-Id: {request_id}\r\n"
    )
    return start.encode() + b"".join(lines) + b"\r\n"


class Crowd:
    """Open connections of callers.

    Args:
        vm: The VM that they send to.
    """

    def __init__(self, vm: VmProcess) -> None:
        self._vm = vm
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.Task[None]] = []

    async def send(
        self,
        messages: Iterable[Iterable[bytes]],
        *,
        port: int | None = None,
        reads: bool = True,
    ) -> None:
        """Sends a message on a connection of its own each, all at once.

        The connections stay open afterwards.

        Args:
            messages: The pieces of each message.
            port: The VM's port; that for callers by default.
            reads: Whether the callers read what they receive.
        """
        to_port = port or self._vm.callers_port
        await asyncio.gather(
            *(self._send(pieces, to_port, reads=reads) for pieces in messages)
        )

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._readers:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _send(
        self, pieces: Iterable[bytes], port: int, *, reads: bool
    ) -> None:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=MAX_PIECE_BYTES
            )
            self._writers.append(writer)
            if reads:
                task = asyncio.create_task(_discard(reader))
                self._readers.append(task)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            # The VM may refuse such a caller or close its connection.
            return


async def _discard(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(MAX_PIECE_BYTES):
            continue
    except OSError:
        return


async def send_ordinary_request(vm: VmProcess) -> bytes:
    """Sends a request inside all limits, again where it is refused.

    Returns:
        The last answer.
    """
    answer = b""
    for number in range(MAX_ATTEMPTS):
        answer = await _request(vm.callers_port, f"ordinary-{number}")
        if not answer.startswith((b"HTTP/1.1 429", b"HTTP/1.1 503")):
            break
        await asyncio.sleep(_retry_after_s(answer))
    return answer


async def _request(port: int, request_id: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [b"Content-Length: 2\r\n", b"Connection: close\r\n"]
    writer.write(head("POST", "/orders/x", request_id, lines) + b"{}")
    try:
        return await reader.read(-1)
    finally:
        writer.close()


def _retry_after_s(answer: bytes) -> float:
    for line in answer.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"retry-after":
            return float(value)
    raise AssertionError(f"a refusal without Retry-After: {answer!r}")
