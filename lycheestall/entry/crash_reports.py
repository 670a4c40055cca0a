"""Requests that crash the targets that run them, over all VMs."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from .http_messages import Request
from .store import KeyedRecord, KeyedWrite
from .token_ledger import HolderId

__all__ = ["CrashReports", "fingerprint"]

MAX_CRASHES = 3
"""Crashes after which a request is refused."""

MAX_KNOWN = 10_000
"""Requests remembered; the oldest are forgotten first."""

_CRASH = "c"
_SEPARATOR = "\x1f"


def fingerprint(request: Request) -> str:
    """Returns what a request and its repeats have in common."""
    digest = xxhash.xxh3_128()
    digest.update(request.method)
    digest.update(b"\0" + request.url + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class CrashReports:
    """Counts the targets that were lost while they ran a request.

    Args:
        holder: This VM's name in the ledger.
    """

    def __init__(self, holder: HolderId) -> None:
        self._holder = holder
        self._by_fingerprint: OrderedDict[str, dict[str, int]] = OrderedDict()
        self._due: set[str] = set()

    def crashed(self, request: str) -> int:
        """Counts a crash seen by this VM; returns the sum over all VMs."""
        by_holder = self._entry(request)
        by_holder[self._holder] = by_holder.get(self._holder, 0) + 1
        self._due.add(request)
        return sum(by_holder.values())

    def refused(self, request: str) -> bool:
        """Returns whether no target may run the request any more."""
        by_holder = self._by_fingerprint.get(request)
        return by_holder is not None and sum(by_holder.values()) >= MAX_CRASHES

    def take_writes(self) -> list[KeyedWrite]:
        """Returns the reports that other VMs do not have yet."""
        writes: list[KeyedWrite] = []
        for request in self._due:
            count = self._entry(request).get(self._holder, 0)
            key = _SEPARATOR.join((_CRASH, request, self._holder))
            writes.append(KeyedWrite(key.encode(), str(count).encode()))
        self._due.clear()
        return writes

    def write_failed(self, writes: list[KeyedWrite]) -> None:
        """Marks reports as due again."""
        for write in writes:
            self._due.add(write.key.decode().split(_SEPARATOR)[1])

    def pending(self) -> bool:
        """Returns whether reports are due."""
        return bool(self._due)

    def apply(self, record: KeyedRecord) -> None:
        """Takes a record of the ledger."""
        parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
        if len(parts) != 3 or parts[0] != _CRASH or parts[2] == self._holder:
            return
        if record.value is None or not record.value.isdigit():
            return
        self._entry(parts[1])[parts[2]] = int(record.value)

    def _entry(self, request: str) -> dict[str, int]:
        entry = self._by_fingerprint.get(request)
        if entry is None:
            entry = {}
            self._by_fingerprint[request] = entry
            if len(self._by_fingerprint) > MAX_KNOWN:
                self._by_fingerprint.popitem(last=False)
        return entry
