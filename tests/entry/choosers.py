"""Target choosers with identical targets, for tests of load patterns."""

from __future__ import annotations

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.target_table import TargetRegistration, TargetTable
from lycheestall.ids import SoftwareVersion, TargetId, ZoneId

SERVICE = ServiceId("app")


def new_table(count: int) -> TargetTable:
    """Returns ``count`` identical targets ``t0``, ``t1`` and so on."""
    table = TargetTable()
    for number in range(count):
        table.register(
            TargetRegistration(
                target=TargetId(f"t{number}"),
                started_ms=1,
                service=SERVICE,
                host="10.0.0.1",
                port=number,
                zone=ZoneId("z"),
                software_version=SoftwareVersion("v1"),
                slots=6,
                draining=False,
            )
        )
    return table


def new_chooser(count: int, *, vm: str = "vm") -> TargetChooser:
    """Returns a VM's chooser with ``count`` targets.

    Args:
        count: Number of targets.
        vm: Name of the VM; each VM prefers other targets.
    """
    return TargetChooser(new_table(count), vm=vm)
