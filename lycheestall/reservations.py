"""Admits calls against their program's budget and account's limits."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from ._refusals import (
    account_limit_reached,
    budget_spent,
    log_unavailable,
)
from ._waiting import result_within
from .account_portions import LimitReached, LimitReservation, PortionNeeded
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
from .owner_dependencies import LOG_WAIT_S, OwnerDependencies
from .program import Program
from .records import BudgetDrawn, PortionTaken
from .rules.rule_set import LimitKind

__all__ = ["Admitted", "Reservations"]

MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class Admitted:
    """What a call has reserved until it is settled.

    Attributes:
        reservation: Its reservation of the program's budget.
        limit_reservation: Its reservation of the account's limits.
        upper_bound: The most that it may cost.
    """

    reservation: ReservationId
    limit_reservation: LimitReservation
    upper_bound: Spend


class Reservations:
    """Reserves a call's cost before dispatch and settles it afterwards.

    Args:
        dependencies: The owner's dependencies.
    """

    def __init__(self, dependencies: OwnerDependencies) -> None:
        self._dependencies = dependencies

    async def admit(
        self, program: Program, upper_bound: Spend
    ) -> Admitted | Refused:
        """Reserves the most that a call may cost.

        Waits for the log only if it has to grant more first.

        Args:
            program: The program whose budget is charged.
            upper_bound: The most that the call may cost.
        """
        reservation = await self._reserve(program, upper_bound)
        if isinstance(reservation, Refused):
            return reservation
        limit_reservation = await self._reserve_limits(program, upper_bound)
        if isinstance(limit_reservation, Refused):
            program.budget.release(reservation)
            return limit_reservation
        return Admitted(reservation, limit_reservation, upper_bound)

    def settle(
        self, program: Program, admitted: Admitted, actual: Spend
    ) -> None:
        """Replaces the reservation by the actual cost."""
        program.budget.settle(admitted.reservation, actual)
        self._settle_limits(admitted, actual)

    def charge_in_full(self, program: Program, admitted: Admitted) -> None:
        """Charges all of the reservation; the cost is unknown."""
        program.budget.charge_in_full(admitted.reservation)
        self._settle_limits(admitted, admitted.upper_bound)

    def release(self, program: Program, admitted: Admitted) -> None:
        """Releases the reservation of a call that was not run."""
        program.budget.release(admitted.reservation)
        self._settle_limits(admitted, Spend())

    def draw(self, program: Program, totals: Spend) -> Deferred[WriteResult]:
        """Asks the log to grant a program's budget up to these totals."""
        dependencies = self._dependencies
        record = BudgetDrawn(
            program=program.name,
            partition=program.partition,
            epoch=dependencies.cell.epoch_of(program.partition),
            tokens=totals.tokens,
            calls=totals.calls,
            money_micros=totals.money_micros,
        )

        def read_back(result: WriteResult) -> WriteResult:
            if result.verdict.accepted:
                program.budget.record_grant(totals)
            return result

        return dependencies.cell.submit(record).addCallback(read_back)

    async def _reserve(
        self, program: Program, upper_bound: Spend
    ) -> ReservationId | Refused:
        dependencies = self._dependencies
        for _ in range(MAX_ATTEMPTS):
            limits = dependencies.rules().program_limits(
                program.account, program.program_class
            )
            result = program.budget.reserve(upper_bound, limits)
            if isinstance(result, Reserved):
                return result.reservation
            if isinstance(result, Exhausted):
                line = limits.lines.get(result.field.value)
                return budget_spent(result.field.value, line)
            if not await self._draw_granted(program, result):
                break
        return log_unavailable(
            Step.RESERVE, "the log has to grant more of the budget first"
        )

    async def _draw_granted(self, program: Program, need: DrawNeeded) -> bool:
        dependencies = self._dependencies
        if dependencies.cell.log_unresponsive():
            return False
        drawn = self.draw(program, need.totals)
        result = await result_within(drawn, LOG_WAIT_S, dependencies.clock)
        return result is not None and result.verdict.accepted

    async def _reserve_limits(
        self, program: Program, upper_bound: Spend
    ) -> LimitReservation | Refused:
        dependencies = self._dependencies
        need_by_kind = {
            **_amount_by_kind(upper_bound),
            LimitKind.CONCURRENCY: 1,
        }
        for _ in range(MAX_ATTEMPTS):
            limits = dependencies.rules().account_limits(program.account)
            result = dependencies.account_portions.reserve(
                program.account,
                limits,
                need_by_kind,
                now=dependencies.clock.seconds(),
                now_ms=dependencies.wall_ms(),
            )
            if isinstance(result, LimitReservation):
                self._prefetch_portions(program)
                return result
            if isinstance(result, LimitReached):
                return account_limit_reached(result)
            if not await self._portions_granted(result):
                break
        return log_unavailable(
            Step.ADMIT, "the log has to grant more of the account's limit"
        )

    async def _portions_granted(self, need: PortionNeeded) -> bool:
        dependencies = self._dependencies
        if dependencies.cell.log_unresponsive():
            for record in need.records:
                dependencies.account_portions.cancel_request(record)
            return False
        waits = [self._request_portion(record) for record in need.records]
        for wait in waits:
            if (
                await result_within(wait, LOG_WAIT_S, dependencies.clock)
                is None
            ):
                return False
        return True

    def _request_portion(self, record: PortionTaken) -> Deferred[WriteResult]:
        dependencies = self._dependencies

        def read_back(result: WriteResult) -> WriteResult:
            dependencies.account_portions.record_reply(
                record,
                accepted=result.verdict.accepted,
                now=dependencies.clock.seconds(),
            )
            return result

        return dependencies.cell.submit(record).addCallback(read_back)

    def _prefetch_portions(self, program: Program) -> None:
        dependencies = self._dependencies
        if dependencies.cell.log_unresponsive():
            return
        records = dependencies.account_portions.prefetch(
            program.account,
            dependencies.rules().account_limits(program.account),
            now=dependencies.clock.seconds(),
            now_ms=dependencies.wall_ms(),
        )
        for record in records:
            taken = self._request_portion(record)
            taken.addErrback(failure_logger("prefetch of a portion failed"))

    def _settle_limits(self, admitted: Admitted, actual: Spend) -> None:
        self._dependencies.account_portions.settle(
            admitted.limit_reservation, _amount_by_kind(actual)
        )


def _amount_by_kind(spend: Spend) -> dict[LimitKind, int]:
    return {
        LimitKind.CALLS: spend.calls,
        LimitKind.TOKENS: spend.tokens,
        LimitKind.MONEY: spend.money_micros,
    }
