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
    """How one VM sees a target.

    Attributes:
        target: Its id.
        role: ``engine``, ``application`` or ``tool``.
        group: Its model or application group.
        zone: Its availability zone.
        running: Requests in its batch, as last reported.
        waiting: Requests in its queue, as last reported.
        in_flight: This VM's own dispatches.
        leaving: Whether it takes nothing new.
        kept_from_work: What keeps work away, empty when nothing does.
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
    """Who owns a partition, with the fencing number."""

    partition: int
    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class VmStatus:
    """One VM's own view.

    Attributes:
        vm: The VM.
        zone: Its availability zone.
        session: Its daemon's session.
        release: The daemon's version.
        ready: Whether it takes new calls.
        draining: Whether it is shutting down.
        authority_left_s: Seconds of authority left, 0 when it has none.
        rules_version: The rules in force here.
        cell_folded: Offset up to which it has read the cell's stream.
        partitions_owned: How many partitions it owns.
        programs: How many programs it has live.
        calls: Calls in progress.
        peers: Peers with an open connection.
        children: The supervisor's children.
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
    """What one VM knows of its cell.

    Attributes:
        vms: Each VM's own view, of those that answered.
        silent: Members that did not answer.
        partitions: Who owns what.
        targets: Targets as the asked VM sees them.
    """

    vms: tuple[VmStatus, ...]
    silent: tuple[str, ...]
    partitions: tuple[PartitionStatus, ...]
    targets: tuple[TargetStatus, ...]
