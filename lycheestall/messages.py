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
    "StreamOffsets",
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
    """The first frame on a connection, sent by both sides."""

    vm: VmId
    session: SessionId
    cell: CellId
    release: str


@dataclass(frozen=True, slots=True)
class StreamOffsets:
    """A daemon's offsets in a stream.

    Attributes:
        stream: The stream.
        newest: The highest offset known to exist, -1 for none.
        folded: The highest offset that the daemon has folded.
    """

    stream: StreamName
    newest: Offset
    folded: Offset


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent to each member of the cell at a fixed interval.

    Attributes:
        number: The sender's counter, returned in the reply.
        session: The sender's session.
        streams: The sender's offsets in each stream.
        loads: New load reports of the targets the sender polls.
        draining: Whether the sender is shutting down.
    """

    number: int
    session: SessionId
    streams: tuple[StreamOffsets, ...]
    loads: tuple[LoadReport, ...] = ()
    draining: bool = False


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The reply to a heartbeat, with the replier's stream offsets."""

    number: int
    session: SessionId
    streams: tuple[StreamOffsets, ...]


@dataclass(frozen=True, slots=True)
class TailWanted:
    """Requests log entries that a peer has folded, from ``start`` on."""

    stream: StreamName
    start: Offset


@dataclass(frozen=True, slots=True)
class TailGiven:
    """Consecutive entries of a stream.

    Attributes:
        stream: The stream.
        entries: The entries from the requested start on; empty if the
            sender no longer keeps that offset.
        pushed: Whether the sender pushes all new entries without being
            asked.
    """

    stream: StreamName
    entries: tuple[LogEntry, ...]
    pushed: bool = False


@dataclass(frozen=True, slots=True)
class AppendWanted:
    """Requests that a peer append records on the sender's behalf.

    Attributes:
        stream: The stream.
        payloads: The sender's records, in order.
        hold_s: How long the peer may hold them to batch them with the
            records of other senders.
    """

    stream: StreamName
    payloads: tuple[bytes, ...]
    hold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendGiven:
    """The peer has accepted the payloads; they may still not be appended.

    The requester relies only on reading its records back.
    """

    stream: StreamName
    count: int


@dataclass(frozen=True, slots=True)
class CallForwarded:
    """Forwards a call from its entry VM to the VM that owns its program.

    Attributes:
        exchange: The sender's id of this request and its response.
        call: The call.
    """

    exchange: int
    call: Call


@dataclass(frozen=True, slots=True)
class CallStarted:
    """The response's status and headers."""

    exchange: int
    head: ResponseHead


@dataclass(frozen=True, slots=True)
class CallChunk:
    """The next bytes of a response body."""

    exchange: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CallFinished:
    """The call's final outcome; exactly one of the three is set."""

    exchange: int
    completed: Completed | None = None
    refused: Refused | None = None
    failed: Failed | None = None


@dataclass(frozen=True, slots=True)
class CallDetached:
    """The caller of a forwarded call has disconnected."""

    exchange: int


@dataclass(frozen=True, slots=True)
class ProgramState:
    """The state of one program tree that an owner transfers.

    Attributes:
        program: The top-level program.
        data: Its encoded live state: turns, digests and spending.
    """

    program: str
    data: bytes


@dataclass(frozen=True, slots=True)
class PartitionGiven:
    """Transfers a partition's live state from a draining owner.

    Attributes:
        partition: The partition.
        epoch: Offset of the sender's claim record.
        released: Offset of the sender's release record, -1 if unknown.
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
    """The successor has the state and its claim was accepted."""

    partition: PartitionId
    epoch: Offset


@dataclass(frozen=True, slots=True)
class StatusWanted:
    """Requests a peer's status document."""

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
