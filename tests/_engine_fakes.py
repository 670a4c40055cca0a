"""Fakes shared by the tests of the scheduler and the dispatcher."""

from __future__ import annotations

from collections import defaultdict

from twisted.internet.defer import Deferred

from lycheestall.dispatch import ChatJob, ChatListener
from lycheestall.ids import (
    AccountId,
    ModelName,
    ProgramId,
    RequestId,
    TargetId,
    VmId,
    ZoneId,
    root_program,
)
from lycheestall.outcomes import Failed, Refused
from lycheestall.platform_services import VmEntry, VmListing, VmRole, VmState
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
    Engine,
    EngineBroken,
    EngineDone,
    EngineRefused,
    EngineRequest,
    EngineResult,
    EngineSink,
    HeldMemory,
    OrderResponse,
    OrderResult,
)

LINE = RuleLine(0, "default", "nobody")


class FakeRules(RuleSet):
    """Rules whose answers a test can set."""

    def __init__(self) -> None:
        self.weight_by_account: dict[str, float] = {}
        self.priority_by_account: dict[str, int] = {}
        self.limits_by_account: dict[str, tuple[AccountLimit, ...]] = {}
        self.concurrency_by_target: dict[str, int] = {}
        self.excluded: set[str] = set()
        self.attempts = 3
        self.checks_fence = True

    def program_limits(self, account, program_class):
        return ProgramLimits(None, None, None, None, None, {})

    def share(self, account, program_class):
        weight = self.weight_by_account.get(account, 1.0)
        priority = self.priority_by_account.get(account, 0)
        return ShareRule(weight, priority, LINE)

    def account_limits(self, account):
        return self.limits_by_account.get(account, ())

    def action(self, application, operation):
        return ActionRule(False, 0, LINE)

    def target(self, target, group):
        limit = self.concurrency_by_target.get(target)
        return TargetRule(limit, self.checks_fence, LINE)

    def exclusion_line(self, target, group, *, at_ms, load, error_share):
        return LINE if target in self.excluded else None

    def retries(self, account, application):
        return RetryRule(self.attempts, LINE)


class FakeStream:
    """One request at a fake engine, driven by the test."""

    def __init__(self, request: EngineRequest, sink: EngineSink) -> None:
        self.request = request
        self.sink = sink
        self.body = b""
        self.result: Deferred[EngineResult] = Deferred()

    def accept(self) -> None:
        self.sink.accepted()

    def send(self, data: bytes) -> None:
        self.body += data
        self.sink.chunk(data)

    def finish(self, result: EngineResult | None = None) -> None:
        self.result.callback(result or EngineDone(10, 5, 0))

    def break_connection(
        self, *, accepted: bool = True, chunks: int = 0
    ) -> None:
        self.finish(EngineBroken(accepted, chunks, "connection lost"))


class FakeEngine(Engine):
    """An engine whose streams are driven by the test."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.streams: list[FakeStream] = []
        self.resumable: dict[RequestId, FakeStream] = {}
        self.resumed: list[tuple[RequestId, int, FakeStream]] = []
        self.cancelled: list[RequestId] = []
        self.released: list[ProgramId] = []
        self.memory: tuple[HeldMemory, ...] | None = ()
        self.orders: list[object] = []
        self.down = False

    async def generate(self, request, sink):
        if self.down:
            return EngineRefused(0, "connection refused")
        stream = FakeStream(request, sink)
        self.streams.append(stream)
        return await stream.result

    async def resume(self, request, start, sink):
        if self.down:
            return EngineRefused(0, "connection refused")
        resumable = self.resumable.get(request)
        if resumable is None:
            return EngineRefused(404, "no such request")
        stream = FakeStream(resumable.request, sink)
        self.resumed.append((request, start, stream))
        if resumable.body[start:]:
            sink.chunk(resumable.body[start:])
        return await stream.result

    async def cancel(self, request):
        self.cancelled.append(request)
        return not self.down

    async def load(self):
        return None

    async def cache_events(self, since):
        return None

    async def order(self, order):
        self.orders.append(order)
        return OrderResponse(OrderResult.DONE)

    async def held(self):
        return None if self.down else self.memory

    async def release(self, program):
        if self.down:
            return False
        self.released.append(program)
        held = self.memory or ()
        self.memory = tuple(
            h for h in held if root_program(h.program) != program
        )
        return True

    async def export_cache(self, program):
        return None

    async def import_cache(self, program, data):
        return False


class RecordingListener(ChatListener):
    """Records the events of a job."""

    def __init__(self) -> None:
        self.events: list[object] = []
        self.data = b""
        self.targets: list[TargetId] = []

    def accepted(self, target, request):
        self.targets.append(target)

    def chunk(self, data):
        self.data += data

    def done(self, result, target):
        self.events.append(result)

    def refused(self, outcome):
        self.events.append(outcome)

    def failed(self, outcome):
        self.events.append(outcome)

    @property
    def outcome(self) -> EngineDone | Refused | Failed:
        assert len(self.events) == 1, self.events
        return self.events[0]


def make_job(
    program: str = "p1",
    *,
    account: str = "trust",
    number: int = 1,
    deadline_s: float = 600.0,
    fingerprint: bytes = b"",
    prompt_tokens: int = 100,
    max_tokens: int = 50,
    may_send=lambda: None,
    may_repeat=lambda: True,
) -> ChatJob:
    """Returns a job with default values."""
    return ChatJob(
        program=ProgramId(program),
        root=root_program(ProgramId(program)),
        account=AccountId(account),
        program_class="",
        number=number,
        model=ModelName("m"),
        body=b"{}",
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        fingerprint=fingerprint or f"{account}/{program}#{number}".encode(),
        deadline_s=deadline_s,
        epoch=7,
        may_send=may_send,
        may_repeat=may_repeat,
    )


def listing_of(
    names: list[str], *, version: int = 1, leaving: tuple[str, ...] = ()
) -> VmListing:
    """Returns a VM list with these engines."""
    return VmListing(
        version,
        tuple(
            VmEntry(
                vm=VmId(name),
                role=VmRole.ENGINE,
                zone=ZoneId("bhuj-a"),
                host="127.0.0.1",
                port=9000 + index,
                state=VmState.LEAVING if name in leaving else VmState.LIVE,
                group="m",
            )
            for index, name in enumerate(names)
        ),
    )


class CrashLog:
    """Collects crash reports like the cell's folded log state."""

    def __init__(self) -> None:
        self.targets_by_fingerprint: dict[bytes, list[TargetId]] = defaultdict(
            list
        )

    def report(self, fingerprint: bytes, target: TargetId) -> None:
        self.targets_by_fingerprint[fingerprint].append(target)

    def quarantined(self, fingerprint: bytes) -> bool:
        return len(self.targets_by_fingerprint.get(fingerprint, ())) >= 2
