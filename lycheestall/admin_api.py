"""The admin HTTP API: health, metrics, status and rules."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import orjson
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.server import Request

from .accounts import Accounts
from .ids import Offset, OperatorName, ProgramId
from .metrics import Metrics

__all__ = ["AdminApi", "AdminBackend", "AdminResponse", "to_json"]


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response of the admin API.

    Attributes:
        status: The HTTP status code.
        document: The body, to be encoded as JSON.
    """

    status: int
    document: object


class AdminBackend(ABC):
    """The operations of the daemon that the admin API exposes."""

    @abstractmethod
    def alive(self) -> bool:
        """Returns whether the daemon is running."""

    @abstractmethod
    def ready(self) -> bool:
        """Returns whether the daemon accepts new calls."""

    @abstractmethod
    async def status(self) -> AdminResponse:
        """Returns the cell's status."""

    @abstractmethod
    async def program(self, program: ProgramId) -> AdminResponse:
        """Returns one program's turns, spending and dispatches."""

    @abstractmethod
    async def rules(self) -> AdminResponse:
        """Returns the rules in force."""

    @abstractmethod
    async def rules_history(self) -> AdminResponse:
        """Returns the publication history of the rules."""

    @abstractmethod
    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> AdminResponse:
        """Publishes a rule file that is based on version ``base``."""


def to_json(document: object) -> bytes:
    """Encodes a document as JSON.

    Args:
        document: Dataclasses, enums, containers and primitives.
    """
    return orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS)


class AdminApi:
    """Serves the admin API.

    The routes under ``/admin`` require an operator's bearer key; health
    and metrics do not.

    Args:
        accounts: Looks up the account of a bearer key.
        backend: Runs the requested operations.
        metrics: The metrics that ``/metrics`` exposes.
    """

    def __init__(
        self, *, accounts: Accounts, backend: AdminBackend, metrics: Metrics
    ) -> None:
        self._accounts = accounts
        self._backend = backend
        self._metrics = metrics
        self.app = Klein()
        self._add_routes()

    def _add_routes(self) -> None:
        route = self.app.route
        route("/healthz", methods=["GET"])(self._healthz)
        route("/readyz", methods=["GET"])(self._readyz)
        route("/metrics", methods=["GET"])(self._render_metrics)
        route("/admin/status", methods=["GET"])(self._status)
        route("/admin/programs/<path:program>", methods=["GET"])(self._program)
        route("/admin/rules", methods=["GET"])(self._rules)
        route("/admin/rules", methods=["POST"])(self._publish)
        route("/admin/rules/history", methods=["GET"])(self._history)

    def _healthz(self, request: Request) -> bytes:
        return _health_response(request, self._backend.alive())

    def _readyz(self, request: Request) -> bytes:
        return _health_response(request, self._backend.ready())

    def _render_metrics(self, request: Request) -> bytes:
        accept = request.getHeader("accept") or ""
        content, headers = self._metrics.exposition(accept)
        for name, value in headers.items():
            request.setHeader(name, value)
        return content

    def _status(self, request: Request) -> Deferred[bytes]:
        return self._respond(request, lambda _: self._backend.status())

    def _program(self, request: Request, program: str) -> Deferred[bytes]:
        return self._respond(
            request, lambda _: self._backend.program(ProgramId(program))
        )

    def _rules(self, request: Request) -> Deferred[bytes]:
        return self._respond(request, lambda _: self._backend.rules())

    def _history(self, request: Request) -> Deferred[bytes]:
        return self._respond(request, lambda _: self._backend.rules_history())

    def _publish(self, request: Request) -> Deferred[bytes]:
        return self._respond(request, self._publish_body)

    async def _publish_body(self, request: Request) -> AdminResponse:
        assert request.content is not None
        try:
            document = orjson.loads(request.content.read())
            base = Offset(int(document["base"]))
            text = str(document["text"])
            operator = OperatorName(str(document["operator"]))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            return _error_response(
                400, f"the body needs base, text, operator: {e!r}"
            )
        return await self._backend.publish(base, text, operator)

    def _respond(self, request: Request, handler: Any) -> Deferred[bytes]:
        return ensureDeferred(self._authorize_and_respond(request, handler))

    async def _authorize_and_respond(
        self, request: Request, handler: Any
    ) -> bytes:
        request.setHeader("content-type", "application/json")
        found = self._accounts.find(request.getHeader("authorization") or "")
        if found is None or not found.operator:
            request.setResponseCode(401)
            return to_json(
                _error_response(401, "an operator's key is needed").document
            )
        response: AdminResponse = await handler(request)
        request.setResponseCode(response.status)
        return to_json(response.document)


def _health_response(request: Request, healthy: bool) -> bytes:
    request.setHeader("content-type", "text/plain")
    request.setResponseCode(200 if healthy else 503)
    return b"ok\n" if healthy else b"no\n"


def _error_response(status: int, message: str) -> AdminResponse:
    return AdminResponse(status, {"error": {"message": message}})
