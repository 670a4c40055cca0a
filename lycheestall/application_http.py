"""Application runners and tool services over HTTP."""

from __future__ import annotations

import base64
import json
from typing import Any

from ._http_client import HttpAnswer, HttpClient, NotSent
from .ids import IdempotencyKey, TargetId
from .targets import (
    ActionAnswer,
    ActionDone,
    ActionNotSent,
    ActionRequest,
    ActionUnknown,
    Application,
    LoadReport,
    LookupAnswer,
    LookupState,
    SendGate,
    always,
)

__all__ = ["HttpApplication"]

DEFAULT_CONTENT_TYPE = "application/octet-stream"


class HttpApplication(Application):
    """Passes calls on as HTTP requests.

    A call with an idempotency key gets a connection of its own: what a
    kept connection had lost track of cannot leave its fate unknown.

    Args:
        client: Sends the requests.
        target: The runner's id.
        base_url: Its address, without a closing slash.
    """

    def __init__(
        self, client: HttpClient, target: TargetId, base_url: str
    ) -> None:
        self._client = client
        self._target = target
        self._base_url = base_url

    async def call(
        self, request: ActionRequest, *, may_send: SendGate = always
    ) -> ActionAnswer:
        """Sends one call, once; never repeats it by itself."""
        headers = {
            "content-type": request.content_type,
            "lycheestall-request": request.request,
            "lycheestall-program": request.program,
            "lycheestall-call": str(request.number),
        }
        if request.key:
            headers["idempotency-key"] = request.key
        result = await self._client.request(
            request.method,
            f"{self._base_url}{request.path}",
            headers=headers,
            body=request.body,
            timeout_s=request.deadline_s,
            fresh=bool(request.key),
            may_send=may_send,
        )
        if isinstance(result, NotSent):
            return ActionNotSent(result.detail)
        if not isinstance(result, HttpAnswer):
            return ActionUnknown(result.detail)
        kind = result.header("content-type") or DEFAULT_CONTENT_TYPE
        return ActionDone(result.status, kind, result.body)

    async def look_up(self, key: IdempotencyKey) -> LookupAnswer | None:
        """Asks for the record of a key, None when it offers none."""
        result = await self._client.request(
            "POST",
            f"{self._base_url}/v1/lookups",
            headers={"content-type": "application/json"},
            body=json.dumps({"key": key}).encode(),
            fresh=True,
        )
        if not isinstance(result, HttpAnswer) or result.status != 200:
            return None
        try:
            return _lookup_answer(json.loads(result.body))
        except Exception:
            return None

    async def load(self) -> LoadReport | None:
        """Returns the newest load report, None when unreachable."""
        result = await self._client.request("GET", f"{self._base_url}/v1/load")
        if not isinstance(result, HttpAnswer) or result.status != 200:
            return None
        try:
            body = json.loads(result.body)
            return LoadReport(
                target=self._target,
                running=int(body["running"]),
                waiting=int(body["waiting"]),
                kv_used=0.0,
                tokens_per_s=0.0,
                leaving=bool(body.get("leaving", False)),
                age_s=float(body.get("age_s", 0.0)),
            )
        except Exception:
            return None


def _lookup_answer(body: dict[str, Any]) -> LookupAnswer:
    state = LookupState(body["state"])
    if state is not LookupState.RAN:
        return LookupAnswer(state)
    answer = ActionDone(
        int(body["status"]),
        body["content_type"],
        base64.b64decode(body["body"]),
    )
    return LookupAnswer(state, answer)
