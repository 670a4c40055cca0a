"""The common base of idempotent and non-idempotent actions."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from .answers import AnswerKey
from .application_picker import ApplicationTarget
from .call_order import RunningCall
from .call_summary import summarize_call
from .calls import Call, ResponseHead
from .ids import IdempotencyKey, RequestId, TargetId
from .ledger_program import Spend
from .lifetimes import Lifetimes
from .outcomes import Completed, Failed, Outcome, Refused
from .owner_dependencies import OwnerDependencies
from .program import Program
from .program_table import ProgramTable
from .reservations import Admitted, Reservations
from .rules.rule_set import ActionRule
from .targets import (
    ActionDone,
    ActionRequest,
    ActionResult,
    ActionUnknown,
)

__all__ = ["ActionBase", "ActionContext"]

NO_KEY = IdempotencyKey("")


@dataclass(frozen=True, slots=True)
class ActionContext:
    """The dependencies that all actions share.

    Attributes:
        dependencies: The owner's dependencies.
        reservations: Reserves the cost of calls.
        table: The live programs.
        lifetimes: Ends programs that reach a limit.
    """

    dependencies: OwnerDependencies
    reservations: Reservations
    table: ProgramTable
    lifetimes: Lifetimes


class ActionBase(RunningCall):
    """An action from its arrival to its outcome.

    Args:
        context: The dependencies that all actions share.
        call: The call, with its number assigned.
        program: Its top-level program.
        digest: Digest of the application, operation and body.
        recovered_key: The idempotency key of a call that was numbered by
            an owner that failed; it is not part of the order here.
    """

    def __init__(
        self,
        context: ActionContext,
        call: Call,
        program: Program,
        digest: bytes,
        *,
        recovered_key: IdempotencyKey = NO_KEY,
    ) -> None:
        self.context = context
        self.dependencies = context.dependencies
        self.call = call
        self.program = program
        self.digest = digest
        self.key = AnswerKey(
            call.account, call.program, call.number, recovered_key
        )
        self.deadline = self.dependencies.clock.seconds() + call.deadline_s
        self.order = program.agent(call.program).order
        self.answer = self.dependencies.answers.open(self.key)
        self.admitted: Admitted | None = None
        self.ended = False
        self.tried_targets: frozenset[TargetId] = frozenset()
        self._may_have_been_sent = False
        program.run_by_key[self.key] = self

    @property
    def may_have_run(self) -> bool:
        """Whether a target has received the call, or may have."""
        return self._may_have_been_sent

    @abstractmethod
    def proceed(self) -> None:
        """Starts the call, which the sequencer has released."""

    @property
    def rule(self) -> ActionRule:
        """Returns the rule in force for the call's operation."""
        method, _, path = self.call.operation.partition(" ")
        operation = f"{method} {path.partition('?')[0]}"
        return self.dependencies.rules().action(
            self.call.application, operation
        )

    def mark_sent(self) -> None:
        """Records that the call is being sent; releases the next call."""
        if not self._may_have_been_sent:
            self._may_have_been_sent = True
            self.order.accepted(self.call.number)

    async def admit(self) -> Refused | None:
        """Reserves the call's cost; returns a refusal if that fails."""
        lifetimes = self.context.lifetimes
        refused = lifetimes.time_limit_refusal(self.program)
        if refused is not None:
            lifetimes.end(self.program, refused.reason.value, refused)
            return refused
        upper_bound = Spend(0, 1, self.rule.price_micros)
        result = await self.context.reservations.admit(
            self.program, upper_bound
        )
        if isinstance(result, Refused):
            return result
        self.admitted = result
        return None

    def pick_target(self) -> ApplicationTarget | Refused:
        """Returns a target that was not tried yet, and marks it tried."""
        picked = self.dependencies.applications.pick(
            self.call.application, self.tried_targets
        )
        if isinstance(picked, ApplicationTarget):
            self.tried_targets |= {picked.target}
        return picked

    def build_request(self, key: IdempotencyKey) -> ActionRequest:
        """Returns the request to send to the target picked last."""
        call = self.call
        method, _, path = call.operation.partition(" ")
        attempt = len(self.tried_targets)
        return ActionRequest(
            request=RequestId(f"{call.program}.{call.number}.{attempt}"),
            program=call.program,
            number=call.number,
            method=method,
            path=path,
            body=call.body,
            key=key,
            deadline_s=max(
                0.0, self.deadline - self.dependencies.clock.seconds()
            ),
        )

    def end(self, outcome: Outcome, answer: ActionDone | None = None) -> None:
        """Ends the call once: settles its reservation and answers it."""
        if self.ended:
            return
        self.ended = True
        self._settle_reservation(outcome)
        program = self.program
        program.run_by_key.pop(self.key, None)
        program.touch()
        program.recent_calls.append(
            summarize_call(self.key, "action", outcome)
        )
        if answer is not None:
            self.answer.start(self._response_head(answer))
            self.answer.chunk(answer.body)
        self.answer.finish(outcome)
        if isinstance(outcome, Refused):
            self.dependencies.answers.discard(self.key)
        else:
            self.dependencies.answers.mark_finished(self.key)
        if not self.key.recovered_key:
            self._remove_from_order(outcome)

    def release_reservation(self) -> None:
        """Releases a reservation made after the call had ended."""
        if self.admitted is not None:
            self.context.reservations.release(self.program, self.admitted)
            self.admitted = None

    async def send_to(
        self, picked: ApplicationTarget, key: IdempotencyKey
    ) -> ActionResult:
        """Sends the call to a target, once."""
        try:
            answer = await picked.application.call(
                self.build_request(key), may_send=self._may_send
            )
        except Exception as error:
            answer = ActionUnknown(f"the client failed: {error!r}")
        self.dependencies.applications.record_result(picked.target, answer)
        return answer

    def _may_send(self) -> bool:
        """Returns whether this VM may act on the program's partition.

        The client asks this once the connection is open.
        """
        return self.dependencies.cell.refusal(self.program.partition) is None

    def _remove_from_order(self, outcome: Outcome) -> None:
        number = self.call.number
        self.order.drop(number)
        if isinstance(outcome, Refused):
            self.order.refused(number)
        else:
            self.order.accepted(number)

    def _settle_reservation(self, outcome: Outcome) -> None:
        if self.admitted is None:
            return
        reservations = self.context.reservations
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

    def _response_head(self, answer: ActionDone) -> ResponseHead:
        receipt = self.program.receipt(
            self.call.program,
            epoch=self.dependencies.cell.epoch_of(self.program.partition),
        )
        return ResponseHead(
            answer.status,
            (
                ("content-type", answer.content_type),
                ("lycheestall-program", self.call.program),
                ("lycheestall-call", str(self.call.number)),
                (
                    "lycheestall-receipt",
                    self.dependencies.signer.sign(receipt),
                ),
                ("lycheestall-outcome", "completed"),
            ),
        )
