"""What reaches a target of the virtual world, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

import orjson

from lycheestall.targets import (
    EngineRequest,
)

LATENCY_S = 0.001
CHUNKS = 8
CHUNK_S = 0.05
ACTION_S = 0.05
RESET_S = 0.01
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached an engine.

    Attributes:
        at: True time.
        target: The engine.
        vm: The VM that sent it.
        request: Its request.
    """

    at: float
    target: str
    vm: str
    request: EngineRequest


def program_name(engine_program: str) -> str:
    """Returns a program's id from its name towards engines."""
    return engine_program.partition(":")[2]


def root_name(engine_program: str) -> str:
    """Returns a top-level program's id from its name towards engines."""
    return program_name(engine_program).split("/")[0]


def answer_text(body: bytes) -> str:
    """Returns the text that every engine answers a body with."""
    messages = orjson.dumps(orjson.loads(body)["messages"])
    return " ".join(
        sha256(messages + str(index).encode()).hexdigest()[:6]
        for index in range(CHUNKS)
    )


def answer_events(body: bytes) -> list[bytes]:
    """Returns the SSE events of a body's answer, the end mark last."""
    events: list[bytes] = []
    for index, word in enumerate(answer_text(body).split(" ")):
        text = word if index == 0 else f" {word}"
        document = {"choices": [{"index": 0, "delta": {"content": text}}]}
        events.append(b"data: " + orjson.dumps(document) + b"\n\n")
    events.append(b"data: [DONE]\n\n")
    return events


def prompt_tokens(body: bytes) -> int:
    """Returns what an engine counts as the prompt's tokens."""
    messages = orjson.dumps(orjson.loads(body)["messages"])
    return len(messages) // BYTES_PER_TOKEN + 1
