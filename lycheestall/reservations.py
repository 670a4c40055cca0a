"""Clears a call against its program's budget and its account's limits."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from ._refusals import (
    account_limit_reached,
    budget_spent,
    log_unavailable,
)
from ._waiting import first_within
from .account_portions import LimitReached, PortionNeeded, Use
from .budget import (
    DrawNeeded,
    Exhausted,
    ReservationId,
    Reserved,
)
from .cell_view import WriteResult
from .ledger_program import Spend
from .logs import failure_logger
from .outcomes import Refused, Step
from .owner_ports import LOG_WAIT_S, OwnerPorts
from .program import Program
from .records import BudgetDrawn, PortionTaken
from .rules.rule_book import LimitKind

__all__ = ["Admitted", "Reservations"]

MAX_ROUNDS = 4


@dataclass(frozen=True, slots=True)
class Admitted:
    """What a call holds until it is settled.

    Attributes:
        reservation: Its part of the program's budget.
        use: Its part of the account's limits.
        bound: The most it may cost.
    """

    reservation: ReservationId
    use: Use
    bound: Spend


class Reservations:
    """Reserves before dispatch and settles after the answer.

    Args:
        ports: What the owner's side is plugged into.
    """

    def __init__(self, ports: OwnerPorts) -> None:
        self._ports = ports

    async def admit(
        self, program: Program, bound: Spend
    ) -> Admitted | Refused:
        """Reserves the most a call may cost.

        Waits for the log only where a grant has to be read back first.

        Args:
            program: The program that pays.
            bound: The most the call may cost.
        """
        reservation = await self._reserve(program, bound)
        if isinstance(reservation, Refused):
            return reservation
        use = await self._use(program, bound)
        if isinstance(use, Refused):
            program.budget.release(reservation)
            return use
        return Admitted(reservation, use, bound)

    def settle(
        self, program: Program, admitted: Admitted, actual: Spend
    ) -> None:
        """Replaces the reservation by the actual cost."""
        program.budget.settle(admitted.reservation, actual)
        self._settle_use(admitted, actual)

    def keep(self, program: Program, admitted: Admitted) -> None:
        """Keeps the whole reservation: the cost is unknown."""
        program.budget.keep(admitted.reservation)
        self._settle_use(admitted, admitted.bound)

    def release(self, program: Program, admitted: Admitted) -> None:
        """Gives the reservation back: the call was not run."""
        program.budget.release(admitted.reservation)
        self._settle_use(admitted, Spend())

    def draw(self, program: Program, totals: Spend) -> Deferred[WriteResult]:
        """Asks the log to grant a program's budget up to totals."""
        ports = self._ports
        record = BudgetDrawn(
            program=program.name,
            partition=program.partition,
            epoch=ports.cell.epoch_of(program.partition),
            tokens=totals.tokens,
            calls=totals.calls,
            money_micros=totals.money_micros,
        )

        def read_back(folded: WriteResult) -> WriteResult:
            if folded.verdict.accepted:
                program.budget.granted(totals)
            return folded

        return ports.cell.submit(record).addCallback(read_back)

    async def _reserve(
        self, program: Program, bound: Spend
    ) -> ReservationId | Refused:
        ports = self._ports
        for _ in range(MAX_ROUNDS):
            limits = ports.rules().program_limits(
                program.account, program.program_class
            )
            result = program.budget.reserve(bound, limits)
            if isinstance(result, Reserved):
                return result.reservation
            if isinstance(result, Exhausted):
                line = limits.lines.get(result.field.value)
                return budget_spent(result.field.value, line)
            if not await self._drawn(program, result):
                break
        return log_unavailable(
            Step.RESERVE, "the log has to grant more of the budget first"
        )

    async def _drawn(self, program: Program, need: DrawNeeded) -> bool:
        ports = self._ports
        if ports.cell.log_silent():
            return False
        drawn = self.draw(program, need.totals)
        folded = await first_within(drawn, LOG_WAIT_S, ports.clock)
        return folded is not None and folded.verdict.accepted

    async def _use(self, program: Program, bound: Spend) -> Use | Refused:
        ports = self._ports
        need_by_kind = {**_use_of(bound), LimitKind.CONCURRENCY: 1}
        for _ in range(MAX_ROUNDS):
            limits = ports.rules().account_limits(program.account)
            result = ports.shares.use(
                program.account,
                limits,
                need_by_kind,
                now=ports.clock.seconds(),
                now_ms=ports.wall_ms(),
            )
            if isinstance(result, Use):
                self._take_ahead(program)
                return result
            if isinstance(result, LimitReached):
                return account_limit_reached(result)
            if not await self._taken(result):
                break
        return log_unavailable(
            Step.ADMIT, "the log has to grant more of the account's limit"
        )

    async def _taken(self, need: PortionNeeded) -> bool:
        ports = self._ports
        if ports.cell.log_silent():
            for record in need.records:
                ports.shares.unasked(record)
            return False
        waits = [self._take(record) for record in need.records]
        for wait in waits:
            if await first_within(wait, LOG_WAIT_S, ports.clock) is None:
                return False
        return True

    def _take(self, record: PortionTaken) -> Deferred[WriteResult]:
        ports = self._ports

        def read_back(folded: WriteResult) -> WriteResult:
            ports.shares.asked_for(
                record,
                accepted=folded.verdict.accepted,
                now=ports.clock.seconds(),
            )
            return folded

        return ports.cell.submit(record).addCallback(read_back)

    def _take_ahead(self, program: Program) -> None:
        ports = self._ports
        if ports.cell.log_silent():
            return
        records = ports.shares.ahead(
            program.account,
            ports.rules().account_limits(program.account),
            now=ports.clock.seconds(),
            now_ms=ports.wall_ms(),
        )
        for record in records:
            taken = self._take(record)
            taken.addErrback(failure_logger("portion not taken ahead"))

    def _settle_use(self, admitted: Admitted, actual: Spend) -> None:
        self._ports.shares.settle(admitted.use, _use_of(actual))


def _use_of(spend: Spend) -> dict[LimitKind, int]:
    return {
        LimitKind.CALLS: spend.calls,
        LimitKind.TOKENS: spend.tokens,
        LimitKind.MONEY: spend.money_micros,
    }
