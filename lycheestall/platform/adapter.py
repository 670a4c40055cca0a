"""Assembles the platform-specific components of an entry VM."""

from __future__ import annotations

from typing import Any

from ..entry.entry_process import PlatformAdapter
from ..entry.vm_settings import EntrySettings
from .headers import PlatformHeaders
from .store_client import HttpStore
from .store_records import PlatformRecordDecoder

__all__ = ["platform_adapter"]


def platform_adapter() -> PlatformAdapter:
    """Returns the platform-specific components of an entry VM."""
    return PlatformAdapter(
        create_store=_create_store,
        headers=PlatformHeaders(),
        decoder=PlatformRecordDecoder(),
    )


def _create_store(reactor: Any, settings: EntrySettings) -> HttpStore:
    return HttpStore(
        reactor,
        settings.store.host,
        settings.store.port,
        partitions=settings.store_partitions,
    )
