"""Keeps a request that crashes its targets from reaching more of them."""

from __future__ import annotations

from collections.abc import Callable

from .ids import TargetId

__all__ = ["Quarantine"]

CRASH_LIMIT = 2


class Quarantine:
    """Counts crashes by fingerprint and separates suspects.

    A request that was running when its target crashed is a suspect. A
    suspect runs beside no other suspect of this VM, so that a second
    crash points to one request; after it the fingerprint is quarantined.
    Other VMs' crash reports come through ``reported_quarantined``.
    """

    def __init__(
        self, *, reported_quarantined: Callable[[bytes], bool]
    ) -> None:
        """Starts without suspects.

        Args:
            reported_quarantined: Whether the reports of all VMs quarantine a
                fingerprint.
        """
        self._reported_quarantined = reported_quarantined
        self._targets_by_fingerprint: dict[bytes, list[TargetId]] = {}
        self._suspect_by_target: dict[TargetId, bytes] = {}

    def record_crash(self, fingerprint: bytes, target: TargetId) -> None:
        """Counts a crash of a target that ran the request."""
        targets = self._targets_by_fingerprint.setdefault(fingerprint, [])
        targets.append(target)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether no target may run the request any more."""
        own = self._targets_by_fingerprint.get(fingerprint, ())
        return len(own) >= CRASH_LIMIT or self._reported_quarantined(
            fingerprint
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether the request was running at a crash."""
        return fingerprint in self._targets_by_fingerprint

    def may_run(self, fingerprint: bytes, target: TargetId) -> bool:
        """Returns whether a request may go to a target now."""
        if not self.is_suspect(fingerprint):
            return True
        if target in self._targets_by_fingerprint[fingerprint]:
            return False
        running = self._suspect_by_target.get(target)
        return running is None or running == fingerprint

    def record_sent(self, fingerprint: bytes, target: TargetId) -> None:
        """Notes that a suspect runs on a target."""
        if self.is_suspect(fingerprint):
            self._suspect_by_target[target] = fingerprint

    def record_ended(self, fingerprint: bytes, target: TargetId) -> None:
        """Notes that a request no longer runs on a target."""
        if self._suspect_by_target.get(target) == fingerprint:
            del self._suspect_by_target[target]

    def clear(self, fingerprint: bytes) -> None:
        """Clears a request whose target gave a whole answer."""
        self._targets_by_fingerprint.pop(fingerprint, None)
