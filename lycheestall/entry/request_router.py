"""Routes callers' requests and starts processing them."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from ..logs import Logger
from .configuration_state import ConfigurationState
from .exchange import Exchange
from .header_codec import InvalidRequest
from .message_metadata import RequestMetadata
from .request_dependencies import RequestDependencies
from .request_processor import RequestProcessor
from .token_allocator import TurnId

__all__ = ["RequestRouter"]

NOT_READY_RETRY_S = 0.5
"""Retry delay for callers of a VM that has not read all of its state."""


class RequestRouter:
    """Finds the route of each request and starts its processing.

    Args:
        deps: Dependencies shared by all requests.
        configuration: The configuration in force.
        loaded: Returns whether all state that requests need has been read.
        logger: Receives unexpected errors.

    Attributes:
        running: Number of requests in progress.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        configuration: ConfigurationState,
        *,
        loaded: Callable[[], bool],
        logger: Logger,
    ) -> None:
        self._deps = deps
        self._configuration = configuration
        self._loaded = loaded
        self._logger = logger
        self._last_turn = 0
        self.running = 0

    def handle(self, exchange: Exchange) -> None:
        """Handles one request of a caller."""
        request = exchange.request
        metadata = self._deps.headers.parse_request_headers(request)
        if isinstance(metadata, InvalidRequest):
            self._refuse(exchange, b"", 400, metadata.reason)
            return
        if not self._loaded():
            self._refuse(
                exchange,
                metadata.request_id,
                503,
                "not ready yet",
                NOT_READY_RETRY_S,
            )
            return
        route = self._configuration.routes.find(metadata.host, request.path)
        if route is None:
            self._refuse(exchange, metadata.request_id, 404, "no route")
            return
        configuration = self._configuration.current
        assert configuration is not None
        hash_key = metadata.session_id.encode() or metadata.request_id
        service_id = route.service_for(hash_key)
        self._last_turn += 1
        processor = RequestProcessor(
            self._deps,
            exchange,
            metadata,
            route,
            configuration.service_by_id.get(service_id),
            service_id,
            version=self._configuration.version,
            turn=TurnId(self._last_turn),
        )
        self.running += 1
        finished = ensureDeferred(processor.process())
        finished.addErrback(self._on_failed, metadata)
        finished.addCallback(self._on_ended)

    def _on_ended(self, _: object) -> None:
        self.running -= 1

    def _on_failed(self, failure: Failure, metadata: RequestMetadata) -> None:
        self._logger.error(
            "unhandled error in a request",
            request=metadata.request_id.decode("latin-1"),
            error=failure.getTraceback(),
        )

    def _refuse(
        self,
        exchange: Exchange,
        request_id: bytes,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        exchange.send_error(status, reason, retry_after_s=retry_after_s)
        self._deps.log.request_refused(
            request_id.decode("latin-1"),
            status=status,
            version=self._configuration.version,
            reason=reason,
        )
