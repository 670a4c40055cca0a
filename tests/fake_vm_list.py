"""Fake of the platform's VM list in virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from lycheestall.platform_services import (
    VmEntry,
    VmList,
    VmListFailed,
    VmListing,
    VmListResult,
    VmState,
)
from tests.fault_window import FaultWindow, amount_at, fault_window
from tests.simulation import FOREVER, Simulation


class FakeVmList(VmList):
    """A VM list with a lag; ``client`` returns one node's client."""

    def __init__(self, simulation: Simulation, *, lag_s: float = 2.0) -> None:
        self.simulation = simulation
        self.lag_s = lag_s
        self._entry_by_vm: dict[str, VmEntry] = {}
        self._versions: list[tuple[float, VmListing]] = []
        self._outages: list[FaultWindow] = []
        self._publish()

    def put(self, entry: VmEntry) -> None:
        """Adds or replaces a VM."""
        self._entry_by_vm[entry.vm] = entry
        self._publish()

    def leave(self, vm: str) -> None:
        """Marks a VM as leaving."""
        self.put(replace(self._entry_by_vm[vm], state=VmState.LEAVING))

    def drop(self, vm: str) -> None:
        """Removes a VM from the list."""
        self._entry_by_vm.pop(vm, None)
        self._publish()

    def outage(
        self,
        start: float,
        end: float = FOREVER,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Makes requests fail between two points of time."""
        self._outages.append(fault_window(start, end, nodes))

    def client(self, name: str) -> VmList:
        """Returns a node's client."""
        return _VmListClient(self, name)

    async def fetch(self) -> VmListResult:
        """Returns the newest snapshot that is at least the lag old."""
        return self.fetch_as("")

    def fetch_as(self, node: str) -> VmListResult:
        """Returns the result of a node's request."""
        if amount_at(self._outages, self.simulation.now, node) is not None:
            return VmListFailed("timeout")
        shown = self._versions[0][1]
        for time, listing in self._versions:
            if time + self.lag_s > self.simulation.now and time > 0:
                break
            shown = listing
        return shown

    def _publish(self) -> None:
        listing = VmListing(
            len(self._versions), tuple(self._entry_by_vm.values())
        )
        self._versions.append((self.simulation.now, listing))


class _VmListClient(VmList):
    def __init__(self, vm_list: FakeVmList, node: str) -> None:
        self._vm_list = vm_list
        self._node = node

    async def fetch(self) -> VmListResult:
        return self._vm_list.fetch_as(self._node)
