"""A stand-in of a caller: one request on a new channel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lab.wire import encode_request, read_head, read_response

CONNECT_S = 1.0


@dataclass(frozen=True)
class Answer:
    """What a caller has received.

    Attributes:
        status: The status; 0 if there was no answer.
        headers: Headers by lower-case name.
        body: The body, as far as it was received.
        whole: Whether the answer is complete.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def events(self) -> int:
        """Number of whole events of a stream."""
        return self.body.count(b"\n\n")


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    limit_s: float = 3.0,
) -> Answer:
    """Sends one request and reads its answer.

    Args:
        address: Where callers reach the machine.
        method: The method.
        path: The path.
        headers: The headers, without the time limit.
        body: The body.
        limit_s: The caller's time limit.
    """
    headers = {**headers, "X-Deadline-Ms": str(int(limit_s * 1000))}
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), CONNECT_S
        )
    except (TimeoutError, OSError):
        return Answer(0)
    try:
        writer.write(encode_request(method, path, headers, body))
        response = await asyncio.wait_for(read_response(reader), limit_s + 1.0)
    except (TimeoutError, OSError):
        return Answer(0)
    finally:
        writer.close()
    if response is None:
        return Answer(0)
    return Answer(
        int(response.start[1]),
        response.headers,
        response.body,
        response.whole,
    )


async def receive_stream(
    address: tuple[str, int],
    path: str,
    headers: dict[str, str],
    on_event: Callable[[int, str], None],
    *,
    limit_s: float,
) -> int:
    """Sends a request and hands on each event of its stream as it arrives.

    Args:
        address: Where callers reach the machine.
        path: The path.
        headers: The headers, without the time limit.
        on_event: Called with the ID and the name of each event.
        limit_s: The caller's time limit.

    Returns:
        The status, 0 without an answer, and -1 for a stream that broke.
    """
    headers = {**headers, "X-Deadline-Ms": str(int(limit_s * 1000))}
    body = headers["X-Request-Id"].encode()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), CONNECT_S
        )
    except (TimeoutError, OSError):
        return 0
    try:
        writer.write(encode_request("POST", path, headers, body))
        return await asyncio.wait_for(
            _receive_events(reader, on_event), limit_s
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return -1
    finally:
        writer.close()


async def _receive_events(
    reader: asyncio.StreamReader, on_event: Callable[[int, str], None]
) -> int:
    head = await read_head(reader)
    if head is None:
        return 0
    status = int(head.start[1])
    if status != 200:
        return status
    received = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        received += (await reader.readexactly(size + 2))[:-2]
        while b"\n\n" in received:
            event, received = received.split(b"\n\n", 1)
            fields = dict(
                line.split(": ", 1) for line in event.decode().split("\n")
            )
            on_event(int(fields["id"]), fields["event"])
        if size == 0:
            return status


async def is_ready(address: tuple[str, int]) -> bool:
    """Returns whether a machine says that it is ready."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), CONNECT_S
        )
    except (TimeoutError, OSError):
        return False
    try:
        head = {"Host": "ready"}
        writer.write(encode_request("GET", "/api/ready", head))
        response = await asyncio.wait_for(read_response(reader), CONNECT_S)
    except (TimeoutError, OSError):
        return False
    finally:
        writer.close()
    return response is not None and response.start[1] == "200"
