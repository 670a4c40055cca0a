"""Tests of the owner's side with small fakes round it."""

from __future__ import annotations

import orjson
import pytest
from _program_fakes import (
    FakeApplication,
    FakeCell,
    FakeDispatcher,
    FakeSink,
)
from twisted.internet.task import Clock

from lycheestall.application_picker import RotatingPicker, Runner
from lycheestall.calls import Call, CallKind
from lycheestall.ids import AccountId, ProgramId, TargetId
from lycheestall.outcomes import Completed
from lycheestall.program_owner import ProgramOwner
from lycheestall.settings import TuningSettings
from lycheestall.targets import ActionDone


class _World:
    def __init__(self) -> None:
        self.clock = Clock()
        self.cell = FakeCell()
        self.dispatcher = FakeDispatcher()
        self.application = FakeApplication()
        runner = Runner(TargetId("runner-1"), self.application)
        self.owner = ProgramOwner(
            cell=self.cell,
            dispatcher=self.dispatcher,
            applications=RotatingPicker({TargetId("poles"): [runner]}),
            rules=lambda: None,  # type: ignore[arg-type,return-value]
            clock=self.clock,  # type: ignore[arg-type]
            wall_ms=lambda: 1_700_000_000_000,
            receipt_keys=[b"key"],
            settings=TuningSettings(),
            partitions=8,
        )

    def call(self, **parts: object) -> FakeSink:
        sink = FakeSink()
        call = Call(
            account=AccountId("snowline"),
            program=ProgramId("p1"),
            **parts,  # type: ignore[arg-type]
        )
        self.owner.handle(call, sink)
        return sink


@pytest.fixture
def world() -> _World:
    return _World()


def chat_body(*texts: str) -> bytes:
    messages = [{"role": "user", "content": text} for text in texts]
    return orjson.dumps({"model": "m", "messages": messages})


def test_chat_answer_is_whole(world: _World) -> None:
    sink = world.call(kind=CallKind.CHAT, body=chat_body("plan"))
    world.dispatcher.jobs[0].run("hello")
    assert isinstance(sink.outcome, Completed)
    document = orjson.loads(sink.body)
    assert document["choices"][0]["message"]["content"] == "hello"


def test_action_answer_is_passed_on(world: _World) -> None:
    sink = world.call(
        kind=CallKind.ACTION,
        application=TargetId("poles"),
        operation="POST /orders",
        body=b"{}",
    )
    world.application.answers[0].callback(
        ActionDone(201, "application/json", b'{"order":1}')
    )
    assert isinstance(sink.outcome, Completed)
    assert sink.body == b'{"order":1}'
