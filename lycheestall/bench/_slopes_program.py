"""Costs of live programs at their owner and of checking histories."""

from __future__ import annotations

import json
from hashlib import sha256
from typing import Any

import cbor2
from twisted.internet.task import Clock

from ..answers import AnswerStore
from ..budget import Budget
from ..call_summary import CallSummary
from ..chat_body import ChatBody, parse_chat
from ..history import ChainPoint, Extension, History
from ..ids import AccountId, CallNumber, PartitionId, ProgramId
from ..ledger_program import Spend
from ..program import Program
from ._slopes_probe import CostSample, measure_cpu_us, measure_resident_bytes

__all__ = ["measure_handover", "measure_history", "measure_live_programs"]

ACCOUNT = AccountId("account-0001")
CALLS_PER_PROGRAM = 28
MESSAGE_BYTES = 2_000
SUB_AGENTS = 1


def _program(number: int, clock: Any) -> Program:
    """Returns a live program with one sub-agent and a call history."""
    root = ProgramId(f"pr-{number:012x}-{number:016x}-{0:024x}")
    program = Program(
        account=ACCOUNT,
        root=root,
        name=ProgramId(f"{ACCOUNT}:{root}"),
        program_class="planning",
        partition=PartitionId(number % 64),
        opened_ms=1_700_000_000_000,
        budget=Budget(spent=Spend(1, 2, 3), drawn=Spend(10, 20, 30)),
        clock=clock,
        gap_hold_s=2.0,
        recorded=True,
        turns=CALLS_PER_PROGRAM,
    )
    for agent in range(1 + SUB_AGENTS):
        path = ProgramId(f"{root}/sub" if agent else root)
        _add_history_point(program, path)
    for call in range(CALLS_PER_PROGRAM):
        program.recent_calls.append(
            CallSummary(root, call, "chat", "engine-1", "completed", "", 900)
        )
    return program


def _add_history_point(program: Program, path: ProgramId) -> None:
    """Adds the one point of the hash chain that a path's calls leave."""
    digest = sha256(path.encode()).digest()
    point = ChainPoint(
        CallNumber(CALLS_PER_PROGRAM), 2 * CALLS_PER_PROGRAM, digest
    )
    program.agent(path).history.add(point)


def _programs(count: int) -> list[Program]:
    clock: Any = Clock()
    return [_program(number, clock) for number in range(count)]


def measure_live_programs(programs: int) -> CostSample:
    """Measures the memory of live programs at their owner, less answers.

    Args:
        programs: Number of programs, each of 28 calls and one sub-agent.
    """
    return CostSample(
        resident_bytes=measure_resident_bytes(lambda: _programs(programs))
    )


def measure_handover(programs: int) -> CostSample:
    """Measures a handover of live programs, as the sum for both VMs.

    Args:
        programs: Number of programs, each of 28 calls and one sub-agent,
            without answers.
    """
    clock: Any = Clock()
    live = _programs(programs)
    answers = AnswerStore(retention_s=300.0, clock=clock)
    frames: list[bytes] = []

    def run() -> None:
        frames[:] = [cbor2.dumps(program.dump(answers)) for program in live]
        for frame in frames:
            Program.restored(
                cbor2.loads(frame),
                partition=PartitionId(1),
                clock=clock,
                gap_hold_s=2.0,
                answers=answers,
            )

    cost = measure_cpu_us(run, repeats=3)
    return CostSample(cpu_us=cost, wire_bytes=sum(map(len, frames)))


def measure_history(size: int) -> CostSample:
    """Measures parsing a chat body and checking its history's hash chain.

    Args:
        size: Total length of the messages in bytes, 2,000 in each.
    """
    messages: list[dict[str, Any]] = []
    for number in range(max(size // MESSAGE_BYTES, 1)):
        role = "user" if number % 2 == 0 else "assistant"
        text = f"{number} " + "pole " * (MESSAGE_BYTES // 5)
        messages.append({"role": role, "content": text})
    body = json.dumps({"model": "m", "messages": messages}).encode()
    history = History(ACCOUNT, ProgramId("p"))

    def run() -> None:
        chat = parse_chat(body)
        assert isinstance(chat, ChatBody)
        assert isinstance(history.check(chat.messages), Extension)

    return CostSample(cpu_us=measure_cpu_us(run), wire_bytes=len(body))
