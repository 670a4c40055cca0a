"""The owner's side of calls: runs the programs of owned partitions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import sha256

import orjson
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from .answers import Answer, AnswerKey, AnswerStore
from .application_picker import ApplicationPicker, Runner
from .calls import (
    Call,
    CallHandle,
    CallHandler,
    CallKind,
    CallSink,
    ResponseHead,
)
from .cell_view import CellView, PartitionWatcher
from .chat_body import BadBody, ChatAssembler, ChatBody, parse_chat
from .clock import Clock
from .dispatch import ChatDispatcher, ChatJob, ChatListener, JobHandle
from .ids import (
    CallNumber,
    Offset,
    PartitionId,
    ProgramId,
    RequestId,
    TargetId,
    root_of,
)
from .outcomes import Completed, Failed, Outcome, Reason, Refused, Step
from .partitions import partition_of
from .rule_book import RuleBook
from .settings import TuningSettings
from .targets import ActionDone, ActionNotSent, ActionRequest, EngineDone

__all__ = ["ProgramOwner"]

JSON_TYPE = ("content-type", "application/json")
SSE_TYPE = ("content-type", "text/event-stream")


class _NoHandle(CallHandle):
    def detach(self) -> None:
        """Does nothing: the call has ended."""


class _ChatRun(ChatListener):
    """One chat call under way."""

    def __init__(
        self, call: Call, answer: Answer, ended: Callable[[], None]
    ) -> None:
        self._call = call
        self._answer = answer
        self._ended = ended
        self._assembler = ChatAssembler()
        self.job: JobHandle | None = None

    def accepted(self, target: TargetId, request: RequestId) -> None:
        """Sends the head of a streamed answer."""
        if self._call.streamed and self._answer.head is None:
            self._answer.start(_head(self._call, SSE_TYPE))

    def chunk(self, data: bytes) -> None:
        """Relays or collects the answer."""
        self._assembler.feed(data)
        if self._call.streamed:
            self._answer.chunk(data)

    def done(self, result: EngineDone, target: TargetId) -> None:
        """Finishes the answer."""
        self._assembler.close()
        if not self._call.streamed:
            self._answer.start(_head(self._call, JSON_TYPE))
            self._answer.chunk(
                self._assembler.document(
                    name=f"{self._call.program}-{self._call.number}",
                    model=self._call.model,
                    tokens_in=result.tokens_in,
                    tokens_out=result.tokens_out,
                )
            )
        self._end(
            Completed(
                result.tokens_in,
                result.tokens_out,
                result.cached_tokens,
                target,
            )
        )

    def refused(self, outcome: Refused) -> None:
        """Passes a refusal on."""
        self._end(outcome)

    def failed(self, outcome: Failed) -> None:
        """Passes a failure on."""
        self._end(outcome)

    def _end(self, outcome: Outcome) -> None:
        self._answer.finish(outcome)
        self._ended()


def _head(call: Call, content_type: tuple[str, str]) -> ResponseHead:
    headers = [
        content_type,
        ("lycheestall-program", call.program),
        ("lycheestall-call", str(call.number)),
    ]
    return ResponseHead(200, tuple(headers))


class ProgramOwner(CallHandler, PartitionWatcher):
    """Runs calls of the programs whose partitions this VM owns.

    Args:
        cell: The VM's view of its cell.
        dispatcher: Where chat calls go.
        applications: Chooses runners for plain calls.
        rules: Returns the rules in force.
        clock: The node's clock.
        wall_ms: Wall-clock time, milliseconds since 1970.
        receipt_keys: Keys that sign receipts and ids, newest first.
        settings: Times and sizes.
        partitions: Number of partitions; the same on all VMs.
    """

    def __init__(
        self,
        *,
        cell: CellView,
        dispatcher: ChatDispatcher,
        applications: ApplicationPicker,
        rules: Callable[[], RuleBook],
        clock: Clock,
        wall_ms: Callable[[], int],
        receipt_keys: Sequence[bytes],
        settings: TuningSettings,
        partitions: int,
    ) -> None:
        self._cell = cell
        self._dispatcher = dispatcher
        self._applications = applications
        self._rules = rules
        self._clock = clock
        self._wall_ms = wall_ms
        self._receipt_keys = tuple(receipt_keys)
        self._settings = settings
        self._partitions = partitions
        self._answers = AnswerStore(retention_s=settings.answer_retention_s)
        self._epoch_by_partition: dict[PartitionId, Offset] = {}
        self._last_by_program: dict[tuple[str, ProgramId], int] = {}

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Starts a call of an owned partition."""
        partition = partition_of(call.account, call.program, self._partitions)
        refused = self._cell.refusal(partition)
        if refused is not None:
            sink.finish(refused)
            return _NoHandle()
        if call.kind is CallKind.CHAT:
            return self._chat(self._numbered(call), sink, partition)
        if call.kind is CallKind.ACTION:
            return self._action(self._numbered(call), sink, partition)
        if call.kind is CallKind.RESUME:
            return self._resume(call, sink)
        return self._control(call, sink)

    def gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        handed: dict[str, bytes],
        unproven: bool,
    ) -> None:
        """Takes a partition over."""
        self._epoch_by_partition[partition] = epoch

    def lost(self, partition: PartitionId) -> None:
        """Gives a partition up."""
        self._epoch_by_partition.pop(partition, None)

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Prepares a handover."""
        return succeed({})

    def _numbered(self, call: Call) -> Call:
        key = (call.account, call.program)
        number = call.number or self._last_by_program.get(key, 0) + 1
        self._last_by_program[key] = number
        return Call(
            kind=call.kind,
            account=call.account,
            program=call.program,
            number=CallNumber(number),
            idempotency_key=call.idempotency_key,
            application=call.application,
            operation=call.operation,
            model=call.model,
            body=call.body,
            streamed=call.streamed,
            deadline_s=call.deadline_s,
            receipt=call.receipt,
            resume_from=call.resume_from,
            program_class=call.program_class,
        )

    def _chat(
        self, call: Call, sink: CallSink, partition: PartitionId
    ) -> CallHandle:
        body = parse_chat(call.body)
        if isinstance(body, BadBody):
            sink.finish(
                Refused(Step.PARSE, Reason.BAD_REQUEST, detail=body.found)
            )
            return _NoHandle()
        key = AnswerKey(call.account, call.program, call.number)
        answer = self._answers.open(key)
        reader = answer.attach(sink)
        run = _ChatRun(call, answer, lambda: self._ended(key))
        job = self._job(call, body, partition)
        run.job = self._dispatcher.submit(job, run)
        return reader

    def _job(
        self, call: Call, body: ChatBody, partition: PartitionId
    ) -> ChatJob:
        fingerprint = sha256(call.account.encode() + b"\0" + call.body)
        return ChatJob(
            program=call.program,
            root=root_of(call.program),
            account=call.account,
            program_class=call.program_class,
            number=call.number,
            model=call.model,
            body=body.engine_body,
            prompt_tokens=body.prompt_tokens,
            max_tokens=body.max_tokens,
            fingerprint=fingerprint.digest(),
            deadline_s=self._clock.seconds() + call.deadline_s,
            epoch=self._cell.epoch_of(partition),
            may_send=lambda: self._cell.refusal(partition),
            may_repeat=lambda: True,
        )

    def _action(
        self, call: Call, sink: CallSink, partition: PartitionId
    ) -> CallHandle:
        key = AnswerKey(call.account, call.program, call.number)
        answer = self._answers.open(key)
        reader = answer.attach(sink)
        picked = self._applications.pick(call.application, frozenset())
        if isinstance(picked, Refused):
            answer.finish(picked)
            self._ended(key)
            return reader
        ensureDeferred(self._run_action(call, answer, picked, key))
        return reader

    async def _run_action(
        self, call: Call, answer: Answer, runner: Runner, key: AnswerKey
    ) -> None:
        method, _, path = call.operation.partition(" ")
        result = await runner.application.call(
            ActionRequest(
                request=RequestId(f"{call.program}.{call.number}.1"),
                program=call.program,
                number=call.number,
                method=method,
                path=path,
                body=call.body,
                key=call.idempotency_key,
                deadline_s=call.deadline_s,
            )
        )
        peer = runner.target
        if isinstance(result, ActionDone):
            head = _head(call, ("content-type", result.content_type))
            answer.start(ResponseHead(result.status, head.headers))
            answer.chunk(result.body)
            answer.finish(Completed(peer=peer))
        elif isinstance(result, ActionNotSent):
            answer.finish(
                Refused(
                    Step.DISPATCH,
                    Reason.UNREACHABLE,
                    peer=peer,
                    retry_after_s=1.0,
                    detail=result.detail,
                )
            )
        else:
            answer.finish(
                Failed(
                    Step.DISPATCH,
                    Reason.MAY_HAVE_RUN,
                    peer=peer,
                    detail=result.detail,
                )
            )
        self._ended(key)

    def _resume(self, call: Call, sink: CallSink) -> CallHandle:
        key = AnswerKey(call.account, call.program, call.number)
        answer = self._answers.find(key)
        if answer is None:
            sink.finish(Refused(Step.RESUME, Reason.ANSWER_GONE))
            return _NoHandle()
        return answer.attach(sink, call.resume_from)

    def _control(self, call: Call, sink: CallSink) -> CallHandle:
        if call.kind in (CallKind.END, CallKind.CANCEL):
            self._dispatcher.program_ended(root_of(call.program))
        key = (call.account, call.program)
        document = {
            "program": call.program,
            "calls": self._last_by_program.get(key, 0),
        }
        sink.start(_head(call, JSON_TYPE))
        sink.chunk(orjson.dumps(document))
        sink.finish(Completed())
        return _NoHandle()

    def _ended(self, key: AnswerKey) -> None:
        self._answers.finished(key, self._clock.seconds())
