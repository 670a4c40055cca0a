"""Counts target crashes per request, to quarantine such requests."""

from __future__ import annotations

from typing import Any, cast

from .fold import FoldPart, Verdict
from .ids import TargetId
from .records import CrashReported

__all__ = ["Crashes"]

QUARANTINE_CRASHES = 2
MAX_FINGERPRINTS = 10_000


class Crashes(FoldPart):
    """The targets that crashed while running each request.

    Requests are identified by fingerprint; only the most recently
    reported ``MAX_FINGERPRINTS`` are kept.
    """

    def __init__(self) -> None:
        self._targets_by_fingerprint: dict[bytes, list[TargetId]] = {}

    def report(self, body: CrashReported) -> Verdict:
        """Applies a crash report of a live session."""
        known = self._targets_by_fingerprint.pop(body.fingerprint, [])
        if len(known) < QUARANTINE_CRASHES:
            known.append(body.target)
        self._targets_by_fingerprint[body.fingerprint] = known
        if len(self._targets_by_fingerprint) > MAX_FINGERPRINTS:
            oldest = next(iter(self._targets_by_fingerprint))
            del self._targets_by_fingerprint[oldest]
        return Verdict(True)

    def targets(self, fingerprint: bytes) -> frozenset[TargetId]:
        """Returns the targets that crashed while running a request."""
        return frozenset(self._targets_by_fingerprint.get(fingerprint, ()))

    def quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether no target may run the request any more.

        Two crashes are enough, on the same target or on different ones.
        """
        crashed = self._targets_by_fingerprint.get(fingerprint, ())
        return len(crashed) >= QUARANTINE_CRASHES

    def dump(self) -> object:
        """Returns the state as serializable values."""
        return [list(item) for item in self._targets_by_fingerprint.items()]

    def load(self, state: object) -> None:
        """Replaces the state by one that ``dump`` returned."""
        self._targets_by_fingerprint = {}
        for fingerprint, targets in cast(list[Any], state):
            self._targets_by_fingerprint[fingerprint] = list(targets)
