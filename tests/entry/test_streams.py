"""Streams: order, breaks, resumes, budgets."""

from __future__ import annotations

from tests.entry.entry_world import EntryWorld, status_of
from tests.entry.fake_network import FakeTarget, ServedRequest

TURN = (
    "X-Program-Id: p1\r\nX-Session-Id: s1\r\nX-Token-Budget: 900\r\n"
    "X-Token-Usage: 1000,80\r\nX-Prompt-Prefix: aa:512,bb:300\r\n"
)


def whole(request: ServedRequest) -> None:
    request.start_stream()
    first = int(request.headers.get(b"last-event-id", b"0")) + 1
    for number in range(first, 6):
        request.event(number)
    request.end_stream()


def engine(world: EntryWorld, answer: object = whole) -> FakeTarget:
    target = world.add_target("engine", whole, service="engines")
    target.on_request = answer  # type: ignore[assignment]
    return target


def ask(world: EntryWorld, *, run_s: float = 0.3, name: str = "r1") -> bytes:
    return world.ask(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN,
        run_s=run_s,
        request_id=name,
    )


def events(data: bytes) -> list[int]:
    return [int(line[4:]) for line in data.split(b"\n") if line[:4] == b"id: "]


def test_a_stream_is_passed_on_whole(world: EntryWorld) -> None:
    engine(world)
    world.start()
    data = ask(world)
    assert events(data) == [1, 2, 3, 4, 5]
    assert data.endswith(b"0\r\n\r\n")
    assert b"seal-of-the-first" in data


def test_a_broken_stream_goes_on_at_its_target_after_the_last_event(
    world: EntryWorld,
) -> None:
    def break_once(request: ServedRequest) -> None:
        if b"last-event-id" in request.headers:
            whole(request)
            return
        request.start_stream()
        request.event(1)
        request.event(2)
        request.send(b"5\r\nid: 3")
        request.reset()

    target = engine(world, break_once)
    world.start()
    data = ask(world)
    assert events(data) == [1, 2, 3, 4, 5]
    assert data.endswith(b"0\r\n\r\n")
    assert target.requests[1].headers[b"last-event-id"] == b"2"


def test_a_stream_that_can_not_go_on_does_not_look_complete(
    world: EntryWorld,
) -> None:
    def lose(request: ServedRequest) -> None:
        request.start_stream()
        request.event(1)
        request.reset()
        world.reactor.target_by_address.clear()

    engine(world, lose)
    world.start()
    caller = world.connect()
    world.ask("/plan/x", method="POST", body="{}", headers=TURN, caller=caller)
    world.reactor.run(1.0)
    assert events(caller.protocol.data) == [1]
    assert caller.protocol.data.count(b"HTTP/1.1 ") == 1
    assert not caller.protocol.data.endswith(b"0\r\n\r\n")
    assert caller.protocol.lost is not None


def test_a_turn_whose_engine_died_is_not_called_not_run(
    world: EntryWorld,
) -> None:
    def die(request: ServedRequest) -> None:
        request.reset()
        world.reactor.target_by_address.clear()

    engine(world, die)
    world.start()
    assert status_of(ask(world, run_s=1.0)) == 502


def test_events_out_of_order_are_not_passed_on(world: EntryWorld) -> None:
    def repeat_one(request: ServedRequest) -> None:
        request.start_stream()
        request.event(1)
        request.event(1)

    engine(world, repeat_one)
    world.start()
    assert events(ask(world)).count(1) == 1


def test_a_stream_ends_at_its_timeout(world: EntryWorld) -> None:
    def stall(request: ServedRequest) -> None:
        request.start_stream()
        request.event(1)

    target = engine(world, stall)
    world.start()
    data = ask(world, run_s=3.1)
    assert events(data) == [1]
    assert not data.endswith(b"0\r\n\r\n")
    assert target.requests[0].caller_left


def test_a_spent_budget_gets_402_and_reaches_no_engine(
    world: EntryWorld,
) -> None:
    target = engine(world)
    world.start()
    statuses = [
        status_of(ask(world, name=f"r{number}")) for number in range(30)
    ]
    assert statuses[0] == 200
    assert statuses[-1] == 402
    assert len(target.requests) == statuses.count(200)
    assert len(target.requests) * 50 <= 900


def test_a_turn_whose_record_comes_too_late_is_refused_as_not_run(
    world: EntryWorld,
) -> None:
    target = engine(world)
    world.start()
    world.store.held = []
    world.store.applies_before_hold = False
    caller = world.connect()
    world.ask(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN + "X-Deadline-Ms: 200\r\n",
        run_s=0.3,
        caller=caller,
    )
    world.store.release_held()
    world.reactor.run(0.2)
    assert status_of(caller.protocol.data) == 503
    assert b"Retry-After" in caller.protocol.data
    assert not target.requests


def test_a_grant_at_the_very_end_of_a_turns_time_reaches_no_engine(
    world: EntryWorld,
) -> None:
    target = engine(world)
    world.start()
    caller = world.connect()
    world.ask(
        "/plan/x",
        method="POST",
        body="{}",
        headers=TURN + "X-Deadline-Ms: 0\r\n",
        caller=caller,
    )
    assert status_of(caller.protocol.data) == 503
    assert not target.requests


def test_shared_prompts_go_to_the_same_engine(world: EntryWorld) -> None:
    engines = [
        world.add_target(f"engine-{n}", whole, service="engines")
        for n in range(4)
    ]
    world.start()
    for number in range(6):
        ask(world, name=f"r{number}")
    assert sorted(len(e.requests) for e in engines) == [0, 0, 0, 6]
