"""Requests that crash the targets which run them."""

from __future__ import annotations

from typing import Any, cast

from .fold import FoldPart, Verdict
from .ids import TargetId
from .records import CrashReported

__all__ = ["Crashes"]

QUARANTINE_CRASHES = 2
MAX_FINGERPRINTS = 10_000


class Crashes(FoldPart):
    """Targets that crashed on each request, by its fingerprint.

    Holds the newest ``MAX_FINGERPRINTS`` requests.
    """

    def __init__(self) -> None:
        self._targets_by_fingerprint: dict[bytes, list[TargetId]] = {}

    def report(self, body: CrashReported) -> Verdict:
        """Takes a report of a live session."""
        known = self._targets_by_fingerprint.pop(body.fingerprint, [])
        if len(known) < QUARANTINE_CRASHES:
            known.append(body.target)
        self._targets_by_fingerprint[body.fingerprint] = known
        if len(self._targets_by_fingerprint) > MAX_FINGERPRINTS:
            oldest = next(iter(self._targets_by_fingerprint))
            del self._targets_by_fingerprint[oldest]
        return Verdict(True)

    def targets(self, fingerprint: bytes) -> frozenset[TargetId]:
        """Returns the targets that crashed on a request."""
        return frozenset(self._targets_by_fingerprint.get(fingerprint, ()))

    def quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether no target may run the request any more.

        A second crash is enough, on the same target or on another.
        """
        crashed = self._targets_by_fingerprint.get(fingerprint, ())
        return len(crashed) >= QUARANTINE_CRASHES

    def dump(self) -> object:
        """Returns the state as primitives."""
        return [list(item) for item in self._targets_by_fingerprint.items()]

    def load(self, state: object) -> None:
        """Replaces the state."""
        self._targets_by_fingerprint = {}
        for fingerprint, targets in cast(list[Any], state):
            self._targets_by_fingerprint[fingerprint] = list(targets)
