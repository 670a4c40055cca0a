"""What idempotent and non-idempotent plain calls have in common."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from .answers import AnswerKey
from .application_picker import Runner
from .call_order import RunningCall
from .call_summary import summarize_call
from .calls import Call, ResponseHead
from .ids import IdempotencyKey, RequestId, TargetId
from .ledger_program import Spend
from .lifetimes import Lifetimes
from .outcomes import Completed, Failed, Outcome, Refused
from .owner_ports import OwnerPorts
from .program import Program
from .program_table import ProgramTable
from .reservations import Admitted, Reservations
from .rules.rule_book import ActionRule
from .targets import (
    ActionDone,
    ActionRequest,
    ActionResult,
    ActionUnknown,
)

__all__ = ["ActionBase", "ActionParts"]

NO_KEY = IdempotencyKey("")


@dataclass(frozen=True, slots=True)
class ActionParts:
    """What all plain calls share."""

    ports: OwnerPorts
    reservations: Reservations
    table: ProgramTable
    lifetimes: Lifetimes


class ActionBase(RunningCall):
    """A plain call that its program's order knows.

    Args:
        parts: What all plain calls share.
        call: The call, numbered.
        program: Its top-level program.
        digest: Digest of application, operation and body.
        adopted: The key of a call that a lost owner had numbered; it is
            outside the order of calls here.
    """

    def __init__(
        self,
        parts: ActionParts,
        call: Call,
        program: Program,
        digest: bytes,
        *,
        adopted: IdempotencyKey = NO_KEY,
    ) -> None:
        self.parts = parts
        self.ports = parts.ports
        self.call = call
        self.program = program
        self.digest = digest
        self.key = AnswerKey(call.account, call.program, call.number, adopted)
        self.deadline = self.ports.clock.seconds() + call.deadline_s
        self.order = program.agent(call.program).order
        self.answer = self.ports.answers.open(self.key)
        self.admitted: Admitted | None = None
        self.ended = False
        self.tried: frozenset[TargetId] = frozenset()
        self._passed = False
        program.run_by_key[self.key] = self

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have the call."""
        return self._passed

    @abstractmethod
    def proceed(self) -> None:
        """The calls before it have passed; it goes on."""

    @property
    def rule(self) -> ActionRule:
        """Returns the rule in force for the operation."""
        method, _, path = self.call.operation.partition(" ")
        operation = f"{method} {path.partition('?')[0]}"
        return self.ports.rules().action(self.call.application, operation)

    def pass_on(self) -> None:
        """Lets the next call go on: this one is at its target."""
        if not self._passed:
            self._passed = True
            self.order.accepted(self.call.number)

    async def admit(self) -> Refused | None:
        """Reserves the call's price; returns why that fails."""
        lifetimes = self.parts.lifetimes
        refused = lifetimes.out_of_time(self.program)
        if refused is not None:
            lifetimes.end(self.program, refused.reason.value, refused)
            return refused
        bound = Spend(0, 1, self.rule.price_micros)
        result = await self.parts.reservations.admit(self.program, bound)
        if isinstance(result, Refused):
            return result
        self.admitted = result
        return None

    def pick(self) -> Runner | Refused:
        """Chooses a runner that was not tried yet."""
        picked = self.ports.applications.pick(
            self.call.application, self.tried
        )
        if isinstance(picked, Runner):
            self.tried |= {picked.target}
        return picked

    def request(self, key: IdempotencyKey) -> ActionRequest:
        """Returns the call as it goes to a runner."""
        call = self.call
        method, _, path = call.operation.partition(" ")
        attempt = len(self.tried)
        return ActionRequest(
            request=RequestId(f"{call.program}.{call.number}.{attempt}"),
            program=call.program,
            number=call.number,
            method=method,
            path=path,
            body=call.body,
            key=key,
            deadline_s=max(0.0, self.deadline - self.ports.clock.seconds()),
        )

    def end(self, outcome: Outcome, answer: ActionDone | None = None) -> None:
        """Gives the caller the outcome and settles what was held."""
        if self.ended:
            return
        self.ended = True
        self._settle(outcome)
        program = self.program
        program.run_by_key.pop(self.key, None)
        program.touch()
        program.recent_calls.append(
            summarize_call(self.key, "action", outcome)
        )
        if answer is not None:
            self.answer.start(self._head(answer))
            self.answer.chunk(answer.body)
        self.answer.finish(outcome)
        if isinstance(outcome, Refused):
            self.ports.answers.discard(self.key)
        else:
            self.ports.answers.finished(self.key)
        if not self.key.adopted:
            self._leave_order(outcome)

    def give_back(self) -> None:
        """Releases what a call that has ended still holds."""
        if self.admitted is not None:
            self.parts.reservations.release(self.program, self.admitted)
            self.admitted = None

    async def send_to(
        self, runner: Runner, key: IdempotencyKey
    ) -> ActionResult:
        """Sends the call to a runner, once."""
        try:
            answer = await runner.application.call(
                self.request(key), may_send=self._may_send
            )
        except Exception as error:
            answer = ActionUnknown(f"the client failed: {error!r}")
        self.ports.applications.record_result(runner.target, answer)
        return answer

    def _may_send(self) -> bool:
        """Asked by the client when the connection is open."""
        return self.ports.cell.refusal(self.program.partition) is None

    def _leave_order(self, outcome: Outcome) -> None:
        number = self.call.number
        self.order.drop(number)
        if isinstance(outcome, Refused):
            self.order.refused(number)
        else:
            self.order.accepted(number)

    def _settle(self, outcome: Outcome) -> None:
        if self.admitted is None:
            return
        reservations = self.parts.reservations
        if isinstance(outcome, Refused):
            reservations.release(self.program, self.admitted)
        elif isinstance(outcome, Failed):
            reservations.charge_in_full(self.program, self.admitted)
        else:
            assert isinstance(outcome, Completed)
            reservations.settle(
                self.program, self.admitted, self.admitted.upper_bound
            )
        self.admitted = None

    def _head(self, answer: ActionDone) -> ResponseHead:
        receipt = self.program.receipt(
            self.call.program,
            epoch=self.ports.cell.epoch_of(self.program.partition),
        )
        return ResponseHead(
            answer.status,
            (
                ("content-type", answer.content_type),
                ("lycheestall-program", self.call.program),
                ("lycheestall-call", str(self.call.number)),
                ("lycheestall-receipt", self.ports.signer.sign(receipt)),
                ("lycheestall-outcome", "completed"),
            ),
        )
