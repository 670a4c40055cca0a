"""The operators' HTTP interface: health, metrics, status, rules."""

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

__all__ = ["AdminApi", "AdminReply", "AdminSource", "to_json"]


@dataclass(frozen=True, slots=True)
class AdminReply:
    """An answer to an operator: an HTTP status and a dataclass."""

    status: int
    document: object


class AdminSource(ABC):
    """What the operators' interface asks of the daemon."""

    @abstractmethod
    def alive(self) -> bool:
        """Returns whether the daemon's parts are running."""

    @abstractmethod
    def ready(self) -> bool:
        """Returns whether the daemon takes new calls."""

    @abstractmethod
    async def status(self) -> AdminReply:
        """Returns the cell's status."""

    @abstractmethod
    async def program(self, program: ProgramId) -> AdminReply:
        """Returns one program's turns, spend and dispatches."""

    @abstractmethod
    async def rules(self) -> AdminReply:
        """Returns the rules in force."""

    @abstractmethod
    async def rules_history(self) -> AdminReply:
        """Returns the audit trail of the rules."""

    @abstractmethod
    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> AdminReply:
        """Publishes a rule file against a base version."""


def to_json(document: object) -> bytes:
    """Returns a document of dataclasses, enums and primitives as JSON.

    Args:
        document: What to encode.
    """
    return orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS)


class AdminApi:
    """Serves the operators' routes; all but health need operator keys.

    Args:
        accounts: Knows which keys are operators'.
        source: Answers the questions.
        metrics: What ``/metrics`` shows.
    """

    def __init__(
        self, *, accounts: Accounts, source: AdminSource, metrics: Metrics
    ) -> None:
        self._accounts = accounts
        self._source = source
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
        return _flag(request, self._source.alive())

    def _readyz(self, request: Request) -> bytes:
        return _flag(request, self._source.ready())

    def _render_metrics(self, request: Request) -> bytes:
        accept = request.getHeader("accept") or ""
        content, headers = self._metrics.exposition(accept)
        for name, value in headers.items():
            request.setHeader(name, value)
        return content

    def _status(self, request: Request) -> Deferred[bytes]:
        return self._answer(request, lambda _: self._source.status())

    def _program(self, request: Request, program: str) -> Deferred[bytes]:
        return self._answer(
            request, lambda _: self._source.program(ProgramId(program))
        )

    def _rules(self, request: Request) -> Deferred[bytes]:
        return self._answer(request, lambda _: self._source.rules())

    def _history(self, request: Request) -> Deferred[bytes]:
        return self._answer(request, lambda _: self._source.rules_history())

    def _publish(self, request: Request) -> Deferred[bytes]:
        return self._answer(request, self._publish_body)

    async def _publish_body(self, request: Request) -> AdminReply:
        assert request.content is not None
        try:
            document = orjson.loads(request.content.read())
            base = Offset(int(document["base"]))
            text = str(document["text"])
            operator = OperatorName(str(document["operator"]))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            return _error(400, f"the body needs base, text, operator: {e!r}")
        return await self._source.publish(base, text, operator)

    def _answer(self, request: Request, ask: Any) -> Deferred[bytes]:
        return ensureDeferred(self._authorized(request, ask))

    async def _authorized(self, request: Request, ask: Any) -> bytes:
        request.setHeader("content-type", "application/json")
        found = self._accounts.find(request.getHeader("authorization") or "")
        if found is None or not found.operator:
            request.setResponseCode(401)
            return to_json(_error(401, "an operator's key is needed").document)
        reply: AdminReply = await ask(request)
        request.setResponseCode(reply.status)
        return to_json(reply.document)


def _flag(request: Request, good: bool) -> bytes:
    request.setHeader("content-type", "text/plain")
    request.setResponseCode(200 if good else 503)
    return b"ok\n" if good else b"no\n"


def _error(status: int, message: str) -> AdminReply:
    return AdminReply(status, {"error": {"message": message}})
