"""Tests of kept and resumed answers."""

from __future__ import annotations

import pytest
from _program_fakes import FakeSink
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lycheestall.answers import Answer, AnswerKey, AnswerStore
from lycheestall.calls import ResponseHead
from lycheestall.ids import AccountId, CallNumber, ProgramId
from lycheestall.outcomes import Completed, Failed, Reason

HEAD = ResponseHead(200, (("content-type", "text/event-stream"),))
RETENTION_S = 300.0


def key(number: int) -> AnswerKey:
    return AnswerKey(AccountId("a"), ProgramId("p"), CallNumber(number))


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def store(clock: Clock) -> AnswerStore:
    return AnswerStore(retention_s=RETENTION_S, clock=clock, max_bytes=100)


def finish(store: AnswerStore, number: int, size: int) -> Answer:
    answer = store.open(key(number))
    answer.start(HEAD)
    answer.chunk(b"x" * size)
    answer.finish(Completed())
    store.mark_finished(key(number))
    return answer


@given(
    parts=st.lists(st.binary(max_size=200_000), max_size=4),
    joins=st.lists(st.tuples(st.integers(0, 4), st.integers(0, 60))),
    slow=st.booleans(),
)
def test_each_reader_gets_the_rest_from_where_it_broke(
    parts: list[bytes], joins: list[tuple[int, int]], slow: bool
) -> None:
    clock = Clock()
    store = AnswerStore(retention_s=RETENTION_S, clock=clock)
    answer = store.open(key(1))
    answer.start(HEAD)
    whole = b"".join(parts)
    readers: list[tuple[int, FakeSink]] = []
    for index in range(len(parts) + 1):
        for at, start in joins:
            if at != index:
                continue
            sink = FakeSink()
            sink.slow_reader = slow
            readers.append((min(start, len(whole)), sink))
            answer.attach(sink, readers[-1][0])
        if index < len(parts):
            answer.chunk(parts[index])
    answer.finish(Completed())
    for start, sink in readers:
        sink.slow_reader = False
        clock.advance(0.1)
        assert sink.body == whole[start:]
        assert sink.outcomes == [Completed()]


def test_a_slow_reader_holds_nobody_up(store: AnswerStore) -> None:
    answer = store.open(key(1))
    slow, quick = FakeSink(), FakeSink()
    slow.slow_reader = True
    answer.attach(slow)
    answer.attach(quick)
    answer.start(HEAD)
    answer.chunk(b"text")
    answer.finish(Completed())
    assert quick.body == b"text" and quick.outcomes
    assert slow.body == b"" and not slow.outcomes


def test_the_bound_on_bytes_drops_the_oldest(store: AnswerStore) -> None:
    for number in range(1, 5):
        finish(store, number, 40)
    assert store.retained_bytes <= 100
    assert store.find(key(1)) is None
    assert store.find(key(4)) is not None


def test_retention_ends(store: AnswerStore, clock: Clock) -> None:
    finish(store, 1, 10)
    clock.advance(RETENTION_S - 1)
    finish(store, 2, 10)
    clock.advance(1)
    store.expire()
    assert store.find(key(1)) is None
    assert store.find(key(2)) is not None
    assert store.retained_bytes == 10


def test_a_reader_that_never_reads_is_told(
    store: AnswerStore, clock: Clock
) -> None:
    sink = FakeSink()
    sink.slow_reader = True
    finish(store, 1, 10).attach(sink)
    clock.advance(RETENTION_S)
    store.expire()
    assert isinstance(sink.outcome, Failed)
    assert sink.outcome.reason is Reason.ANSWER_GONE


def test_an_acknowledged_answer_goes_unless_it_is_read(
    store: AnswerStore,
) -> None:
    sink = FakeSink()
    sink.slow_reader = True
    finish(store, 1, 10).attach(sink)
    finish(store, 2, 10)
    store.acknowledge(key(1))
    store.acknowledge(key(2))
    assert store.find(key(1)) is not None
    assert store.find(key(2)) is None


def test_a_handed_answer_reads_the_same(store: AnswerStore) -> None:
    finish(store, 1, 10)
    other = AnswerStore(retention_s=RETENTION_S, clock=Clock())
    state = store.export(key(1))
    assert state is not None
    other.restore(key(1), state)
    answer, sink = other.find(key(1)), FakeSink()
    assert answer is not None
    answer.attach(sink)
    assert (sink.head, sink.body) == (HEAD, b"x" * 10)
    assert sink.outcomes == [Completed()]
