"""HTTP client of applications and tool services."""

from __future__ import annotations

import base64
import json
from typing import Any

from ._http_client import HttpClient, HttpResponse, NotSent
from .ids import IdempotencyKey, TargetId
from .targets import (
    ActionDone,
    ActionNotSent,
    ActionRequest,
    ActionResult,
    ActionUnknown,
    Application,
    LoadReport,
    LookupResult,
    LookupState,
    SendCondition,
    always_send,
)

__all__ = ["HttpApplication"]

DEFAULT_CONTENT_TYPE = "application/octet-stream"


class HttpApplication(Application):
    """Forwards calls as HTTP requests.

    A call with an idempotency key opens a new connection: on a pooled
    connection that has died unnoticed, it would not be known whether the
    call was run.

    Args:
        client: Sends the requests.
        target: The target's id.
        base_url: The target's URL, without a trailing slash.
    """

    def __init__(
        self, client: HttpClient, target: TargetId, base_url: str
    ) -> None:
        self._client = client
        self._target = target
        self._base_url = base_url

    async def call(
        self, request: ActionRequest, *, may_send: SendCondition = always_send
    ) -> ActionResult:
        """Sends a call once, without retries."""
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
            new_connection=bool(request.key),
            may_send=may_send,
        )
        if isinstance(result, NotSent):
            return ActionNotSent(result.detail)
        if not isinstance(result, HttpResponse):
            return ActionUnknown(result.detail)
        content_type = result.header("content-type") or DEFAULT_CONTENT_TYPE
        return ActionDone(result.status, content_type, result.body)

    async def look_up(self, key: IdempotencyKey) -> LookupResult | None:
        """Looks up a key; None if the lookup failed or is unsupported."""
        result = await self._client.request(
            "POST",
            f"{self._base_url}/v1/lookups",
            headers={"content-type": "application/json"},
            body=json.dumps({"key": key}).encode(),
            new_connection=True,
        )
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            return _lookup_result(json.loads(result.body))
        except Exception:
            return None

    async def load(self) -> LoadReport | None:
        """Fetches the newest load report, None if it is unavailable."""
        result = await self._client.request("GET", f"{self._base_url}/v1/load")
        if not isinstance(result, HttpResponse) or result.status != 200:
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


def _lookup_result(body: dict[str, Any]) -> LookupResult:
    state = LookupState(body["state"])
    if state is not LookupState.RAN:
        return LookupResult(state)
    response = ActionDone(
        int(body["status"]),
        body["content_type"],
        base64.b64decode(body["body"]),
    )
    return LookupResult(state, response)
