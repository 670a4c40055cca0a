"""An HTTP client whose failures tell whether the request was sent."""

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

from ._http_body import BodyReader, ConditionalBody, SendStoppedError

__all__ = [
    "HttpClient",
    "HttpResponse",
    "HttpResult",
    "NoResponse",
    "NotSent",
    "retry_after_s",
]

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class NotSent:
    """No complete request was sent.

    Either no connection could be opened or ``may_send`` returned False.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The request may have arrived; no complete response came back."""

    detail: str


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Returns a header's first value, or an empty string."""
        values = self.headers.getRawHeaders(name) or [""]
        return str(values[0])


HttpResult: TypeAlias = HttpResponse | NotSent | NoResponse


def retry_after_s(headers: Headers) -> float:
    """Returns the seconds of a ``retry-after`` header, or 0.

    Args:
        headers: The headers of a response.
    """
    values = headers.getRawHeaders("retry-after") or ["0"]
    try:
        return max(0.0, float(values[0]))
    except ValueError:
        return 0.0


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP addresses directly, without a DNS lookup."""

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Returns the endpoint for a URI whose host is an IP address."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, self._timeout_s)


class HttpClient:
    """Sends each request once, without retries, over a connection pool.

    Args:
        reactor: Opens connections and times the requests.
        pool: The pool of persistent connections.
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
        # By default, the pool retries GET, PUT and DELETE requests.
        pool.retryAutomatically = False
        single = HTTPConnectionPool(reactor, persistent=False)
        self._pooled = HTTPClient(
            Agent.usingEndpointFactory(reactor, factory, pool=pool)
        )
        self._unpooled = HTTPClient(
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
        new_connection: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> Any:
        """Sends a request and waits for the head of the response.

        Args:
            method: The HTTP method.
            url: The URL, with an IP address as host.
            params: Query parameters.
            headers: Header values by name.
            body: The request body, if any.
            timeout_s: Seconds to wait for the response head.
            new_connection: Whether to open a connection for this request
                alone. A request sent on a pooled connection that has died
                unnoticed would be lost without a known outcome.
            may_send: Called right before the request is written; if it
                returns False, the result is ``NotSent``.

        Returns:
            The response (``IResponse``) with its body unread, or
            ``NotSent`` or ``NoResponse``.
        """
        if params:
            url = f"{url}?{urlencode(params)}"
        client = self._unpooled if new_connection else self._pooled
        data: Any = body
        if may_send is not None:
            data = ConditionalBody(body or b"", may_send)
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
            return NoResponse(f"{type(error).__name__}: {error}")
        except CancelledError:
            raise
        except Exception as error:
            return NoResponse(f"{type(error).__name__}: {error}")

    async def read(
        self,
        response: Any,
        on_data: Callable[[bytes], None],
        idle_timeout_s: float,
    ) -> str:
        """Reads a response body and passes on the data as it arrives.

        Args:
            response: A response from ``open``.
            on_data: Called with each piece of the body.
            idle_timeout_s: The longest time without data, in seconds.

        Returns:
            An empty string when the body is complete, else an error
            message.
        """
        reader = BodyReader(self.clock, on_data, idle_timeout_s)
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
        new_connection: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResult:
        """Sends a request and reads the whole response.

        The arguments are those of ``open``. The timeout applies to the
        response head and, as an idle timeout, to the body.
        """
        response = await self.open(
            method,
            url,
            params=params,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
            new_connection=new_connection,
            may_send=may_send,
        )
        if isinstance(response, (NotSent, NoResponse)):
            return response
        parts: list[bytes] = []
        size = 0

        def on_data(data: bytes) -> None:
            nonlocal size
            size += len(data)
            if size <= MAX_BODY_BYTES:
                parts.append(data)

        failure = await self.read(response, on_data, timeout_s)
        if size > MAX_BODY_BYTES:
            return NoResponse(f"body over {MAX_BODY_BYTES} bytes")
        if failure:
            return NoResponse(failure)
        return HttpResponse(response.code, response.headers, b"".join(parts))
