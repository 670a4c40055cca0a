"""Routes callers' requests and starts processing them."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from ..logs import Logger
from .accounts import Account, AuthenticationEvidence, key_mark
from .accounts.authenticator import (
    Authenticated,
    Authentication,
    Authenticator,
    InvalidKey,
    Uncertain,
    UnknownRoute,
)
from .configuration import Route
from .configuration_state import ConfigurationState
from .header_codec import InvalidRequest
from .message_metadata import RequestMetadata
from .request_dependencies import RequestDependencies
from .request_processor import RequestProcessor
from .responses import Exchange
from .shared_read import SharedRead
from .token_allocator import TurnId

__all__ = ["RequestRouter"]

NOT_READY_RETRY_S = 0.5
"""Retry delay for callers of a VM that has not read all of its state."""


class RequestRouter:
    """Finds each request's route and account, and starts its processing.

    Args:
        deps: Dependencies shared by all requests.
        configuration: The configuration in force.
        authenticator: Decides to which account a request belongs.
        newer_configuration: Asks peers for a newer configuration before a
            request is refused because this one may be outdated.
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
        authenticator: Authenticator,
        newer_configuration: SharedRead,
        loaded: Callable[[], bool],
        logger: Logger,
    ) -> None:
        self._deps = deps
        self._configuration = configuration
        self._authenticator = authenticator
        self._newer_configuration = newer_configuration
        self._loaded = loaded
        self._logger = logger
        self._last_turn = 0
        self.running = 0
        self._processors: set[RequestProcessor] = set()

    def end_requests(self) -> int:
        """Answers all requests in progress at once, since the VM ends.

        Returns:
            Their number.
        """
        processors = list(self._processors)
        for processor in processors:
            processor.shut_down()
        return len(processors)

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
        self._route(exchange, metadata, peers_asked=False)

    def _route(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        *,
        peers_asked: bool,
    ) -> None:
        now = self._deps.clock.seconds()
        authenticator = self._authenticator
        route = self._configuration.routes.find(
            metadata.host, exchange.request.path
        )
        result: Authentication | UnknownRoute
        if route is None:
            result = authenticator.unknown_route(now)
        else:
            result = authenticator.authenticate(
                route, metadata.credentials, now
            )
        if isinstance(result, Uncertain) and not peers_asked:
            self._ask_peers(exchange, metadata)
        elif isinstance(result, InvalidKey | UnknownRoute | Uncertain):
            evidence = AuthenticationEvidence(
                route_name=None if route is None else route.name,
                configuration_age_s=authenticator.evidence_age_s(now),
                key_mark=key_mark(metadata.credentials),
                peers_asked=peers_asked,
            )
            self._refuse_account(exchange, metadata, result, evidence)
        else:
            assert route is not None
            account = None
            if isinstance(result, Authenticated):
                account = result.account
            self._process(exchange, metadata, route, account)

    def _ask_peers(
        self, exchange: Exchange, metadata: RequestMetadata
    ) -> None:
        self.running += 1
        asked = self._newer_configuration.ask()
        asked.addCallback(self._on_asked, exchange, metadata)
        asked.addErrback(self._on_asking_failed, exchange, metadata)
        asked.addCallback(self._on_ended)

    def _on_asked(
        self, _: bool, exchange: Exchange, metadata: RequestMetadata
    ) -> None:
        if not exchange.ended:
            self._route(exchange, metadata, peers_asked=True)

    def _refuse_account(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        result: InvalidKey | UnknownRoute | Uncertain,
        evidence: AuthenticationEvidence,
    ) -> None:
        request_id = metadata.request_id
        if not self._configuration.has_accounts:
            self._refuse(exchange, request_id, 404, "no route")
        elif isinstance(result, UnknownRoute):
            self._refuse(
                exchange, request_id, 404, "no route", evidence=evidence
            )
        elif isinstance(result, InvalidKey):
            self._refuse(
                exchange, request_id, 401, result.reason, evidence=evidence
            )
        else:
            self._refuse(
                exchange,
                request_id,
                503,
                result.reason,
                result.retry_after_s,
                account=result.account,
                evidence=evidence,
            )

    def _process(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        route: Route,
        account: Account | None,
    ) -> None:
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
            account=account,
            authenticated=configuration.has_accounts,
        )
        self.running += 1
        self._processors.add(processor)
        finished = ensureDeferred(processor.process())
        finished.addErrback(self._on_failed, metadata)
        finished.addCallback(self._on_processed, processor)

    def _on_processed(self, _: object, processor: RequestProcessor) -> None:
        self._processors.discard(processor)
        self.running -= 1

    def _on_ended(self, _: object) -> None:
        self.running -= 1

    def _on_asking_failed(
        self, failure: Failure, exchange: Exchange, metadata: RequestMetadata
    ) -> None:
        self._on_failed(failure, metadata)
        exchange.abort()

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
        *,
        account: Account | None = None,
        evidence: AuthenticationEvidence | None = None,
    ) -> None:
        exchange.send_error(status, reason, retry_after_s=retry_after_s)
        self._deps.log.request_refused(
            request_id.decode("latin-1"),
            status=status,
            version=self._configuration.version,
            reason=reason,
            account=account,
            evidence=evidence,
        )
