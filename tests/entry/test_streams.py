"""Event streams: order, interruption, resumption and token budgets."""

from __future__ import annotations

from tests.entry.entry_vm_harness import EntryVmHarness, status_of
from tests.entry.fake_network import FakeTarget, ReceivedRequest

TURN_HEADERS = (
    "X-Program-Id: p1\r\nX-Session-Id: s1\r\nX-Token-Budget: 900\r\n"
    "X-Token-Usage: 1000,80\r\nX-Prompt-Prefix: aa:512,bb:300\r\n"
)


def send_all_events(request: ReceivedRequest) -> None:
    request.start_stream()
    first = int(request.headers.get(b"last-event-id", b"0")) + 1
    for number in range(first, 6):
        request.send_event(number)
    request.end_stream()


def add_engine(
    harness: EntryVmHarness, on_request: object = send_all_events
) -> FakeTarget:
    target = harness.add_target("engine", send_all_events, service="engines")
    target.on_request = on_request  # type: ignore[assignment]
    return target


def send_turn(
    harness: EntryVmHarness, *, run_s: float = 0.3, request_id: str = "r1"
) -> bytes:
    return harness.send_request(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN_HEADERS,
        run_s=run_s,
        request_id=request_id,
    )


def event_ids(data: bytes) -> list[int]:
    return [int(line[4:]) for line in data.split(b"\n") if line[:4] == b"id: "]


def test_a_stream_is_forwarded_completely(harness: EntryVmHarness) -> None:
    add_engine(harness)
    harness.start()
    data = send_turn(harness)
    assert event_ids(data) == [1, 2, 3, 4, 5]
    assert data.endswith(b"0\r\n\r\n")
    assert b"seal-of-the-first" in data


def test_a_broken_stream_is_resumed_at_its_target_after_the_last_event(
    harness: EntryVmHarness,
) -> None:
    def break_once(request: ReceivedRequest) -> None:
        if b"last-event-id" in request.headers:
            send_all_events(request)
            return
        request.start_stream()
        request.send_event(1)
        request.send_event(2)
        request.send(b"5\r\nid: 3")
        request.reset()

    target = add_engine(harness, break_once)
    harness.start()
    data = send_turn(harness)
    assert event_ids(data) == [1, 2, 3, 4, 5]
    assert data.endswith(b"0\r\n\r\n")
    assert target.requests[1].headers[b"last-event-id"] == b"2"


def test_a_stream_that_cannot_be_resumed_does_not_look_complete(
    harness: EntryVmHarness,
) -> None:
    def break_for_good(request: ReceivedRequest) -> None:
        request.start_stream()
        request.send_event(1)
        request.reset()
        harness.reactor.target_by_address.clear()

    add_engine(harness, break_for_good)
    harness.start()
    caller = harness.connect()
    harness.send_request(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN_HEADERS,
        caller=caller,
    )
    harness.reactor.run(1.0)
    assert event_ids(caller.protocol.data) == [1]
    assert caller.protocol.data.count(b"HTTP/1.1 ") == 1
    assert not caller.protocol.data.endswith(b"0\r\n\r\n")
    assert caller.protocol.lost is not None


def test_a_turn_whose_engine_crashed_is_not_reported_as_not_run(
    harness: EntryVmHarness,
) -> None:
    def crash(request: ReceivedRequest) -> None:
        request.reset()
        harness.reactor.target_by_address.clear()

    add_engine(harness, crash)
    harness.start()
    assert status_of(send_turn(harness, run_s=1.0)) == 502


def test_events_out_of_order_are_not_forwarded(
    harness: EntryVmHarness,
) -> None:
    def repeat_one(request: ReceivedRequest) -> None:
        request.start_stream()
        request.send_event(1)
        request.send_event(1)

    add_engine(harness, repeat_one)
    harness.start()
    assert event_ids(send_turn(harness)).count(1) == 1


def test_a_stream_ends_at_its_timeout(harness: EntryVmHarness) -> None:
    def stall(request: ReceivedRequest) -> None:
        request.start_stream()
        request.send_event(1)

    target = add_engine(harness, stall)
    harness.start()
    data = send_turn(harness, run_s=3.1)
    assert event_ids(data) == [1]
    assert not data.endswith(b"0\r\n\r\n")
    assert target.requests[0].disconnected


def test_a_spent_budget_gets_402_without_an_attempt(
    harness: EntryVmHarness,
) -> None:
    target = add_engine(harness)
    harness.start()
    statuses = [
        status_of(send_turn(harness, request_id=f"r{number}"))
        for number in range(30)
    ]
    assert statuses[0] == 200
    assert statuses[-1] == 402
    assert len(target.requests) == statuses.count(200)
    assert len(target.requests) * 50 <= 900


def test_a_turn_recorded_too_late_is_refused_as_not_run(
    harness: EntryVmHarness,
) -> None:
    target = add_engine(harness)
    harness.start()
    harness.store.held_appends = []
    harness.store.applies_before_hold = False
    caller = harness.connect()
    harness.send_request(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN_HEADERS + "X-Deadline-Ms: 200\r\n",
        run_s=0.3,
        caller=caller,
    )
    harness.store.release_held_appends()
    harness.reactor.run(0.2)
    assert status_of(caller.protocol.data) == 503
    assert b"Retry-After" in caller.protocol.data
    assert not target.requests


def test_tokens_granted_at_the_deadline_start_no_attempt(
    harness: EntryVmHarness,
) -> None:
    target = add_engine(harness)
    harness.start()
    caller = harness.connect()
    harness.send_request(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN_HEADERS + "X-Deadline-Ms: 0\r\n",
        caller=caller,
    )
    assert status_of(caller.protocol.data) == 503
    assert not target.requests


def test_turns_with_a_common_prompt_go_to_the_same_engine(
    harness: EntryVmHarness,
) -> None:
    engines = [
        harness.add_target(f"engine-{n}", send_all_events, service="engines")
        for n in range(4)
    ]
    harness.start()
    for number in range(6):
        send_turn(harness, request_id=f"r{number}")
    assert sorted(len(e.requests) for e in engines) == [0, 0, 0, 6]
