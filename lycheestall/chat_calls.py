"""Starts chat calls: checks their receipts and keeps their order."""

from __future__ import annotations

from dataclasses import replace
from hashlib import sha256

from ._refusals import order_refusal, receipt_required
from .answers import AnswerKey
from .call_order import EndedCallHandle
from .calls import Call, CallHandle, CallKind, CallSink
from .chat_body import ChatBody, InvalidBody, parse_chat
from .chat_run import ChatContext, ChatRun
from .history import ASSISTANT
from .ids import CallNumber
from .lifetimes import Lifetimes
from .outcomes import Failed, Reason, Refused, Step
from .owner_dependencies import OwnerDependencies
from .program import Agent, Program
from .receipts import InvalidReceipt, Receipt
from .reservations import Reservations
from .sequencer import Duplicate, OfferResult, Released

__all__ = ["ChatCalls"]

EMPTY_BODY = ChatBody((), 1, 1, b"")


class ChatCalls:
    """Starts chat calls.

    Args:
        dependencies: The owner's dependencies.
        reservations: Reserves the cost of calls.
        lifetimes: Ends programs that reach a limit.
    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        reservations: Reservations,
        lifetimes: Lifetimes,
    ) -> None:
        self._dependencies = dependencies
        self._context = ChatContext(dependencies, reservations, lifetimes)

    def start(
        self, call: Call, program: Program, sink: CallSink
    ) -> CallHandle:
        """Starts a chat call of a live program.

        Args:
            call: The call.
            program: Its top-level program.
            sink: Receives the answer.
        """
        body = parse_chat(call.body)
        if isinstance(body, InvalidBody):
            return _refuse(
                sink,
                Refused(Step.PARSE, Reason.BAD_REQUEST, detail=body.error),
            )
        agent = program.agent(call.program)
        refused = self._restore_history(call, program, agent, body)
        if refused is not None:
            return _refuse(sink, refused)
        digest = sha256(body.engine_body).digest()
        offer = agent.order.offer(call.number, digest)
        if isinstance(offer, Duplicate):
            return self._attach_duplicate(
                call, program, agent, offer.number, sink
            )
        refused = order_refusal(offer)
        if refused is not None:
            return _refuse(sink, refused)
        return self._start_in_order(call, program, agent, body, offer, sink)

    def resume_stream(
        self, call: Call, program: Program, sink: CallSink
    ) -> CallHandle | None:
        """Resumes a stream that was started by an owner that failed.

        Args:
            call: A resume call with the receipt from the stream's head.
            program: Its top-level program.
            sink: Receives the rest of the answer.

        Returns:
            None if the receipt does not identify a stream that can be
            resumed.
        """
        receipt = self._dependencies.signer.verify(call.receipt)
        agent = program.agent(call.program)
        if isinstance(receipt, InvalidReceipt) or not receipt.request:
            return None
        subject = (receipt.account, receipt.program, receipt.point.number)
        if subject != (call.account, call.program, call.number):
            return None
        if program.history_known or agent.history.points:
            return None
        agent.order.sequencer.expected = call.number
        offer = agent.order.offer(call.number, receipt.point.digest)
        if not isinstance(offer, Released):
            return None
        call = replace(call, kind=CallKind.CHAT, streamed=True)
        run = ChatRun(
            self._context, call, program, agent, EMPTY_BODY, call.number
        )
        reader = run.answer.attach(sink, call.resume_from)
        run.resume_stream(receipt)
        return reader

    def _start_in_order(
        self,
        call: Call,
        program: Program,
        agent: Agent,
        body: ChatBody,
        offer: OfferResult,
        sink: CallSink,
    ) -> CallHandle:
        run = ChatRun(self._context, call, program, agent, body, offer.number)
        reader = run.answer.attach(sink)
        if isinstance(offer, Released):
            run.proceed()
        else:
            agent.order.hold(offer.number, run)
        return reader

    def _attach_duplicate(
        self,
        call: Call,
        program: Program,
        agent: Agent,
        number: CallNumber,
        sink: CallSink,
    ) -> CallHandle:
        key = AnswerKey(call.account, call.program, number)
        answer = self._dependencies.answers.find(key)
        unsuccessful = answer is not None and isinstance(
            answer.outcome, Failed | Refused
        )
        if unsuccessful and agent.order.sequencer.reopen(number):
            self._dependencies.answers.discard(key)
            return self.start(call, program, sink)
        if answer is not None:
            return answer.attach(sink)
        sink.finish(
            Failed(
                Step.RELAY,
                Reason.ANSWER_GONE,
                detail=f"call {number} ran; its answer is kept no longer",
            )
        )
        return EndedCallHandle()

    def _restore_history(
        self, call: Call, program: Program, agent: Agent, body: ChatBody
    ) -> Refused | None:
        """Applies the call's receipt if the program's history is unknown.

        Returns:
            The refusal of a call without a valid receipt, or None.
        """
        if program.history_known or agent.history.points:
            return None
        if not call.receipt:
            first_call = call.number <= 1 and not _has_assistant_message(body)
            if first_call or call.new_branch:
                return None
            return receipt_required("the program's owner was lost")
        receipt = self._dependencies.signer.verify(call.receipt)
        if isinstance(receipt, InvalidReceipt):
            return receipt_required(receipt.reason)
        return self._apply_receipt(receipt, call, program, agent)

    def _apply_receipt(
        self, receipt: Receipt, call: Call, program: Program, agent: Agent
    ) -> Refused | None:
        subject = (receipt.account, receipt.program)
        if subject != (call.account, call.program):
            return receipt_required("the receipt is another program's")
        point = receipt.point
        if point.messages:
            agent.history.adopt(point)
        sequencer = agent.order.sequencer
        repeated = not point.answered and call.number == point.number
        expected = point.number if repeated else receipt.number + 1
        sequencer.expected = max(sequencer.expected, expected)
        program.turns = max(program.turns, receipt.turn)
        budget = program.budget
        budget.spent = budget.spent.max_with(receipt.spend)
        return None


def _refuse(sink: CallSink, refused: Refused) -> CallHandle:
    sink.finish(refused)
    return EndedCallHandle()


def _has_assistant_message(body: ChatBody) -> bool:
    return any(message["role"] == ASSISTANT for message in body.messages)
