"""Tests that a stream resumes on another VM after its owner crashed."""

from __future__ import annotations

import orjson
import pytest
from _program_fakes import FakeSink

from lycheestall.calls import Call, CallKind
from lycheestall.ids import AccountId, CallNumber, ModelName, ProgramId
from lycheestall.outcomes import Completed
from lycheestall.partitions import partition_of
from tests.simulated_deployment import SimulatedDeployment
from tests.target_traffic import answer_text

ACCOUNT = AccountId("snowline")
CRASH_AFTER_BYTES = 150
TAKEOVER_LIMIT_S = 60.0


class _Caller:
    """A caller of a VM that does not own the program."""

    def __init__(self, seed: int) -> None:
        self.deployment = SimulatedDeployment(seed=seed)
        assert self.deployment.settle()
        names = sorted(self.deployment.vm_by_name)
        self.entry = names[0]
        opened = self.send(kind=CallKind.OPEN, program=ProgramId(""))
        self.deployment.simulation.run_for(0.5)
        self.program = ProgramId(orjson.loads(opened.body)["program"])
        partition = partition_of(
            ACCOUNT, self.program, self.deployment.tuning.partitions
        )
        self.owner = self.deployment.vms_with_authority(partition)[0]
        self.entry = next(name for name in names if name != self.owner)

    def send(self, **fields: object) -> FakeSink:
        sink = FakeSink()
        call = Call(account=ACCOUNT, **fields)  # type: ignore[arg-type]
        self.deployment.vm_by_name[self.entry].node.handle(call, sink)
        return sink

    def chat(self, body: bytes, number: int, receipt: str = "") -> FakeSink:
        return self.send(
            kind=CallKind.CHAT,
            program=self.program,
            number=CallNumber(number),
            model=ModelName("planner"),
            body=body,
            streamed=True,
            receipt=receipt,
        )

    def resume(self, start: int, receipt: str) -> FakeSink:
        """Repeats the resume call until a new owner answers it."""
        while self.deployment.simulation.now < TAKEOVER_LIMIT_S:
            sink = self.send(
                kind=CallKind.RESUME,
                program=self.program,
                number=CallNumber(1),
                resume_from=start,
                receipt=receipt,
            )
            self.deployment.simulation.run_for(4.0)
            if sink.head is not None:
                return sink
        pytest.fail("no new owner resumed the stream")


def chat_request(*texts: str) -> bytes:
    roles = ("user", "assistant")
    messages = [
        {"role": roles[index % 2], "content": text}
        for index, text in enumerate(texts)
    ]
    document = {"model": "planner", "messages": messages, "max_tokens": 16}
    return orjson.dumps(document)


def text_of(stream: bytes) -> str:
    text = ""
    for event in stream.split(b"\n\n"):
        if event.startswith(b"data: {"):
            choice = orjson.loads(event[6:])["choices"][0]
            text += choice["delta"].get("content", "")
    return text


@pytest.mark.parametrize("seed", [1, 2])
def test_stream_resumes_after_its_owners_crash(seed: int) -> None:
    caller = _Caller(seed)
    request = chat_request("plan the run")
    interrupted = caller.chat(request, 1)
    simulation = caller.deployment.simulation
    simulation.run_while(
        lambda: len(interrupted.body) < CRASH_AFTER_BYTES, 5.0
    )
    assert not interrupted.outcomes
    head_receipt = interrupted.header("lycheestall-receipt")
    caller.deployment.kill_vm(caller.owner)
    received = interrupted.body
    resumed = caller.resume(len(received), head_receipt)
    assert isinstance(resumed.outcome, Completed)
    stream = received + resumed.body
    answer = text_of(stream)
    assert answer == answer_text(request)
    engines = caller.deployment.engine_by_name.values()
    assert sum(len(engine.arrivals) for engine in engines) == 1
    receipt = stream.rpartition(b": lycheestall-receipt ")[2].strip()
    next_request = chat_request("plan the run", answer, "and the next")
    second = caller.chat(next_request, 2, receipt.decode())
    simulation.run_for(10.0)
    assert isinstance(second.outcome, Completed)
