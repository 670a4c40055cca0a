"""A stand-in of a caller: one request on a new channel."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from review.lab.wire import encode_request, read_response

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
