"""Where the bodies of responses end."""

from __future__ import annotations

import pytest
from twisted.internet.error import ConnectionLost

from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_network import ReceivedRequest, RecordingCaller
from tests.responses.conftest import EVENTS, read_responses

PATHS = ["/maps/x", "/orders/x", "/plan/x", "/chat/x", "/unknown/x"]


# Guards against bytes of a body after the head of an answer to HEAD, which
# the caller takes for the next response: the end of a stream that has none,
# and the text of the VM's own errors.
@pytest.mark.parametrize("path", PATHS)
def test_an_answer_to_head_has_no_body(vm: EntryVmHarness, path: str) -> None:
    caller = vm.connect()
    vm.send_request(path, method="HEAD", caller=caller)
    data = vm.send_request("/maps/y", request_id="r2", caller=caller)
    head, whole = read_responses(data, ["HEAD", "GET"])
    assert head.status == (404 if path.startswith("/unknown") else 200)
    assert b"content-length" not in head.headers
    assert whole.body == b"whole"


# Guards against a length in responses that have no body, which RFC 9110,
# section 8.6, forbids for 204, and which is that of another one for 304.
@pytest.mark.parametrize("status", [204, 304])
def test_a_status_without_a_body_has_no_length(
    vm: EntryVmHarness, status: int
) -> None:
    caller = vm.connect()
    vm.send_request(f"/maps/status-{status}", caller=caller)
    data = vm.send_request("/maps/y", request_id="r2", caller=caller)
    empty, whole = read_responses(data, ["GET", "GET"])
    assert (empty.status, empty.body) == (status, b"")
    assert b"content-length" not in empty.headers
    assert whole.body == b"whole"


# Guards against an answer to HEAD on a stream route that is lost since the
# target doesn't say how long a stream would be.
def test_head_of_a_stream_without_framing_is_served() -> None:
    harness = EntryVmHarness()
    harness.add_target(
        "engine",
        lambda request: request.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Response-Seal: s\r\nX-Request-Id: r1\r\n\r\n"
        ),
        service="engines",
    )
    harness.start()
    data = harness.send_request("/plan/x", method="HEAD")
    (head,) = read_responses(data, ["HEAD"])
    assert head.status == 200


def ask_with_http_1_0(
    vm: EntryVmHarness, path: str, *, headers: str = ""
) -> RecordingCaller:
    """Sends a request of HTTP/1.0, and runs the clock until its end."""
    caller = vm.connect()
    caller.write(
        f"POST {path} HTTP/1.0\r\nHost: crew.example\r\nX-Request-Id: r1\r\n"
        f"{headers}\r\n".encode()
    )
    vm.reactor.run(3.2)
    received: RecordingCaller = caller.protocol
    return received


def was_reset(caller: RecordingCaller) -> bool:
    """Returns whether a caller's connection ended with a reset."""
    return caller.lost is not None and bool(caller.lost.check(ConnectionLost))


# Guards against chunks in the body that a caller of HTTP/1.0 receives, who
# takes their sizes for text.
@pytest.mark.parametrize("path", ["/plan/x", "/chat/x"])
@pytest.mark.parametrize("headers", ["", "Connection: keep-alive\r\n"])
def test_a_caller_of_http_1_0_gets_a_stream_without_chunks(
    vm: EntryVmHarness, path: str, headers: str
) -> None:
    caller = ask_with_http_1_0(vm, path, headers=headers)
    (response,) = read_responses(caller.data, ["POST"], closed=True)
    assert b"transfer-encoding" not in response.headers
    assert response.headers[b"connection"] == b"close"
    assert response.body.count(b"data: piece") == EVENTS
    assert response.body.startswith(b"id: 1\n")
    assert caller.lost is not None and not was_reset(caller)


# Guards against a stream of HTTP/1.0 that is broken off and looks complete,
# since nothing but the end of the connection delimits it.
def test_a_broken_stream_of_http_1_0_ends_with_a_reset() -> None:
    vm = EntryVmHarness()

    def begin(request: ReceivedRequest) -> None:
        request.start_stream()
        request.send_event(1)

    vm.add_target("engine", begin, service="engines")
    vm.start()
    caller = ask_with_http_1_0(vm, "/plan/x")
    assert caller.data.count(b"data: piece") == 1
    assert was_reset(caller)


# Guards against a caller of HTTP/1.0 that waits for the end of a connection
# which is kept open without a word.
def test_a_plain_answer_of_http_1_0_is_the_last_one(
    vm: EntryVmHarness,
) -> None:
    caller = ask_with_http_1_0(
        vm, "/maps/x", headers="Connection: keep-alive\r\n"
    )
    (response,) = read_responses(caller.data, ["POST"], closed=True)
    assert response.body == b"whole"
    assert response.headers[b"connection"] == b"close"
    assert caller.lost is not None
