"""Callers that respect no limit, against the real process of a VM.

Each test guards against a process that exits, hangs, or needs more memory or
descriptors than its VM has. None checks times or a share of served requests.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

import pytest

from tests.untrusted_callers.conftest import RunAsync
from tests.untrusted_callers.crowd import (
    MAX_PIECE_BYTES,
    Crowd,
    head,
    send_ordinary_request,
)
from tests.untrusted_callers.stand_ins import (
    HELD_PATH,
    LARGE_PATH,
    LIMITS,
    STREAM_PATH,
)
from tests.untrusted_callers.vm_process import (
    MAX_DESCRIPTORS,
    MEMORY_MB,
    VmProcess,
)

pytestmark = pytest.mark.serial

CALLERS = 60
PIPELINED = 20
MAX_BODY_BYTES = LIMITS["max_body_bytes"]
HEAD_BYTES = LIMITS["max_header_bytes"] - 200
"""Size of header lines that keep a request's head within its limit."""

ENDLESS_PIECES = 300
"""Pieces after which a caller stops to send what has no end."""

SMALL_CHUNKS = 500_000
SENDERS_OF_SMALL_CHUNKS = 24


def check(vm: VmProcess, run_async: RunAsync) -> None:
    """Checks what holds while the crowd is connected."""
    answer = run_async(send_ordinary_request(vm))
    assert vm.alive
    peak_mb = vm.peak_memory_bytes() / 1_000_000
    descriptors = vm.open_descriptors()
    print(f"peak memory {peak_mb:.1f} MB, descriptors {descriptors}")
    assert peak_mb < MEMORY_MB
    assert descriptors < MAX_DESCRIPTORS
    assert answer.startswith(b"HTTP/1.1 200")


def pieces_of(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), MAX_PIECE_BYTES):
        yield data[start : start + MAX_PIECE_BYTES]


def chunk(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"a" * size)


def post(framing: bytes, *, path: str = "/orders/x") -> bytes:
    return head("POST", path, "r", [framing + b"\r\n"])


HEADER_LINES = {
    # A header counts as its name, its value and four more bytes.
    "shortest": [b"a:\r\n"] * (HEAD_BYTES // 5),
    "odd": [b"%x:\t\xff \r\n" % n for n in range(HEAD_BYTES // 9)],
    "names alone": [
        b"%s:\r\n" % (b"-" * (1 + n % 3)) for n in range(HEAD_BYTES // 6)
    ],
}


@pytest.mark.parametrize("lines", HEADER_LINES.values(), ids=HEADER_LINES)
@pytest.mark.parametrize("pipelined", [1, PIPELINED])
def test_requests_of_very_many_header_lines(
    vm: VmProcess,
    crowd: Crowd,
    run_async: RunAsync,
    lines: list[bytes],
    pipelined: int,
) -> None:
    request = head("GET", HELD_PATH, "r", lines)
    callers = CALLERS * 4 if pipelined == 1 else CALLERS
    messages = [pieces_of(request * pipelined) for _ in range(callers)]
    run_async(crowd.send(messages))
    check(vm, run_async)


def endless(start: bytes, piece: bytes) -> Iterator[bytes]:
    return itertools.chain(
        [start], itertools.repeat(piece, times=ENDLESS_PIECES)
    )


START = b"GET /maps/x HTTP/1.1\r\nHost: crew.example\r\n"
PIECE = b"a" * MAX_PIECE_BYTES
UNENDING = {
    "url": (b"GET /", PIECE),
    "header": (START + b"X: ", PIECE),
    "headers": (START, b"X: a\r\n" * 8000),
    "empty lines": (b"", b"\r\n" * 16_000),
    "empty lines after a request": (
        head("GET", "/maps/x", "r"),
        b"\r\n" * 16_000,
    ),
    "trailers": (
        post(b"Transfer-Encoding: chunked") + chunk(10) + b"0\r\n",
        b"X: a\r\n" * 8000,
    ),
    "chunk extensions": (
        post(b"Transfer-Encoding: chunked") + b"5;",
        PIECE,
    ),
}


@pytest.mark.parametrize("pattern", UNENDING.values(), ids=UNENDING)
def test_input_without_end(
    vm: VmProcess,
    crowd: Crowd,
    run_async: RunAsync,
    pattern: tuple[bytes, bytes],
) -> None:
    messages = [endless(*pattern) for _ in range(CALLERS // 2)]
    run_async(crowd.send(messages))
    check(vm, run_async)


def test_heads_over_the_limit(
    vm: VmProcess, crowd: Crowd, run_async: RunAsync
) -> None:
    request = head("GET", HELD_PATH, "r", [b"a:\r\n"] * 15_000)
    run_async(crowd.send([pieces_of(request) for _ in range(CALLERS * 2)]))
    check(vm, run_async)


def short_of_its_end(chunk_bytes: int | None) -> Iterable[bytes]:
    """Yields a body that stops one byte before it is complete."""
    if chunk_bytes is None:
        yield post(b"Content-Length: %d" % MAX_BODY_BYTES)
        yield from pieces_of(b"a" * (MAX_BODY_BYTES - 1))
        return
    yield post(b"Transfer-Encoding: chunked")
    piece = chunk(chunk_bytes)
    for _ in range(MAX_BODY_BYTES // chunk_bytes - 1):
        yield piece


@pytest.mark.parametrize("chunk_bytes", [MAX_PIECE_BYTES, None])
@pytest.mark.parametrize("port", ["callers", "peers", "readiness"])
def test_large_bodies_that_stop_short(
    vm: VmProcess,
    crowd: Crowd,
    run_async: RunAsync,
    chunk_bytes: int | None,
    port: str,
) -> None:
    messages = [short_of_its_end(chunk_bytes) for _ in range(CALLERS)]
    number: int = getattr(vm, f"{port}_port")
    run_async(crowd.send(messages, port=number))
    check(vm, run_async)


@pytest.mark.parametrize("chunk_bytes", [1, 2])
def test_bodies_of_very_small_chunks(
    vm: VmProcess, crowd: Crowd, run_async: RunAsync, chunk_bytes: int
) -> None:
    start = post(b"Transfer-Encoding: chunked")
    chunks = chunk(chunk_bytes) * (SMALL_CHUNKS // chunk_bytes)
    messages = [
        itertools.chain([start], pieces_of(chunks))
        for _ in range(SENDERS_OF_SMALL_CHUNKS)
    ]
    run_async(crowd.send(messages))
    check(vm, run_async)


def test_whole_bodies_at_once(
    vm: VmProcess, crowd: Crowd, run_async: RunAsync
) -> None:
    start = post(b"Content-Length: %d" % MAX_BODY_BYTES, path=HELD_PATH)
    body = b"a" * MAX_BODY_BYTES
    messages = [
        itertools.chain([start], pieces_of(body)) for _ in range(CALLERS)
    ]
    run_async(crowd.send(messages))
    check(vm, run_async)


def test_connections_that_are_never_used(
    vm: VmProcess, crowd: Crowd, run_async: RunAsync
) -> None:
    run_async(crowd.send([()] * (MAX_DESCRIPTORS + 50)))
    check(vm, run_async)


@pytest.mark.parametrize("port", ["peers", "readiness", "metrics"])
def test_connections_to_other_ports_that_are_never_used(
    vm: VmProcess, crowd: Crowd, run_async: RunAsync, port: str
) -> None:
    number: int = getattr(vm, f"{port}_port")
    run_async(crowd.send([()] * (MAX_DESCRIPTORS + 50), port=number))
    check(vm, run_async)


@pytest.mark.parametrize("path", [LARGE_PATH, STREAM_PATH])
def test_responses_that_are_never_read(
    vm: VmProcess, crowd: Crowd, run_async: RunAsync, path: str
) -> None:
    method = "POST" if path == STREAM_PATH else "GET"
    request = head(method, path, "r", [b"Content-Length: 0\r\n"])
    messages = [[request * PIPELINED] for _ in range(CALLERS)]
    run_async(crowd.send(messages, reads=False))
    check(vm, run_async)
