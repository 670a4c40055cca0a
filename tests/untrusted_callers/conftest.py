"""A VM's process with a store, a target and callers on loopback addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from lycheestall.entry.callers import CallerFactory
from tests.entry.fake_store_server import FakeStoreServer
from tests.entry.memory_store import MemoryLog
from tests.untrusted_callers.crowd import Crowd, send_ordinary_request
from tests.untrusted_callers.stand_ins import Target, fill_store
from tests.untrusted_callers.vm_process import VmProcess

HANG_TIMEOUT_S = 240.0
"""Ends a test that hangs; no test depends on how fast it runs."""

RunAsync = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def run_async(reactor: Any) -> RunAsync:
    """Returns a function that runs a coroutine on the reactor's loop."""

    def run_to_end(coroutine: Coroutine[Any, Any, Any]) -> Any:
        loop = reactor._asyncioEventloop
        return loop.run_until_complete(
            asyncio.wait_for(coroutine, HANG_TIMEOUT_S)
        )

    return run_to_end


def listen(reactor: Any, log: MemoryLog) -> list[Any]:
    """Starts a store and a target; returns their listening ports."""
    ports = [
        reactor.listenTCP(
            0, CallerFactory(handler, reactor), interface="127.0.0.1"
        )
        for handler in (FakeStoreServer(log, reactor), Target())
    ]
    fill_store(log, ports[1].getHost().port)
    return ports


@pytest.fixture
def vm(reactor: Any, run_async: RunAsync, tmp_path: Path) -> Iterator[Any]:
    """A VM that is ready and has served a request."""
    log = MemoryLog()
    ports = listen(reactor, log)
    process = VmProcess(tmp_path, ports[0].getHost().port)

    async def wait_until_serving() -> None:
        while True:
            assert process.alive
            try:
                answer = await send_ordinary_request(process)
            except OSError:
                answer = b""
            if answer.startswith(b"HTTP/1.1 200"):
                return
            await asyncio.sleep(0.1)

    try:
        run_async(wait_until_serving())
        yield process
    finally:
        process.kill()
        for port in ports:
            port.stopListening()


@pytest.fixture
def crowd(vm: VmProcess, run_async: RunAsync) -> Iterator[Crowd]:
    """Callers without connections yet."""
    callers = Crowd(vm)
    yield callers
    run_async(callers.close())
