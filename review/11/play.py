"""A runner fails some streams; another one's outlast the route's timeout."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab3.case import Record, main  # noqa: E402
from lab3.fleet import Fleet, Machine, answered  # noqa: E402
from lab3.http1 import encode, send  # noqa: E402
from lab3.runner import Answer, Runner  # noqa: E402
from lab3.store import Store  # noqa: E402

HOST = "crew.example"
TIMEOUT_MS = 3_000
DEADLINE_MS = 3_600
RUNNERS = 8
"""One of them is in trouble, which is a share of 0.125."""
TROUBLE_S = 6.5
"""Seconds for which it is in trouble; all requests are sent in them."""
FAILS_OF_20 = 9
"""Requests that it fails of each 20 that it gets: a share of 0.45."""
INTERVAL_S = 0.08
"""Seconds between two requests."""
EVENT_S = 0.12
LONG_EVENTS = 60
"""Events of a stream that lasts longer than the route's timeout."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-draft",
            "host": HOST,
            "path_prefix": "/draft/",
            "kind": "stream",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 203,
            "priority": 0,
            "service": "models",
            "max_attempts": 2,
            "retain_context": False,
            "retention_s": 60.0,
            "session_affinity": True,
            "resumable": True,
            "gap_aim_ms": 200,
        }
    ],
    "services": [
        {
            "name": "models",
            "health_path": "/health",
            "max_conns": 530,
            "engine": {"slots": 8, "kv_tokens": 64_866, "stride": 17},
        }
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
}


class Models:
    """The runners of one service, of which one may be in trouble."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._seen = 0
        self.failed: set[str] = set()
        self.still_running: set[str] = set()

    async def sound(self, answer: Answer) -> None:
        """Streams for longer than the route's timeout."""
        name = answer.request.headers["x-request-id"]
        self.still_running.add(name)
        await answer.begin_stream()
        for number in range(1, LONG_EVENTS + 1):
            await answer.event(number, f"{name}-{number}")
            await asyncio.sleep(EVENT_S)
        await answer.end_stream()
        self.still_running.discard(name)

    async def grey(self, answer: Answer) -> None:
        """Fails a share of the requests with a 500, and runs the others."""
        place = self._seen % 20
        self._seen += 1
        if place % 2 or place // 2 >= FAILS_OF_20:
            await self.sound(answer)
            return
        name = answer.request.headers["x-request-id"]
        self.failed.add(name)
        self._record.write(f"runner i-grey fails {name} with 500")
        await answer.whole(500, b"failed\n")


async def _ask(
    number: int, machine: Machine, models: Models, record: Record
) -> str | None:
    name = f"{number:016x}"
    request = encode(
        f"POST /draft/{number} HTTP/1.1",
        [
            ("Host", HOST),
            ("X-Request-Id", name),
            ("X-Model", "m"),
            ("X-Token-Usage", "400,1100"),
            ("X-Prompt-Prefix", f"5c1e07a2:300,{number:x}:100"),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
        ],
        b"prompt",
    )
    record.write(f"{name} sent to {machine.name}")
    answer = await send(
        machine.front, request, limit_s=DEADLINE_MS / 1000 + 0.3
    )
    record.write(
        f"{name}: {answered(answer)}; failed by grey: {name in models.failed}"
    )
    if "bytes that are no answer" not in answer.problem:
        return None
    # The rule excuses bytes after a runner that broke off: this one did not.
    if name not in models.still_running:
        return None
    return (
        f"MIXED: {name} got {answer.problem}, after "
        f"{answer.body.count(b'data:')} events of a runner that went on"
    )


async def play(record: Record) -> list[str]:
    """Sends streams and looks at what their callers get."""
    store = Store()
    await store.start()
    models = Models(record)
    grey = models.grey if record.trouble else models.sound
    runners = [
        Runner(store, f"i-sound-{n}", "models", models.sound)
        for n in range(RUNNERS - 1)
    ]
    runners.append(Runner(store, "i-grey", "models", grey))
    for runner in runners:
        await runner.start()
    store.put("keyed.op", "config", CONFIGURATION)
    fleet = Fleet(store.port, 2)
    try:
        await fleet.start()
        await asyncio.sleep(1.0)
        asked: list[asyncio.Task[str | None]] = []
        for number in range(int(TROUBLE_S / INTERVAL_S)):
            machine = fleet.machines[number % 2]
            call = _ask(number, machine, models, record)
            asked.append(asyncio.create_task(call))
            await asyncio.sleep(INTERVAL_S)
        found = await asyncio.gather(*asked)
        return [text for text in found if text is not None]
    finally:
        fleet.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()


main(__file__, play)
