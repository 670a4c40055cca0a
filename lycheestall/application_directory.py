"""Chooses among the applications and tool services of a cell."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .application_picker import ApplicationPicker, ApplicationTarget
from .ids import TargetId
from .outcomes import Reason, Refused, Step
from .platform_services import VmEntry, VmListing, VmRole, VmState
from .targets import ActionDone, ActionResult, Application

__all__ = ["ApplicationDirectory", "ExclusionCheck"]

NO_TARGET_RETRY_S = 2.0
ERROR_DECAY = 0.8

ExclusionCheck = Callable[[TargetId, str, float], str]
"""Returns why rules exclude a target, or an empty string.

Gets the target, its group and the share of its recent calls that failed.
"""


@dataclass(slots=True)
class _TargetEntry:
    vm: VmEntry
    application: Application
    leaving: bool = False
    in_flight: int = 0
    error_share: float = 0.0


class ApplicationDirectory(ApplicationPicker):
    """Chooses the target with the fewest calls in flight from this VM.

    Args:
        factory: Creates a target's client from its VM list entry.
        exclusion_reason: Returns why the rules exclude a target.
    """

    def __init__(
        self,
        *,
        factory: Callable[[VmEntry], Application],
        exclusion_reason: ExclusionCheck,
    ) -> None:
        self._factory = factory
        self._exclusion_reason = exclusion_reason
        self._version = -1
        self._entry_by_target: dict[TargetId, _TargetEntry] = {}

    def update(self, listing: VmListing) -> None:
        """Applies a snapshot of the VM list, unless it is out of date."""
        if listing.version <= self._version:
            return
        self._version = listing.version
        listed: set[TargetId] = set()
        for vm in listing.entries:
            if vm.role not in (VmRole.APPLICATION, VmRole.TOOL):
                continue
            listed.add(TargetId(vm.vm))
            self._add_or_update(vm)
        for target, entry in self._entry_by_target.items():
            if target not in listed:
                entry.leaving = True

    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> ApplicationTarget | Refused:
        """Returns a group's target with the fewest calls in flight."""
        best: tuple[int, TargetId] | None = None
        detail = f"no runner of {group!r} is known"
        for target, entry in self._entry_by_target.items():
            if entry.vm.group != group or target in avoid:
                continue
            if entry.leaving:
                detail = f"the runners of {group!r} are leaving"
                continue
            excluded_by = self._exclusion_reason(
                target, group, entry.error_share
            )
            if excluded_by:
                detail = excluded_by
                continue
            candidate = (entry.in_flight, target)
            if best is None or candidate < best:
                best = candidate
        if best is None:
            return Refused(
                Step.PLACE,
                Reason.NO_TARGET,
                retry_after_s=NO_TARGET_RETRY_S,
                detail=detail,
            )
        entry = self._entry_by_target[best[1]]
        entry.in_flight += 1
        return ApplicationTarget(best[1], entry.application)

    def find(self, target: TargetId) -> ApplicationTarget | None:
        """Returns a target by id, None if it is unknown."""
        entry = self._entry_by_target.get(target)
        if entry is None:
            return None
        return ApplicationTarget(target, entry.application)

    def record_result(self, target: TargetId, result: ActionResult) -> None:
        """Updates the error share of the target that ran a call."""
        entry = self._entry_by_target.get(target)
        if entry is None:
            return
        entry.in_flight = max(0, entry.in_flight - 1)
        succeeded = isinstance(result, ActionDone) and result.status < 500
        sample = 0.0 if succeeded else 1.0
        entry.error_share = (
            ERROR_DECAY * entry.error_share + (1 - ERROR_DECAY) * sample
        )

    def entries(self) -> Iterator[tuple[VmEntry, int, bool, float]]:
        """Yields each target's state, sorted by id.

        Yields:
            The VM list entry, the calls in flight, whether the target is
            leaving and its error share.
        """
        for target in sorted(self._entry_by_target):
            entry = self._entry_by_target[target]
            yield (entry.vm, entry.in_flight, entry.leaving, entry.error_share)

    def _add_or_update(self, vm: VmEntry) -> None:
        target = TargetId(vm.vm)
        leaving = vm.state is VmState.LEAVING
        known = self._entry_by_target.get(target)
        if known is None or (known.vm.host, known.vm.port) != (
            vm.host,
            vm.port,
        ):
            self._entry_by_target[target] = _TargetEntry(
                vm, self._factory(vm), leaving
            )
            return
        known.vm = vm
        known.leaving = leaving
