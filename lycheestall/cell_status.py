"""Status of a cell agent, for operators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .cell_fold import CellFold
from .cell_session import CellSession
from .ids import Offset, PartitionId, SessionId, VmId
from .log_reader import LogReader

__all__ = ["AgentStatus", "describe_agent"]

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """A snapshot of one VM's view of its cell.

    Attributes:
        session: The newest session.
        state: The agent's state.
        members: VMs of the live sessions.
        connected: Peers with an open connection.
        newest: Newest offset known to exist in the cell's stream.
        folded: Offset of the newest applied record.
        unreadable_format: The record format that stopped the reader, 0
            when there is none.
        lease_left_s: Remaining seconds of the lease, negative after its end.
        active: Partitions this VM may act on while its lease is valid.
        waiting: Claimed partitions whose takeover wait is not over.
        handing_over: Partitions with a handover in progress.
        pending_records: Number of own records not read back yet.
        log_unresponsive: Whether own records are not read back from the log.
        open_configurations: Number of configurations in each of which
            a takeover needs a majority.
    """

    session: SessionId
    state: str
    members: tuple[VmId, ...]
    connected: tuple[VmId, ...]
    newest: Offset
    folded: Offset
    unreadable_format: int
    lease_left_s: float
    active: tuple[PartitionId, ...]
    waiting: tuple[PartitionId, ...]
    handing_over: tuple[PartitionId, ...]
    pending_records: int
    log_unresponsive: bool
    open_configurations: int


def describe_agent(
    *,
    session: SessionId,
    fold: CellFold,
    reader: LogReader,
    current: CellSession | None,
    connected: Iterable[VmId],
    now: float,
) -> AgentStatus:
    """Returns the status of an agent.

    Args:
        session: Its newest session.
        fold: The cell's state.
        reader: The reader of the cell's stream.
        current: The current session, if any.
        connected: Peers with an open connection.
        now: Monotonic time in seconds.
    """
    sessions = fold.sessions
    held_partitions = (
        {} if current is None else current.held_partitions.by_partition
    )
    active = [p for p, held in held_partitions.items() if held.active]
    waiting = [
        p
        for p, held in held_partitions.items()
        if not held.active and not held.released
    ]
    until = NEVER if current is None else current.authority.valid_until
    return AgentStatus(
        session=session,
        state="reading" if current is None else current.state.value,
        members=tuple(sorted(s.vm for s in sessions.by_id.values())),
        connected=tuple(sorted(connected)),
        newest=reader.newest,
        folded=reader.folded,
        unreadable_format=reader.unreadable_format,
        lease_left_s=until - now,
        active=tuple(sorted(active)),
        waiting=tuple(sorted(waiting)),
        handing_over=()
        if current is None
        else tuple(sorted(current.handing_over)),
        pending_records=0 if current is None else current.pending_records,
        log_unresponsive=current is None or current.log_unresponsive(),
        open_configurations=len(sessions.configurations),
    )
