"""A non-idempotent plain call: the protocol wired to log and target."""

from __future__ import annotations

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ._refusals import log_unavailable
from ._waiting import result_within
from .action_base import NO_KEY, ActionBase, ActionParts
from .actions import ActionEffects, ActionProtocol
from .application_picker import Runner
from .call_order import EndedCallHandle, KeyedCall
from .calls import Call, CallHandle, CallSink
from .cell_view import WriteResult
from .fold import Verdict
from .ids import IdempotencyKey, TargetId
from .outcomes import Outcome, Reason, Refused, Step
from .owner_ports import LOG_WAIT_S
from .program import Program
from .records import NO_OFFSET, IntentRecorded, IntentVoided, OutcomeRecorded
from .targets import ActionDone

__all__ = ["ActionParts", "ActionRun"]

KEPT_BODY_BYTES = 16 * 1024


class ActionRun(ActionBase, KeyedCall, ActionEffects):
    """A plain call that runs at most once."""

    def __init__(
        self,
        parts: ActionParts,
        call: Call,
        program: Program,
        digest: bytes,
        *,
        adopted: IdempotencyKey = NO_KEY,
    ) -> None:
        super().__init__(parts, call, program, digest, adopted=adopted)
        self._runner: Runner | None = None
        self._protocol: ActionProtocol | None = None
        self._recording = False
        self._voiding: Deferred[WriteResult] | None = None
        self._settling = False
        self._refused = False
        program.action_by_key[call.idempotency_key] = self

    def proceed(self) -> None:
        """Waits for what the log has to say first, then starts."""
        ensureDeferred(self._begin())

    def adopt(self, target: TargetId) -> None:
        """Asks the target what became of a lost owner's call."""
        self._passed = True
        self._runner = self.ports.applications.runner(target)
        self._protocol = ActionProtocol(self, target)
        self._protocol.adopt()

    def stop(self, refused: Refused) -> None:
        """Gives the call up, unless it was sent."""
        if self._protocol is None:
            self.end(refused)
            return
        self._protocol.give_up(refused)

    def blocks_handover(self) -> bool:
        """Returns whether the intent or its void is on its way."""
        return self._recording

    def join(self, sink: CallSink) -> CallHandle:
        """Attaches to the answer, unless the call was given up."""
        if not self._refused:
            return self.answer.attach(sink)
        sink.finish(
            log_unavailable(
                Step.INTENT, "an earlier record of the key is to be voided"
            )
        )
        return EndedCallHandle()

    async def _begin(self) -> None:
        refused = await self._prepare()
        if self.ended:
            self.give_back()
            return
        if refused is not None:
            self.end(refused)
            return
        self._start()

    async def _prepare(self) -> Refused | None:
        if self.ports.cell.log_silent():
            return log_unavailable(
                Step.INTENT, "the log has to record the call first"
            )
        refused = await self.parts.table.ensure_recorded(self.program)
        if refused is not None or self.ended:
            return refused
        return await self.admit()

    def _start(self) -> None:
        picked = self.pick()
        if isinstance(picked, Refused):
            self.end(picked)
            return
        self._runner = picked
        self._protocol = ActionProtocol(self, picked.target)
        self._protocol.start()

    def write_intent(self) -> None:
        """Writes the intent and gives up when it does not come back."""
        assert self._runner is not None
        program = self.program
        record = IntentRecorded(
            program=program.name,
            partition=program.partition,
            epoch=self.ports.cell.epoch_of(program.partition),
            key=self.call.idempotency_key,
            body_digest=self.digest,
            target=self._runner.target,
            number=self.call.number,
        )
        protocol = self._protocol
        assert protocol is not None
        self._recording = True

        def read_back(folded: WriteResult) -> WriteResult:
            self._recording = False
            verdict = folded.verdict
            protocol.intent_read(accepted=verdict.accepted, why=verdict.reason)
            self._release_key()
            return folded

        written = self.ports.cell.submit(record).addCallback(read_back)
        written.addErrback(self._not_written)
        waited = result_within(written, LOG_WAIT_S, self.ports.clock)
        waited.addCallback(self._waited, protocol)

    def refusal(self) -> Refused | None:
        """Asks the cell, right before the socket."""
        return self.ports.cell.refusal(self.program.partition)

    def send(self) -> None:
        """Sends the call to its runner, once."""
        self.pass_on()
        ensureDeferred(self._send())

    def look_up(self) -> None:
        """Asks the runner for its own record of the key."""
        ensureDeferred(self._look_up())

    def write_outcome(self, answer: ActionDone) -> None:
        """Writes the outcome, with the body if it is small enough."""
        whole = len(answer.body) <= KEPT_BODY_BYTES
        record = OutcomeRecorded(
            program=self.program.name,
            key=self.call.idempotency_key,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body if whole else b"",
            whole=whole,
        )
        self._settling = True
        written = self.ports.cell.submit(record)
        written.addCallbacks(self._settled, self._not_written)

    def void_intent(self, *, closed: bool) -> None:
        """Writes that the call was never sent, or never runs."""
        record = IntentVoided(
            self.program.name, self.call.idempotency_key, closed
        )
        self._recording = True
        self._voiding = self.ports.cell.submit(record)
        self._voiding.addCallbacks(self._settled, self._not_written)

    def finish(self, outcome: Outcome, answer: ActionDone | None) -> None:
        """Answers the caller, or tries another runner first."""
        unsent = isinstance(outcome, Refused) and (
            outcome.reason is Reason.UNREACHABLE
        )
        if unsent and self._may_try_again():
            assert isinstance(outcome, Refused)
            ensureDeferred(self._try_again(outcome))
            return
        self.end(outcome, answer)

    def end(self, outcome: Outcome, answer: ActionDone | None = None) -> None:
        """Frees the key's entry; what remains is in the log."""
        self._refused = isinstance(outcome, Refused)
        super().end(outcome, answer)
        self._release_key()

    def _may_try_again(self) -> bool:
        rule = self.ports.rules().retries(
            self.call.account, self.call.application
        )
        in_time = self.ports.clock.seconds() < self.deadline
        return in_time and len(self.tried) < rule.attempts

    async def _try_again(self, refused: Refused) -> None:
        """Starts anew once the log has freed the key."""
        assert self._voiding is not None
        folded = await result_within(
            self._voiding, LOG_WAIT_S, self.ports.clock
        )
        if folded is None or not folded.verdict.accepted or self.ended:
            self.end(refused)
            return
        self._start()

    async def _send(self) -> None:
        runner, protocol = self._runner, self._protocol
        assert runner is not None and protocol is not None
        answer = await self.send_to(runner, self.call.idempotency_key)
        protocol.answered(answer)

    async def _look_up(self) -> None:
        assert self._protocol is not None
        record = None
        if self._runner is not None:
            record = await self._runner.application.look_up(
                self.call.idempotency_key
            )
        self._protocol.looked_up(record)

    def _waited(
        self, folded: WriteResult | None, protocol: ActionProtocol
    ) -> None:
        if folded is None:
            protocol.give_up(
                log_unavailable(
                    Step.INTENT, "the call's record did not come back in time"
                )
            )

    def _settled(self, folded: WriteResult) -> WriteResult:
        self._recording = False
        self._settling = False
        self._release_key()
        return folded

    def _not_written(self, failure: Failure) -> WriteResult:
        """The session has ended; nothing of it is accepted any more."""
        self._recording = False
        self._settling = False
        self._release_key()
        return WriteResult(NO_OFFSET, Verdict(False, str(failure.value)))

    def _release_key(self) -> None:
        if self._recording or self._settling or not self.ended:
            return
        key = self.call.idempotency_key
        if self.program.action_by_key.get(key) is self:
            del self.program.action_by_key[key]
