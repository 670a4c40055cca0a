"""HTTP client of the platform's weight store."""

from __future__ import annotations

import json

from ._http_client import HttpClient, HttpResponse
from .ids import TargetId
from .platform_services import WeightGrant, WeightStore

__all__ = ["HttpWeightStore"]

RETRY_AFTER_S = 1.0


class HttpWeightStore(WeightStore):
    """Requests grants from the weight store.

    Args:
        client: Sends the requests.
        base_url: The service's URL, without a trailing slash.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._url = f"{base_url}/v1/grants"

    async def request(self, name: str, target: TargetId) -> WeightGrant:
        """Requests permission to load a model, an adapter or a version."""
        result = await self._client.request(
            "POST",
            self._url,
            headers={"content-type": "application/json"},
            body=json.dumps({"name": name, "target": target}).encode(),
        )
        if not isinstance(result, HttpResponse) or result.status != 200:
            return WeightGrant(False, RETRY_AFTER_S)
        try:
            body = json.loads(result.body)
            return WeightGrant(
                bool(body["granted"]), float(body["retry_after_s"])
            )
        except Exception:
            return WeightGrant(False, RETRY_AFTER_S)
