"""Callers that don't read their responses."""

from __future__ import annotations

import pytest

from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.responses import Exchange, RequestHandler
from tests.callers.conftest import Caller
from tests.entry.fake_network import FakeReactor

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMITS = CallerLimits(idle_timeout_s=2.0)


class Collector(RequestHandler):
    """Keeps its requests for the test to answer."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        """Keeps a request."""
        self.exchanges.append(exchange)

    def limits(self) -> CallerLimits:
        """Returns a short idle timeout."""
        return LIMITS

    def should_close(self) -> bool:
        """Returns False."""
        return False


@pytest.fixture
def reactor() -> FakeReactor:
    """The virtual clock."""
    return FakeReactor()


@pytest.fixture
def handler() -> Collector:
    """Receives the requests."""
    return Collector()


@pytest.fixture
def caller(handler: Collector, reactor: FakeReactor) -> Caller:
    """A caller that has sent two requests and reads no response."""
    caller = Caller(CallerFactory(handler, reactor), reactor)
    caller.transport.write(REQUEST * 2)
    reactor.run(0.1)
    return caller


# Guards against responses that pile up for a caller that only sends.
def test_the_next_request_waits_until_the_response_is_read(
    caller: Caller, handler: Collector, reactor: FakeReactor
) -> None:
    caller.connection.pauseProducing()
    handler.exchanges[0].respond(200, [], b"a")
    reactor.run(0.1)
    assert len(handler.exchanges) == 1
    caller.connection.resumeProducing()
    assert len(handler.exchanges) == 2


# Guards against a connection that no timer ends.
def test_a_response_that_is_never_read_ends_the_connection(
    caller: Caller, handler: Collector, reactor: FakeReactor
) -> None:
    caller.connection.pauseProducing()
    handler.exchanges[0].respond(200, [], b"a")
    reactor.run(1.9)
    assert not caller.lost
    reactor.run(0.2)
    assert caller.lost
    assert len(handler.exchanges) == 1


# Guards against a stream that is read from its target faster than it is sent.
def test_a_stream_flows_as_fast_as_its_caller_reads(
    caller: Caller, handler: Collector
) -> None:
    flows: list[bool] = []
    handler.exchanges[0].on_flow = flows.append
    handler.exchanges[0].start(200, [])
    caller.connection.pauseProducing()
    caller.connection.resumeProducing()
    assert flows == [False, True]
