"""Ends programs: at their caller's wish, at a limit, or when vanished."""

from __future__ import annotations

from ._refusals import program_ended, program_limit_reached, program_too_old
from .ids import PartitionId
from .ledger_retention import due_forgotten_record
from .logs import failure_logger
from .outcomes import Reason, Refused
from .owner_ports import OwnerPorts
from .program import Program
from .program_table import ProgramTable
from .records import ProgramEnded
from .rules.rule_set import ProgramLimits

__all__ = ["Lifetimes"]

FORGETTING_PARTITION = PartitionId(0)
SWEEPS_PER_ROUND = 10
LEAST_SWEPT = 64


class Lifetimes:
    """Decides and carries out the end of programs.

    Args:
        ports: What the owner's side is plugged into.
        table: The live programs.
    """

    def __init__(self, ports: OwnerPorts, table: ProgramTable) -> None:
        self._ports = ports
        self._table = table
        self._unswept: list[Program] = []
        self._sweep_size = LEAST_SWEPT

    def end(self, program: Program, reason: str, refused: Refused) -> None:
        """Ends a program: its calls, its engines' memory, its record.

        Args:
            program: The program, with its sub-agents.
            reason: Why it ends.
            refused: What callers of calls under way are told.
        """
        if program.ended:
            return
        program.ended = reason
        program.touch()
        program.stop_calls(refused)
        ports = self._ports
        ports.dispatcher.program_ended(program.name)
        record = ProgramEnded(
            program=program.name,
            partition=program.partition,
            epoch=ports.cell.epoch_of(program.partition),
            reason=reason,
        )
        written = ports.cell.submit(record)
        written.addErrback(
            failure_logger("end not recorded", program=program.name)
        )

    def sweep(self) -> None:
        """Ends programs that vanished or ran out of time.

        Each sweep looks at a part of the programs, so that its cost is
        spread; ``SWEEPS_PER_ROUND`` sweeps look at all.
        """
        if not self._unswept:
            self._unswept = list(self._table)
            share = len(self._unswept) // SWEEPS_PER_ROUND + 1
            self._sweep_size = max(LEAST_SWEPT, share)
        part = self._unswept[: self._sweep_size]
        del self._unswept[: self._sweep_size]
        for program in part:
            if self._table.contains(program):
                self._look_at(program)

    def _look_at(self, program: Program) -> None:
        ports = self._ports
        idle_s = ports.clock.seconds() - program.active_at
        if program.ended:
            if idle_s > ports.settings.answer_retention_s:
                self._table.remove(program)
            return
        refused = self.out_of_time(program)
        if refused is not None:
            self.end(program, "time limit", refused)
            return
        if program.run_by_key or idle_s < ports.settings.program_idle_s:
            return
        self.end(program, "vanished", program_ended("vanished"))

    def forget(self) -> None:
        """Drops old programs from the state; one VM of the cell does."""
        ports = self._ports
        if ports.cell.refusal(FORGETTING_PARTITION) is not None:
            return
        record = due_forgotten_record(
            ports.ledger(),
            wall_ms=ports.wall_ms(),
            keep_s=ports.settings.program_keep_s,
        )
        if record is not None and not ports.cell.log_silent():
            written = ports.cell.submit(record)
            written.addErrback(failure_logger("forgetting not recorded"))

    def out_of_time(self, program: Program) -> Refused | None:
        """Returns the refusal of a program past its time limit."""
        if program.opened_ms < self._ports.ledger().forgotten_before_ms:
            return program_too_old()
        limits = self.limits(program)
        if limits.time_s is None:
            return None
        age_s = (self._ports.wall_ms() - program.opened_ms) / 1000
        if age_s < limits.time_s:
            return None
        return program_limit_reached(Reason.TIME_LIMIT, limits, "time_s")

    def out_of_turns(self, program: Program) -> Refused | None:
        """Returns the refusal of a program past its turn limit."""
        limits = self.limits(program)
        if limits.turns is None or program.turns < limits.turns:
            return None
        return program_limit_reached(Reason.TURN_LIMIT, limits, "turns")

    def limits(self, program: Program) -> ProgramLimits:
        """Returns a program's limits under the rules in force."""
        return self._ports.rules().program_limits(
            program.account, program.program_class
        )
