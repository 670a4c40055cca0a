"""The caller API over HTTP: chat completions, actions and programs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from klein import Klein
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Request

from .accounts import Accounts
from .calls import Call, CallHandler, CallKind
from .clock import Clock
from .http_sink import HttpSink, bad_request
from .ids import (
    AccountId,
    CallNumber,
    IdempotencyKey,
    ModelName,
    ProgramId,
    TargetId,
)
from .outcomes import Reason, Refused, Step

__all__ = ["CallerApi", "MAX_DEADLINE_S"]

DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3600.0
MAX_ID_LENGTH = 256
MAX_CALL_NUMBER = 2**31
_ACTION_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class _BadRequestError(Exception):
    """The request is invalid; the message is sent to the caller."""


class CallerApi:
    """Parses HTTP requests into calls and passes them to a handler.

    Args:
        accounts: Looks up the account of a bearer key.
        handler: Runs the calls.
        ready: Returns whether new calls are accepted.
        clock: Times the writes of responses.
    """

    def __init__(
        self,
        *,
        accounts: Accounts,
        handler: CallHandler,
        ready: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._accounts = accounts
        self._handler = handler
        self._ready = ready
        self._clock = clock
        self.app = Klein()
        self._add_routes()

    def _add_routes(self) -> None:
        route = self.app.route
        route("/v1/chat/completions", methods=["POST"])(self._chat)
        route("/v1/programs", methods=["POST"])(self._open)
        route("/v1/programs/<path:program>/end", methods=["POST"])(self._end)
        route("/v1/programs/<path:program>/cancel", methods=["POST"])(
            self._cancel
        )
        route(
            "/v1/programs/<path:program>/calls/<int:number>", methods=["GET"]
        )(self._resume)
        route("/v1/programs/<path:program>", methods=["GET"])(self._show)
        route("/v1/applications/<group>/<path:path>", methods=_ACTION_METHODS)(
            self._action
        )

    def _chat(self, request: Request) -> Deferred[None]:
        return self._run(request, self._parse_chat)

    def _open(self, request: Request) -> Deferred[None]:
        def parse(request: Request, account: AccountId) -> Call:
            return _call(request, CallKind.OPEN, account, ProgramId(""))

        return self._run(request, parse)

    def _end(self, request: Request, program: str) -> Deferred[None]:
        return self._run_program_call(request, CallKind.END, program)

    def _cancel(self, request: Request, program: str) -> Deferred[None]:
        return self._run_program_call(request, CallKind.CANCEL, program)

    def _show(self, request: Request, program: str) -> Deferred[None]:
        return self._run_program_call(request, CallKind.SHOW, program)

    def _resume(
        self, request: Request, program: str, number: int
    ) -> Deferred[None]:
        def parse(request: Request, account: AccountId) -> Call:
            return _call(
                request,
                CallKind.RESUME,
                account,
                _program_id(program),
                number=CallNumber(number),
                resume_from=_integer_header(request, "lycheestall-from", 0),
            )

        return self._run(request, parse)

    def _action(
        self, request: Request, group: str, path: str
    ) -> Deferred[None]:
        def parse(request: Request, account: AccountId) -> Call:
            method = request.method.decode()
            query = request.uri.partition(b"?")[2].decode("ascii", "replace")
            full_path = f"/{path}?{query}" if query else f"/{path}"
            return _call(
                request,
                CallKind.ACTION,
                account,
                _program_from_headers(request),
                application=TargetId(group),
                operation=f"{method} {full_path}",
                number=CallNumber(
                    _integer_header(request, "lycheestall-call", 0)
                ),
            )

        return self._run(request, parse)

    def _run_program_call(
        self, request: Request, kind: CallKind, program: str
    ) -> Deferred[None]:
        def parse(request: Request, account: AccountId) -> Call:
            return _call(request, kind, account, _program_id(program))

        return self._run(request, parse)

    def _parse_chat(self, request: Request, account: AccountId) -> Call:
        body = _body(request)
        document = _json_object(body)
        model = document.get("model")
        if not isinstance(model, str) or not model:
            raise _BadRequestError("the body has no string field 'model'")
        if not isinstance(document.get("messages"), list):
            raise _BadRequestError("the body has no list field 'messages'")
        return _call(
            request,
            CallKind.CHAT,
            account,
            _program_from_headers(request),
            model=ModelName(model),
            streamed=document.get("stream") is True,
            number=CallNumber(_integer_header(request, "lycheestall-call", 0)),
        )

    def _run(
        self,
        request: Request,
        parse: Callable[[Request, AccountId], Call],
    ) -> Deferred[None]:
        sink = HttpSink(request, clock=self._clock)
        refusal = self._readiness_refusal()
        if refusal is not None:
            sink.finish(refusal)
            return succeed(None)
        found = self._accounts.find(_header(request, "authorization"))
        if found is None:
            sink.finish(
                Refused(
                    Step.AUTHENTICATE,
                    Reason.UNKNOWN_KEY,
                    detail="no account has this bearer key",
                )
            )
            return succeed(None)
        try:
            call = parse(request, found.account)
        except _BadRequestError as error:
            sink.finish(bad_request(str(error)))
            return succeed(None)
        sink.attach(self._handler.handle(call, sink))
        return sink.finished

    def _readiness_refusal(self) -> Refused | None:
        if self._ready():
            return None
        return Refused(
            Step.ROUTE,
            Reason.DRAINING,
            retry_after_s=1.0,
            detail="this VM takes no new calls; another one does",
        )


def _call(
    request: Request,
    kind: CallKind,
    account: AccountId,
    program: ProgramId,
    **fields: Any,
) -> Call:
    return Call(
        kind=kind,
        account=account,
        program=program,
        idempotency_key=IdempotencyKey(
            _bounded_header(request, "idempotency-key")
        ),
        body=_body(request),
        deadline_s=_deadline_s(request),
        receipt=_header(request, "lycheestall-receipt"),
        program_class=_bounded_header(request, "lycheestall-class"),
        new_branch=_header(request, "lycheestall-history") == "branch",
        **fields,
    )


def _body(request: Request) -> bytes:
    assert request.content is not None
    body: bytes = request.content.read()
    request.content.seek(0)
    return body


def _header(request: Request, name: str) -> str:
    return request.getHeader(name) or ""


def _bounded_header(request: Request, name: str) -> str:
    value = _header(request, name)
    if len(value) > MAX_ID_LENGTH:
        raise _BadRequestError(
            f"header {name} is over {MAX_ID_LENGTH} characters"
        )
    return value


def _integer_header(request: Request, name: str, default: int) -> int:
    text = _header(request, name)
    if not text:
        return default
    if not text.isascii() or not text.isdigit():
        raise _BadRequestError(
            f"header {name} is no whole number: {text[:40]!r}"
        )
    value = int(text[:20])
    if value > MAX_CALL_NUMBER:
        raise _BadRequestError(f"header {name} is over {MAX_CALL_NUMBER}")
    return value


def _deadline_s(request: Request) -> float:
    text = _header(request, "lycheestall-deadline")
    if not text:
        return DEFAULT_DEADLINE_S
    try:
        value = float(text)
    except ValueError:
        raise _BadRequestError(
            f"header lycheestall-deadline is no number of seconds: "
            f"{text[:40]!r}"
        ) from None
    if not 0 < value <= MAX_DEADLINE_S:
        raise _BadRequestError(
            f"header lycheestall-deadline is not within 0 to "
            f"{MAX_DEADLINE_S:g} seconds"
        )
    return value


def _program_from_headers(request: Request) -> ProgramId:
    program = _bounded_header(request, "lycheestall-program")
    if not program:
        raise _BadRequestError("header lycheestall-program is missing")
    parent = _bounded_header(request, "lycheestall-parent")
    if parent and not program.startswith(parent + "/"):
        program = f"{parent}/{program}"
    return _program_id(program)


def _program_id(text: str) -> ProgramId:
    if len(text) > MAX_ID_LENGTH:
        raise _BadRequestError(
            f"program id is over {MAX_ID_LENGTH} characters"
        )
    if not text.isprintable() or " " in text or "" in text.split("/"):
        raise _BadRequestError(
            "a program id has printable characters without spaces, and "
            "no empty path segment"
        )
    return ProgramId(text)


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _BadRequestError(f"the body is no JSON: {error}") from None
    if not isinstance(document, dict):
        raise _BadRequestError("the body is no JSON object")
    return document
