"""Fakes of the cell, the dispatcher, applications and rules."""

from __future__ import annotations

from copy import copy
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from lycheestall.calls import CallSink, ResponseHead
from lycheestall.cell_view import CellView, WriteResult
from lycheestall.claims import Claims
from lycheestall.dispatch import (
    ChatDispatcher,
    ChatJob,
    ChatListener,
    JobHandle,
)
from lycheestall.fold import Verdict
from lycheestall.ids import (
    AccountId,
    IdempotencyKey,
    Offset,
    PartitionId,
    ProgramId,
    RequestId,
    SessionId,
    TargetId,
    VmId,
)
from lycheestall.ledger import Ledger
from lycheestall.outcomes import Outcome, Reason, Refused, Step
from lycheestall.portions import Portions
from lycheestall.records import CellRecord, PortionReturned, PortionTaken
from lycheestall.rules.rule_set import (
    AccountLimit,
    ActionRule,
    ProgramLimits,
    RetryRule,
    RuleLine,
    RuleSet,
    ShareRule,
    TargetRule,
)
from lycheestall.targets import (
    ActionNotSent,
    ActionRequest,
    ActionResult,
    Application,
    EngineDone,
    LoadReport,
    LookupResult,
    SendCondition,
    always_send,
)

LINE = RuleLine(7, "program * tokens 400", "pass crew")


class FakeSink(CallSink):
    """Collects one answer and checks the order of its parts."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.body = b""
        self.outcomes: list[Outcome] = []
        self.slow_reader = False

    @property
    def outcome(self) -> Outcome | None:
        return self.outcomes[-1] if self.outcomes else None

    def header(self, name: str) -> str:
        assert self.head is not None
        return dict(self.head.headers).get(name, "")

    def start(self, head: ResponseHead) -> None:
        assert self.head is None and not self.body
        self.head = head

    def chunk(self, data: bytes) -> None:
        assert self.head is not None and not self.outcomes
        self.body += data

    def finish(self, outcome: Outcome) -> None:
        assert not self.outcomes
        self.outcomes.append(outcome)

    def congested(self) -> bool:
        return self.slow_reader


class FakeCell(CellView):
    """A cell whose log returns records when the test asks for it.

    Attributes:
        silent: Whether the log returns no records.
        automatic: Whether records are read back as soon as they are
            written.
        killed: Whether writes are lost.
    """

    def __init__(self) -> None:
        self.refused: Refused | None = None
        self.silent = False
        self.automatic = True
        self.killed = False
        self.written: list[CellRecord] = []
        self.waiting: list[
            tuple[SessionId, CellRecord, Deferred[WriteResult]]
        ] = []
        self.ledger = Ledger()
        self.portions = Portions()
        self.claims = Claims[PartitionId]()
        self.name = SessionId("s1")
        self.offset = 0

    @property
    def session(self) -> SessionId:
        return self.name

    def successor(
        self, name: str, partitions: int, *, killed: bool = True
    ) -> FakeCell:
        """Claims all partitions for another session on the same log.

        The previous session loses its authority. If it was killed, its
        later writes are lost too.
        """
        other = copy(self)
        self.refused = Refused(Step.ROUTE, Reason.NO_AUTHORITY)
        self.killed = killed
        other.claim_all(name, partitions)
        return other

    def claim_all(self, name: str, partitions: int) -> None:
        """Claims all partitions, regardless of their owner."""
        self.name = SessionId(name)
        for number in range(partitions):
            self.offset += 1
            self.claims.claim(
                Offset(self.offset),
                self.name,
                PartitionId(number),
                self.claims.epoch(PartitionId(number)),
                lambda _: False,
            )

    def owner_of(self, partition: PartitionId) -> VmId | None:
        return VmId("vm1")

    def epoch_of(self, partition: PartitionId) -> Offset:
        return self.claims.epoch(partition)

    def refusal(self, partition: PartitionId) -> Refused | None:
        return self.refused

    def log_unresponsive(self) -> bool:
        return self.silent

    def submit(self, body: CellRecord) -> Deferred[WriteResult]:
        result: Deferred[WriteResult] = Deferred()
        if self.killed:
            return result
        self.written.append(body)
        self.waiting.append((self.name, body, result))
        if self.automatic and not self.silent:
            self.read_back()
        return result

    def read_back(self) -> None:
        """Folds the written records in order and reports the verdicts."""
        for _ in range(len(self.waiting)):
            if not self.waiting:
                break
            writer, body, result = self.waiting.pop(0)
            self.offset += 1
            offset = Offset(self.offset)
            verdict = self.fold(offset, writer, body)
            if not result.called:
                result.callback(WriteResult(offset, verdict))

    def fold(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        if isinstance(body, PortionTaken | PortionReturned):
            return self.portions.apply(offset, writer, body)
        return self.ledger.apply(offset, writer, body, self.claims)


@dataclass
class FakeJob(JobHandle):
    job: ChatJob
    listener: ChatListener
    cancelled: bool = False
    start: int = 0
    target: str = ""

    def cancel(self) -> None:
        self.cancelled = True

    def accept(self, target: str = "engine-1") -> None:
        request = RequestId(f"{self.job.program}.{self.job.number}")
        self.listener.accepted(TargetId(target), request)

    def answer(self, text: str = "hello", tokens_out: int = 5) -> None:
        event = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n'
        self.listener.chunk(event % text.encode())
        self.listener.chunk(b"data: [DONE]\n\n")
        self.listener.done(
            EngineDone(self.job.prompt_tokens, tokens_out, 0),
            TargetId("engine-1"),
        )

    def run(self, text: str = "hello", tokens_out: int = 5) -> None:
        self.accept()
        self.answer(text, tokens_out)


class FakeDispatcher(ChatDispatcher):
    """Stores jobs until the test answers them."""

    def __init__(self) -> None:
        self.jobs: list[FakeJob] = []
        self.paused: list[ProgramId] = []
        self.ended: list[ProgramId] = []

    def submit(self, job: ChatJob, listener: ChatListener) -> JobHandle:
        handle = FakeJob(job, listener)
        self.jobs.append(handle)
        return handle

    def resume(
        self,
        job: ChatJob,
        target: TargetId,
        request: RequestId,
        start: int,
        listener: ChatListener,
    ) -> JobHandle:
        handle = FakeJob(job, listener, start=start, target=target)
        self.jobs.append(handle)
        return handle

    def program_paused(self, root: ProgramId) -> None:
        self.paused.append(root)

    def program_ended(self, root: ProgramId) -> None:
        self.ended.append(root)


@dataclass
class FakeApplication(Application):
    """Stores requests until the test answers them."""

    requests: list[ActionRequest] = field(default_factory=list)
    answers: list[Deferred[ActionResult]] = field(default_factory=list)
    record: LookupResult | None = None
    connecting: Deferred[None] | None = None
    looked_up: list[IdempotencyKey] = field(default_factory=list)

    async def call(
        self, request: ActionRequest, *, may_send: SendCondition = always_send
    ) -> ActionResult:
        if self.connecting is not None:
            await self.connecting
        if not may_send():
            return ActionNotSent("stopped right before sending")
        self.requests.append(request)
        answer: Deferred[ActionResult] = Deferred()
        self.answers.append(answer)
        return await answer

    async def look_up(self, key: IdempotencyKey) -> LookupResult | None:
        self.looked_up.append(key)
        return self.record

    async def load(self) -> LoadReport | None:
        return None


class FakeRules(RuleSet):
    """Rules whose limits the test sets."""

    def __init__(self) -> None:
        self.limits = ProgramLimits(None, None, None, None, None, {})
        self.shared: tuple[AccountLimit, ...] = ()
        self.attempts = 1

    def program_limits(
        self, account: AccountId, program_class: str
    ) -> ProgramLimits:
        return self.limits

    def share(self, account: AccountId, program_class: str) -> ShareRule:
        return ShareRule(1.0, 0, LINE)

    def account_limits(self, account: AccountId) -> tuple[AccountLimit, ...]:
        return self.shared

    def action(self, application: TargetId, operation: str) -> ActionRule:
        return ActionRule(operation.startswith("GET"), 5, LINE)

    def target(self, target: TargetId, group: str) -> TargetRule:
        return TargetRule(None, True, LINE)

    def exclusion_line(
        self,
        target: TargetId,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        return None

    def retries(self, account: AccountId, application: str) -> RetryRule:
        return RetryRule(self.attempts, LINE)
