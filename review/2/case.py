"""A machine is killed just after a second software version has come up."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.standin_http import Answer, ask  # noqa: E402
from review.standin_machines import (  # noqa: E402
    Machine,
    Record,
    run_case,
)
from review.standin_programs import (  # noqa: E402
    BUDGET,
    ENGINE_SERVICE,
    HOST,
    configure,
    new_request_id,
)
from review.standin_runner import STRIDE, Runner  # noqa: E402
from review.standin_store import Store  # noqa: E402

STREAMS = 16
"""Streams that run at the machine when it is killed."""

EVENTS = 16
EVENT_S = 0.14
"""Seconds between two events; the sheet allows pauses of 150 ms."""

SECOND_VERSION_AT_S = 0.3
"""Seconds after the streams have begun."""

KILL_AT_S = 1.3
LEFT_S = 3.0
"""Time limit of a client, from its first attempt on."""

NEW_STREAMS = 16
"""Streams that begin at the other machine meanwhile, to compare."""


class _Stream:
    """A stream as its client sees it."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.events: list[int] = []
        self.data: list[str] = []
        self.attempts = 0
        self.whole = False
        self.first_id = ""
        self.begun = asyncio.get_running_loop().time()
        self._record = record

    def left_s(self) -> float:
        """Returns what is left of the client's time limit."""
        now = asyncio.get_running_loop().time()
        return self.begun + LEFT_S - now

    async def attempt(self, machine: Machine, *, leave_s: float = 9) -> Answer:
        """Sends one client attempt and takes note of its events."""
        request_id = new_request_id()
        self.attempts += 1
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Model", "m"),
            ("X-Program-Id", self.name),
            ("X-Session-Id", f"{self.name}-1"),
            ("X-Finish-Ms", "20000"),
            ("X-Token-Budget", str(BUDGET)),
            ("X-Token-Usage", f"600,{EVENTS * STRIDE}"),
            ("X-Prompt-Prefix", "5c1e07a2:400,91bd3f06:200"),
            ("X-Deadline-Ms", str(int(self.left_s() * 1000))),
        ]
        if self.events:
            headers.append(("Last-Event-Id", str(self.events[-1])))
            headers.append(("Resumes", self.first_id))
        self._record(
            f"send {request_id} for {self.name} to {machine.name}, after"
            f" event {self.events[-1] if self.events else 'none'}"
        )
        answer = await ask(
            machine.front,
            "POST",
            "/lohu930/4b",
            headers,
            b"{}",
            timeout_s=min(self.left_s(), leave_s),
        )
        if answer.events and not self.first_id:
            self.first_id = request_id
        self.events += answer.events
        self.data += answer.data
        self.whole = answer.whole and answer.status == 200
        self._record(
            f"got {request_id} for {self.name}: {answer.status}"
            f" {'whole' if answer.whole else 'cut'}, events {answer.events}"
            f" {answer.body if answer.status != 200 else ''}"
        )
        return answer

    async def take_up(self, machine: Machine) -> None:
        """Takes the stream up at a machine until its time limit."""
        while not self.whole and self.left_s() > 0.1:
            answer = await self.attempt(machine)
            if answer.status not in (0, 200, 503):
                return
            after_s = float(answer.headers.get("retry-after", "0.1"))
            await asyncio.sleep(after_s)


async def _case(folder: Path, record: Record, disturb: bool) -> bool:
    store = Store()
    await store.start()
    configure(store)
    runners = [
        Runner(store, f"i-{n}", ENGINE_SERVICE, record, event_s=EVENT_S)
        for n in range(3)
    ]
    for runner in runners:
        await runner.start()
    second = Runner(
        store,
        "i-9",
        ENGINE_SERVICE,
        record,
        version="v2",
        event_s=EVENT_S,
    )
    machines = [Machine(f"front-{n}", store, folder, record) for n in range(3)]
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        # The machines have followed the runners for long enough to know that
        # there was one version only.
        await asyncio.sleep(8.0)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        # In the control, clients lose their channels, but the machine lives.
        leave_s = 9.0 if disturb else KILL_AT_S
        streams = [_Stream(f"p{n}", record) for n in range(STREAMS)]
        firsts = asyncio.gather(
            *(
                stream.attempt(machines[0], leave_s=leave_s)
                for stream in streams
            )
        )
        await asyncio.sleep(SECOND_VERSION_AT_S)
        await second.start()
        await asyncio.sleep(begun + KILL_AT_S - loop.time())
        if disturb:
            machines[0].signal(signal.SIGKILL)
        await firsts
        broken = [stream for stream in streams if stream.events]
        new = [_Stream(f"new{n}", record) for n in range(NEW_STREAMS)]
        await asyncio.gather(
            *(stream.take_up(machines[1]) for stream in broken + new)
        )
        return _judge(broken, new, record)
    finally:
        for machine in machines:
            machine.end()
        for runner in [*runners, second]:
            await runner.stop()
        await store.stop()


def _judge(broken: list[_Stream], new: list[_Stream], record: Record) -> bool:
    taken_up = [stream for stream in broken if stream.attempts > 1]
    gone_on = [stream for stream in taken_up if stream.whole]
    began = [stream for stream in new if stream.events]
    record(
        f"{len(taken_up)} streams were taken up, {len(gone_on)} of them went"
        f" on; {len(began)} of {len(new)} new streams began"
    )
    if len(taken_up) < 12:
        return True
    share = len(gone_on) / len(taken_up)
    return share >= 0.5 * len(began) / len(new)


run_case(HERE / "record.txt", _case)
