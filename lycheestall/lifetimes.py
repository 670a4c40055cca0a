"""Ends programs: on request, at a limit, or after they vanished."""

from __future__ import annotations

from ._refusals import program_ended, program_limit_reached, program_too_old
from .ids import PartitionId
from .ledger_retention import due_forgotten_record
from .logs import failure_logger
from .outcomes import Reason, Refused
from .owner_dependencies import OwnerDependencies
from .program import Program
from .program_table import ProgramTable
from .records import ProgramEnded
from .rules.rule_set import ProgramLimits

__all__ = ["Lifetimes"]

FORGETTING_PARTITION = PartitionId(0)
SWEEPS_PER_CYCLE = 10
MIN_SWEEP_SIZE = 64


class Lifetimes:
    """Ends programs and checks their limits.

    Args:
        dependencies: The owner's dependencies.
        table: The live programs.
    """

    def __init__(
        self, dependencies: OwnerDependencies, table: ProgramTable
    ) -> None:
        self._dependencies = dependencies
        self._table = table
        self._unswept: list[Program] = []
        self._sweep_size = MIN_SWEEP_SIZE

    def end(self, program: Program, reason: str, refused: Refused) -> None:
        """Ends a program, its calls and its engine state, and records it.

        Args:
            program: The program, with its sub-agents.
            reason: Why it ends.
            refused: The answer to its open calls.
        """
        if program.ended:
            return
        program.ended = reason
        program.touch()
        program.stop_calls(refused)
        dependencies = self._dependencies
        dependencies.dispatcher.program_ended(program.name)
        record = ProgramEnded(
            program=program.name,
            partition=program.partition,
            epoch=dependencies.cell.epoch_of(program.partition),
            reason=reason,
        )
        written = dependencies.cell.submit(record)
        written.addErrback(
            failure_logger(
                "program end could not be recorded", program=program.name
            )
        )

    def sweep(self) -> None:
        """Ends programs that vanished or exceeded their time limit.

        Each sweep checks only a part of the programs to spread the cost;
        ``SWEEPS_PER_CYCLE`` sweeps check all of them.
        """
        if not self._unswept:
            self._unswept = list(self._table)
            share = len(self._unswept) // SWEEPS_PER_CYCLE + 1
            self._sweep_size = max(MIN_SWEEP_SIZE, share)
        part = self._unswept[: self._sweep_size]
        del self._unswept[: self._sweep_size]
        for program in part:
            if self._table.contains(program):
                self._check_limits(program)

    def _check_limits(self, program: Program) -> None:
        dependencies = self._dependencies
        idle_s = dependencies.clock.seconds() - program.active_at
        if program.ended:
            if idle_s > dependencies.settings.answer_retention_s:
                self._table.remove(program)
            return
        refused = self.time_limit_refusal(program)
        if refused is not None:
            self.end(program, "time limit", refused)
            return
        if program.run_by_key or idle_s < dependencies.settings.program_idle_s:
            return
        self.end(program, "vanished", program_ended("vanished"))

    def forget(self) -> None:
        """Drops old programs from the cell's state.

        Only the owner of ``FORGETTING_PARTITION`` does so, hence one VM
        per cell.
        """
        dependencies = self._dependencies
        if dependencies.cell.refusal(FORGETTING_PARTITION) is not None:
            return
        record = due_forgotten_record(
            dependencies.ledger(),
            wall_ms=dependencies.wall_ms(),
            keep_s=dependencies.settings.program_keep_s,
        )
        if record is not None and not dependencies.cell.log_unresponsive():
            written = dependencies.cell.submit(record)
            written.addErrback(
                failure_logger("dropping old programs could not be recorded")
            )

    def time_limit_refusal(self, program: Program) -> Refused | None:
        """Returns the refusal if a program exceeded its time limit."""
        if program.opened_ms < self._dependencies.ledger().forgotten_before_ms:
            return program_too_old()
        limits = self.limits(program)
        if limits.time_s is None:
            return None
        age_s = (self._dependencies.wall_ms() - program.opened_ms) / 1000
        if age_s < limits.time_s:
            return None
        return program_limit_reached(Reason.TIME_LIMIT, limits, "time_s")

    def turn_limit_refusal(self, program: Program) -> Refused | None:
        """Returns the refusal if a program reached its turn limit."""
        limits = self.limits(program)
        if limits.turns is None or program.turns < limits.turns:
            return None
        return program_limit_reached(Reason.TURN_LIMIT, limits, "turns")

    def limits(self, program: Program) -> ProgramLimits:
        """Returns a program's limits under the current rules."""
        return self._dependencies.rules().program_limits(
            program.account, program.program_class
        )
