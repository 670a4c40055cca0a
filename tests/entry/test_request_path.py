"""One request at one VM: routes, answers that go wrong, time, callers."""

from __future__ import annotations

from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import ServedRequest

NOT_RUN = ((b"X-Not-Executed", b"1"),)


def serve(request: ServedRequest) -> None:
    request.answer(200, b"whole")


def never(request: ServedRequest) -> None:
    """Leaves the request without an answer."""


def test_a_request_is_passed_on_byte_for_byte(world: EntryVmHarness) -> None:
    target = world.add_target("one", serve)
    world.start()
    data = world.ask(
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


def test_a_path_without_a_route_gets_404(world: EntryVmHarness) -> None:
    world.add_target("one", serve)
    world.start()
    assert status_of(world.ask("/nowhere/x")) == 404


def test_a_vm_without_a_configuration_answers_503(
    world: EntryVmHarness,
) -> None:
    assert status_of(world.ask("/maps/x")) == 503
    assert not world.vm.ready


def test_a_configuration_never_goes_back(world: EntryVmHarness) -> None:
    world.add_target("one", serve)
    world.start()
    older = world.log.by_topic[Topic.CONFIGURATION][-1]
    world.configure(ROUTES[:1])
    world.reactor.run(1.5)
    assert status_of(world.ask("/orders/x", method="POST")) == 404
    world.log.put(Topic.CONFIGURATION, KeyedWrite(older.key, older.value))
    world.reactor.run(1.5)
    assert status_of(world.ask("/orders/x", method="POST")) == 404


def test_a_request_without_an_answer_ends_at_its_timeout(
    world: EntryVmHarness,
) -> None:
    target = world.add_target("one", never)
    world.start()
    caller = world.connect()
    assert world.ask("/orders/x", method="POST", caller=caller) == b""
    world.reactor.run(2.8)
    assert caller.protocol.data == b""
    world.reactor.run(0.2)
    assert status_of(caller.protocol.data) == 504
    assert target.requests[0].disconnected


def test_a_caller_that_leaves_frees_its_target_at_once(
    world: EntryVmHarness,
) -> None:
    target = world.add_target("one", never)
    world.start()
    caller = world.connect()
    world.ask("/orders/x", method="POST", caller=caller)
    assert not target.requests[0].disconnected
    caller.abortConnection()
    world.reactor.run(0.05)
    assert target.requests[0].disconnected


def test_a_reused_address_is_found_out_and_another_target_asked(
    world: EntryVmHarness,
) -> None:
    def misdirected(request: ServedRequest) -> None:
        request.answer(421, headers=((b"X-Instance-Id", b"other"),))

    wrong = [world.add_target(f"gone-{n}", misdirected) for n in range(3)]
    right = world.add_target("here", serve)
    world.start()
    assert status_of(world.ask("/orders/x", method="POST")) == 200
    assert len(right.requests) == 1
    assert sum(len(target.requests) for target in wrong) <= 3


def test_full_targets_are_refused_at_once_as_not_run(
    world: EntryVmHarness,
) -> None:
    def full(request: ServedRequest) -> None:
        request.answer(503, headers=NOT_RUN, sealed=False)

    targets = [world.add_target(f"full-{n}", full) for n in range(3)]
    world.start()
    data = world.ask("/orders/x", method="POST")
    assert status_of(data) == 503
    assert b"Retry-After: " in data
    assert all(len(target.requests) == 1 for target in targets)


def test_a_lost_answer_is_never_called_not_run(world: EntryVmHarness) -> None:
    def lose(request: ServedRequest) -> None:
        request.reset()

    targets = [world.add_target(f"loses-{n}", lose) for n in range(2)]
    world.start()
    assert status_of(world.ask("/orders/x", method="POST")) == 502
    assert sum(len(target.requests) for target in targets) == 1


def test_an_idempotent_request_is_repeated_elsewhere(
    world: EntryVmHarness,
) -> None:
    seen: list[ServedRequest] = []

    def lose_the_first(request: ServedRequest) -> None:
        seen.append(request)
        if len(seen) == 1:
            request.reset()
        else:
            request.answer(200, b"whole")

    targets = [world.add_target(f"t-{n}", lose_the_first) for n in range(2)]
    world.start()
    assert status_of(world.ask("/maps/x")) == 200
    assert [len(target.requests) for target in targets] == [1, 1]


def test_a_promise_without_proof_is_not_passed_on(
    world: EntryVmHarness,
) -> None:
    def claims(request: ServedRequest) -> None:
        request.answer(503, b"busy")

    world.add_target("one", claims)
    world.start()
    data = world.ask("/orders/x", method="POST")
    assert status_of(data) == 502
    assert b"Seal" not in data


def test_spoiled_answers_reach_nobody(world: EntryVmHarness) -> None:
    def truncated(request: ServedRequest) -> None:
        request.send(request.encode_response(200, b"whole")[:-2])
        request.close()

    def unsealed(request: ServedRequest) -> None:
        request.answer(200, b"whole", sealed=False)

    def encoded(request: ServedRequest) -> None:
        request.answer(200, b"x", headers=((b"Content-Encoding", b"gzip"),))

    def noise(request: ServedRequest) -> None:
        request.send(b"\x00\x01 noise\r\n\r\n")

    def framed_twice(request: ServedRequest) -> None:
        request.answer(200, b"x", headers=((b"Content-Length", b"9"),))

    def reset_unframed(request: ServedRequest) -> None:
        request.send(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: "
            + request.headers[b"x-request-id"]
            + b"\r\n\r\npart"
        )
        request.reset()

    target = world.add_target("one", serve)
    world.start()
    for spoil in (
        truncated,
        unsealed,
        encoded,
        noise,
        framed_twice,
        reset_unframed,
    ):
        target.on_request = spoil
        data = world.ask("/orders/x", method="POST", run_s=0.2)
        assert status_of(data) == 502, spoil.__name__


def test_an_unframed_answer_ends_with_its_connection(
    world: EntryVmHarness,
) -> None:
    def unframed(request: ServedRequest) -> None:
        request.send(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: "
            + request.headers[b"x-request-id"]
            + b"\r\n\r\nwhole"
        )
        request.close()

    world.add_target("one", unframed)
    world.start()
    data = world.ask("/orders/x", method="POST")
    assert status_of(data) == 200
    assert data.endswith(b"whole")


def test_a_late_answer_of_another_request_is_skipped(
    world: EntryVmHarness,
) -> None:
    def late_then_own(request: ServedRequest) -> None:
        request.answer(200, b"of another", request_id=b"other")
        request.answer(200, b"own")

    world.add_target("one", late_then_own)
    world.start()
    data = world.ask("/orders/x", method="POST")
    assert data.endswith(b"own")
    assert b"of another" not in data


def test_a_connection_with_bytes_nobody_asked_for_is_not_used_again(
    world: EntryVmHarness,
) -> None:
    def twice(request: ServedRequest) -> None:
        request.answer(200, b"first")
        request.answer(200, b"second")

    target = world.add_target("one", twice)
    world.start()
    caller = world.connect()
    for number in range(3):
        world.ask(
            "/orders/x",
            method="POST",
            request_id=f"r{number}",
            caller=caller,
        )
    assert len(target.connections) == 3
    assert caller.protocol.data.count(b"first") == 3
    assert b"second" not in caller.protocol.data


def test_connections_to_targets_are_kept(world: EntryVmHarness) -> None:
    target = world.add_target("one", serve)
    world.start()
    caller = world.connect()
    for number in range(5):
        world.ask("/maps/x", request_id=f"r{number}", caller=caller)
    assert len(target.connections) == 1


def test_a_request_that_crashes_targets_is_refused_after_three(
    world: EntryVmHarness,
) -> None:
    def crash(request: ServedRequest) -> None:
        request.reset()

    targets = [world.add_target(f"t-{n}", crash) for n in range(4)]
    world.start()
    for number in range(6):
        world.ask("/orders/x", method="POST", request_id=f"r{number}")
    assert sum(len(target.requests) for target in targets) == 3
    data = world.ask("/orders/x", method="POST", request_id="again")
    assert status_of(data) == 503
