"""Chooses the target of a request."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import xxhash

from ..ejection import OutlierEjection
from ..ids import TargetId
from .configuration import ServiceId
from .kind_times import KindTimes
from .target_speeds import SlowAnswers, TargetSpeeds
from .target_table import TargetEntry, TargetTable

__all__ = ["TargetChooser"]

AFFINITY_SLACK = 1
"""Own requests by which a warm engine may exceed the least loaded one."""


class TargetChooser:
    """Chooses by affinity, load and recent failures.

    Requests with an affinity key go to the same target from every VM as
    long as it is not much busier than others. The rest goes to the
    target with the fewest requests of this VM, by a hash of the request
    among equals, so that VMs do not move in step.

    Args:
        table: The registered targets.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._ejection = OutlierEjection()
        self._running: dict[TargetId, int] = {}
        self._speeds = TargetSpeeds()

    @property
    def kinds(self) -> KindTimes:
        """How long answers of each kind usually take."""
        return self._speeds.kinds

    def choose(
        self,
        service: ServiceId,
        *,
        affinity: str | None,
        tie_break: bytes,
        avoid: Collection[TargetId],
        now: float,
    ) -> TargetEntry | None:
        """Returns a target, None if there is none to ask.

        Args:
            service: The service.
            affinity: What requests with a common prompt share.
            tie_break: Spreads requests over equal targets.
            avoid: Targets that this request has been to.
            now: The time.
        """
        entries = [
            entry
            for entry in self._table.usable(service)
            if entry.target not in avoid
        ]
        if not entries:
            return None
        usable = set(self._ejection.usable([e.target for e in entries], now))
        entries = [entry for entry in entries if entry.target in usable]
        slow = self._speeds.slow([e.target for e in entries], now)
        entries = [e for e in entries if e.target not in slow]
        least = min(self._running.get(e.target, 0) for e in entries)
        if affinity is not None:
            slack = AFFINITY_SLACK
            seed = affinity.encode()
        else:
            slack = 0
            seed = tie_break
        best: TargetEntry | None = None
        best_weight = -1
        for entry in entries:
            if self._running.get(entry.target, 0) > least + slack:
                continue
            weight = xxhash.xxh3_64_intdigest(seed + entry.target.encode())
            if weight > best_weight:
                best, best_weight = entry, weight
        return best

    def can_choose(
        self, service: ServiceId, *, avoid: Collection[TargetId]
    ) -> bool:
        """Returns whether there is a target to ask.

        Args:
            service: The service.
            avoid: Targets that are not to be asked.
        """
        return any(
            entry.target not in avoid for entry in self._table.usable(service)
        )

    def sent(self, target: TargetId) -> None:
        """Counts a request as running."""
        self._running[target] = self._running.get(target, 0) + 1
        self._ejection.record_sent(target)

    def ended(self, target: TargetId) -> None:
        """Counts a request as over, whatever came of it."""
        running = self._running.get(target, 0) - 1
        if running > 0:
            self._running[target] = running
        else:
            self._running.pop(target, None)
        self._ejection.probe_inconclusive(target)

    def answered(
        self, target: TargetId, kind: str, took_s: float, now: float
    ) -> None:
        """Notes that a target gave an answer.

        Args:
            target: The target.
            kind: What kind of request it was; kinds take their own time.
            took_s: Seconds until its answer or first event.
            now: The time.
        """
        self._ejection.record_answer(target)
        self._speeds.answered(target, kind, took_s, now)

    def unanswered(
        self, target: TargetId, kind: str, waited_s: float, now: float
    ) -> None:
        """Notes that no answer came while somebody waited for it.

        Args:
            target: The target.
            kind: What kind of request it was.
            waited_s: Seconds waited.
            now: The time.
        """
        self._speeds.unanswered(target, kind, waited_s, now)

    def slow_targets(self, now: float) -> set[TargetId]:
        """Returns the targets of all services that are left out as slow."""
        slow: set[TargetId] = set()
        for service in self._table.services():
            targets = [e.target for e in self._table.usable(service)]
            slow |= self._speeds.slow(targets, now)
        return slow

    def take_slow_answers(self) -> tuple[SlowAnswers, ...]:
        """Returns very late answers since the last call, for other VMs."""
        return self._speeds.take_slow_answers()

    def heard_slow(self, seen: Iterable[SlowAnswers], now: float) -> None:
        """Takes slow answers that another VM has seen."""
        for slow in seen:
            if self._table.get(slow.target) is not None:
                self._speeds.heard(slow, now)

    def failed(self, target: TargetId, now: float, *, hard: bool) -> bool:
        """Notes a failure; returns whether the target is now ejected.

        Args:
            target: The target.
            now: The time.
            hard: Whether nothing listens at its address.
        """
        return self._ejection.record_failure(target, now, down=hard)

    def forget(self, target: TargetId) -> None:
        """Drops a target that is gone."""
        self._ejection.forget(target)
        self._speeds.forget(target)
