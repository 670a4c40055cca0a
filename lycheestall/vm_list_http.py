"""HTTP client of the platform's VM list."""

from __future__ import annotations

import json
from typing import Any

from ._http_client import HttpClient, HttpResponse
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

__all__ = ["HttpVmList", "vm_entry_from_json", "vm_entry_to_json"]


class HttpVmList(VmList):
    """Fetches the VM list as JSON.

    Args:
        client: Sends the requests.
        base_url: The service's URL, without a trailing slash.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._url = f"{base_url}/v1/vms"

    async def fetch(self) -> VmListResult:
        """Returns the newest snapshot that the platform offers."""
        result = await self._client.request("GET", self._url)
        if not isinstance(result, HttpResponse):
            return VmListFailed(result.detail)
        if result.status != 200:
            return VmListFailed(f"status {result.status}")
        try:
            body = json.loads(result.body)
            entries = tuple(vm_entry_from_json(item) for item in body["vms"])
            return VmListing(int(body["version"]), entries)
        except Exception as error:
            return VmListFailed(f"invalid response: {error!r}")


def vm_entry_from_json(item: dict[str, Any]) -> VmEntry:
    """Converts the JSON object of a VM to an entry.

    Args:
        item: The decoded JSON object.

    Raises:
        KeyError: A field is missing.
        ValueError: A field has an invalid value.
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


def vm_entry_to_json(entry: VmEntry) -> dict[str, Any]:
    """Converts an entry to a JSON object.

    Args:
        entry: An entry of the VM list.
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
