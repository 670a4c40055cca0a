"""Settings of an entry VM."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import VmId, ZoneId

__all__ = ["Address", "EntrySettings", "QuotaSettings", "SettingsProblem"]

CONVERSATION_MEMORY_SHARE = 0.2
"""Share of the process's memory for the conversations kept for callers; the
rest is for requests in progress and for the program itself."""


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
class QuotaSettings:
    """How exactly the quotas of accounts are kept.

    Attributes:
        window_s: Length of the sliding window in which requests are counted.
        overage: Share by which the requests of a window may exceed the quota.
        slack: Requests by which they may exceed it besides.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


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
        memory_mb: Memory of the VM's process, in MB.
        max_descriptors: Descriptors that the process may open.
        store_partitions: Number of partitions of each of the store's topics.
        store_record_bytes: Largest record that the store accepts.
        first_start: Whether the whole system starts for the first time.
        quotas: How exactly the quotas of accounts are kept.
        revocation_timeout_s: Seconds after the last proof that its
            configuration is current in which a VM accepts API keys; None for
            no limit.
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
    memory_mb: float = 128.0
    max_descriptors: int = 20_000
    store_partitions: int = 1
    store_record_bytes: int = 262_144
    first_start: bool = False
    quotas: QuotaSettings = QuotaSettings()
    revocation_timeout_s: float | None = None

    @property
    def conversation_bytes(self) -> int:
        """Memory for the conversations that are kept for callers."""
        return int(self.memory_mb * CONVERSATION_MEMORY_SHARE * 1_000_000)
