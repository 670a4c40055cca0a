"""HTTP requests whose failures say whether the request was sent."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias
from urllib.parse import urlencode

from treq.client import HTTPClient
from twisted.internet.defer import CancelledError
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web._newclient import RequestGenerationFailed, RequestNotSent
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from ._http_body import BodyReader, GatedBody, SendStoppedError

__all__ = [
    "HttpAnswer",
    "HttpClient",
    "HttpResult",
    "NoAnswer",
    "NotSent",
    "retry_after_s",
]

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection opened, so nothing of the request left."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request may have arrived; no whole answer came back."""

    detail: str


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Returns a header's first value, empty when it is absent."""
        values = self.headers.getRawHeaders(name) or [""]
        return str(values[0])


HttpResult: TypeAlias = HttpAnswer | NotSent | NoAnswer


def retry_after_s(headers: Headers) -> float:
    """Returns the seconds of a ``retry-after`` header, 0 without one.

    Args:
        headers: The headers of an answer.
    """
    values = headers.getRawHeaders("retry-after") or ["0"]
    try:
        return max(0.0, float(values[0]))
    except ValueError:
        return 0.0


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP numbers directly, without a name lookup."""

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Returns the endpoint for an address."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, self._timeout_s)


class HttpClient:
    """Sends requests over a connection pool, each of them once.

    Args:
        reactor: The reactor: connections and the clock.
        pool: Connections kept open between requests.
        connect_timeout_s: Seconds to wait for a connection.
    """

    def __init__(
        self,
        reactor: Any,
        pool: HTTPConnectionPool,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.clock = reactor
        factory = _AddressEndpoints(reactor, connect_timeout_s)
        # The pool would repeat GET, PUT and DELETE by itself.
        pool.retryAutomatically = False
        single = HTTPConnectionPool(reactor, persistent=False)
        self._kept = HTTPClient(
            Agent.usingEndpointFactory(reactor, factory, pool=pool)
        )
        self._fresh = HTTPClient(
            Agent.usingEndpointFactory(reactor, factory, pool=single)
        )

    async def open(
        self,
        method: str,
        url: str,
        *,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
        fresh: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> Any:
        """Sends a request and waits for the head of its answer.

        Args:
            method: The HTTP method.
            url: The address, with an IP number as host.
            params: Query parameters.
            headers: Header values by name.
            body: The body, if any.
            timeout_s: Seconds until the head must be there.
            fresh: Whether to use a connection of its own, so that a
                kept one that has gone silent cannot swallow it.
            may_send: Asked right before the request is written; False
                makes the result ``NotSent``.

        Returns:
            The answer (``IResponse``), its body not yet read, or
            ``NotSent`` or ``NoAnswer``.
        """
        if params:
            url = f"{url}?{urlencode(params)}"
        client = self._fresh if fresh else self._kept
        data: Any = body
        if may_send is not None:
            data = GatedBody(body or b"", may_send)
        sent = client.request(
            method,
            url,
            headers=Headers(
                {name: [value] for name, value in (headers or {}).items()}
            ),
            data=data,
            allow_redirects=False,
            unbuffered=True,
        )
        sent.addTimeout(timeout_s, self.clock)
        try:
            return await sent
        except (ConnectError, ConnectingCancelledError, RequestNotSent) as e:
            return NotSent(f"{type(e).__name__}: {e}")
        except RequestGenerationFailed as error:
            if error.reasons[0].check(SendStoppedError):
                return NotSent("stopped right before sending")
            return NoAnswer(f"{type(error).__name__}: {error}")
        except CancelledError:
            raise
        except Exception as error:
            return NoAnswer(f"{type(error).__name__}: {error}")

    async def read(
        self,
        response: Any,
        take: Callable[[bytes], None],
        stall_s: float,
    ) -> str:
        """Reads a body as it comes.

        Args:
            response: An answer from ``open``.
            take: Gets the bytes.
            stall_s: The longest pause between two reads.

        Returns:
            Empty when the body is whole, else what went wrong.
        """
        reader = BodyReader(self.clock, take, stall_s)
        response.deliverBody(reader)
        return await reader.done

    async def request(
        self,
        method: str,
        url: str,
        *,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
        fresh: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResult:
        """Sends a request and reads the whole answer.

        The arguments are those of ``open``; the time limit holds for
        the head and for each pause in the body.
        """
        response = await self.open(
            method,
            url,
            params=params,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
            fresh=fresh,
            may_send=may_send,
        )
        if isinstance(response, (NotSent, NoAnswer)):
            return response
        parts: list[bytes] = []
        size = 0

        def take(data: bytes) -> None:
            nonlocal size
            size += len(data)
            if size <= MAX_BODY_BYTES:
                parts.append(data)

        failure = await self.read(response, take, timeout_s)
        if size > MAX_BODY_BYTES:
            return NoAnswer(f"body over {MAX_BODY_BYTES} bytes")
        if failure:
            return NoAnswer(failure)
        return HttpAnswer(response.code, response.headers, b"".join(parts))
