"""Trial: runners drop idle channels, and a sound lookup is refused for good.

"A runner may drop an idle channel without notice, and sooner than usual.
Whatever is sent next on that channel is reset." (grown/LATER.md) For 25 s all
runners of one service do so; the share of served requests is measured in the
25 s after that.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from review.standin_http import Request, ask  # noqa: E402
from review.standin_machines import (  # noqa: E402
    Machine,
    Record,
)
from review.standin_programs import (  # noqa: E402
    HOST,
    PLAIN_SERVICE,
    configure,
    new_request_id,
)
from review.standin_runner import Runner  # noqa: E402
from review.standin_store import Store  # noqa: E402

RUNNERS = 9
DROPPED_AFTER_S = 1.0
"""Seconds after which a runner drops an idle channel without notice."""

DROPS_S = 25.0
"""Seconds for which runners do so; from then on they behave."""

CALM_AFTER_S = 4.0
"""Seconds after that from which on requests are judged."""

JUDGED_S = 25.0

LOOKUPS = 1
"""Different lookups that the crews send."""

PAUSE_S = 0.6
"""Seconds between two requests of one kind at one machine."""

RETRIES = 1


class _Dropping(Runner):
    """A runner that drops channels which have been idle for a while."""

    dropping = False

    async def answer(self, request: Request) -> None:
        """Answers, unless the channel has been dropped meanwhile."""
        now = asyncio.get_running_loop().time()
        channel = request.channel
        used_at = getattr(channel, "used_at", now)
        if self.dropping and now - used_at > DROPPED_AFTER_S:
            request_id = request.headers.get("x-request-id", "")
            self.record(f"reset {request_id} at {self.runner_id}: dropped")
            channel.abort()
            return
        await super().answer(request)
        channel.used_at = asyncio.get_running_loop().time()


class _Kind:
    """A kind of request, and how often it is served."""

    def __init__(self, name: str, method: str, urls: list[str]) -> None:
        self.name = name
        self.method = method
        self._urls = itertools.cycle(urls)
        self.sent = 0
        self.served = 0

    async def send(self, machine: Machine, record: Record) -> bool:
        """Sends a request, and again if it may; returns if it was served."""
        url = next(self._urls)
        for _ in range(RETRIES + 1):
            request_id = new_request_id()
            headers = [
                ("Host", HOST),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", "1500"),
            ]
            body = request_id.encode() if self.method == "POST" else b""
            answer = await ask(machine.front, self.method, url, headers, body)
            text = answer.body.decode() if answer.status != 200 else ""
            record(
                f"{self.name} {request_id} {url} at {machine.name}:"
                f" {answer.status} {text.strip()}"
            )
            if answer.status == 200 and answer.whole:
                return True
            if self.method == "POST" and answer.status != 503:
                return False
            after_s = float(answer.headers.get("retry-after", "0.1"))
            await asyncio.sleep(min(after_s, 0.5))
        return False


async def _client(
    kind: _Kind, machine: Machine, record: Record, judged_at: float
) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < judged_at + JUDGED_S:
        judged = loop.time() >= judged_at
        served = await kind.send(machine, record)
        kind.sent += judged
        kind.served += judged and served
        await asyncio.sleep(PAUSE_S)


async def _case(folder: Path, record: Record, disturb: bool) -> bool:
    store = Store()
    await store.start()
    configure(store)
    runners = [
        _Dropping(store, f"i-{n}", PLAIN_SERVICE, record)
        for n in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    machines = [Machine(f"front-{n}", store, folder, record) for n in range(3)]
    lookups = [
        f"/pule252/{number:x}" for number in range(0x2F, 0x2F + LOOKUPS)
    ]
    kinds = [
        _Kind("map-fetch", "GET", lookups),
        _Kind("pole-order", "POST", ["/puxa403/2f"]),
    ]
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        for runner in runners:
            runner.dropping = disturb
        now = asyncio.get_running_loop().time()
        judged_at = now + DROPS_S + CALM_AFTER_S
        clients = asyncio.gather(
            *(
                _client(kind, machine, record, judged_at)
                for kind in kinds
                for machine in machines
            )
        )
        await asyncio.sleep(DROPS_S)
        for runner in runners:
            runner.dropping = False
        record("runners keep their idle channels again")
        await clients
        return _judge(kinds)
    finally:
        for machine in machines:
            machine.end()
        for runner in runners:
            await runner.stop()
        await store.stop()


def _judge(kinds: list[_Kind]) -> bool:
    sent = sum(kind.sent for kind in kinds)
    served = sum(kind.served for kind in kinds)
    held = True
    for kind in kinds:
        print(f"{kind.name}: {kind.served} of {kind.sent} served")
        share = kind.served / kind.sent
        held = held and share >= 0.25 * served / sent
    return held


with tempfile.TemporaryDirectory() as temporary:
    folder = Path(temporary)
    asyncio.run(_case(folder, Record(folder / "record.txt"), True))
