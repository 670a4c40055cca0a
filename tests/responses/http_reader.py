"""Reads what a caller receives, independently of the project's own code."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import h11

__all__ = ["NotAResponseError", "ReceivedResponse", "read_responses"]


class NotAResponseError(Exception):
    """The bytes are no response to a request that was sent."""


@dataclass
class ReceivedResponse:
    """One response.

    Attributes:
        status: Its status code; 0 if only interim responses were received.
        headers: Its headers, with names in lowercase.
        body: As much of its body as was received.
        whole: Whether it is complete.
        interim: Status codes of the interim responses before it.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes = b""
    whole: bool = False
    interim: list[int] = field(default_factory=list)


def read_responses(
    data: bytes, methods: list[str], *, closed: bool = False
) -> list[ReceivedResponse]:
    """Reads the responses to requests that were sent on one connection.

    Args:
        data: All bytes that were received.
        methods: The methods of the requests, in their order.
        closed: Whether the connection was closed after these bytes, other
            than by a reset.

    Returns:
        The responses, of which the last one may not be whole.

    Raises:
        NotAResponseError: Some bytes belong to no response.
    """
    responses: list[ReceivedResponse] = []
    remaining = data
    for method in methods:
        response, remaining, reusable = _read(method, remaining, closed)
        if response is None:
            break
        responses.append(response)
        if not response.whole or not reusable:
            break
    if remaining:
        raise NotAResponseError(repr(remaining[:80]))
    return responses


def _read(
    method: str, data: bytes, closed: bool
) -> tuple[ReceivedResponse | None, bytes, bool]:
    client = h11.Connection(h11.CLIENT)
    client.send(
        h11.Request(method=method, target="/", headers=[("Host", "any")])
    )
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    if closed:
        client.receive_data(b"")
    interim: list[int] = []
    response: ReceivedResponse | None = None
    while True:
        try:
            event: Any = client.next_event()
        except h11.RemoteProtocolError as error:
            if closed and "closed" in str(error):
                return response, b"", False
            raise NotAResponseError(str(error)) from error
        if isinstance(event, h11.InformationalResponse):
            interim.append(event.status_code)
        elif isinstance(event, h11.Response):
            response = ReceivedResponse(
                event.status_code, dict(event.headers), interim=interim
            )
        elif isinstance(event, h11.Data):
            assert response is not None
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert response is not None
            response.whole = True
            reusable = client.their_state is h11.DONE
            return response, client.trailing_data[0], reusable
        else:
            # More bytes are needed, or the connection was closed.
            if response is None and interim:
                response = ReceivedResponse(0, {}, interim=interim)
            return response, b"", False
