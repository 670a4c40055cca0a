"""Requests that reach the fake targets, and the expected answers."""

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
        at: True time of arrival.
        target: Name of the engine.
        vm: The VM that sent the request.
        request: The request.
    """

    at: float
    target: str
    vm: str
    request: EngineRequest


def program_name(engine_program: str) -> str:
    """Returns the program id in the program name that engines receive."""
    return engine_program.partition(":")[2]


def root_name(engine_program: str) -> str:
    """Returns the top-level program id in the name that engines receive."""
    return program_name(engine_program).split("/")[0]


def answer_text(body: bytes) -> str:
    """Returns the text with which every engine answers a request body."""
    messages = orjson.dumps(orjson.loads(body)["messages"])
    return " ".join(
        sha256(messages + str(index).encode()).hexdigest()[:6]
        for index in range(CHUNKS)
    )


def answer_events(body: bytes) -> list[bytes]:
    """Returns the server-sent events of an answer, ``[DONE]`` last."""
    events: list[bytes] = []
    for index, word in enumerate(answer_text(body).split(" ")):
        text = word if index == 0 else f" {word}"
        document = {"choices": [{"index": 0, "delta": {"content": text}}]}
        events.append(b"data: " + orjson.dumps(document) + b"\n\n")
    events.append(b"data: [DONE]\n\n")
    return events


def prompt_tokens(body: bytes) -> int:
    """Returns the number of prompt tokens that an engine counts."""
    messages = orjson.dumps(orjson.loads(body)["messages"])
    return len(messages) // BYTES_PER_TOKEN + 1
