"""Requests at one VM: routing, invalid responses, deadlines, disconnects."""

from __future__ import annotations

import pytest

from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import ReceivedRequest

NOT_RUN = ((b"X-Not-Executed", b"1"),)


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


def ignore(request: ReceivedRequest) -> None:
    """Never responds."""


def test_a_request_is_forwarded_unmodified(harness: EntryVmHarness) -> None:
    target = harness.add_target("one", serve)
    harness.start()
    data = harness.send_request(
        "/orders/a%20b?q=%2F",
        method="POST",
        body="poles=12",
        headers="X-Own: kept\r\nX-Hold: forged\r\nX-Deadline-Ms: 900\r\n"
        "Connection: X-Private\r\nX-Private: dropped\r\n",
    )
    request = target.requests[0]
    assert status_of(data) == 200
    assert data.endswith(b"whole")
    assert b"X-Response-Seal: seal" in data
    assert request.url == b"/orders/a%20b?q=%2F"
    assert request.body == b"poles=12"
    assert request.headers[b"x-own"] == b"kept"
    assert b"x-hold" not in request.headers
    assert b"x-private" not in request.headers
    assert request.headers[b"x-expect-instance"] == b"one"
    assert 800 < int(request.headers[b"x-deadline-ms"]) <= 900


def test_a_path_without_a_route_gets_404(harness: EntryVmHarness) -> None:
    harness.add_target("one", serve)
    harness.start()
    assert status_of(harness.send_request("/nowhere/x")) == 404


def test_a_vm_without_a_configuration_responds_503(
    harness: EntryVmHarness,
) -> None:
    assert status_of(harness.send_request("/maps/x")) == 503
    assert not harness.vm.ready


def test_an_older_configuration_is_ignored(harness: EntryVmHarness) -> None:
    harness.add_target("one", serve)
    harness.start()
    older = harness.log.by_topic[Topic.CONFIGURATION][-1]
    harness.configure(ROUTES[:1])
    harness.reactor.run(1.5)
    assert status_of(harness.send_request("/orders/x", method="POST")) == 404
    harness.log.put(Topic.CONFIGURATION, KeyedWrite(older.key, older.value))
    harness.reactor.run(1.5)
    assert status_of(harness.send_request("/orders/x", method="POST")) == 404


def test_a_request_without_a_response_ends_at_its_timeout(
    harness: EntryVmHarness,
) -> None:
    target = harness.add_target("one", ignore)
    harness.start()
    caller = harness.connect()
    assert (
        harness.send_request("/orders/x", method="POST", caller=caller) == b""
    )
    harness.reactor.run(2.8)
    assert caller.protocol.data == b""
    harness.reactor.run(0.2)
    assert status_of(caller.protocol.data) == 504
    assert target.requests[0].disconnected


def test_a_callers_disconnect_cancels_its_request_at_once(
    harness: EntryVmHarness,
) -> None:
    target = harness.add_target("one", ignore)
    harness.start()
    caller = harness.connect()
    harness.send_request("/orders/x", method="POST", caller=caller)
    assert not target.requests[0].disconnected
    caller.abortConnection()
    harness.reactor.run(0.05)
    assert target.requests[0].disconnected


def test_a_reused_address_is_detected_and_another_target_tried(
    harness: EntryVmHarness,
) -> None:
    def misdirected(request: ReceivedRequest) -> None:
        request.respond(421, headers=((b"X-Instance-Id", b"other"),))

    stale = [harness.add_target(f"gone-{n}", misdirected) for n in range(3)]
    current = harness.add_target("here", serve)
    harness.start()
    assert status_of(harness.send_request("/orders/x", method="POST")) == 200
    assert len(current.requests) == 1
    assert sum(len(target.requests) for target in stale) <= 3


def test_a_request_to_full_targets_is_refused_as_not_run(
    harness: EntryVmHarness,
) -> None:
    def full(request: ReceivedRequest) -> None:
        request.respond(503, headers=NOT_RUN, sealed=False)

    targets = [harness.add_target(f"full-{n}", full) for n in range(3)]
    harness.start()
    data = harness.send_request("/orders/x", method="POST")
    assert status_of(data) == 503
    assert b"Retry-After: " in data
    assert all(len(target.requests) == 1 for target in targets)


def test_a_lost_response_is_not_reported_as_not_run(
    harness: EntryVmHarness,
) -> None:
    def reset_connection(request: ReceivedRequest) -> None:
        request.reset()

    targets = [
        harness.add_target(f"loses-{n}", reset_connection) for n in range(2)
    ]
    harness.start()
    assert status_of(harness.send_request("/orders/x", method="POST")) == 502
    assert sum(len(target.requests) for target in targets) == 1


def test_an_idempotent_request_is_retried_at_another_target(
    harness: EntryVmHarness,
) -> None:
    received: list[ReceivedRequest] = []

    def reset_the_first(request: ReceivedRequest) -> None:
        received.append(request)
        if len(received) == 1:
            request.reset()
        else:
            request.respond(200, b"whole")

    targets = [harness.add_target(f"t-{n}", reset_the_first) for n in range(2)]
    harness.start()
    assert status_of(harness.send_request("/maps/x")) == 200
    assert [len(target.requests) for target in targets] == [1, 1]


def test_a_503_without_the_not_executed_header_is_not_forwarded(
    harness: EntryVmHarness,
) -> None:
    def refuse_without_proof(request: ReceivedRequest) -> None:
        request.respond(503, b"busy")

    harness.add_target("one", refuse_without_proof)
    harness.start()
    data = harness.send_request("/orders/x", method="POST")
    assert status_of(data) == 502
    assert b"Seal" not in data


def test_invalid_responses_are_not_forwarded(harness: EntryVmHarness) -> None:
    def truncated(request: ReceivedRequest) -> None:
        request.send(request.encode_response(200, b"whole")[:-2])
        request.close()

    def unsealed(request: ReceivedRequest) -> None:
        request.respond(200, b"whole", sealed=False)

    def encoded(request: ReceivedRequest) -> None:
        request.respond(200, b"x", headers=((b"Content-Encoding", b"gzip"),))

    def garbage(request: ReceivedRequest) -> None:
        request.send(b"\x00\x01 noise\r\n\r\n")

    def two_lengths(request: ReceivedRequest) -> None:
        request.respond(200, b"x", headers=((b"Content-Length", b"9"),))

    def reset_without_length(request: ReceivedRequest) -> None:
        request.send(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: "
            + request.headers[b"x-request-id"]
            + b"\r\n\r\npart"
        )
        request.reset()

    target = harness.add_target("one", serve)
    harness.start()
    for invalid_response in (
        truncated,
        unsealed,
        encoded,
        garbage,
        two_lengths,
        reset_without_length,
    ):
        target.on_request = invalid_response
        data = harness.send_request("/orders/x", method="POST", run_s=0.2)
        assert status_of(data) == 502, invalid_response.__name__


def test_a_response_without_length_ends_with_its_connection(
    harness: EntryVmHarness,
) -> None:
    def without_length(request: ReceivedRequest) -> None:
        request.send(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: "
            + request.headers[b"x-request-id"]
            + b"\r\n\r\nwhole"
        )
        request.close()

    harness.add_target("one", without_length)
    harness.start()
    data = harness.send_request("/orders/x", method="POST")
    assert status_of(data) == 200
    assert data.endswith(b"whole")


def test_a_late_response_to_another_request_is_skipped(
    harness: EntryVmHarness,
) -> None:
    def late_then_valid(request: ReceivedRequest) -> None:
        request.respond(200, b"of another", request_id=b"other")
        request.respond(200, b"own")

    harness.add_target("one", late_then_valid)
    harness.start()
    data = harness.send_request("/orders/x", method="POST")
    assert data.endswith(b"own")
    assert b"of another" not in data


def test_a_connection_with_unsolicited_bytes_is_not_reused(
    harness: EntryVmHarness,
) -> None:
    def respond_twice(request: ReceivedRequest) -> None:
        request.respond(200, b"first")
        request.respond(200, b"second")

    target = harness.add_target("one", respond_twice)
    harness.start()
    caller = harness.connect()
    for number in range(3):
        harness.send_request(
            "/orders/x",
            method="POST",
            request_id=f"r{number}",
            caller=caller,
        )
    assert len(target.connections) == 3
    assert caller.protocol.data.count(b"first") == 3
    assert b"second" not in caller.protocol.data


def test_connections_to_targets_are_reused(harness: EntryVmHarness) -> None:
    target = harness.add_target("one", serve)
    harness.start()
    caller = harness.connect()
    for number in range(5):
        harness.send_request("/maps/x", request_id=f"r{number}", caller=caller)
    assert len(target.connections) == 1


# Guards against a number in a header that int() refuses, which left the
# request without a response.
@pytest.mark.parametrize(
    "header",
    [
        "X-Token-Budget: {}",
        "X-Token-Usage: 1,{}",
        "X-Prompt-Prefix: aa:{}",
        "Last-Event-Id: {}",
    ],
)
def test_a_request_with_a_number_too_large_is_served(
    harness: EntryVmHarness, header: str
) -> None:
    harness.add_target("one", serve)
    harness.start()
    data = harness.send_request(
        "/maps/x",
        headers="X-Program-Id: p\r\n" + header.format("9" * 5000) + "\r\n",
    )
    assert status_of(data) == 200
