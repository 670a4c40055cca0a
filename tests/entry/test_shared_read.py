"""Reads that several callers share."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred

from lycheestall.entry.shared_read import SharedRead
from lycheestall.logs import get_logger


class Source:
    """Something that is read; the test ends each read.

    Attributes:
        reads: The reads that have started.
    """

    def __init__(self) -> None:
        self.reads: list[Deferred[bool]] = []

    async def read(self) -> bool:
        """Starts a read."""
        reading: Deferred[bool] = Deferred()
        self.reads.append(reading)
        return await reading


@pytest.fixture
def source() -> Source:
    """What is read."""
    return Source()


@pytest.fixture
def shared(source: Source) -> SharedRead:
    """The reads of it."""
    return SharedRead(source.read, get_logger())


def results_of(asked: list[Deferred[bool]]) -> list[Any]:
    """Returns the results that have come, None for those that have not."""
    return [one.result if one.called else None for one in asked]


# Guards against an answer from a read that had started before the question.
def test_who_asks_during_a_read_gets_the_next_one(
    source: Source, shared: SharedRead
) -> None:
    asked = [shared.ask(), shared.ask(), shared.ask()]
    assert len(source.reads) == 1
    source.reads[0].callback(True)
    assert results_of(asked) == [True, None, None]
    assert len(source.reads) == 2
    source.reads[1].callback(False)
    assert results_of(asked) == [True, False, False]
    assert len(source.reads) == 2


def test_a_read_that_raises_has_failed(
    source: Source, shared: SharedRead
) -> None:
    asked = [shared.ask(), shared.ask()]
    source.reads[0].errback(ValueError("odd"))
    source.reads[1].callback(True)
    assert results_of(asked) == [False, True]


def test_who_asks_again_at_once_starts_another_read(
    source: Source, shared: SharedRead
) -> None:
    again: list[Deferred[bool]] = []
    first = shared.ask()
    first.addCallback(lambda _: again.append(shared.ask()))
    source.reads[0].callback(True)
    assert len(source.reads) == 2
    source.reads[1].callback(True)
    assert results_of(again) == [True]


# Guards against reads that stop because one who asked has left.
def test_one_who_leaves_stops_no_one_else(
    source: Source, shared: SharedRead
) -> None:
    leaving, staying = shared.ask(), shared.ask()
    leaving.addErrback(lambda _: None)
    leaving.cancel()
    source.reads[0].callback(True)
    source.reads[1].callback(True)
    assert results_of([staying]) == [True]
