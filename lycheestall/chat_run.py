"""One chat call, from its arrival to its outcome."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

from twisted.internet.defer import ensureDeferred

from ._refusals import history_mismatch
from .answers import AnswerKey
from .call_order import RunningCall
from .call_summary import summarize_call
from .calls import Call
from .chat_body import ChatBody
from .chat_response import ChatResponse
from .dispatch import ChatJob, ChatListener, JobHandle
from .history import ChainPoint, Extension, Mismatch
from .ids import CallNumber, RequestId, TargetId
from .ledger_program import Spend
from .lifetimes import Lifetimes
from .outcomes import Completed, Failed, Outcome, Refused, Step
from .owner_dependencies import OwnerDependencies
from .program import Agent, Program
from .program_ids import engine_program_id
from .receipts import Receipt
from .reservations import Admitted, Reservations
from .targets import EngineDone

__all__ = ["ChatContext", "ChatRun"]


@dataclass(frozen=True, slots=True)
class ChatContext:
    """The dependencies that all chat calls share.

    Attributes:
        dependencies: The owner's dependencies.
        reservations: Reserves the cost of calls.
        lifetimes: Ends programs that reach a limit.
    """

    dependencies: OwnerDependencies
    reservations: Reservations
    lifetimes: Lifetimes


class ChatRun(ChatListener, RunningCall):
    """A chat call that is held, running or being answered.

    Args:
        context: The dependencies that all chat calls share.
        call: The call.
        program: Its top-level program.
        agent: The state of its program path.
        body: Its parsed body.
        number: The number assigned to it.
    """

    def __init__(
        self,
        context: ChatContext,
        call: Call,
        program: Program,
        agent: Agent,
        body: ChatBody,
        number: CallNumber,
    ) -> None:
        self._context = context
        self._dependencies = context.dependencies
        self._call = call
        self._program = program
        self._agent = agent
        self._body = body
        self._number = number
        self._key = AnswerKey(call.account, call.program, number)
        self._deadline = self._dependencies.clock.seconds() + call.deadline_s
        self._extension: Extension | None = None
        self._admitted: Admitted | None = None
        self._job: JobHandle | None = None
        self._accepted = False
        self._may_have_been_sent = False
        self._ended = False
        self.answer = self._dependencies.answers.open(self._key)
        self._response = ChatResponse(
            self._dependencies, call, program, number, self.answer
        )
        program.run_by_key[self._key] = self

    @property
    def may_have_run(self) -> bool:
        """Whether an engine has received the call, or may have."""
        return self._accepted or self._may_have_been_sent

    def pending_point(self) -> ChainPoint | None:
        """Returns the point that its answer completes, once dispatched."""
        if self._extension is None or not self.may_have_run:
            return None
        return ChainPoint(
            number=self._number,
            messages=self._extension.messages,
            digest=self._extension.digest,
            answered=False,
        )

    def proceed(self) -> None:
        """Checks the messages, reserves the cost and dispatches the call."""
        checked = self._agent.history.check(
            self._body.messages, new_branch=self._call.new_branch
        )
        if isinstance(checked, Mismatch):
            self._finish(history_mismatch(checked))
            return
        self._extension = checked
        lifetimes = self._context.lifetimes
        refused = lifetimes.time_limit_refusal(self._program)
        refused = refused or lifetimes.turn_limit_refusal(self._program)
        if refused is not None:
            self._finish(refused)
            lifetimes.end(self._program, refused.reason.value, refused)
            return
        ensureDeferred(self._admit_and_dispatch(checked))

    def resume_stream(self, receipt: Receipt) -> None:
        """Resumes a stream that was started by an owner that failed.

        Args:
            receipt: The receipt from the stream's head.
        """
        point = receipt.point
        self._extension = Extension(None, point.messages, point.digest)
        self._job = self._dependencies.dispatcher.resume(
            self._chat_job(), receipt.target, receipt.request, 0, self
        )
        self.accepted(receipt.target, receipt.request)

    def stop(self, refused: Refused) -> None:
        """Cancels the call; it fails if an engine may have it."""
        if self._ended:
            return
        if self._job is not None:
            self._job.cancel()
        if not self.may_have_run:
            self._finish(refused)
            return
        self.failed(
            Failed(Step.DISPATCH, refused.reason, detail=refused.detail)
        )

    def accepted(self, target: TargetId, request: RequestId) -> None:
        """Sends the head of a stream and releases the next call."""
        if self._accepted or self._ended:
            return
        self._accepted = True
        point = self.pending_point()
        assert point is not None
        self._agent.order.sequencer.mark_accepted(self._number)
        self._response.accepted(point, target, request)
        self._acknowledge_base()
        self._agent.order.accepted(self._number)

    def chunk(self, data: bytes) -> None:
        """Relays or collects the next bytes of the answer."""
        if not self._ended:
            self._response.chunk(data)

    def done(self, result: EngineDone, target: TargetId) -> None:
        """Adds the answer to the history and charges the actual cost."""
        if self._ended:
            return
        self.accepted(target, RequestId(""))
        tokens = result.tokens_in + result.tokens_out
        point = self._commit(tokens)
        if self._admitted is not None:
            self._context.reservations.settle(
                self._program, self._admitted, Spend(tokens, 1)
            )
        self._response.finish(result, point)
        self._finish(
            Completed(
                result.tokens_in,
                result.tokens_out,
                result.cached_tokens,
                target,
            )
        )

    def refused(self, outcome: Refused) -> None:
        """Ends the call as not run and releases its reservation."""
        if not self._ended:
            self._finish(outcome)

    def failed(self, outcome: Failed) -> None:
        """Charges the complete reservation, since the cost is unknown."""
        if self._ended:
            return
        # An engine may have run a call that failed.
        self._accepted = True
        if self._admitted is not None:
            self._context.reservations.charge_in_full(
                self._program, self._admitted
            )
            self._admitted = None
        self._finish(outcome)

    async def _admit_and_dispatch(self, extension: Extension) -> None:
        upper_bound = Spend(
            self._max_prompt_tokens(extension) + self._body.max_tokens, 1
        )
        result = await self._context.reservations.admit(
            self._program, upper_bound
        )
        if isinstance(result, Refused):
            if not self._ended:
                self._finish(result)
            return
        if self._ended:
            self._context.reservations.release(self._program, result)
            return
        self._admitted = result
        self._program.turns += 1
        job = self._dependencies.dispatcher.submit(self._chat_job(), self)
        if not self._ended:
            self._job = job

    def _max_prompt_tokens(self, extension: Extension) -> int:
        """Bounds the prompt's tokens, using an engine's count if known."""
        body, base = self._body, extension.base
        if base is None or not base.tokens or base.model != self._call.model:
            return body.parameters_bytes + body.max_prompt_tokens()
        tokens = body.max_prompt_tokens(base.tokens, base.messages)
        if self._agent.parameters_digest != body.parameters_digest:
            tokens += body.parameters_bytes
        return tokens

    def _chat_job(self) -> ChatJob:
        call, program = self._call, self._program
        cell = self._dependencies.cell
        fingerprint = sha256(call.account.encode() + b"\0" + call.body)
        sequencer = self._agent.order.sequencer
        return ChatJob(
            program=engine_program_id(call.account, call.program),
            root=program.name,
            account=call.account,
            program_class=program.program_class,
            number=self._number,
            model=call.model,
            body=self._body.engine_body,
            prompt_tokens=self._body.prompt_tokens,
            max_tokens=self._body.max_tokens,
            fingerprint=fingerprint.digest(),
            deadline_s=self._deadline,
            epoch=cell.epoch_of(program.partition),
            may_send=self._may_send,
            may_repeat=lambda: sequencer.may_repeat(self._number),
            taken_over_s=program.taken_over_s,
        )

    def _may_send(self) -> Refused | None:
        """Returns why the engine may not be sent the call, or None.

        The dispatcher asks this right before it writes the request, so
        the call may have run as soon as this returns None.
        """
        refused = self._dependencies.cell.refusal(self._program.partition)
        self._may_have_been_sent = self._may_have_been_sent or refused is None
        return refused

    def _acknowledge_base(self) -> None:
        extension = self._extension
        if extension is None or extension.base is None:
            return
        number = extension.base.number
        self._dependencies.answers.acknowledge(
            AnswerKey(self._call.account, self._call.program, number)
        )

    def _commit(self, tokens: int) -> ChainPoint:
        assert self._extension is not None
        self._agent.parameters_digest = self._body.parameters_digest
        return self._agent.history.commit(
            self._extension,
            self._response.message(),
            number=self._number,
            tokens=tokens,
            model=self._call.model,
        )

    def _finish(self, outcome: Outcome) -> None:
        self._ended = True
        self._job = None
        program, order = self._program, self._agent.order
        program.run_by_key.pop(self._key, None)
        program.touch()
        program.recent_calls.append(summarize_call(self._key, "chat", outcome))
        order.drop(self._number)
        if isinstance(outcome, Refused) and self._admitted is not None:
            program.turns -= 1
            self._context.reservations.release(program, self._admitted)
        self.answer.finish(outcome)
        if isinstance(outcome, Refused):
            self._dependencies.answers.discard(self._key)
            order.refused(self._number)
        else:
            self._dependencies.answers.mark_finished(self._key)
            order.accepted(self._number)
        if not program.run_by_key and not program.ended:
            self._dependencies.dispatcher.program_paused(program.name)
