"""Tracks requests that crash targets, across all VMs."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from ...clock import Clock
from ..http_messages import Request
from ..store import KeyedRecord, KeyedWrite
from ..target_table import TargetProcess

__all__ = ["CrashReports", "fingerprint_request"]

MAX_CRASHES = 3
"""Target processes that a request crashes, after which it is blocked."""

MAX_TRACKED_REQUESTS = 10_000
"""Requests tracked; the oldest are dropped first."""

EVIDENCE_KEPT_S = 900.0
"""Seconds after which one crash of a request is forgotten, so that a request
that has met crashes by chance, or no longer causes any, is tried again."""

_KEY_PREFIX = "x"
_SEPARATOR = "\x1f"


def fingerprint_request(request: Request) -> str:
    """Returns a digest that is the same for a request and its repeats."""
    digest = xxhash.xxh3_128()
    digest.update(request.method)
    digest.update(b"\0" + request.url + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class CrashReports:
    """Knows which target processes have crashed while running each request.

    Every VM that sees a crash writes it to the ledger, under a key that names
    the request and the process: however many repeats of a request a process
    was running, and whichever VMs have sent them, its crash counts once. A
    request that is answered crashes no targets; the VM that sees that deletes
    what speaks against it. Counts of VMs of 3c67932, under other keys, are not
    read: a connection that was reset was a crash to them.

    Args:
        clock: Tells the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_fingerprint: OrderedDict[str, dict[bytes, float]] = (
            OrderedDict()
        )
        self._unwritten: dict[bytes, KeyedWrite] = {}

    def record_crash(self, fingerprint: str, process: TargetProcess) -> int:
        """Notes a crash that this VM has seen.

        Args:
            fingerprint: The request.
            process: The target's process.

        Returns:
            The number of processes that the request has crashed.
        """
        key = _key(fingerprint, process)
        self._add(fingerprint, key)
        self._write(KeyedWrite(key, b"1"))
        return len(self._by_fingerprint[fingerprint])

    def request_answered(self, fingerprint: str) -> bool:
        """Withdraws what speaks against a request that a target has answered.

        Args:
            fingerprint: The request.

        Returns:
            Whether anything did.
        """
        crashes = self._by_fingerprint.pop(fingerprint, None)
        if crashes is None:
            return False
        for key in crashes:
            self._write(KeyedWrite(key, None))
        return True

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether the request must not be sent to any target."""
        crashes = self._by_fingerprint.get(fingerprint)
        if crashes is None:
            return False
        self._forget_oldest(fingerprint, crashes)
        return len(crashes) >= MAX_CRASHES

    def take_writes(self) -> list[KeyedWrite]:
        """Returns the records not yet written and marks them as written."""
        writes = list(self._unwritten.values())
        self._unwritten.clear()
        return writes

    def write_failed(self, writes: list[KeyedWrite]) -> None:
        """Marks records as not yet written after a failed write."""
        for write in writes:
            self._unwritten.setdefault(write.key, write)

    def has_due_records(self) -> bool:
        """Returns whether any records are not yet written."""
        return bool(self._unwritten)

    def apply(self, record: KeyedRecord) -> None:
        """Applies a record of the ledger."""
        parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
        if len(parts) != 3 or parts[0] != _KEY_PREFIX:
            return
        if record.value is not None:
            self._add(parts[1], record.key)
            return
        crashes = self._by_fingerprint.get(parts[1], {})
        crashes.pop(record.key, None)
        if not crashes:
            self._by_fingerprint.pop(parts[1], None)

    def _write(self, write: KeyedWrite) -> None:
        self._unwritten[write.key] = write
        if len(self._unwritten) > MAX_TRACKED_REQUESTS:
            del self._unwritten[next(iter(self._unwritten))]

    def _add(self, fingerprint: str, key: bytes) -> None:
        crashes = self._by_fingerprint.setdefault(fingerprint, {})
        crashes.setdefault(key, self._clock.seconds())
        if len(self._by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._by_fingerprint.popitem(last=False)

    def _forget_oldest(
        self, fingerprint: str, crashes: dict[bytes, float]
    ) -> None:
        # One at a time, so that a request that still crashes targets gets one
        # more of them, and not as many as at first.
        now = self._clock.seconds()
        key, noted_at = next(iter(crashes.items()))
        if now - noted_at < EVIDENCE_KEPT_S:
            return
        del crashes[key]
        self._write(KeyedWrite(key, None))
        for other in crashes:
            crashes[other] = now


def _key(fingerprint: str, process: TargetProcess) -> bytes:
    # A digest, since keys in the store are at most 255 bytes long.
    text = f"{process.target}{_SEPARATOR}{process.started_ms}"
    process_hash = xxhash.xxh3_64_hexdigest(text.encode())
    return _SEPARATOR.join((_KEY_PREFIX, fingerprint, process_hash)).encode()
