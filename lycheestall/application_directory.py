"""The application runners and tool services of a cell."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .application_picker import ApplicationPicker, Runner
from .ids import TargetId
from .outcomes import Reason, Refused, Step
from .platform_services import VmEntry, VmListing, VmRole, VmState
from .targets import ActionAnswer, ActionDone, Application

__all__ = ["ApplicationDirectory", "KeptFromWork"]

NO_RUNNER_RETRY_S = 2.0
ERROR_DECAY = 0.8

KeptFromWork = Callable[[TargetId, str, float], str]
"""Says what keeps work from a target, given its group and error share."""


@dataclass(slots=True)
class _Entry:
    vm: VmEntry
    application: Application
    leaving: bool = False
    in_flight: int = 0
    error_share: float = 0.0


class ApplicationDirectory(ApplicationPicker):
    """Chooses the runner with the fewest calls of this VM in flight.

    Args:
        factory: Makes a runner's client from its list entry.
        kept_from_work: Asks the rules whether a target is left alone.
    """

    def __init__(
        self,
        *,
        factory: Callable[[VmEntry], Application],
        kept_from_work: KeptFromWork,
    ) -> None:
        self._factory = factory
        self._kept_from_work = kept_from_work
        self._version = -1
        self._entry_by_target: dict[TargetId, _Entry] = {}

    def update(self, listing: VmListing) -> None:
        """Takes a snapshot of the VM list; older ones change nothing."""
        if listing.version <= self._version:
            return
        self._version = listing.version
        listed: set[TargetId] = set()
        for vm in listing.entries:
            if vm.role not in (VmRole.APPLICATION, VmRole.TOOL):
                continue
            listed.add(TargetId(vm.vm))
            self._take(vm)
        for target, entry in self._entry_by_target.items():
            if target not in listed:
                entry.leaving = True

    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> Runner | Refused:
        """Returns the least busy runner of a group."""
        best: tuple[int, TargetId] | None = None
        why = f"no runner of {group!r} is known"
        for target, entry in self._entry_by_target.items():
            if entry.vm.group != group or target in avoid:
                continue
            if entry.leaving:
                why = f"the runners of {group!r} are leaving"
                continue
            kept = self._kept_from_work(target, group, entry.error_share)
            if kept:
                why = kept
                continue
            candidate = (entry.in_flight, target)
            if best is None or candidate < best:
                best = candidate
        if best is None:
            return Refused(
                Step.PLACE,
                Reason.NO_TARGET,
                retry_after_s=NO_RUNNER_RETRY_S,
                detail=why,
            )
        entry = self._entry_by_target[best[1]]
        entry.in_flight += 1
        return Runner(best[1], entry.application)

    def runner(self, target: TargetId) -> Runner | None:
        """Returns one runner by id."""
        entry = self._entry_by_target.get(target)
        if entry is None:
            return None
        return Runner(target, entry.application)

    def answered(self, target: TargetId, answer: ActionAnswer) -> None:
        """Counts how a picked runner fared."""
        entry = self._entry_by_target.get(target)
        if entry is None:
            return
        entry.in_flight = max(0, entry.in_flight - 1)
        good = isinstance(answer, ActionDone) and answer.status < 500
        sample = 0.0 if good else 1.0
        entry.error_share = (
            ERROR_DECAY * entry.error_share + (1 - ERROR_DECAY) * sample
        )

    def entries(self) -> Iterator[tuple[VmEntry, int, bool, float]]:
        """Yields each runner with its calls in flight and error share."""
        for target in sorted(self._entry_by_target):
            entry = self._entry_by_target[target]
            yield (entry.vm, entry.in_flight, entry.leaving, entry.error_share)

    def _take(self, vm: VmEntry) -> None:
        target = TargetId(vm.vm)
        leaving = vm.state is VmState.LEAVING
        known = self._entry_by_target.get(target)
        if known is None or (known.vm.host, known.vm.port) != (
            vm.host,
            vm.port,
        ):
            self._entry_by_target[target] = _Entry(
                vm, self._factory(vm), leaving
            )
            return
        known.vm = vm
        known.leaving = leaving
