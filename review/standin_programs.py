"""The configuration of the cases, and agent programs as their clients."""

from __future__ import annotations

import asyncio
import itertools
import json
from zlib import crc32

from .standin_http import Answer, ask
from .standin_machines import Machine, Record
from .standin_runner import STRIDE
from .standin_store import Store

HOST = "ficu95.example"

BUDGET = 2240
"""Tokens that a program may generate; the figure of the pages' example."""

MAX_TURN_TOKENS = 280
"""Tokens that one turn generates at most; the figure of the same example."""

ENGINE_SERVICE = "plan-agents"
PLAIN_SERVICE = "field-app"

_ROUTE = {"host": HOST, "target_latency_ms": 200, "priority": 1}

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            **_ROUTE,
            "name": "pole-query",
            "path_prefix": "/lohu930/",
            "kind": "stream",
            "timeout_ms": 3000,
            "service": ENGINE_SERVICE,
            "max_attempts": 1,
            "retain_context": False,
            "retention_s": 60.0,
            "session_affinity": True,
            "resumable": True,
            "gap_aim_ms": 150,
        },
        {
            **_ROUTE,
            "name": "map-fetch",
            "path_prefix": "/pule252/",
            "kind": "safe",
            "timeout_ms": 1500,
            "service": PLAIN_SERVICE,
        },
        {
            **_ROUTE,
            "name": "pole-order",
            "path_prefix": "/puxa403/",
            "kind": "unsafe",
            "timeout_ms": 6000,
            "service": PLAIN_SERVICE,
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": ENGINE_SERVICE,
            "health_path": "/health",
            "max_conns": 150,
            "engine": {"slots": 8, "kv_tokens": 97850, "stride": STRIDE},
        },
        {"name": PLAIN_SERVICE, "health_path": "/health", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}

_numbers = itertools.count(1)


def configure(store: Store) -> None:
    """Writes the configuration, as the operator does."""
    value = json.dumps(CONFIGURATION).encode()
    store.partition("keyed.op").put(b"config", value)


def new_request_id() -> str:
    """Returns the id of a client attempt."""
    return f"q{next(_numbers):06d}"


class Program:
    """An agent program that starts as many turns as it may.

    Args:
        name: Its id.
        record: Receives what it sends and gets.

    Attributes:
        tokens: Tokens of all events that it was handed.
        spent: Whether a turn was answered 402.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.tokens = 0
        self.spent = False
        self._record = record

    @property
    def over_budget(self) -> bool:
        """Whether it got more than its budget and the most of one turn."""
        return self.tokens > BUDGET + MAX_TURN_TOKENS

    async def attempt(self, machine: Machine, line: str = "1") -> Answer:
        """Sends a turn once.

        Args:
            machine: The machine that the platform has chosen.
            line: The line of turns that it belongs to.
        """
        request_id = new_request_id()
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Model", "m"),
            ("X-Program-Id", self.name),
            ("X-Session-Id", f"{self.name}-{line}"),
            ("X-Finish-Ms", "20000"),
            ("X-Token-Budget", str(BUDGET)),
            ("X-Token-Usage", f"600,{MAX_TURN_TOKENS}"),
            (
                "X-Prompt-Prefix",
                f"5c1e07a2:400,{crc32(self.name.encode()):x}:200",
            ),
            ("X-Deadline-Ms", "3000"),
        ]
        self._record(f"send {request_id} of {self.name} to {machine.name}")
        answer = await ask(
            machine.front, "POST", "/lohu930/4b", headers, b"{}", timeout_s=3.2
        )
        tokens = len(answer.events) * STRIDE
        self.tokens += tokens
        self.spent = self.spent or answer.status == 402
        self._record(
            f"got {request_id} of {self.name}: {answer.status}"
            f" {'whole' if answer.whole else 'cut'}, {tokens} tokens,"
            f" {self.tokens} in all"
        )
        return answer

    async def turn(
        self, machine: Machine, line: str = "1", *, tries: int = 1
    ) -> bool:
        """Sends a turn, and again after a refusal; returns if it was served.

        Args:
            machine: The machine that the platform has chosen.
            line: The line of turns that it belongs to.
            tries: Client attempts at most.
        """
        for _ in range(tries):
            answer = await self.attempt(machine, line)
            if answer.status in (200, 402):
                return answer.status == 200
            after_s = float(answer.headers.get("retry-after", "0.3"))
            await asyncio.sleep(min(after_s, 1.0))
        return False
