"""Settings of an entry VM."""

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
    """An invalid or missing setting, with its place in the file."""

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
    """The checked settings of an entry VM.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone of the VM.
        host: IP address of the VM.
        callers: Listen address for callers.
        readiness: Listen address of the readiness endpoint.
        metrics_port: TCP port of the metrics endpoint.
        peers_port: TCP port for other VMs of the system.
        store: Address of the platform's store.
        grace_s: Seconds between SIGTERM and SIGKILL.
        drain_s: Seconds after which a draining target must receive no new
            requests.
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
