"""Calls between entry VMs: CBOR messages over the project's HTTP client.

Any VM may call any other one. Calls are short and keep no state in the
connection, so a restarted peer can be called again without further steps.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any, cast

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.python.failure import Failure

from ..logs import Logger
from .attempt_messages import SendAttempt
from .configuration import CallerLimits
from .connection_pool import ConnectionPool
from .http_call import CallResponse, call
from .http_messages import encode_request
from .membership import Member
from .peer_messages import PeerMessage, PeerReply, decode, encode
from .responses import Exchange, RequestHandler
from .vm_settings import Address

__all__ = [
    "PeerClient",
    "PeerEndpoint",
    "PeerHandler",
    "RelayingPeerHandler",
    "call_all",
    "encode_call",
]

CONNECT_TIMEOUT_S = 0.3
"""Timeout for connecting to a peer."""

IDLE_TIMEOUT_S = 20.0
"""Seconds after which an idle connection to a peer is closed."""

MAX_MESSAGE_BYTES = 8_388_608
"""Largest message; it holds the body of a caller's request."""

_ENDPOINT_LIMITS = CallerLimits(
    body_bytes=MAX_MESSAGE_BYTES, idle_timeout_s=30.0
)
_CONTENT_TYPE = [(b"Content-Type", b"application/cbor")]


class PeerHandler(ABC):
    """Handles messages of peers."""

    @abstractmethod
    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Returns the reply to a message."""


class RelayingPeerHandler(PeerHandler):
    """Handles messages of peers, and sends attempts for them."""

    @abstractmethod
    def relay_attempt(self, message: SendAttempt, exchange: Exchange) -> None:
        """Sends an attempt for a peer; the exchange receives the outcome."""


class PeerEndpoint(RequestHandler):
    """Accepts calls of peers.

    Args:
        handler: Handles their messages.
        logger: Receives malformed messages.
    """

    def __init__(self, handler: RelayingPeerHandler, logger: Logger) -> None:
        self._handler = handler
        self._logger = logger

    def handle(self, exchange: Exchange) -> None:
        """Handles one call."""
        try:
            message = decode(exchange.request.body)
        except ValueError as error:
            self._logger.warning("malformed peer message", error=str(error))
            exchange.send_error(400, "unreadable message")
            return
        if isinstance(message, SendAttempt):
            self._handler.relay_attempt(message, exchange)
            return
        reply = maybeDeferred(self._handler.handle_message, message)
        reply.addCallbacks(
            lambda value: exchange.respond(200, _CONTENT_TYPE, encode(value)),
            lambda failure: self._failed(exchange, failure),
        )

    def limits(self) -> CallerLimits:
        """Returns the limits for connections of peers."""
        return _ENDPOINT_LIMITS

    def should_close(self) -> bool:
        """Returns False, so that connections of peers stay open."""
        return False

    def _failed(self, exchange: Exchange, failure: Failure) -> None:
        self._logger.error(
            "handling a peer message failed", error=failure.getTraceback()
        )
        exchange.send_error(500, "internal error")


class PeerClient:
    """Calls peers.

    Args:
        reactor: Opens connections and times calls.
        logger: Receives malformed replies.
    """

    def __init__(self, reactor: Any, logger: Logger) -> None:
        self._reactor = reactor
        self._logger = logger
        self._pool_by_address: dict[Address, ConnectionPool] = {}

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Calls a peer; returns its reply, or None without a valid one.

        Args:
            address: The peer.
            message: The message to send.
            timeout_s: Timeout of the call.
        """
        data = encode_call(address, message)
        outcome = call(
            self._reactor, self.pool(address), data, timeout_s=timeout_s
        )
        return outcome.addCallback(self._reply, address)

    def pool(self, address: Address) -> ConnectionPool:
        """Returns the connections to a peer."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                address.host,
                address.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                idle_s=IDLE_TIMEOUT_S,
            )
            self._pool_by_address[address] = pool
        return pool

    def close(self) -> None:
        """Closes the idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()

    def _reply(self, outcome: Any, address: Address) -> PeerReply | None:
        if not isinstance(outcome, CallResponse):
            self._logger.debug(
                "peer did not reply", peer=address.host, error=outcome.error
            )
            return None
        if outcome.status != 200:
            self._logger.warning(
                "peer replied with an error status",
                peer=address.host,
                status=outcome.status,
            )
            return None
        try:
            return cast(PeerReply, decode(outcome.body))
        except ValueError as error:
            self._logger.warning(
                "malformed peer reply", peer=address.host, error=str(error)
            )
            return None


def encode_call(address: Address, message: PeerMessage) -> bytes:
    """Returns the request with which a message is sent to a peer."""
    host = f"{address.host}:{address.port}".encode()
    return encode_request(b"POST", b"/", [(b"Host", host)], encode(message))


async def call_all(
    peers: PeerClient,
    members: Iterable[Member],
    message: PeerMessage,
    *,
    timeout_s: float,
) -> list[PeerReply]:
    """Calls several peers at once; returns the replies received.

    Args:
        peers: Calls them.
        members: The members to call.
        message: The message to send.
        timeout_s: Timeout of each call.
    """
    calls = [
        peers.call(member.address, message, timeout_s=timeout_s)
        for member in members
    ]
    replies = await DeferredList(calls, consumeErrors=True)
    return [reply for ok, reply in replies if ok and reply is not None]
