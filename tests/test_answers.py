"""Tests of stored answers and of readers that resume them."""

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


def finished_answer(store: AnswerStore, number: int, size: int) -> Answer:
    answer = store.open(key(number))
    answer.start(HEAD)
    answer.chunk(b"x" * size)
    answer.finish(Completed())
    store.mark_finished(key(number))
    return answer


@given(
    chunks=st.lists(st.binary(max_size=200_000), max_size=4),
    attachments=st.lists(st.tuples(st.integers(0, 4), st.integers(0, 60))),
    slow=st.booleans(),
)
def test_reader_receives_all_bytes_after_its_start(
    chunks: list[bytes], attachments: list[tuple[int, int]], slow: bool
) -> None:
    clock = Clock()
    store = AnswerStore(retention_s=RETENTION_S, clock=clock)
    answer = store.open(key(1))
    answer.start(HEAD)
    body = b"".join(chunks)
    readers: list[tuple[int, FakeSink]] = []
    for index in range(len(chunks) + 1):
        for chunk_index, start in attachments:
            if chunk_index != index:
                continue
            sink = FakeSink()
            sink.slow_reader = slow
            readers.append((min(start, len(body)), sink))
            answer.attach(sink, readers[-1][0])
        if index < len(chunks):
            answer.chunk(chunks[index])
    answer.finish(Completed())
    for start, sink in readers:
        sink.slow_reader = False
        clock.advance(0.1)
        assert sink.body == body[start:]
        assert sink.outcomes == [Completed()]


def test_slow_reader_does_not_delay_others(store: AnswerStore) -> None:
    answer = store.open(key(1))
    slow, fast = FakeSink(), FakeSink()
    slow.slow_reader = True
    answer.attach(slow)
    answer.attach(fast)
    answer.start(HEAD)
    answer.chunk(b"text")
    answer.finish(Completed())
    assert fast.body == b"text" and fast.outcomes
    assert slow.body == b"" and not slow.outcomes


def test_oldest_answers_are_dropped_beyond_size_limit(
    store: AnswerStore,
) -> None:
    for number in range(1, 5):
        finished_answer(store, number, 40)
    assert store.retained_bytes <= 100
    assert store.find(key(1)) is None
    assert store.find(key(4)) is not None


def test_answers_expire_after_retention(
    store: AnswerStore, clock: Clock
) -> None:
    finished_answer(store, 1, 10)
    clock.advance(RETENTION_S - 1)
    finished_answer(store, 2, 10)
    clock.advance(1)
    store.expire()
    assert store.find(key(1)) is None
    assert store.find(key(2)) is not None
    assert store.retained_bytes == 10


def test_reader_fails_when_its_answer_expires(
    store: AnswerStore, clock: Clock
) -> None:
    sink = FakeSink()
    sink.slow_reader = True
    finished_answer(store, 1, 10).attach(sink)
    clock.advance(RETENTION_S)
    store.expire()
    assert isinstance(sink.outcome, Failed)
    assert sink.outcome.reason is Reason.ANSWER_GONE


def test_acknowledged_answer_is_dropped_unless_being_read(
    store: AnswerStore,
) -> None:
    sink = FakeSink()
    sink.slow_reader = True
    finished_answer(store, 1, 10).attach(sink)
    finished_answer(store, 2, 10)
    store.acknowledge(key(1))
    store.acknowledge(key(2))
    assert store.find(key(1)) is not None
    assert store.find(key(2)) is None


def test_restored_answer_equals_exported_one(store: AnswerStore) -> None:
    finished_answer(store, 1, 10)
    other = AnswerStore(retention_s=RETENTION_S, clock=Clock())
    state = store.export(key(1))
    assert state is not None
    other.restore(key(1), state)
    answer, sink = other.find(key(1)), FakeSink()
    assert answer is not None
    answer.attach(sink)
    assert (sink.head, sink.body) == (HEAD, b"x" * 10)
    assert sink.outcomes == [Completed()]
