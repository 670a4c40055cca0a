"""Puts the adapter's parts together."""

from __future__ import annotations

from typing import Any

from ..entry.entry_process import EntryAdapter
from ..entry.vm_settings import Address
from .headers import PlatformHeaders
from .store_client import HttpStore
from .store_records import PlatformRecords

__all__ = ["platform_adapter"]


def platform_adapter() -> EntryAdapter:
    """Returns the platform's side of an entry VM."""
    return EntryAdapter(
        store=_store, headers=PlatformHeaders(), records=PlatformRecords()
    )


def _store(reactor: Any, address: Address) -> HttpStore:
    return HttpStore(reactor, address.host, address.port)
