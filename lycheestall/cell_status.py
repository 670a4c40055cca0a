"""What an agent tells operators of its part in the cell."""

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


def describe_agent(
    *,
    session: SessionId,
    fold: CellFold,
    reader: LogReader,
    current: CellSession | None,
    connected: Iterable[VmId],
    now: float,
) -> AgentStatus:
    """Returns a snapshot of an agent.

    Args:
        session: Its newest session.
        fold: The cell's state.
        reader: The reader of the cell's stream.
        current: The present session, if any.
        connected: Peers with an open connection.
        now: Monotonic time in seconds.
    """
    sessions = fold.sessions
    holdings = {} if current is None else current.holdings.by_partition
    acting = [p for p, held in holdings.items() if held.acting]
    waiting = [
        p
        for p, held in holdings.items()
        if not held.acting and not held.released
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
        acting=tuple(sorted(acting)),
        waiting=tuple(sorted(waiting)),
        handing=() if current is None else tuple(sorted(current.handing)),
        pending_records=0 if current is None else current.pending_records,
        log_silent=current is None or current.log_silent(),
        open_configurations=len(sessions.configurations),
    )
