"""What a daemon tells of its part in the cell."""

from __future__ import annotations

from dataclasses import dataclass

from .ids import Offset, PartitionId, SessionId, VmId

__all__ = ["CellStatus"]


@dataclass(frozen=True, slots=True)
class CellStatus:
    """A snapshot of one VM's view of its cell.

    Attributes:
        session: The present session.
        state: The agent's state.
        members: VMs of the live sessions.
        connected: Peers with an open connection.
        newest: Newest offset of the cell's stream known to exist.
        folded: Newest offset in the state.
        unreadable_format: The record format that stopped the reader, 0
            when there is none.
        lease_left_s: Seconds of authority left; negative when it ended.
        acting: Partitions this VM may act on, given authority.
        waiting: Partitions claimed whose takeover wait is not over.
        handing: Partitions being given away.
        pending_records: Own records not read back yet.
        log_silent: Whether records are not coming back from the log.
        open_configurations: Memberships a takeover has to hear from.
    """

    session: SessionId
    state: str
    members: tuple[VmId, ...]
    connected: tuple[VmId, ...]
    newest: Offset
    folded: Offset
    unreadable_format: int
    lease_left_s: float
    acting: tuple[PartitionId, ...]
    waiting: tuple[PartitionId, ...]
    handing: tuple[PartitionId, ...]
    pending_records: int
    log_silent: bool
    open_configurations: int
