"""The platform's VM list over HTTP."""

from __future__ import annotations

import json
from typing import Any

from ._http_client import HttpAnswer, HttpClient
from .ids import VmId, ZoneId
from .platform_services import (
    VmEntry,
    VmList,
    VmListFailed,
    VmListing,
    VmListResult,
    VmRole,
    VmState,
)

__all__ = ["HttpVmList", "vm_entry", "vm_fields"]


class HttpVmList(VmList):
    """Fetches the list as JSON.

    Args:
        client: Sends the requests.
        base_url: The service's address, without a closing slash.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._url = f"{base_url}/v1/vms"

    async def fetch(self) -> VmListResult:
        """Returns the newest snapshot that the platform shows."""
        result = await self._client.request("GET", self._url)
        if not isinstance(result, HttpAnswer):
            return VmListFailed(result.detail)
        if result.status != 200:
            return VmListFailed(f"status {result.status}")
        try:
            body = json.loads(result.body)
            entries = tuple(vm_entry(item) for item in body["vms"])
            return VmListing(int(body["version"]), entries)
        except Exception as error:
            return VmListFailed(f"unreadable answer: {error!r}")


def vm_entry(item: dict[str, Any]) -> VmEntry:
    """Returns one entry of the list from its JSON object.

    Args:
        item: The JSON object.

    Raises:
        KeyError: A field is missing.
        ValueError: A field has a value that is not known.
    """
    return VmEntry(
        vm=VmId(item["vm"]),
        role=VmRole(item["role"]),
        zone=ZoneId(item["zone"]),
        host=item["host"],
        port=int(item["port"]),
        state=VmState(item.get("state", "live")),
        group=item.get("group", ""),
    )


def vm_fields(entry: VmEntry) -> dict[str, Any]:
    """Returns the JSON object of an entry.

    Args:
        entry: One entry of the list.
    """
    return {
        "vm": entry.vm,
        "role": entry.role.value,
        "zone": entry.zone,
        "host": entry.host,
        "port": entry.port,
        "state": entry.state.value,
        "group": entry.group,
    }
