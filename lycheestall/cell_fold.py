"""The state of a cell, computed from its log stream."""

from __future__ import annotations

import cbor2

from .cell_parts import LedgerPart, PortionsPart
from .claims import Claims, TargetClaims
from .crashes import Crashes
from .fold import Fold, FoldPart, Verdict
from .ids import Offset, PartitionId, SessionId
from .records import (
    NO_OFFSET,
    CheckpointPart,
    CrashReported,
    PartitionClaimed,
    PartitionReleased,
    PortionReturned,
    PortionTaken,
    Record,
    RecordBody,
    RulesRecord,
    SessionDeposed,
    SessionJoined,
    SessionLeft,
    SessionRenewed,
    TargetClaimed,
)
from .sessions import Sessions

__all__ = ["REPEATED", "CellFold"]

REPEATED = Verdict(False, "the record was read before")
_NOT_LIVE = Verdict(False, "the writer's session is not live")
_FOREIGN = Verdict(False, "the record belongs to another stream")
_ACCEPTED = Verdict(True)

STATE_FORMAT = 1


class CellFold(Fold):
    """Composes the parts of a cell's state.

    Only records of live sessions take effect, each sequence number once.
    A writer's newest sequence number is dropped when its session ends:
    from then on every record of that session is rejected, and
    ``Sessions`` rejects a second join.

    Args:
        ledger: The part for programs, budgets and intents.
        portions: The part for accounts' shared limits.
    """

    def __init__(self, ledger: LedgerPart, portions: PortionsPart) -> None:
        self.sessions = Sessions()
        self.claims: Claims[PartitionId] = Claims()
        self.target_claims = TargetClaims()
        self.crashes = Crashes()
        self.ledger = ledger
        self.portions = portions
        self._as_of = NO_OFFSET
        self._sequence_by_writer: dict[SessionId, int] = {}

    @property
    def as_of(self) -> Offset:
        """The offset of the newest applied record."""
        return self._as_of

    def sequence(self, writer: SessionId) -> int:
        """Returns a live session's newest sequence, 0 if there is none."""
        return self._sequence_by_writer.get(writer, 0)

    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Applies the next record of the stream."""
        self._as_of = offset
        writer = record.writer
        if isinstance(record.body, SessionJoined):
            return self._join(offset, record, record.body)
        if not self.sessions.is_live(writer):
            return _NOT_LIVE
        if record.sequence <= self._sequence_by_writer[writer]:
            return REPEATED
        self._sequence_by_writer[writer] = record.sequence
        verdict = self._apply_body(offset, writer, record.body)
        if isinstance(record.body, SessionLeft | SessionDeposed):
            self._drop_sequences()
        return verdict

    def dump(self) -> bytes:
        """Returns the whole state as CBOR."""
        return cbor2.dumps(
            [
                STATE_FORMAT,
                self._as_of,
                list(self._sequence_by_writer.items()),
                self.sessions.dump(),
                self.claims.dump(),
                self.target_claims.dump(),
                self.crashes.dump(),
                self.ledger.dump(),
                self.portions.dump(),
            ]
        )

    def load(self, data: bytes) -> None:
        """Replaces the state."""
        format_, as_of, sequences, *parts = cbor2.loads(data)
        if format_ != STATE_FORMAT:
            raise ValueError(f"cell state in unknown format {format_}")
        self._as_of = Offset(as_of)
        self._sequence_by_writer = dict(sequences)
        own_parts: tuple[FoldPart, ...] = (
            self.sessions,
            self.claims,
            self.target_claims,
            self.crashes,
            self.ledger,
            self.portions,
        )
        for part, state in zip(own_parts, parts, strict=True):
            part.load(state)

    def _join(
        self, offset: Offset, record: Record, body: SessionJoined
    ) -> Verdict:
        verdict = self.sessions.join(offset, record.writer, body)
        if verdict.accepted:
            self._sequence_by_writer[record.writer] = record.sequence
            self._drop_sequences()
        return verdict

    def _drop_sequences(self) -> None:
        for writer in list(self._sequence_by_writer):
            if not self.sessions.is_live(writer):
                del self._sequence_by_writer[writer]

    def _return_portions(
        self, session: SessionId, verdict: Verdict
    ) -> Verdict:
        if verdict.accepted:
            self.portions.session_ended(session)
        return verdict

    def _apply_body(
        self, offset: Offset, writer: SessionId, body: RecordBody
    ) -> Verdict:
        match body:
            case SessionRenewed():
                return self.sessions.renew(offset, writer, body)
            case SessionLeft():
                return self._return_portions(
                    writer, self.sessions.leave(offset, writer)
                )
            case SessionDeposed():
                verdict = self.sessions.depose(offset, writer, body)
                return self._return_portions(body.session, verdict)
            case PartitionClaimed():
                return self.claims.claim(
                    offset,
                    writer,
                    body.partition,
                    body.previous,
                    self.sessions.is_live,
                )
            case PartitionReleased():
                return self.claims.release(
                    writer, body.partition, body.epoch, body.successor
                )
            case TargetClaimed():
                return self.target_claims.claim(
                    offset,
                    writer,
                    body.target,
                    body.previous,
                    self.sessions.is_live,
                )
            case CrashReported():
                return self.crashes.report(body)
            case PortionTaken() | PortionReturned():
                return self.portions.apply(offset, writer, body)
            case CheckpointPart():
                return _ACCEPTED
        if isinstance(body, RulesRecord):
            return _FOREIGN
        return self.ledger.apply(offset, writer, body, self.claims)
