"""Settings of an entry VM on the platform's machines."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import VmId, ZoneId

__all__ = ["Address", "EntrySettings", "SettingsProblem"]


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """A line of the settings that can't be used."""

    file: str
    line: int
    name: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}:{self.line}: {self.name}: "
            f"found {self.found!r}, expected {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What an entry VM is told at its start.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        host: Its IP address.
        callers: Where callers connect.
        readiness: Where the platform asks for readiness.
        metrics_port: Where metrics are served.
        peers_port: Where other VMs of the system connect.
        store: The platform's store.
        grace_s: Time between SIGTERM and SIGKILL.
        drain_s: Time after which a leaving target must get no more work.
    """

    vm: VmId
    zone: ZoneId
    host: str
    callers: Address
    readiness: Address
    metrics_port: int
    peers_port: int
    store: Address
    grace_s: float
    drain_s: float
