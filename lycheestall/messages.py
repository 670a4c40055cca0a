"""Messages between daemons, one CBOR frame each; see ``codec``."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from .calls import Call, ResponseHead
from .ids import CellId, Offset, PartitionId, SessionId, StreamName, VmId
from .outcomes import Completed, Failed, Refused
from .platform_services import LogEntry
from .targets import LoadReport

__all__ = [
    "AppendGiven",
    "AppendWanted",
    "CallChunk",
    "CallDetached",
    "CallFinished",
    "CallForwarded",
    "CallStarted",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "MeshMessage",
    "NewestOffset",
    "PartitionGiven",
    "PartitionTaken",
    "ProgramState",
    "StatusGiven",
    "StatusWanted",
    "TailGiven",
    "TailWanted",
]


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame on a connection, from both sides."""

    vm: VmId
    session: SessionId
    cell: CellId
    release: str


@dataclass(frozen=True, slots=True)
class NewestOffset:
    """The newest record of a stream that a daemon has heard of.

    Attributes:
        stream: The stream.
        newest: The highest offset known to exist, -1 for none.
        folded: The highest offset the daemon has taken into its state.
    """

    stream: StreamName
    newest: Offset
    folded: Offset


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent to each member of the cell at a steady interval.

    Attributes:
        number: The sender's counter, returned in the reply.
        session: The sender's session.
        streams: What the sender knows of each stream.
        loads: Fresh load reports of the targets the sender polls.
        draining: Whether the sender is shutting down.
    """

    number: int
    session: SessionId
    streams: tuple[NewestOffset, ...]
    loads: tuple[LoadReport, ...] = ()
    draining: bool = False


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers a heartbeat with what the replier knows."""

    number: int
    session: SessionId
    streams: tuple[NewestOffset, ...]


@dataclass(frozen=True, slots=True)
class TailWanted:
    """Asks a peer for log entries it has folded, from ``start`` on."""

    stream: StreamName
    start: Offset


@dataclass(frozen=True, slots=True)
class TailGiven:
    """Consecutive entries of a stream.

    Attributes:
        stream: The stream.
        entries: The entries, from the wanted start on; none when the
            giver does not keep that.
        fed: Whether the giver sends all new entries unasked.
    """

    stream: StreamName
    entries: tuple[LogEntry, ...]
    fed: bool = False


@dataclass(frozen=True, slots=True)
class AppendWanted:
    """Asks a peer to append on the sender's behalf.

    Attributes:
        stream: The stream.
        payloads: The sender's records, in order.
        hold_s: How long the peer may wait for others' records.
    """

    stream: StreamName
    payloads: tuple[bytes, ...]
    hold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendGiven:
    """The peer passed the append on; the log's answer is a hint only."""

    stream: StreamName
    count: int


@dataclass(frozen=True, slots=True)
class CallForwarded:
    """An entry VM hands a call to the VM that owns its program."""

    exchange: int
    call: Call


@dataclass(frozen=True, slots=True)
class CallStarted:
    """The answer's status and headers."""

    exchange: int
    head: ResponseHead


@dataclass(frozen=True, slots=True)
class CallChunk:
    """The next bytes of an answer body."""

    exchange: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CallFinished:
    """The answer's final outcome; one of the three is set."""

    exchange: int
    completed: Completed | None = None
    refused: Refused | None = None
    failed: Failed | None = None


@dataclass(frozen=True, slots=True)
class CallDetached:
    """The caller of a forwarded call has gone."""

    exchange: int


@dataclass(frozen=True, slots=True)
class ProgramState:
    """What an owner hands to its successor for one program tree.

    Attributes:
        program: The top-level program.
        data: Its encoded live state: turns, digests, spend.
    """

    program: str
    data: bytes


@dataclass(frozen=True, slots=True)
class PartitionGiven:
    """A draining owner hands over a partition's live state.

    Attributes:
        partition: Which.
        epoch: The giver's claim offset.
        released: Offset of the giver's release record, -1 if unknown.
        programs: The live state of each program.
        last: Whether this is the partition's last frame.
    """

    partition: PartitionId
    epoch: Offset
    released: Offset
    programs: tuple[ProgramState, ...] = ()
    last: bool = True


@dataclass(frozen=True, slots=True)
class PartitionTaken:
    """The successor has the state and its claim is in force."""

    partition: PartitionId
    epoch: Offset


@dataclass(frozen=True, slots=True)
class StatusWanted:
    """Asks a peer for its status document."""

    request: int


@dataclass(frozen=True, slots=True)
class StatusGiven:
    """A peer's status document, as JSON bytes."""

    request: int
    document: bytes = field(default=b"{}")


MeshMessage: TypeAlias = (
    Hello
    | Heartbeat
    | HeartbeatReply
    | TailWanted
    | TailGiven
    | AppendWanted
    | AppendGiven
    | CallForwarded
    | CallStarted
    | CallChunk
    | CallFinished
    | CallDetached
    | PartitionGiven
    | PartitionTaken
    | StatusWanted
    | StatusGiven
)
