"""Keeps the model engines that the VMs of a cell share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from .ids import ModelName, TargetId, ZoneId
from .platform_services import VmEntry, VmListing, VmRole, VmState
from .targets import Engine, LoadReport

__all__ = ["EngineDirectory", "EngineEntry"]


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine's properties, apart from its load.

    Attributes:
        target: Its id.
        zone: Its availability zone.
        group: Its model group, or empty.
        leaving: Whether it gets no new requests.
        models: Models that it reported as loaded; empty before its first
            load report.
    """

    target: TargetId
    zone: ZoneId
    group: str = ""
    leaving: bool = False
    models: frozenset[ModelName] = frozenset()

    def serves(self, model: ModelName) -> bool:
        """Returns whether the engine may serve a model.

        Args:
            model: The model requested; empty for any.
        """
        if not self.models or not model:
            return True
        return model in self.models


class EngineDirectory:
    """Keeps one ``Engine`` client for each engine VM of the VM list.

    An engine that is removed from the list keeps its client until
    ``forget``, so that open streams can end, but gets no new requests.
    """

    def __init__(self, *, factory: Callable[[VmEntry], Engine]) -> None:
        """Creates an empty directory.

        Args:
            factory: Creates the client of an engine from its list entry.
        """
        self._factory = factory
        self._version = -1
        self._entry_by_target: dict[TargetId, EngineEntry] = {}
        self._vm_by_target: dict[TargetId, VmEntry] = {}
        self._engine_by_target: dict[TargetId, Engine] = {}

    def update(self, listing: VmListing) -> bool:
        """Applies a snapshot of the VM list unless it is older.

        Args:
            listing: The snapshot.

        Returns:
            Whether any engine's entry changed.
        """
        if listing.version <= self._version:
            return False
        self._version = listing.version
        before = dict(self._entry_by_target)
        listed: set[TargetId] = set()
        for vm in listing.entries:
            if vm.role is not VmRole.ENGINE:
                continue
            listed.add(TargetId(vm.vm))
            self._update_entry(vm)
        for target, entry in self._entry_by_target.items():
            if target in listed or entry.leaving:
                continue
            self._entry_by_target[target] = replace(entry, leaving=True)
        return before != self._entry_by_target

    def observe(self, report: LoadReport) -> bool:
        """Updates an engine's models and leaving state.

        Args:
            report: A load report; one of an unknown target is ignored.

        Returns:
            Whether the engine's entry changed.
        """
        entry = self._entry_by_target.get(report.target)
        if entry is None:
            return False
        updated = replace(
            entry,
            leaving=entry.leaving or report.leaving,
            models=frozenset(report.models) or entry.models,
        )
        self._entry_by_target[report.target] = updated
        return updated != entry

    def entries(self) -> tuple[EngineEntry, ...]:
        """Returns the entries of all known engines, sorted by id."""
        return tuple(
            self._entry_by_target[target]
            for target in sorted(self._entry_by_target)
        )

    def entry(self, target: TargetId) -> EngineEntry | None:
        """Returns one engine's entry, None when unknown."""
        return self._entry_by_target.get(target)

    def engine(self, target: TargetId) -> Engine | None:
        """Returns the client of an engine, None when unknown."""
        return self._engine_by_target.get(target)

    def forget(self, target: TargetId) -> None:
        """Removes an engine that has left and has no open stream."""
        self._entry_by_target.pop(target, None)
        self._vm_by_target.pop(target, None)
        self._engine_by_target.pop(target, None)

    def _update_entry(self, vm: VmEntry) -> None:
        target = TargetId(vm.vm)
        known = self._vm_by_target.get(target)
        moved = known is None or (known.host, known.port) != (vm.host, vm.port)
        if moved:
            self._engine_by_target[target] = self._factory(vm)
        old = self._entry_by_target.get(target)
        models = old.models if old is not None and not moved else frozenset()
        self._vm_by_target[target] = vm
        self._entry_by_target[target] = EngineEntry(
            target=target,
            zone=vm.zone,
            group=vm.group,
            leaving=vm.state is VmState.LEAVING,
            models=models,
        )
