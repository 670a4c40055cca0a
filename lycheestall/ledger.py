"""What the log says of programs: opened, drawn, intents, ended."""

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
    KeptAnswer,
    LedgerProgram,
    Spend,
    dump_program,
    load_program,
)
from .program_ids import issued_ms_of, root_in_ledger
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
    """The part of the cell's fold that concerns programs.

    Attributes:
        program_by_id: Programs by their form in the log.
        forgotten_before_ms: Programs from before are dropped; an issued
            id from before that is not here is of unknown past.
    """

    def __init__(self) -> None:
        self.program_by_id: dict[ProgramId, LedgerProgram] = {}
        self.forgotten_before_ms = 0

    def lives(self, name: ProgramId) -> bool:
        """Returns whether a top-level program is open.

        Args:
            name: Its form in the log.
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
        """Takes a record; one of another kind is not accepted.

        Args:
            offset: Where the record is.
            writer: The session that wrote it.
            body: The record.
            claims: Who holds which partition at this offset.
        """
        if isinstance(body, Forgotten):
            return self._forget(body)
        if isinstance(body, OutcomeRecorded):
            return self._settle(body)
        if isinstance(body, IntentVoided):
            return self._void(writer, body, claims)
        if not isinstance(
            body, ProgramOpened | BudgetDrawn | ProgramEnded | IntentRecorded
        ):
            return Verdict(False, "no record of programs")
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
            program.drawn = program.drawn.at_least(drawn)
            return ACCEPTED
        return self._intend(writer, body, program)

    def intent(self, program: ProgramId, key: IdempotencyKey) -> Intent | None:
        """Returns a program's intent by key.

        Args:
            program: The program's form in the log.
            key: The caller's idempotency key.
        """
        found = self.program_by_id.get(program)
        return None if found is None else found.intent_by_key.get(key)

    def dump(self) -> object:
        """Returns the state as lists, strings, numbers and bytes."""
        programs = [
            dump_program(name, program)
            for name, program in self.program_by_id.items()
        ]
        return [self.forgotten_before_ms, programs]

    def load(self, state: object) -> None:
        """Replaces the state by one that ``dump`` made."""
        self.forgotten_before_ms, programs = cast(list[Any], state)
        self.program_by_id = dict(load_program(item) for item in programs)

    def _open(self, body: ProgramOpened) -> Verdict:
        if body.program in self.program_by_id:
            return Verdict(False, "the program is known already")
        opened_ms = max(
            body.opened_ms, issued_ms_of(root_in_ledger(body.program)) or 0
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

    def _intend(
        self, writer: SessionId, body: IntentRecorded, program: LedgerProgram
    ) -> Verdict:
        if issued_ms_of(root_in_ledger(body.program)) is None:
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

    def _settle(self, body: OutcomeRecorded) -> Verdict:
        intent = self.intent(body.program, body.key)
        if intent is None:
            return Verdict(False, "no such intent")
        if intent.answer is not None or intent.closed:
            return Verdict(False, "the intent is settled")
        intent.answer = KeptAnswer(
            body.status, body.content_type, body.body, body.whole
        )
        return ACCEPTED

    def _void(
        self,
        writer: SessionId,
        body: IntentVoided,
        claims: Claims[PartitionId],
    ) -> Verdict:
        program = self.program_by_id.get(body.program)
        intent = self.intent(body.program, body.key)
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

    def _forget(self, body: Forgotten) -> Verdict:
        if body.before_ms <= self.forgotten_before_ms:
            return Verdict(False, "what is forgotten only grows")
        self.forgotten_before_ms = body.before_ms
        for name, program in list(self.program_by_id.items()):
            if program.opened_ms >= body.before_ms:
                continue
            del self.program_by_id[name]
        return ACCEPTED
