"""Tracks requests that crash targets, across all VMs."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from .http_messages import Request
from .record_numbers import decode_number
from .store import KeyedRecord, KeyedWrite
from .token_ledger import HolderId

__all__ = ["CrashReports", "fingerprint_request"]

MAX_CRASHES = 3
"""Crashes, summed over all VMs, after which a request is blocked."""

MAX_TRACKED_REQUESTS = 10_000
"""Requests tracked; the oldest are dropped first."""

_KEY_PREFIX = "c"
_SEPARATOR = "\x1f"


def fingerprint_request(request: Request) -> str:
    """Returns a digest that is the same for a request and its repeats."""
    digest = xxhash.xxh3_128()
    digest.update(request.method)
    digest.update(b"\0" + request.url + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class CrashReports:
    """Counts the targets that were lost while running each request.

    Every VM writes its own counts to the ledger and sums them over all
    VMs.

    Args:
        holder: This VM's ID in the ledger.
    """

    def __init__(self, holder: HolderId) -> None:
        self._holder = holder
        self._by_fingerprint: OrderedDict[str, dict[str, int]] = OrderedDict()
        self._unwritten: set[str] = set()

    def record_crash(self, fingerprint: str) -> int:
        """Counts a crash seen by this VM; returns the sum over all VMs."""
        by_holder = self._counts(fingerprint)
        by_holder[self._holder] = by_holder.get(self._holder, 0) + 1
        self._unwritten.add(fingerprint)
        return sum(by_holder.values())

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether the request must not be sent to any target."""
        by_holder = self._by_fingerprint.get(fingerprint)
        return by_holder is not None and sum(by_holder.values()) >= MAX_CRASHES

    def take_writes(self) -> list[KeyedWrite]:
        """Returns the counts not yet written and marks them as written."""
        writes: list[KeyedWrite] = []
        for fingerprint in tuple(self._unwritten):
            count = self._counts(fingerprint).get(self._holder, 0)
            key = _SEPARATOR.join((_KEY_PREFIX, fingerprint, self._holder))
            writes.append(KeyedWrite(key.encode(), str(count).encode()))
        self._unwritten.clear()
        return writes

    def write_failed(self, writes: list[KeyedWrite]) -> None:
        """Marks counts as not yet written after a failed write."""
        for write in writes:
            fingerprint = write.key.decode().split(_SEPARATOR)[1]
            if fingerprint in self._by_fingerprint:
                self._unwritten.add(fingerprint)

    def has_due_records(self) -> bool:
        """Returns whether any counts are not yet written."""
        return bool(self._unwritten)

    def apply(self, record: KeyedRecord) -> None:
        """Applies a record of the ledger."""
        parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
        if (
            len(parts) != 3
            or parts[0] != _KEY_PREFIX
            or parts[2] == self._holder
        ):
            return
        count = decode_number(record.value or b"")
        if count is None:
            return
        self._counts(parts[1])[parts[2]] = count

    def _counts(self, fingerprint: str) -> dict[str, int]:
        counts = self._by_fingerprint.get(fingerprint)
        if counts is None:
            counts = {}
            self._by_fingerprint[fingerprint] = counts
            if len(self._by_fingerprint) > MAX_TRACKED_REQUESTS:
                oldest, _ = self._by_fingerprint.popitem(last=False)
                self._unwritten.discard(oldest)
        return counts
