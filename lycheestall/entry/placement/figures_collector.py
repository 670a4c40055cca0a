"""Sums up what the VMs of a group report about targets."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ...ids import TargetId
from ..token_ledger import HolderId
from .figure_messages import MAX_ROWS, ONE_VM, ShareFigures
from .speed_estimates import SpeedEstimates, SpeedKey, SpeedSums

__all__ = ["FiguresCollector"]

MAX_AGE_S = 3.0
"""Age from which a VM's or a group's loads no longer count."""

MAX_IDLE_AGE_S = 25.0
"""The same for a VM that had nothing running. It reports seldom, and has to
be counted as idle rather than as not heard."""


@dataclass(frozen=True, slots=True)
class _Loads:
    """Running requests as reported.

    Attributes:
        running: Their numbers by target.
        heard: Number of VMs that they count.
        at: Time that they are of.
    """

    running: Mapping[TargetId, int]
    heard: int
    at: float


class FiguresCollector:
    """Keeps what a group's VMs report, and the sums of other groups.

    Every VM can collect; which one does, the reporters decide.

    Args:
        holder: This VM.
    """

    def __init__(self, holder: HolderId) -> None:
        self._holder = holder
        self._loads_by_vm: dict[HolderId, _Loads] = {}
        self._speeds = SpeedEstimates()
        self._loads_by_group: dict[int, _Loads] = {}
        self._speeds_by_group: dict[int, Mapping[SpeedKey, SpeedSums]] = {}

    def add(self, message: ShareFigures, now: float) -> None:
        """Adds the figures of a VM of the group, or of another group."""
        loads = _Loads(message.loads, message.heard, now - message.age_s)
        if message.group != ONE_VM:
            self._loads_by_group[message.group] = loads
            self._speeds_by_group[message.group] = message.speeds
            return
        self._loads_by_vm[message.holder] = loads
        for key, sums in message.speeds.items():
            self._speeds.add(key, sums, now)

    def hears_vms(self, now: float) -> bool:
        """Returns whether VMs of the group report to this one."""
        self._drop_expired(now)
        return bool(self._loads_by_vm)

    def group_figures(self, group: int, now: float) -> ShareFigures:
        """Returns the sums of this VM's group for other groups.

        Args:
            group: Number of the group.
            now: Current time.
        """
        self._drop_expired(now)
        return self._sum_up(
            group, self._loads_by_vm.values(), self._group_speeds(now), now
        )

    def all_figures(
        self, now: float, *, first: Iterable[TargetId] = ()
    ) -> ShareFigures:
        """Returns the sums of all groups that were heard of.

        Args:
            now: Current time.
            first: Targets that the receiver uses, which come first if there
                are too many.
        """
        self._drop_expired(now)
        speeds = self._group_speeds(now)
        for by_key in self._speeds_by_group.values():
            for key, sums in by_key.items():
                speeds.setdefault(key, SpeedSums()).add(sums)
        loads = [*self._loads_by_vm.values(), *self._loads_by_group.values()]
        # Only the reply to a report: never passed to ``add``.
        return self._sum_up(ONE_VM, loads, speeds, now, first=first)

    def _group_speeds(self, now: float) -> dict[SpeedKey, SpeedSums]:
        speeds: dict[SpeedKey, SpeedSums] = {}
        for key in self._speeds:
            sums = self._speeds.get(key, now)
            assert sums is not None
            total = speeds[key] = SpeedSums()
            total.add(sums)
        return speeds

    def _sum_up(
        self,
        group: int,
        loads: Iterable[_Loads],
        speeds: Mapping[SpeedKey, SpeedSums],
        now: float,
        *,
        first: Iterable[TargetId] = (),
    ) -> ShareFigures:
        running: dict[TargetId, int] = {}
        heard = weighed = 0
        age_sum = 0.0
        for item in loads:
            heard += item.heard
            if item.running:
                weighed += item.heard
                age_sum += item.heard * (now - item.at)
            for target, number in item.running.items():
                running[target] = running.get(target, 0) + number
        wanted = set(first)
        ranked_loads = sorted(
            running.items(), key=lambda row: (row[0] not in wanted, -row[1])
        )
        ranked_speeds = sorted(
            speeds.items(),
            key=lambda row: (row[0].target not in wanted, -row[1].weight),
        )
        return ShareFigures(
            self._holder,
            group,
            heard,
            age_sum / max(weighed, 1),
            dict(ranked_loads[:MAX_ROWS]),
            dict(ranked_speeds[:MAX_ROWS]),
        )

    def _drop_expired(self, now: float) -> None:
        oldest = now - MAX_AGE_S
        vms = self._loads_by_vm
        oldest_idle = now - MAX_IDLE_AGE_S
        for holder, loads in list(vms.items()):
            if loads.at < (oldest if loads.running else oldest_idle):
                del vms[holder]
        groups = self._loads_by_group
        for group in [g for g, loads in groups.items() if loads.at < oldest]:
            del groups[group]
            del self._speeds_by_group[group]
