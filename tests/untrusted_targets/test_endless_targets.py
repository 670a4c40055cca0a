"""Targets that send bytes without end, against the real process of a VM.

Each test guards against a process that needs more memory than its VM has, and
against callers of sound targets that get no answer. None checks times.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.entry.memory_store import MemoryLog
from tests.untrusted_callers.conftest import RunAsync, listen, run_async
from tests.untrusted_callers.crowd import head
from tests.untrusted_callers.stand_ins import register_target
from tests.untrusted_callers.vm_process import MEMORY_MB, VmProcess
from tests.untrusted_targets.endless_targets import EndlessTarget, patterns

pytestmark = pytest.mark.serial

__all__ = ["run_async"]

CALLERS = 30
"""Callers of each kind of plain request; all together stay within the
descriptors of the VM."""

STREAM_CALLERS = 12
FAULTY_TARGETS = 2
ANSWER_TIMEOUT_S = 60.0
"""Ends a request that gets no answer; longer than any deadline."""


@pytest.fixture
def vm(
    reactor: Any,
    run_async: RunAsync,
    tmp_path: Path,
    request: pytest.FixtureRequest,
) -> Iterator[tuple[VmProcess, list[EndlessTarget]]]:
    """A VM that is ready, one sound target and some faulty ones."""
    log = MemoryLog()
    ports = listen(reactor, log)
    process = VmProcess(tmp_path, ports[0].getHost().port)
    faulty = [EndlessTarget(request.param) for _ in range(FAULTY_TARGETS)]

    async def start() -> None:
        while await ask(process, "/maps/x", "ready") != 200:
            assert process.alive
            await asyncio.sleep(0.1)
        for number, endless in enumerate(faulty):
            await endless.start()
            for service in ("app", "engines"):
                name = f"{service}-faulty-{number}"
                register_target(log, name, service, endless.port)
        await asyncio.sleep(1.5)

    async def stop() -> None:
        for endless in faulty:
            await endless.stop()

    try:
        run_async(start())
        yield process, faulty
    finally:
        process.kill()
        run_async(stop())
        for port in ports:
            port.stopListening()


async def ask(process: VmProcess, path: str, request_id: str) -> int:
    """Sends a request; returns the status of the response, 0 without one."""
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", process.callers_port
        )
    except OSError:
        return 0
    method = "GET" if path.startswith("/maps") else "POST"
    lines = [b"Connection: close\r\n"]
    if method == "POST":
        lines.append(b"Content-Length: 0\r\n")
    writer.write(head(method, path, request_id, lines))
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()
    words = answer.split(b" ", 2)
    return int(words[1]) if len(words) > 1 else 0


# Guards against a process that outgrows its memory by what many responses hold
# at once, or that has no time left for sound targets.
@pytest.mark.parametrize("vm", patterns(b""), indirect=True)
def test_many_endless_responses_at_once(
    vm: tuple[VmProcess, list[EndlessTarget]], run_async: RunAsync
) -> None:
    process, faulty = vm

    async def crowd() -> list[int]:
        orders = [f"/orders/{number}" for number in range(CALLERS)]
        maps = [f"/maps/{number}" for number in range(CALLERS)]
        streams = [f"/plan/{number}" for number in range(STREAM_CALLERS)]
        paths = [*orders, *maps, *streams]
        return await asyncio.gather(
            *(ask(process, path, path.replace("/", "-")) for path in paths)
        )

    statuses = run_async(crowd())
    peak_mb = process.peak_memory_bytes() / 1_000_000
    counts = sorted(Counter(statuses).items())
    print(f"peak memory {peak_mb:.1f} MB, statuses {counts}")
    assert process.alive
    assert sum(endless.responses for endless in faulty) > CALLERS / 2
    assert peak_mb < MEMORY_MB
    assert 0 not in statuses
    assert run_async(ask(process, "/maps/last", "last")) == 200
