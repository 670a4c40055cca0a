"""Client of the platform's log service: HTTP with CBOR bodies."""

from __future__ import annotations

from collections.abc import Sequence

import cbor2

from ._http_client import HttpClient, HttpResponse
from .ids import Offset, StreamName
from .platform_services import (
    Appended,
    AppendResult,
    AppendUnknown,
    LogEntry,
    LogService,
    ReadBatch,
    ReadFailed,
    ReadResult,
    ReadStartExpired,
)

__all__ = ["HttpLogService"]

APPEND_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
HTTP_GONE = 410


class HttpLogService(LogService):
    """Appends and reads records with HTTP requests.

    Args:
        client: Sends the requests.
        base_url: The service's address, without a trailing slash.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._records_url = f"{base_url}/v1/records"

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends payloads atomically as consecutive records."""
        result = await self._client.request(
            "POST",
            self._records_url,
            params={"stream": stream},
            headers={"content-type": "application/cbor"},
            body=cbor2.dumps(list(payloads)),
            timeout_s=APPEND_TIMEOUT_S,
        )
        if not isinstance(result, HttpResponse):
            return AppendUnknown(result.detail)
        if result.status != 200:
            return AppendUnknown(f"status {result.status}")
        try:
            return Appended(Offset(int(cbor2.loads(result.body)["first"])))
        except Exception as error:
            return AppendUnknown(f"unreadable response: {error!r}")

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads entries starting at ``start``; long-polls for ``wait_s``."""
        result = await self._client.request(
            "GET",
            self._records_url,
            params={
                "stream": stream,
                "start": str(start),
                "limit": str(limit),
                "wait": str(wait_s),
            },
            timeout_s=wait_s + READ_TIMEOUT_S,
        )
        if not isinstance(result, HttpResponse):
            return ReadFailed(result.detail)
        try:
            return _parse_read_response(result)
        except Exception as error:
            return ReadFailed(f"unreadable response: {error!r}")


def _parse_read_response(response: HttpResponse) -> ReadResult:
    if response.status not in (200, HTTP_GONE):
        return ReadFailed(f"status {response.status}")
    body = cbor2.loads(response.body)
    first = Offset(int(body["first_retained"]))
    end = Offset(int(body["end"]))
    if response.status == HTTP_GONE:
        return ReadStartExpired(first, end)
    entries = tuple(
        LogEntry(Offset(int(offset)), bytes(payload))
        for offset, payload in body["entries"]
    )
    return ReadBatch(entries, first, end)
