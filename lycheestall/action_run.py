"""Connects a non-idempotent action's state machine to log and target."""

from __future__ import annotations

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ._refusals import log_unavailable
from ._waiting import result_within
from .action_base import NO_KEY, ActionBase, ActionContext
from .actions import ActionEffects, ActionProtocol
from .application_picker import ApplicationTarget
from .call_order import EndedCallHandle, KeyedCall
from .calls import Call, CallHandle, CallSink
from .cell_view import WriteResult
from .fold import Verdict
from .ids import IdempotencyKey, TargetId
from .outcomes import Outcome, Reason, Refused, Step
from .owner_dependencies import LOG_WAIT_S
from .program import Program
from .records import NO_OFFSET, IntentRecorded, IntentVoided, OutcomeRecorded
from .targets import ActionDone

__all__ = ["ActionContext", "ActionRun"]

MAX_RECORDED_BODY_BYTES = 16 * 1024


class ActionRun(ActionBase, KeyedCall, ActionEffects):
    """An action that runs at most once.

    Args:
        context: The dependencies that all actions share.
        call: The call, with its number assigned.
        program: Its top-level program.
        digest: Digest of the application, operation and body.
        recovered_key: The idempotency key of a call that was numbered by
            an owner that failed.
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
        super().__init__(
            context, call, program, digest, recovered_key=recovered_key
        )
        self._target: ApplicationTarget | None = None
        self._protocol: ActionProtocol | None = None
        self._intent_pending = False
        self._void_written: Deferred[WriteResult] | None = None
        self._outcome_pending = False
        self._refused = False
        program.action_by_key[call.idempotency_key] = self

    def proceed(self) -> None:
        """Records the program, reserves the cost, then starts the call."""
        ensureDeferred(self._prepare_and_start())

    def recover(self, target: TargetId) -> None:
        """Looks up whether a call of an owner that failed has run."""
        self._may_have_been_sent = True
        self._target = self.dependencies.applications.find(target)
        self._protocol = ActionProtocol(self, target)
        self._protocol.recover()

    def stop(self, refused: Refused) -> None:
        """Ends the call unless it was sent."""
        if self._protocol is None:
            self.end(refused)
            return
        self._protocol.give_up(refused)

    def blocks_handover(self) -> bool:
        """Returns whether the intent or its void is not read back yet."""
        return self._intent_pending

    def join(self, sink: CallSink) -> CallHandle:
        """Attaches to the answer; refuses while a void is not read back."""
        if not self._refused:
            return self.answer.attach(sink)
        sink.finish(
            log_unavailable(
                Step.INTENT, "an earlier record of the key is to be voided"
            )
        )
        return EndedCallHandle()

    async def _prepare_and_start(self) -> None:
        refused = await self._prepare()
        if self.ended:
            self.release_reservation()
            return
        if refused is not None:
            self.end(refused)
            return
        self._start_protocol()

    async def _prepare(self) -> Refused | None:
        if self.dependencies.cell.log_unresponsive():
            return log_unavailable(
                Step.INTENT, "the log has to record the call first"
            )
        refused = await self.context.table.ensure_recorded(self.program)
        if refused is not None or self.ended:
            return refused
        return await self.admit()

    def _start_protocol(self) -> None:
        picked = self.pick_target()
        if isinstance(picked, Refused):
            self.end(picked)
            return
        self._target = picked
        self._protocol = ActionProtocol(self, picked.target)
        self._protocol.start()

    def write_intent(self) -> None:
        """Writes the intent; gives up if it is not read back in time."""
        assert self._target is not None
        program = self.program
        record = IntentRecorded(
            program=program.name,
            partition=program.partition,
            epoch=self.dependencies.cell.epoch_of(program.partition),
            key=self.call.idempotency_key,
            body_digest=self.digest,
            target=self._target.target,
            number=self.call.number,
        )
        protocol = self._protocol
        assert protocol is not None
        self._intent_pending = True

        def read_back(result: WriteResult) -> WriteResult:
            self._intent_pending = False
            verdict = result.verdict
            protocol.intent_read(accepted=verdict.accepted, why=verdict.reason)
            self._drop_key_if_recorded()
            return result

        written = self.dependencies.cell.submit(record).addCallback(read_back)
        written.addErrback(self._write_failed)
        read = result_within(written, LOG_WAIT_S, self.dependencies.clock)
        read.addCallback(self._give_up_if_late, protocol)

    def refusal(self) -> Refused | None:
        """Returns why this VM may not send the call now, or None."""
        return self.dependencies.cell.refusal(self.program.partition)

    def send(self) -> None:
        """Sends the call to the chosen target, once."""
        self.mark_sent()
        ensureDeferred(self._send())

    def look_up(self) -> None:
        """Asks the target for its record of the key."""
        ensureDeferred(self._look_up())

    def write_outcome(self, answer: ActionDone) -> None:
        """Writes the outcome to the log, with the body if it is small."""
        whole = len(answer.body) <= MAX_RECORDED_BODY_BYTES
        record = OutcomeRecorded(
            program=self.program.name,
            key=self.call.idempotency_key,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body if whole else b"",
            whole=whole,
        )
        self._outcome_pending = True
        written = self.dependencies.cell.submit(record)
        written.addCallbacks(self._record_read_back, self._write_failed)

    def void_intent(self, *, closed: bool) -> None:
        """Writes to the log that the call was not run.

        Args:
            closed: Whether the target closed the idempotency key.
        """
        record = IntentVoided(
            self.program.name, self.call.idempotency_key, closed
        )
        self._intent_pending = True
        self._void_written = self.dependencies.cell.submit(record)
        self._void_written.addCallbacks(
            self._record_read_back, self._write_failed
        )

    def finish(self, outcome: Outcome, answer: ActionDone | None) -> None:
        """Ends the call, or tries another target if it was not sent."""
        unreachable = isinstance(outcome, Refused) and (
            outcome.reason is Reason.UNREACHABLE
        )
        if unreachable and self._may_retry():
            assert isinstance(outcome, Refused)
            ensureDeferred(self._retry(outcome))
            return
        self.end(outcome, answer)

    def end(self, outcome: Outcome, answer: ActionDone | None = None) -> None:
        """Ends the call; drops its key once its records are read back."""
        self._refused = isinstance(outcome, Refused)
        super().end(outcome, answer)
        self._drop_key_if_recorded()

    def _may_retry(self) -> bool:
        rule = self.dependencies.rules().retries(
            self.call.account, self.call.application
        )
        in_time = self.dependencies.clock.seconds() < self.deadline
        return in_time and len(self.tried_targets) < rule.attempts

    async def _retry(self, refused: Refused) -> None:
        """Starts again once the void is read back and the key is free."""
        assert self._void_written is not None
        result = await result_within(
            self._void_written, LOG_WAIT_S, self.dependencies.clock
        )
        if result is None or not result.verdict.accepted or self.ended:
            self.end(refused)
            return
        self._start_protocol()

    async def _send(self) -> None:
        target, protocol = self._target, self._protocol
        assert target is not None and protocol is not None
        answer = await self.send_to(target, self.call.idempotency_key)
        protocol.answered(answer)

    async def _look_up(self) -> None:
        assert self._protocol is not None
        record = None
        if self._target is not None:
            record = await self._target.application.look_up(
                self.call.idempotency_key
            )
        self._protocol.looked_up(record)

    def _give_up_if_late(
        self, result: WriteResult | None, protocol: ActionProtocol
    ) -> None:
        if result is None:
            protocol.give_up(
                log_unavailable(
                    Step.INTENT, "the call's record did not come back in time"
                )
            )

    def _record_read_back(self, result: WriteResult) -> WriteResult:
        self._intent_pending = False
        self._outcome_pending = False
        self._drop_key_if_recorded()
        return result

    def _write_failed(self, failure: Failure) -> WriteResult:
        """Treats the record as rejected, since the session has ended.

        The log accepts no further records of that session.
        """
        self._intent_pending = False
        self._outcome_pending = False
        self._drop_key_if_recorded()
        return WriteResult(NO_OFFSET, Verdict(False, str(failure.value)))

    def _drop_key_if_recorded(self) -> None:
        if self._intent_pending or self._outcome_pending or not self.ended:
            return
        key = self.call.idempotency_key
        if self.program.action_by_key.get(key) is self:
            del self.program.action_by_key[key]
