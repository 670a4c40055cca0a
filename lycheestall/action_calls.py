"""Starts actions: checks their keys, replays answers and keeps order."""

from __future__ import annotations

from dataclasses import replace
from hashlib import sha256

from ._refusals import order_refusal
from .action_run import ActionContext, ActionRun
from .answers import AnswerKey
from .call_order import EndedCallHandle
from .calls import Call, CallHandle, CallSink, ResponseHead
from .idempotent_action_run import IdempotentActionRun
from .ids import CallNumber, TargetId
from .ledger_program import Intent, RecordedAnswer
from .lifetimes import Lifetimes
from .outcomes import Completed, Failed, Outcome, Reason, Refused, Step
from .owner_dependencies import OwnerDependencies
from .program import Program
from .program_ids import IdOrigin, origin_of
from .program_table import ProgramTable
from .reservations import Reservations
from .sequencer import Duplicate, Released

__all__ = ["ActionCalls"]


class ActionCalls:
    """Starts actions: calls to applications and tool services.

    Args:
        dependencies: The owner's dependencies.
        reservations: Reserves the cost of calls.
        table: The live programs.
        lifetimes: Ends programs that reach a limit.
    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        reservations: Reservations,
        table: ProgramTable,
        lifetimes: Lifetimes,
    ) -> None:
        self._dependencies = dependencies
        self._context = ActionContext(
            dependencies, reservations, table, lifetimes
        )

    def start(
        self, call: Call, program: Program, sink: CallSink
    ) -> CallHandle:
        """Starts an action of a live program.

        Args:
            call: The call.
            program: Its top-level program.
            sink: Receives the answer.
        """
        method, _, path = call.operation.partition(" ")
        operation = f"{method} {path.partition('?')[0]}"
        rule = self._dependencies.rules().action(call.application, operation)
        digest = _call_digest(call)
        if rule.idempotent:
            return self._start_in_order(
                call, program, digest, sink, at_most_once=False
            )
        refused = self._check_key(call)
        if refused is not None:
            return _finish(sink, refused)
        running = program.action_by_key.get(call.idempotency_key)
        if running is not None:
            if running.digest != digest:
                return _finish(sink, _key_reused())
            return running.join(sink)
        intent = self._dependencies.ledger().find_intent(
            program.name, call.idempotency_key
        )
        if intent is not None:
            return self._replay(call, program, intent, digest, sink)
        return self._start_in_order(
            call, program, digest, sink, at_most_once=True
        )

    def _check_key(self, call: Call) -> Refused | None:
        if not call.idempotency_key:
            return Refused(
                Step.INTENT,
                Reason.KEY_MISSING,
                detail="the call must not be repeated and has no key",
                needs="header idempotency-key",
            )
        origin = origin_of(call.account, call.program, self._dependencies.keys)
        if origin is IdOrigin.ISSUED:
            return None
        return Refused(
            Step.INTENT,
            Reason.KEY_UNPROVEN,
            detail="nothing proves that the program's id is new",
            needs="a program id that the system issued",
        )

    def _replay(
        self,
        call: Call,
        program: Program,
        intent: Intent,
        digest: bytes,
        sink: CallSink,
    ) -> CallHandle:
        if intent.body_digest != digest:
            return _finish(sink, _key_reused())
        if intent.answer is not None:
            return self._replay_answer(call, intent, intent.answer, sink)
        if intent.closed:
            return _finish(sink, _key_closed(intent.target))
        run = ActionRun(
            self._context,
            replace(call, number=CallNumber(intent.number)),
            program,
            digest,
            recovered_key=call.idempotency_key,
        )
        reader = run.answer.attach(sink)
        run.recover(intent.target)
        return reader

    def _replay_answer(
        self,
        call: Call,
        intent: Intent,
        recorded: RecordedAnswer,
        sink: CallSink,
    ) -> CallHandle:
        key = AnswerKey(call.account, call.program, CallNumber(intent.number))
        answer = self._dependencies.answers.find(key)
        if answer is not None and isinstance(answer.outcome, Completed):
            return answer.attach(sink)
        if not recorded.whole:
            failed = Failed(
                Step.RECORD,
                Reason.ANSWER_GONE,
                peer=intent.target,
                detail=f"the call ran and was answered with status "
                f"{recorded.status}; the answer was too large to keep",
            )
            return _finish(sink, failed)
        headers = (
            ("content-type", recorded.content_type),
            ("lycheestall-program", call.program),
            ("lycheestall-call", str(intent.number)),
            ("lycheestall-outcome", "completed"),
        )
        sink.start(ResponseHead(recorded.status, headers))
        sink.chunk(recorded.body)
        return _finish(sink, Completed(peer=intent.target))

    def _start_in_order(
        self,
        call: Call,
        program: Program,
        digest: bytes,
        sink: CallSink,
        *,
        at_most_once: bool,
    ) -> CallHandle:
        order = program.agent(call.program).order
        offer = order.offer(call.number, digest)
        if isinstance(offer, Duplicate):
            return self._attach_duplicate(call, program, offer.number, sink)
        refused = order_refusal(offer)
        if refused is not None:
            return _finish(sink, refused)
        call = replace(call, number=offer.number)
        run_class = ActionRun if at_most_once else IdempotentActionRun
        run = run_class(self._context, call, program, digest)
        reader = run.answer.attach(sink)
        if isinstance(offer, Released):
            run.proceed()
        else:
            order.hold(offer.number, run)
        return reader

    def _attach_duplicate(
        self,
        call: Call,
        program: Program,
        number: CallNumber,
        sink: CallSink,
    ) -> CallHandle:
        key = AnswerKey(call.account, call.program, number)
        answer = self._dependencies.answers.find(key)
        if answer is not None:
            return answer.attach(sink)
        return _finish(
            sink,
            Failed(
                Step.RELAY,
                Reason.ANSWER_GONE,
                detail=f"call {number} ran; its answer is kept no longer",
            ),
        )


def _call_digest(call: Call) -> bytes:
    prefix = f"{call.application}\0{call.operation}\0".encode()
    return sha256(prefix + call.body).digest()


def _finish(sink: CallSink, outcome: Outcome) -> CallHandle:
    sink.finish(outcome)
    return EndedCallHandle()


def _key_reused() -> Refused:
    return Refused(
        Step.INTENT,
        Reason.KEY_REUSED,
        detail="the key names a call with another body or operation",
        needs="a new idempotency key",
    )


def _key_closed(target: TargetId) -> Refused:
    return Refused(
        Step.INTENT,
        Reason.TARGET_FAILED,
        peer=target,
        detail="the target closed the key without running the call",
        needs="a new idempotency key",
    )
