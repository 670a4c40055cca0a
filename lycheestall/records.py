"""Records that the system keeps in the platform's log.

A cell's VMs share one stream of these. Operators publish to a second
stream, whose records are in ``rules.records``. Each payload is the CBOR
encoding of ``[format, writer, sequence, kind, fields]``; see ``codec``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .ids import (
    AccountId,
    IdempotencyKey,
    Offset,
    PartitionId,
    ProgramId,
    SessionId,
    TargetId,
    VmId,
    ZoneId,
)
from .rules.records import (
    ReaderJoined,
    ReaderLeft,
    RulesApplied,
    RulesCheckpoint,
    RulesProposed,
    RulesRecord,
)

__all__ = [
    "NO_OFFSET",
    "RECORD_FORMAT",
    "BudgetDrawn",
    "CellRecord",
    "CheckpointPart",
    "CrashReported",
    "Forgotten",
    "IntentRecorded",
    "IntentVoided",
    "OutcomeRecorded",
    "PartitionClaimed",
    "PartitionReleased",
    "PortionReturned",
    "PortionTaken",
    "ProgramEnded",
    "ProgramOpened",
    "ReaderJoined",
    "ReaderLeft",
    "Record",
    "RecordBody",
    "RulesApplied",
    "RulesCheckpoint",
    "RulesProposed",
    "RulesRecord",
    "SessionDeposed",
    "SessionJoined",
    "SessionLeft",
    "SessionRenewed",
    "TargetClaimed",
]

RECORD_FORMAT = 1
NO_OFFSET = Offset(-1)


@dataclass(frozen=True, slots=True)
class SessionJoined:
    """A daemon's session begins.

    Attributes:
        vm: The VM it runs on.
        zone: The VM's availability zone.
        host: Mesh address.
        port: Mesh port.
        release: The daemon's version.
        after: The newest offset the writer knew of. Valid only while
            few enough records lie between, so that a late duplicate
            cannot revive a session whose end is no longer in the state.
    """

    vm: VmId
    zone: ZoneId
    host: str
    port: int
    release: str
    after: Offset = NO_OFFSET


@dataclass(frozen=True, slots=True)
class SessionRenewed:
    """The writer's session is still alive.

    Attributes:
        folded: The newest offset in the writer's state.
    """

    folded: Offset = NO_OFFSET


@dataclass(frozen=True, slots=True)
class SessionLeft:
    """The writer's session ends by a graceful shutdown."""


@dataclass(frozen=True, slots=True)
class SessionDeposed:
    """The writer ends another session that has gone silent.

    Valid only while ``last_seen`` is still the offset of the session's
    newest join or renewal record.
    """

    session: SessionId
    last_seen: Offset


@dataclass(frozen=True, slots=True)
class PartitionClaimed:
    """The writer claims a partition; the offset is its fencing number.

    Valid only while ``previous`` is the partition's newest valid claim
    and that claim's session has left, was deposed or released it to the
    writer.
    """

    partition: PartitionId
    previous: Offset


@dataclass(frozen=True, slots=True)
class PartitionReleased:
    """The writer gives a partition it owns to a named session."""

    partition: PartitionId
    epoch: Offset
    successor: SessionId


@dataclass(frozen=True, slots=True)
class ProgramOpened:
    """A top-level program begins.

    Attributes:
        program: Its id.
        account: Who pays.
        program_class: Its class, for rules.
        partition: Where it belongs.
        epoch: The writer's claim offset for the partition.
        opened_ms: Wall-clock time, milliseconds since 1970.
    """

    program: ProgramId
    account: AccountId
    program_class: str
    partition: PartitionId
    epoch: Offset
    opened_ms: int


@dataclass(frozen=True, slots=True)
class BudgetDrawn:
    """The writer may spend up to these totals for a program.

    Totals are cumulative over the program's life; after a takeover the
    whole drawn amount counts as spent.
    """

    program: ProgramId
    partition: PartitionId
    epoch: Offset
    tokens: int
    calls: int
    money_micros: int


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A top-level program ended, with its sub-agents."""

    program: ProgramId
    partition: PartitionId
    epoch: Offset
    reason: str


@dataclass(frozen=True, slots=True)
class IntentRecorded:
    """The writer is about to dispatch a non-idempotent call.

    Valid only while ``epoch`` is the partition's newest valid claim,
    the writer holds it, the program is open and the key is new.
    """

    program: ProgramId
    partition: PartitionId
    epoch: Offset
    key: IdempotencyKey
    body_digest: bytes
    target: TargetId
    number: int


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """A dispatched non-idempotent call was answered.

    Attributes:
        program: The program.
        key: The call's key.
        status: HTTP status of the answer.
        content_type: Its media type.
        body: The answer's body, when small enough to keep, else empty.
        whole: Whether ``body`` is the whole answer.
    """

    program: ProgramId
    key: IdempotencyKey
    status: int
    content_type: str
    body: bytes
    whole: bool


@dataclass(frozen=True, slots=True)
class IntentVoided:
    """An intent was never dispatched and never will be.

    Attributes:
        program: The program.
        key: The call's key.
        closed: False when the writer voids its own intent, which frees
            the key. True when the partition's owner passes on that the
            target has closed the key; the key stays taken.
    """

    program: ProgramId
    key: IdempotencyKey
    closed: bool = False


@dataclass(frozen=True, slots=True)
class PortionTaken:
    """The writer takes a part of an account's shared limit.

    Valid only while the sum of portions out in the window plus
    ``amount`` stays within ``limit``.

    Attributes:
        account: Whose limit.
        limit_name: Which limit of the rules.
        window: Number of the rule's time window since 1970.
        amount: How much, in the limit's unit.
        limit: The whole limit under the writer's rules version.
    """

    account: AccountId
    limit_name: str
    window: int
    amount: int
    limit: int


@dataclass(frozen=True, slots=True)
class PortionReturned:
    """The writer gives back what it did not use of its portions."""

    account: AccountId
    limit_name: str
    window: int
    amount: int


@dataclass(frozen=True, slots=True)
class CrashReported:
    """A target crashed while it ran a request.

    Attributes:
        fingerprint: Digest of account and request body.
        target: The target that crashed.
    """

    fingerprint: bytes
    target: TargetId


@dataclass(frozen=True, slots=True)
class TargetClaimed:
    """The writer becomes the one place that orders a target.

    The offset is the fencing number. Valid as for partitions.
    """

    target: TargetId
    previous: Offset


@dataclass(frozen=True, slots=True)
class Forgotten:
    """Programs opened before this time are dropped from the state."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class CheckpointPart:
    """A piece of the folded state.

    Attributes:
        as_of: The state includes every record up to this offset.
        index: This piece's number, from 0.
        total: How many pieces there are.
        data: The piece's bytes.
    """

    as_of: Offset
    index: int
    total: int
    data: bytes


CellRecord: TypeAlias = (
    SessionJoined
    | SessionRenewed
    | SessionLeft
    | SessionDeposed
    | PartitionClaimed
    | PartitionReleased
    | ProgramOpened
    | BudgetDrawn
    | ProgramEnded
    | IntentRecorded
    | OutcomeRecorded
    | IntentVoided
    | PortionTaken
    | PortionReturned
    | CrashReported
    | TargetClaimed
    | Forgotten
    | CheckpointPart
)
RecordBody: TypeAlias = CellRecord | RulesRecord


@dataclass(frozen=True, slots=True)
class Record:
    """A record with its writer, as the fold sees it.

    Attributes:
        writer: The session that wrote it.
        sequence: The writer's counter in this stream, from 1; a fold
            ignores a record whose sequence is not above the newest it
            has taken from the writer.
        body: What it says.
        format: The record format it was written in.
    """

    writer: SessionId
    sequence: int
    body: RecordBody
    format: int = RECORD_FORMAT
