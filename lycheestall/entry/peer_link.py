"""Calls between entry VMs: CBOR messages over the product's HTTP client.

Any VM may call any other; calls are short and carry no state of a
connection, so a peer that restarts is simply called again.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any, cast

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.python.failure import Failure

from ..logs import Logger
from .configuration import CallerLimits
from .connection_pool import ConnectionPool
from .exchange import Exchange, RequestHandler
from .http_call import CallResponse, call
from .http_messages import request_bytes
from .members import Member
from .peer_messages import PeerMessage, PeerReply, decode, encode
from .vm_settings import Address

__all__ = ["PeerCaller", "PeerEndpoint", "PeerHandler", "call_all"]

CONNECT_TIMEOUT_S = 0.3
"""Longest time for a connection to a peer."""

IDLE_S = 20.0
"""Idle time of a connection to a peer."""

_CALLEE_LIMITS = CallerLimits(idle_timeout_s=30.0)
_CONTENT = [(b"Content-Type", b"application/cbor")]


class PeerHandler(ABC):
    """Answers messages of peers."""

    @abstractmethod
    def answer(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Returns the reply to a message."""


class PeerEndpoint(RequestHandler):
    """Takes peers' calls.

    Args:
        handler: Answers them.
        logger: Where messages that can't be read are logged.
    """

    def __init__(self, handler: PeerHandler, logger: Logger) -> None:
        self._handler = handler
        self._logger = logger

    def handle(self, exchange: Exchange) -> None:
        """Answers one call."""
        try:
            message = decode(exchange.request.body)
        except ValueError as error:
            self._logger.warning("peer message unreadable", error=str(error))
            exchange.refuse(400, "unreadable message")
            return
        reply = maybeDeferred(self._handler.answer, message)
        reply.addCallbacks(
            lambda value: exchange.answer(200, _CONTENT, encode(value)),
            lambda failure: self._failed(exchange, failure),
        )

    def limits(self) -> CallerLimits:
        """Returns the bounds on peers."""
        return _CALLEE_LIMITS

    def closing(self) -> bool:
        """Returns False: peers' connections may stay."""
        return False

    def _failed(self, exchange: Exchange, failure: Failure) -> None:
        self._logger.error("peer call failed", error=failure.getTraceback())
        exchange.refuse(500, "internal error")


class PeerCaller:
    """Calls peers.

    Args:
        reactor: Opens connections and times calls.
        logger: Where replies that can't be read are logged.
    """

    def __init__(self, reactor: Any, logger: Logger) -> None:
        self._reactor = reactor
        self._logger = logger
        self._pool_by_address: dict[Address, ConnectionPool] = {}

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Returns the peer's reply, None if there was none.

        Args:
            address: The peer.
            message: What to send.
            timeout_s: Longest time for the call.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                address.host,
                address.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                idle_s=IDLE_S,
            )
            self._pool_by_address[address] = pool
        host = f"{address.host}:{address.port}".encode()
        data = request_bytes(b"POST", b"/", [(b"Host", host)], encode(message))
        outcome = call(self._reactor, pool, data, timeout_s=timeout_s)
        return outcome.addCallback(self._reply, address)

    def close(self) -> None:
        """Drops the idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()

    def _reply(self, outcome: Any, address: Address) -> PeerReply | None:
        if not isinstance(outcome, CallResponse):
            self._logger.debug(
                "peer did not answer", peer=address.host, error=outcome.error
            )
            return None
        if outcome.status != 200:
            self._logger.warning(
                "peer refused", peer=address.host, status=outcome.status
            )
            return None
        try:
            return cast(PeerReply, decode(outcome.body))
        except ValueError as error:
            self._logger.warning(
                "peer reply unreadable", peer=address.host, error=str(error)
            )
            return None


async def call_all(
    peers: PeerCaller,
    members: Iterable[Member],
    message: PeerMessage,
    *,
    timeout_s: float,
) -> list[PeerReply]:
    """Calls several peers at once; returns the replies that came.

    Args:
        peers: Calls them.
        members: Whom to call.
        message: What to send.
        timeout_s: Longest time for each call.
    """
    calls = [
        peers.call(member.address, message, timeout_s=timeout_s)
        for member in members
    ]
    replies = await DeferredList(calls, consumeErrors=True)
    return [reply for ok, reply in replies if ok and reply is not None]
