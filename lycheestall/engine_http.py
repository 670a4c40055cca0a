"""An HTTP client for model engines with an OpenAI-compatible API.

Headers carry the fields that the API has no place for: the request's id,
program, call number, priority, deadline, session and epoch.
"""

from __future__ import annotations

import json
from typing import Any

from ._event_stream import EventStreamSplitter
from ._http_client import (
    HttpClient,
    HttpResponse,
    HttpResult,
    NoResponse,
    NotSent,
    retry_after_s,
)
from .ids import ModelName, ProgramId, RequestId, TargetId
from .targets import (
    CacheEvent,
    CacheEvents,
    Engine,
    EngineBroken,
    EngineDone,
    EngineOrder,
    EngineRefused,
    EngineRequest,
    EngineResult,
    EngineSink,
    HeldMemory,
    LoadReport,
    OrderResponse,
    OrderResult,
)

__all__ = ["HttpEngine"]

STALL_TIMEOUT_S = 120.0
TRANSFER_TIMEOUT_S = 60.0
_JSON = {"content-type": "application/json"}


class HttpEngine(Engine):
    """The client of one engine.

    Args:
        client: Sends the requests.
        target: The engine's id.
        base_url: Its base URL, without a trailing slash.
        stall_timeout_s: Maximum time between two reads of a stream.
    """

    def __init__(
        self,
        client: HttpClient,
        target: TargetId,
        base_url: str,
        *,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._target = target
        self._base_url = base_url
        self._stall_timeout_s = stall_timeout_s

    async def generate(
        self, request: EngineRequest, sink: EngineSink
    ) -> EngineResult:
        """Runs a request; cancelling the coroutine drops the connection."""
        response = await self._client.open(
            "POST",
            f"{self._base_url}/v1/chat/completions",
            headers=_request_headers(request),
            body=request.body,
            timeout_s=request.deadline_s,
            new_connection=True,
            may_send=sink.may_send,
        )
        body_bytes = len(request.body)
        _, result = await self._stream(response, sink, body_bytes, False)
        return result

    async def resume(
        self, request: RequestId, start: int, sink: EngineSink
    ) -> EngineResult:
        """Resumes a stream from byte ``start`` of its body.

        A resumed stream may lack the token counts; then it is read once
        more from its start, and that copy is discarded.
        """
        stream, result = await self._resume(request, start, sink)
        if not isinstance(result, EngineDone) or start == 0:
            return result
        if stream is None or stream.has_usage:
            return result
        _, counted = await self._resume(request, 0, _DiscardingSink())
        return counted if isinstance(counted, EngineDone) else result

    async def _resume(
        self, request: RequestId, start: int, sink: EngineSink
    ) -> tuple[EventStreamSplitter | None, EngineResult]:
        response = await self._client.open(
            "GET",
            f"{self._base_url}/v1/requests",
            params={"request": request, "from": str(start)},
            timeout_s=self._stall_timeout_s,
        )
        return await self._stream(response, sink, 0, start > 0)

    async def _stream(
        self,
        response: Any,
        sink: EngineSink,
        prompt_bytes: int,
        resumed: bool,
    ) -> tuple[EventStreamSplitter | None, EngineResult]:
        if isinstance(response, NotSent):
            return None, EngineRefused(0, response.detail)
        if isinstance(response, NoResponse):
            return None, EngineBroken(False, 0, response.detail)
        if response.code != 200:
            return None, await self._error_result(response)
        sink.accepted()
        content_types = response.headers.getRawHeaders("content-type") or [""]
        stream = EventStreamSplitter(
            sink,
            is_event_stream=content_types[0].startswith("text/event-stream"),
            resumed=resumed,
            prompt_bytes=prompt_bytes,
        )
        failure = await self._client.read(
            response, stream.feed, self._stall_timeout_s
        )
        return stream, stream.result(failure)

    async def _error_result(self, response: Any) -> EngineResult:
        parts: list[bytes] = []
        await self._client.read(response, parts.append, self._stall_timeout_s)
        detail = b"".join(parts)[:300].decode("utf-8", "replace")
        if response.code >= 500 and response.code != 503:
            return EngineBroken(False, 0, f"status {response.code}: {detail}")
        wait_s = retry_after_s(response.headers)
        return EngineRefused(response.code, detail, wait_s)

    async def cancel(self, request: RequestId) -> bool:
        """Stops a request; True when the engine confirmed."""
        result = await self._client.request(
            "DELETE",
            f"{self._base_url}/v1/requests",
            params={"request": request},
        )
        return _succeeded(result)

    async def load(self) -> LoadReport | None:
        """Returns the newest load report, None when unreachable."""
        result = await self._client.request("GET", f"{self._base_url}/v1/load")
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            body = json.loads(result.body)
            return LoadReport(
                target=self._target,
                running=int(body["running"]),
                waiting=int(body["waiting"]),
                kv_used=float(body["kv_used"]),
                tokens_per_s=float(body["tokens_per_s"]),
                models=tuple(ModelName(name) for name in body["models"]),
                leaving=bool(body["leaving"]),
                age_s=float(body.get("age_s", 0.0)),
            )
        except Exception:
            return None

    async def cache_events(self, since: int) -> CacheEvents | None:
        """Returns the events from sequence number ``since`` on."""
        result = await self._client.request(
            "GET",
            f"{self._base_url}/v1/cache-events",
            params={"since": str(since)},
        )
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            body = json.loads(result.body)
            events = tuple(
                CacheEvent(
                    int(item["sequence"]),
                    ProgramId(item["program"]),
                    int(item["tokens"]),
                )
                for item in body["events"]
            )
            return CacheEvents(events, int(body["next_sequence"]))
        except Exception:
            return None

    async def order(self, order: EngineOrder) -> OrderResponse:
        """Sends an order to the engine."""
        fields = {
            "kind": order.kind.value,
            "name": order.name,
            "fence": order.fence,
        }
        result = await self._client.request(
            "POST",
            f"{self._base_url}/v1/orders",
            headers=_JSON,
            body=json.dumps(fields).encode(),
        )
        if isinstance(result, NotSent):
            return OrderResponse(OrderResult.REFUSED, result.detail)
        if isinstance(result, NoResponse) or result.status >= 500:
            return OrderResponse(OrderResult.UNKNOWN, str(result))
        detail = result.body[:300].decode("utf-8", "replace")
        if result.status == 200:
            return OrderResponse(OrderResult.DONE, detail)
        if result.status == 409:
            return OrderResponse(OrderResult.STALE, detail)
        return OrderResponse(OrderResult.REFUSED, detail)

    async def held(self) -> tuple[HeldMemory, ...] | None:
        """Lists the memory the engine holds, None when unreachable."""
        result = await self._client.request("GET", f"{self._base_url}/v1/held")
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            return tuple(
                HeldMemory(
                    ProgramId(item["program"]),
                    item["kind"],
                    item["name"],
                    int(item["tokens"]),
                )
                for item in json.loads(result.body)["held"]
            )
        except Exception:
            return None

    async def release(self, program: ProgramId) -> bool:
        """Releases a program's memory; True when confirmed."""
        result = await self._client.request(
            "DELETE",
            f"{self._base_url}/v1/held",
            params={"program": program},
        )
        return _succeeded(result)

    async def export_cache(self, program: ProgramId) -> bytes | None:
        """Exports a program's KV cache, None when there is none."""
        result = await self._client.request(
            "GET",
            f"{self._base_url}/v1/cache",
            params={"program": program},
            timeout_s=TRANSFER_TIMEOUT_S,
        )
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        return result.body

    async def import_cache(self, program: ProgramId, data: bytes) -> bool:
        """Imports a KV cache; True when the engine accepted it."""
        result = await self._client.request(
            "PUT",
            f"{self._base_url}/v1/cache",
            params={"program": program},
            body=data,
            timeout_s=TRANSFER_TIMEOUT_S,
        )
        return _succeeded(result)


class _DiscardingSink(EngineSink):
    """Discards a stream that is read only for its token counts."""

    def accepted(self) -> None:
        """Ignores the acceptance."""

    def chunk(self, data: bytes) -> None:
        """Discards the bytes."""


def _succeeded(result: HttpResult) -> bool:
    return isinstance(result, HttpResponse) and result.status in (200, 204)


def _request_headers(request: EngineRequest) -> dict[str, str]:
    return {
        "content-type": "application/json",
        "lycheestall-request": request.request,
        "lycheestall-program": request.program,
        "lycheestall-call": str(request.number),
        "lycheestall-priority": str(request.priority),
        "lycheestall-deadline": str(request.deadline_s),
        "lycheestall-session": request.session,
        "lycheestall-epoch": str(request.epoch),
    }
