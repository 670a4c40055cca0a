"""Fixtures shared by all tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from hypothesis import settings

from lycheestall._reactor import install_reactor

install_reactor()

from twisted.internet import reactor as _reactor  # noqa: E402
from twisted.internet.defer import ensureDeferred  # noqa: E402
from twisted.web.client import HTTPConnectionPool  # noqa: E402
from twisted.web.server import Site  # noqa: E402

settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
settings.load_profile("fixed")

TEST_TIMEOUT_S = 30.0
"""Stops a test that hangs; no test depends on how fast it runs."""


@pytest.fixture(scope="session")
def reactor() -> Any:
    """Returns the asyncio reactor, for tests over loopback connections."""
    return _reactor


@pytest.fixture(scope="session")
def run(reactor: Any) -> Callable[[Coroutine[Any, Any, Any]], Any]:
    """Returns a function that runs a coroutine on the real reactor."""

    def run_to_end(coroutine: Coroutine[Any, Any, Any]) -> Any:
        loop = reactor._asyncioEventloop
        future = ensureDeferred(coroutine).asFuture(loop)
        return loop.run_until_complete(
            asyncio.wait_for(future, TEST_TIMEOUT_S)
        )

    return run_to_end


@pytest.fixture
def serve(
    reactor: Any, run: Callable[[Coroutine[Any, Any, Any]], Any]
) -> Iterator[Callable[[Any], str]]:
    """Returns a function that serves a resource and returns its URL."""
    ports: list[Any] = []

    def start(resource: Any) -> str:
        port = reactor.listenTCP(0, Site(resource), interface="127.0.0.1")
        ports.append(port)
        return f"http://127.0.0.1:{port.getHost().port}"

    async def stop() -> None:
        for port in ports:
            await port.stopListening()

    yield start
    run(stop())


@pytest.fixture
def pool(
    reactor: Any, run: Callable[[Coroutine[Any, Any, Any]], Any]
) -> Iterator[HTTPConnectionPool]:
    """A connection pool that is closed after the test."""
    connections = HTTPConnectionPool(reactor)

    async def close() -> None:
        await connections.closeCachedConnections()

    yield connections
    run(close())
