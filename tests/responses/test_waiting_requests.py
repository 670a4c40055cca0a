"""Requests that wait on a connection behind another one."""

from __future__ import annotations

from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.responses import Exchange, RequestHandler
from tests.entry.fake_network import FakeReactor, RecordingCaller
from tests.responses.conftest import read_responses

REQUEST = b"POST /x HTTP/1.1\r\nHost: any\r\n\r\n"


class StoppingHandler(RequestHandler):
    """Answers requests; with the first one, idle connections are closed."""

    def __init__(self, reactor: FakeReactor) -> None:
        self._reactor = reactor
        self.callers = CallerFactory(self, reactor)
        self.paths: list[str] = []

    def handle(self, exchange: Exchange) -> None:
        """Answers a request."""
        if not self.paths:
            self._reactor.callLater(0, self.callers.close_idle)
        self.paths.append(exchange.request.path)
        exchange.respond(200, [], b"whole")

    def limits(self) -> CallerLimits:
        """Returns the usual limits."""
        return CallerLimits()

    def should_close(self) -> bool:
        """Returns whether the connection is to close once nothing waits."""
        return bool(self.paths)


# Guards against a planned stop that takes a connection for idle while a whole
# request waits on it, between the answer before and its own turn.
def test_a_connection_with_a_waiting_request_is_not_idle() -> None:
    reactor = FakeReactor()
    handler = StoppingHandler(reactor)
    connection = handler.callers.buildProtocol(None)
    caller = reactor.open_connection(connection)
    caller.write(REQUEST * 3)
    reactor.run(0.1)
    received: RecordingCaller = caller.protocol
    responses = read_responses(received.data, ["POST"] * 3, closed=True)
    assert [response.body for response in responses] == [b"whole"] * 3
    assert received.lost is not None
