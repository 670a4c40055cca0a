"""Tests of the cell's agents in virtual time."""

from __future__ import annotations

from cell_world import CellWorld


def test_members_share_the_partitions() -> None:
    cell = CellWorld()
    cell.boot_all(4)
    owners = cell.owners()
    assert sorted(owners) == list(range(6))
    assert len({vms[0] for vms in owners.values()}) > 1
    assert cell.violations == []
