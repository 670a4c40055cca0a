"""Quarantines requests that crash the targets they run on."""

from __future__ import annotations

from collections.abc import Callable

from .ids import TargetId

__all__ = ["Quarantine"]

CRASH_LIMIT = 2


class Quarantine:
    """Counts crashes by request fingerprint and isolates suspects.

    A request that was running when its target crashed is a suspect. A
    target runs only one suspect of this VM at a time, so that a second
    crash identifies the request; its fingerprint is then quarantined.
    Crash reports of other VMs count through ``reported_quarantined``.
    """

    def __init__(
        self, *, reported_quarantined: Callable[[bytes], bool]
    ) -> None:
        """Creates the state without suspects.

        Args:
            reported_quarantined: Whether the reports of all VMs quarantine a
                fingerprint.
        """
        self._reported_quarantined = reported_quarantined
        self._targets_by_fingerprint: dict[bytes, list[TargetId]] = {}
        self._suspect_by_target: dict[TargetId, bytes] = {}

    def record_crash(self, fingerprint: bytes, target: TargetId) -> None:
        """Records a crash of a target that ran the request."""
        targets = self._targets_by_fingerprint.setdefault(fingerprint, [])
        targets.append(target)

    def blocks(self, fingerprint: bytes) -> bool:
        """Returns whether the request may not run on any target."""
        own = self._targets_by_fingerprint.get(fingerprint, ())
        return len(own) >= CRASH_LIMIT or self._reported_quarantined(
            fingerprint
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether the request was running during a crash."""
        return fingerprint in self._targets_by_fingerprint

    def may_run(self, fingerprint: bytes, target: TargetId) -> bool:
        """Returns whether a request may be sent to a target now."""
        if not self.is_suspect(fingerprint):
            return True
        if target in self._targets_by_fingerprint[fingerprint]:
            return False
        running = self._suspect_by_target.get(target)
        return running is None or running == fingerprint

    def record_sent(self, fingerprint: bytes, target: TargetId) -> None:
        """Records that a request runs on a target, if it is a suspect."""
        if self.is_suspect(fingerprint):
            self._suspect_by_target[target] = fingerprint

    def record_ended(self, fingerprint: bytes, target: TargetId) -> None:
        """Records that a request no longer runs on a target."""
        if self._suspect_by_target.get(target) == fingerprint:
            del self._suspect_by_target[target]

    def clear(self, fingerprint: bytes) -> None:
        """Clears the suspicion after a complete answer."""
        self._targets_by_fingerprint.pop(fingerprint, None)
