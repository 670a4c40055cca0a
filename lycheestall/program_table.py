"""Finds, opens and hands over the live programs of this VM."""

from __future__ import annotations

from collections.abc import Iterator

import cbor2
from twisted.internet.defer import Deferred

from ._refusals import (
    log_unavailable,
    program_ended,
    program_unproven,
)
from ._waiting import result_within
from .budget import Budget
from .calls import Call
from .cell_view import WriteResult
from .ids import PartitionId, ProgramId, root_program
from .ledger import Ledger
from .ledger_program import LedgerProgram, Spend
from .logs import failure_logger
from .outcomes import Reason, Refused, Step
from .owner_dependencies import LOG_WAIT_S, OwnerDependencies
from .program import Program
from .program_ids import IdOrigin, issued_ms_of, ledger_id, origin_of
from .records import ProgramOpened
from .reservations import Reservations
from .rules.rule_set import ProgramLimits

__all__ = ["ProgramTable"]

MAY_MISS_PROGRAMS_KEY = "unproven"


class ProgramTable:
    """The live programs by ledger id.

    A partition may miss programs if its previous owner failed, since that
    owner may have opened programs that never reached the log.

    Args:
        dependencies: The owner's dependencies.
        reservations: Draws the initial budget of new programs.
    """

    def __init__(
        self, dependencies: OwnerDependencies, reservations: Reservations
    ) -> None:
        self._dependencies = dependencies
        self._reservations = reservations
        self._program_by_name: dict[ProgramId, Program] = {}
        self._opening_by_name: dict[ProgramId, Deferred[WriteResult]] = {}
        self._may_miss_programs: set[PartitionId] = set()
        self._taken_over_s: dict[PartitionId, float] = {}

    def __iter__(self) -> Iterator[Program]:
        """Yields the live programs."""
        yield from list(self._program_by_name.values())

    def take_over(
        self,
        partition: PartitionId,
        program_states: dict[str, bytes],
        *,
        may_miss_programs: bool,
    ) -> None:
        """Takes over a partition's programs.

        Args:
            partition: The partition.
            program_states: Live state by program, from a graceful handover.
            may_miss_programs: Whether there may be programs that are not
                in the log.
        """
        self.drop(partition)
        if may_miss_programs or MAY_MISS_PROGRAMS_KEY in program_states:
            self._may_miss_programs.add(partition)
            self._taken_over_s[partition] = self._dependencies.clock.seconds()
        for name, data in program_states.items():
            if name == MAY_MISS_PROGRAMS_KEY:
                continue
            program = Program.restored(
                cbor2.loads(data),
                partition=partition,
                clock=self._dependencies.clock,
                gap_hold_s=self._dependencies.settings.gap_hold_s,
                answers=self._dependencies.answers,
            )
            program.taken_over_s = self._taken_over_s.get(partition)
            self._program_by_name[program.name] = program

    def drop(self, partition: PartitionId) -> None:
        """Removes a partition's programs; running calls continue."""
        self._may_miss_programs.discard(partition)
        self._taken_over_s.pop(partition, None)
        for program in self.in_partition(partition):
            del self._program_by_name[program.name]
            self._opening_by_name.pop(program.name, None)

    def in_partition(self, partition: PartitionId) -> list[Program]:
        """Returns the live programs of a partition."""
        return [
            program
            for program in self._program_by_name.values()
            if program.partition == partition
        ]

    def dump(self, partition: PartitionId) -> dict[str, bytes]:
        """Returns the live state by program, for a handover.

        The next owner learns that the partition may miss programs: the
        first call of a program since the failure may arrive there.
        """
        program_states: dict[str, bytes] = {
            program.name: cbor2.dumps(program.dump(self._dependencies.answers))
            for program in self.in_partition(partition)
            if not program.ended
        }
        if partition in self._may_miss_programs:
            program_states[MAY_MISS_PROGRAMS_KEY] = b""
        return program_states

    def remove(self, program: Program) -> None:
        """Removes a program that has ended."""
        self._program_by_name.pop(program.name, None)

    def contains(self, program: Program) -> bool:
        """Returns whether the table still has this program object."""
        return self._program_by_name.get(program.name) is program

    def is_live(self, name: ProgramId) -> bool:
        """Returns whether the program with a ledger id is live here."""
        program = self._program_by_name.get(name)
        return program is not None and not program.ended

    def find(self, call: Call) -> Program | None:
        """Returns a call's program if the table has it."""
        name = ledger_id(call.account, call.program)
        return self._program_by_name.get(name)

    def may_exist(self, call: Call) -> bool:
        """Returns whether a call's program exists, or may exist."""
        name = ledger_id(call.account, call.program)
        if name in self._program_by_name:
            return True
        if name in self._dependencies.ledger().program_by_id:
            return True
        origin = origin_of(call.account, call.program, self._dependencies.keys)
        return origin is IdOrigin.ISSUED and bool(self._may_miss_programs)

    def get_or_open(
        self, call: Call, partition: PartitionId
    ) -> Program | Refused:
        """Returns a call's program, opening it if it is new.

        Args:
            call: A call of the program.
            partition: The partition that the program belongs to.
        """
        name = ledger_id(call.account, call.program)
        ledger = self._dependencies.ledger()
        known = ledger.program_by_id.get(name)
        program = self._program_by_name.get(name)
        ended = (program and program.ended) or (known and known.ended)
        if ended:
            return program_ended(ended)
        if program is not None:
            program.touch()
            return program
        refused = self._open_refusal(call, known, ledger)
        if refused is not None:
            return refused
        return self._open(call, partition, name, known)

    async def ensure_recorded(self, program: Program) -> Refused | None:
        """Waits until the log has recorded that a program is open.

        Returns:
            The refusal if the log does not record it in time; else None.
        """
        dependencies = self._dependencies
        if program.recorded or self._is_open(program):
            program.recorded = True
            return None
        unavailable = log_unavailable(
            Step.OPEN, "the log has to record the program first"
        )
        if dependencies.cell.log_unresponsive():
            return unavailable
        opening = self._opening_by_name.get(program.name)
        if opening is None:
            opening = self._record(program)
        result = await result_within(opening, LOG_WAIT_S, dependencies.clock)
        if result is None or not self._is_open(program):
            return unavailable
        program.recorded = True
        return None

    def _open_refusal(
        self, call: Call, known: LedgerProgram | None, ledger: Ledger
    ) -> Refused | None:
        origin = origin_of(call.account, call.program, self._dependencies.keys)
        if origin is IdOrigin.FORGED:
            return Refused(
                Step.OPEN,
                Reason.PROGRAM_UNKNOWN,
                detail="the program id was not issued to this account",
            )
        issued_ms = issued_ms_of(call.program)
        if known is not None or issued_ms is None:
            return None
        if issued_ms < ledger.forgotten_before_ms:
            return program_unproven(call)
        return None

    def _open(
        self,
        call: Call,
        partition: PartitionId,
        name: ProgramId,
        known: LedgerProgram | None,
    ) -> Program:
        dependencies = self._dependencies
        program_class = call.program_class
        opened_ms = max(
            dependencies.wall_ms(), issued_ms_of(call.program) or 0
        )
        if known is not None:
            program_class, opened_ms = known.program_class, known.opened_ms
        limits = dependencies.rules().program_limits(
            call.account, program_class
        )
        may_miss_programs = partition in self._may_miss_programs
        program = Program(
            account=call.account,
            root=root_program(call.program),
            name=name,
            program_class=program_class,
            partition=partition,
            opened_ms=opened_ms,
            budget=Budget.after_takeover(
                known.drawn if known is not None else None,
                limits,
                may_have_unrecorded_spend=may_miss_programs
                or known is not None,
            ),
            clock=dependencies.clock,
            gap_hold_s=dependencies.settings.gap_hold_s,
            history_known=known is None and not may_miss_programs,
            recorded=known is not None,
            active_at=dependencies.clock.seconds(),
            taken_over_s=self._taken_over_s.get(partition),
        )
        self._program_by_name[name] = program
        if known is None:
            self._record(program)
            self._draw_initial_budget(program, limits)
        return program

    def _draw_initial_budget(
        self, program: Program, limits: ProgramLimits
    ) -> None:
        totals = program.budget.initial_draw(limits)
        if totals != Spend():
            drawn = self._reservations.draw(program, totals)
            drawn.addErrback(
                failure_logger(
                    "initial budget draw failed", program=program.name
                )
            )

    def _record(self, program: Program) -> Deferred[WriteResult]:
        dependencies = self._dependencies
        record = ProgramOpened(
            program=program.name,
            account=program.account,
            program_class=program.program_class,
            partition=program.partition,
            epoch=dependencies.cell.epoch_of(program.partition),
            opened_ms=program.opened_ms,
        )
        opening = dependencies.cell.submit(record)
        self._opening_by_name[program.name] = opening

        def read_back(result: WriteResult) -> WriteResult:
            program.recorded = program.recorded or result.verdict.accepted
            self._opening_by_name.pop(program.name, None)
            return result

        opening.addCallback(read_back)
        opening.addErrback(self._on_record_failed, program.name)
        return opening

    def _on_record_failed(
        self, _: object, name: ProgramId
    ) -> WriteResult | None:
        self._opening_by_name.pop(name, None)
        return None

    def _is_open(self, program: Program) -> bool:
        if program.recorded:
            return True
        known = self._dependencies.ledger().program_by_id.get(program.name)
        return known is not None and not known.ended
