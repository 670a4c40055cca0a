"""A program owner on fakes, which can fail or hand its programs over."""

from __future__ import annotations

from dataclasses import replace

import orjson
from _program_fakes import (
    LINE,
    FakeApplication,
    FakeCell,
    FakeDispatcher,
    FakeJob,
    FakeRules,
    FakeSink,
)
from twisted.internet.task import Clock

from lycheestall.application_picker import ApplicationTarget, RoundRobinPicker
from lycheestall.calls import Call, CallHandle, CallKind
from lycheestall.ids import (
    AccountId,
    IdempotencyKey,
    ModelName,
    Offset,
    PartitionId,
    TargetId,
)
from lycheestall.outcomes import Failed, Outcome, Reason, Refused, Step
from lycheestall.partitions import partition_of
from lycheestall.program_ids import issue_program_id, ledger_id
from lycheestall.program_owner import ProgramOwner
from lycheestall.rules.rule_set import ProgramLimits
from lycheestall.settings import TuningSettings
from lycheestall.targets import ActionDone

PARTITIONS = 8
NOW_MS = 1_700_000_000_000
KEY = b"key"
ACCOUNT = AccountId("snowline")
PROGRAM = issue_program_id(
    account=ACCOUNT, issued_ms=NOW_MS - 5, nonce=bytes(8), key=KEY
)
ROOT = ledger_id(ACCOUNT, PROGRAM)
PARTITION = partition_of(ACCOUNT, PROGRAM, PARTITIONS)
NO_AUTHORITY = Refused(Step.ROUTE, Reason.NO_AUTHORITY)


class OwnerHarness:
    """Runs one owner at a time on a shared log and shared targets.

    The public methods act on the current owner; ``take_over`` and
    ``hand_over`` replace it by the next one.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.cell = FakeCell()
        self.rules = FakeRules()
        self.dispatcher = FakeDispatcher()
        self.first = FakeApplication()
        self.second = FakeApplication()
        self.handle: CallHandle | None = None
        self.take_over("s1", unproven=False)

    def take_over(self, session: str, *, unproven: bool = True) -> None:
        self.cell = self.cell.successor(session, PARTITIONS)
        self.owner = self._owner()
        for number in range(PARTITIONS):
            self.owner.partition_gained(
                PartitionId(number),
                self.cell.epoch_of(PartitionId(number)),
                program_states={},
                may_miss_programs=unproven,
            )

    def hand_over(self, session: str) -> None:
        states: list[dict[str, bytes]] = []
        self.owner.quiesce(PARTITION).addCallback(states.append)
        self.clock.advance(1.0)
        previous = self.cell
        self.cell = previous.successor(session, PARTITIONS, killed=False)
        self.owner.partition_lost(PARTITION)
        self.owner = self._owner()
        self.owner.partition_gained(
            PARTITION,
            Offset(0),
            program_states=states[0],
            may_miss_programs=False,
        )

    def call(self, **parts: object) -> FakeSink:
        sink = FakeSink()
        fields: dict[str, object] = {"account": ACCOUNT, "program": PROGRAM}
        call = Call(**{**fields, **parts})  # type: ignore[arg-type]
        self.handle = self.owner.handle(call, sink)
        return sink

    def chat(self, *texts: str, **parts: object) -> FakeSink:
        parts = {"model": ModelName("m"), "body": chat_body(*texts), **parts}
        return self.call(kind=CallKind.CHAT, **parts)

    def order(self, key: str = "k1", **parts: object) -> FakeSink:
        fields: dict[str, object] = {
            "kind": CallKind.ACTION,
            "application": TargetId("poles"),
            "operation": "POST /orders",
            "body": b"{}",
            "idempotency_key": IdempotencyKey(key),
        }
        return self.call(**{**fields, **parts})

    @property
    def job(self) -> FakeJob:
        return self.dispatcher.jobs[-1]

    def answer_order(self, status: int = 201, runner: int = 0) -> None:
        application = (self.first, self.second)[runner]
        application.answers[-1].callback(
            ActionDone(status, "application/json", b'{"order":1}')
        )

    def _owner(self) -> ProgramOwner:
        runners = [
            ApplicationTarget(TargetId("runner-1"), self.first),
            ApplicationTarget(TargetId("runner-2"), self.second),
        ]
        return ProgramOwner(
            cell=self.cell,
            ledger=lambda: self.cell.ledger,
            dispatcher=self.dispatcher,
            applications=RoundRobinPicker({TargetId("poles"): runners}),
            rules=lambda: self.rules,
            clock=self.clock,
            wall_ms=lambda: NOW_MS + int(self.clock.seconds() * 1000),
            receipt_keys=[KEY],
            settings=TuningSettings(),
            partitions=PARTITIONS,
        )


def chat_body(*texts: str) -> bytes:
    """Returns a body whose messages alternate between user and assistant."""
    roles = ("user", "assistant")
    messages = [
        {"role": roles[index % 2], "content": text}
        for index, text in enumerate(texts)
    ]
    return orjson.dumps({"messages": messages, "max_tokens": 10})


def limits(**parts: object) -> ProgramLimits:
    empty = ProgramLimits(None, None, None, None, None, {})
    lines = {name: LINE for name in parts}
    return replace(empty, lines=lines, **parts)  # type: ignore[arg-type]


def reason(outcome: Outcome | None) -> Reason:
    """Returns why a call was refused or failed."""
    assert isinstance(outcome, Refused | Failed)
    return outcome.reason
