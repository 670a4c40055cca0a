"""The state of all programs, folded from the log's records."""

from __future__ import annotations

from typing import Any, cast

from .cell_parts import LedgerPart
from .claims import Claims
from .fold import Verdict
from .ids import (
    IdempotencyKey,
    Offset,
    PartitionId,
    ProgramId,
    SessionId,
)
from .ledger_program import (
    Intent,
    LedgerProgram,
    RecordedAnswer,
    Spend,
    dump_program,
    load_program,
)
from .program_ids import issued_ms_of, root_of_ledger_id
from .records import (
    BudgetDrawn,
    CellRecord,
    Forgotten,
    IntentRecorded,
    IntentVoided,
    OutcomeRecorded,
    ProgramEnded,
    ProgramOpened,
)

__all__ = ["Ledger"]

ACCEPTED = Verdict(True)


class Ledger(LedgerPart):
    """The part of the cell's fold that keeps programs.

    Attributes:
        program_by_id: Programs by ledger id.
        forgotten_before_ms: Programs opened before this time are
            dropped, so it is not known whether an id issued before it
            was used.
    """

    def __init__(self) -> None:
        self.program_by_id: dict[ProgramId, LedgerProgram] = {}
        self.forgotten_before_ms = 0

    def is_open(self, name: ProgramId) -> bool:
        """Returns whether a top-level program is open.

        Args:
            name: The program's ledger id.
        """
        program = self.program_by_id.get(name)
        return program is not None and not program.ended

    def apply(
        self,
        offset: Offset,
        writer: SessionId,
        body: CellRecord,
        claims: Claims[PartitionId],
    ) -> Verdict:
        """Applies a record; rejects records that are not about programs.

        Args:
            offset: The record's offset.
            writer: The session that wrote it.
            body: The record.
            claims: The partition claims as of this offset.
        """
        if isinstance(body, Forgotten):
            return self._forget_programs(body)
        if isinstance(body, OutcomeRecorded):
            return self._record_outcome(body)
        if isinstance(body, IntentVoided):
            return self._void_intent(writer, body, claims)
        if not isinstance(
            body, ProgramOpened | BudgetDrawn | ProgramEnded | IntentRecorded
        ):
            return Verdict(False, "the record is not about programs")
        if not claims.holds(body.partition, writer, body.epoch):
            return Verdict(False, "the writer does not hold the partition")
        if isinstance(body, ProgramOpened):
            return self._open(body)
        program = self.program_by_id.get(body.program)
        if program is None:
            return Verdict(False, "the program is not open")
        if program.ended:
            return Verdict(False, "the program has ended")
        if isinstance(body, ProgramEnded):
            program.ended = body.reason or "ended"
            return ACCEPTED
        if isinstance(body, BudgetDrawn):
            drawn = Spend(body.tokens, body.calls, body.money_micros)
            program.drawn = program.drawn.max_with(drawn)
            return ACCEPTED
        return self._record_intent(writer, body, program)

    def find_intent(
        self, program: ProgramId, key: IdempotencyKey
    ) -> Intent | None:
        """Returns a program's intent, if any.

        Args:
            program: The program's ledger id.
            key: The caller's idempotency key.
        """
        found = self.program_by_id.get(program)
        return None if found is None else found.intent_by_key.get(key)

    def dump(self) -> object:
        """Returns the state as serializable values."""
        programs = [
            dump_program(name, program)
            for name, program in self.program_by_id.items()
        ]
        return [self.forgotten_before_ms, programs]

    def load(self, state: object) -> None:
        """Replaces the state by one that ``dump`` returned."""
        self.forgotten_before_ms, programs = cast(list[Any], state)
        self.program_by_id = dict(load_program(item) for item in programs)

    def _open(self, body: ProgramOpened) -> Verdict:
        if body.program in self.program_by_id:
            return Verdict(False, "the program is known already")
        opened_ms = max(
            body.opened_ms, issued_ms_of(root_of_ledger_id(body.program)) or 0
        )
        if opened_ms < self.forgotten_before_ms:
            return Verdict(False, "the program is older than the state")
        self.program_by_id[body.program] = LedgerProgram(
            account=body.account,
            program_class=body.program_class,
            partition=body.partition,
            opened_ms=opened_ms,
        )
        return ACCEPTED

    def _record_intent(
        self, writer: SessionId, body: IntentRecorded, program: LedgerProgram
    ) -> Verdict:
        if issued_ms_of(root_of_ledger_id(body.program)) is None:
            return Verdict(False, "the program's id was not issued")
        if body.key in program.intent_by_key:
            return Verdict(False, "the key is taken")
        program.intent_by_key[body.key] = Intent(
            session=writer,
            body_digest=body.body_digest,
            target=body.target,
            number=body.number,
        )
        return ACCEPTED

    def _record_outcome(self, body: OutcomeRecorded) -> Verdict:
        intent = self.find_intent(body.program, body.key)
        if intent is None:
            return Verdict(False, "no such intent")
        if intent.answer is not None or intent.closed:
            return Verdict(False, "the intent is settled")
        intent.answer = RecordedAnswer(
            body.status, body.content_type, body.body, body.whole
        )
        return ACCEPTED

    def _void_intent(
        self,
        writer: SessionId,
        body: IntentVoided,
        claims: Claims[PartitionId],
    ) -> Verdict:
        program = self.program_by_id.get(body.program)
        intent = self.find_intent(body.program, body.key)
        if program is None or intent is None:
            return Verdict(False, "no such intent")
        if intent.answer is not None or intent.closed:
            return Verdict(False, "the intent is settled")
        if body.closed:
            epoch = claims.epoch(program.partition)
            if not claims.holds(program.partition, writer, epoch):
                return Verdict(False, "the writer does not hold the program")
            intent.closed = True
            return ACCEPTED
        if intent.session != writer:
            return Verdict(False, "the intent is another session's")
        del program.intent_by_key[body.key]
        return ACCEPTED

    def _forget_programs(self, body: Forgotten) -> Verdict:
        if body.before_ms <= self.forgotten_before_ms:
            return Verdict(False, "what is forgotten only grows")
        self.forgotten_before_ms = body.before_ms
        for name, program in list(self.program_by_id.items()):
            if program.opened_ms >= body.before_ms:
                continue
            del self.program_by_id[name]
        return ACCEPTED
