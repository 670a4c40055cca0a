"""The status document of one VM and of its cell."""

from __future__ import annotations

from dataclasses import dataclass

from .supervisor import ChildStatus

__all__ = [
    "CellStatus",
    "PartitionStatus",
    "TargetStatus",
    "VmStatus",
]


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """The status of a target, as seen by one VM.

    Attributes:
        target: The target's id.
        role: ``engine``, ``application`` or ``tool``.
        group: The target's model or application group.
        zone: The target's availability zone.
        running: Requests being run, as last reported.
        waiting: Requests in the queue, as last reported.
        in_flight: This VM's requests in flight.
        leaving: Whether the target accepts no new requests.
        kept_from_work: Why no requests are sent to the target, or empty.
    """

    target: str
    role: str
    group: str
    zone: str
    running: int
    waiting: int
    in_flight: int
    leaving: bool
    kept_from_work: str


@dataclass(frozen=True, slots=True)
class PartitionStatus:
    """The owner of a partition and its epoch, the fencing token."""

    partition: int
    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class VmStatus:
    """The status of a VM, as reported by its daemon.

    Attributes:
        vm: The VM's id.
        zone: The VM's availability zone.
        session: The daemon's session id.
        release: The daemon's version.
        ready: Whether the daemon accepts new calls.
        draining: Whether the daemon is shutting down.
        authority_left_s: Seconds left of the session's lease, 0 if it
            has expired.
        rules_version: The version of the rules in force.
        cell_folded: Offset up to which the cell's stream is applied.
        partitions_owned: Number of partitions that the VM owns.
        programs: Number of live programs.
        calls: Number of calls in progress.
        peers: VMs with an open connection to this one.
        children: The status of the supervised loops.
    """

    vm: str
    zone: str
    session: str
    release: str
    ready: bool
    draining: bool
    authority_left_s: float
    rules_version: int
    cell_folded: int
    partitions_owned: int
    programs: int
    calls: int
    peers: tuple[str, ...]
    children: tuple[ChildStatus, ...]


@dataclass(frozen=True, slots=True)
class CellStatus:
    """The status of a cell, as collected by one of its VMs.

    Attributes:
        vms: The status of each VM that replied.
        silent: VMs of the cell that did not reply.
        partitions: The owner of each partition.
        targets: The targets, as seen by the VM that collects the status.
    """

    vms: tuple[VmStatus, ...]
    silent: tuple[str, ...]
    partitions: tuple[PartitionStatus, ...]
    targets: tuple[TargetStatus, ...]
