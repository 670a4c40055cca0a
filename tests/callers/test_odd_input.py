"""Generated input of callers and peers, in pieces as it may arrive."""

from __future__ import annotations

from contextlib import suppress

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheestall.entry.callers import CallerFactory, ConnectionBounds
from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.peer_messages import decode
from lycheestall.entry.responses import Exchange, RequestHandler
from tests.callers.conftest import Caller
from tests.entry.fake_network import FakeReactor

LIMITS = CallerLimits(
    header_bytes=600,
    body_bytes=800,
    header_timeout_s=0.5,
    idle_timeout_s=2.0,
)
BOUNDS = ConnectionBounds(memory_bytes=400_000, descriptors=60)
EXAMPLES = 120


class Answerer(RequestHandler):
    """Answers every request at once, or never."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []

    def handle(self, exchange: Exchange) -> None:
        """Answers unless the path says otherwise."""
        self.requests.append(exchange.request.body)
        assert len(exchange.request.body) <= LIMITS.body_bytes
        if exchange.request.path != "/held":
            exchange.respond(200, [], exchange.request.body)

    def limits(self) -> CallerLimits:
        """Returns low limits."""
        return LIMITS

    def should_close(self) -> bool:
        """Returns False."""
        return False


TOKENS = st.sampled_from([b"a", b"Host", b"content-length", b"X-Y", b"", b":"])
VALUES = st.sampled_from([b"", b"1", b"-1", b"9" * 30, b"chunked", b"\xff\t "])
LINES = st.one_of(
    st.builds(lambda n, v: n + b":" + v + b"\r\n", TOKENS, VALUES),
    st.sampled_from([b"\r\n", b"\n", b" folded\r\n", b"a: " + b"x" * 500]),
)
SIZES = st.one_of(
    st.integers(0, 900).map(lambda size: b"%x" % size),
    st.sampled_from([b"", b"-1", b"f" * 17, b"1;" + b"e" * 300, b"00000001"]),
)
CHUNKS = st.one_of(
    st.binary(max_size=300).map(lambda d: b"%x\r\n%s\r\n" % (len(d), d)),
    st.builds(lambda size: size + b"\r\nab\r\n", SIZES),
    st.just(b"1\r\na\r\n" * 50),
)
STARTS = st.sampled_from(
    [
        b"GET /a HTTP/1.1\r\n",
        b"POST /held HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n",
        b"GET " + b"/" * 700 + b" HTTP/1.1\r\n",
        b"GET / HTTP/9.9\r\n",
        b"\r\n" * 700,
        b"\x16\x03\x01\x00",
    ]
)
MESSAGES = st.builds(
    lambda start, lines, end, chunks, last: (
        start + b"".join(lines) + end + b"".join(chunks) + last
    ),
    STARTS,
    st.lists(LINES, max_size=8),
    st.sampled_from([b"\r\n", b""]),
    st.lists(CHUNKS, max_size=5),
    st.sampled_from([b"", b"0\r\n\r\n", b"0\r\nT: " + b"t" * 900]),
)


# Guards against input that leaves a connection neither answered nor closed,
# or memory that is counted after its connection is closed.
@settings(max_examples=EXAMPLES)
@given(
    st.lists(MESSAGES, min_size=1, max_size=3),
    st.integers(1, 400),
    st.floats(0.0, 0.01),
)
def test_any_input_is_answered_or_its_connection_closed(
    messages: list[bytes], piece_bytes: int, pause_s: float
) -> None:
    reactor = FakeReactor()
    handler = Answerer()
    factory = CallerFactory(handler, reactor, bounds=BOUNDS)
    caller = Caller(factory, reactor)
    data = b"".join(messages)
    for start in range(0, len(data), piece_bytes):
        caller.transport.write(data[start : start + piece_bytes])
        reactor.run(pause_s)
    assert factory.budget.used_bytes <= BOUNDS.memory_bytes
    reactor.run(LIMITS.idle_timeout_s * 2 + 2.0)
    held = factory.busy_connections
    if not held:
        assert caller.lost
    caller.transport.loseConnection()
    reactor.run(0.1)
    assert factory.budget.used_bytes == factory.budget.connections == 0


ATOMS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
)
DOCUMENTS = st.recursive(
    ATOMS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=8,
)


NAMES = st.sampled_from(
    [
        "AskLedger",
        "AskPermit",
        "AskTokens",
        "ChangedLimits",
        "FoundStreamOrigin",
        "Handover",
        "LedgerTail",
        "NewestPage",
        "Records",
        "RelayAppend",
        "RelayRead",
        "SendAttempt",
        "SlowTargets",
        "StoreReport",
        "Survey",
        "Unknown",
    ]
)
FRAMES = st.builds(
    lambda name, fields: cbor2.dumps([name, fields]),
    st.one_of(NAMES, ATOMS),
    st.one_of(st.lists(DOCUMENTS, max_size=14), DOCUMENTS),
)


# Guards against a message that raises more than the error that peers get.
@settings(max_examples=EXAMPLES * 4)
@given(st.one_of(FRAMES, DOCUMENTS.map(cbor2.dumps), st.binary(max_size=60)))
def test_any_message_of_a_peer_is_decoded_or_refused(data: bytes) -> None:
    with suppress(ValueError):
        decode(data)
