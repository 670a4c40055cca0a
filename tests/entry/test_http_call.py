"""Timeouts of calls whose responses are large or stall."""

from __future__ import annotations

from typing import Any

from lycheestall.entry.connection_pool import ConnectionPool
from lycheestall.entry.http_call import CallFailed, CallResponse, call
from lycheestall.entry.http_messages import encode_request
from tests.entry.fake_network import FakeReactor, FakeTarget, ReceivedRequest

TIMEOUT_S = 0.4
PIECES = 10


class Responder:
    """Sends a body of ten pieces.

    Args:
        reactor: Schedules the pieces.
        pause_s: Seconds between them.
        sent: Number of pieces to send before it stalls.
    """

    def __init__(
        self, reactor: FakeReactor, *, pause_s: float, sent: int = PIECES
    ) -> None:
        self._reactor = reactor
        self._pause_s = pause_s
        self._sent = sent

    def respond(self, request: ReceivedRequest) -> None:
        """Starts to respond."""
        request.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PIECES)
        for number in range(self._sent):
            self._reactor.callLater(
                self._pause_s * (number + 1), request.send, b"x"
            )


def outcome_of(*, pause_s: float, sent: int = PIECES, run_s: float) -> Any:
    reactor = FakeReactor()
    responder = Responder(reactor, pause_s=pause_s, sent=sent)
    reactor.target_by_address[("10.0.0.1", 80)] = FakeTarget(responder.respond)
    pool = ConnectionPool(reactor, "10.0.0.1", 80, connect_timeout_s=1.0)
    data = encode_request(b"GET", b"/", [(b"X-Request-Id", b"r")], b"")
    outcomes: list[Any] = []
    call(reactor, pool, data, timeout_s=TIMEOUT_S).addCallback(outcomes.append)
    reactor.run(run_s)
    return outcomes[0] if outcomes else None


def test_a_body_that_keeps_arriving_is_no_timeout() -> None:
    outcome = outcome_of(pause_s=0.2, run_s=3.0)
    assert outcome == CallResponse(200, b"x" * PIECES)


def test_a_body_that_stalls_times_out() -> None:
    outcome = outcome_of(pause_s=0.2, sent=3, run_s=3.0)
    assert outcome == CallFailed("timeout", sent=True)


def test_a_response_that_does_not_begin_times_out() -> None:
    outcome = outcome_of(pause_s=2.0, run_s=1.0)
    assert outcome == CallFailed("timeout", sent=True)
