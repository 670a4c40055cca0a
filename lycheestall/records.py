"""Records in the platform's log.

A cell's VMs share one stream of these records. Operators publish rules to
a second stream, whose records are in ``rules.records``. Each payload is
the CBOR encoding of ``[format, writer, sequence, kind, fields]``; see
``codec``.
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
    """A daemon's session has started.

    Attributes:
        vm: The VM it runs on.
        zone: The VM's availability zone.
        host: Mesh address.
        port: Mesh port.
        release: The daemon's version.
        after: The newest offset that the writer knew of. The record is
            valid only if few enough records lie between, so that a late
            duplicate cannot revive a session whose end is no longer in
            the state.
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
    """The writer's session ends by graceful shutdown."""


@dataclass(frozen=True, slots=True)
class SessionDeposed:
    """The writer ends another session that no longer responds.

    Valid only while ``last_seen`` is still the offset of the session's
    newest join or renewal record.
    """

    session: SessionId
    last_seen: Offset


@dataclass(frozen=True, slots=True)
class PartitionClaimed:
    """The writer claims a partition; the offset is its fencing token.

    Valid only while ``previous`` is the partition's newest valid claim
    and that claim's session has left, was deposed or released it to the
    writer.
    """

    partition: PartitionId
    previous: Offset


@dataclass(frozen=True, slots=True)
class PartitionReleased:
    """The writer releases a partition it owns to a successor session."""

    partition: PartitionId
    epoch: Offset
    successor: SessionId


@dataclass(frozen=True, slots=True)
class ProgramOpened:
    """A top-level program was opened.

    Attributes:
        program: Its id.
        account: The client account that pays for it.
        program_class: Its class, which rules can match.
        partition: The partition it belongs to.
        epoch: Offset of the writer's claim of the partition.
        opened_ms: Wall-clock time in milliseconds since 1970.
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

    Totals are cumulative over the program's lifetime. After a takeover
    the whole drawn amount counts as spent.
    """

    program: ProgramId
    partition: PartitionId
    epoch: Offset
    tokens: int
    calls: int
    money_micros: int


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A top-level program ended together with its sub-agents."""

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
    """A dispatched non-idempotent call got a response.

    Attributes:
        program: The program.
        key: The call's idempotency key.
        status: HTTP status of the response.
        content_type: Its media type.
        body: The response body if it is small enough to keep, else empty.
        whole: Whether ``body`` is the complete response body.
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
        key: The call's idempotency key.
        closed: False if the writer voids its own intent, which frees the
            key. True if the partition's owner reports that the target
            has closed the key; the key then stays used.
    """

    program: ProgramId
    key: IdempotencyKey
    closed: bool = False


@dataclass(frozen=True, slots=True)
class PortionTaken:
    """The writer takes a portion of an account's shared limit.

    Valid only while the sum of the portions taken in the window plus
    ``amount`` stays within ``limit``.

    Attributes:
        account: The client account.
        limit_name: The limit's name in the rules.
        window: Number of the rule's time window since 1970.
        amount: The portion, in the limit's unit.
        limit: The whole limit under the writer's rules version.
    """

    account: AccountId
    limit_name: str
    window: int
    amount: int
    limit: int


@dataclass(frozen=True, slots=True)
class PortionReturned:
    """The writer returns the unused part of its portions."""

    account: AccountId
    limit_name: str
    window: int
    amount: int


@dataclass(frozen=True, slots=True)
class CrashReported:
    """A target crashed while it ran a request.

    Attributes:
        fingerprint: Digest of the account and the request body.
        target: The target that crashed.
    """

    fingerprint: bytes
    target: TargetId


@dataclass(frozen=True, slots=True)
class TargetClaimed:
    """The writer becomes the only VM that sends orders to a target.

    The offset is the fencing token. Valid under the same conditions as
    ``PartitionClaimed``.
    """

    target: TargetId
    previous: Offset


@dataclass(frozen=True, slots=True)
class Forgotten:
    """Drops programs that were opened before this time from the state."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class CheckpointPart:
    """A part of a checkpoint of the folded state.

    Attributes:
        as_of: The state includes every record up to this offset.
        index: This part's number, from 0.
        total: The number of parts.
        data: The part's bytes.
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
    """A record with its writer, as a fold receives it.

    Attributes:
        writer: The session that wrote it.
        sequence: The writer's counter in this stream, from 1. A fold
            ignores a record whose sequence is not above the newest that
            it has applied from this writer.
        body: The record's type and fields.
        format: The record format it was written in.
    """

    writer: SessionId
    sequence: int
    body: RecordBody
    format: int = RECORD_FORMAT
