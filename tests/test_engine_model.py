"""Tests of the engine model against times computed by hand."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.engine_model import (
    CacheChanged,
    EngineCosts,
    EngineModel,
    ModelRequest,
    RequestFinished,
    RequestStarted,
)
from lycheestall.ids import ProgramId, RequestId

COSTS = EngineCosts(
    prefill_tokens_per_s=1000.0,
    decode_base_s=0.01,
    decode_sequence_s=0.0,
    batch_limit=2,
    kv_tokens=1000,
)


def request(name, program="p", prompt=100, output=10, priority=0):
    return ModelRequest(
        RequestId(name), ProgramId(program), prompt, output, priority
    )


def finished(model, until=1000.0):
    events = model.advance(until)
    return [e for e in events if isinstance(e, RequestFinished)]


def test_a_request_takes_its_prefill_and_decode_time():
    model = EngineModel(COSTS)
    assert model.submit(request("a"), 0.0)
    (done,) = finished(model)
    assert done.at == pytest.approx(0.1 + 10 * 0.01)
    assert done.cached_tokens == 0


def test_a_later_request_finds_its_prefix_cached():
    model = EngineModel(COSTS)
    model.submit(request("a"), 0.0)
    model.advance(10.0)
    model.submit(request("b", prompt=150), 10.0)
    (done,) = finished(model)
    assert done.cached_tokens == 110
    assert done.at == pytest.approx(10.0 + 0.04 + 0.1)


def test_the_queue_is_ordered_by_priority():
    model = EngineModel(COSTS)
    for name, priority in (("a", 0), ("b", 0), ("c", 5), ("d", 1)):
        model.submit(request(name, name, priority=priority), 0.0)
    events = model.advance(100.0)
    order = [e.request for e in events if isinstance(e, RequestStarted)]
    assert order == ["a", "b", "d", "c"]


def test_the_least_recently_used_prefix_is_evicted():
    model = EngineModel(COSTS)
    for index, name in enumerate("abc"):
        model.submit(request(name, name, prompt=400), index * 10.0)
        model.advance(index * 10.0 + 9.0)
    evicted = model.cache.cached(ProgramId("a"))
    assert evicted == 0
    assert model.cache.cached(ProgramId("c")) == 410


def test_a_pinned_prefix_is_not_evicted():
    model = EngineModel(COSTS)
    model.submit(request("a", "a", prompt=400), 0.0)
    model.advance(5.0)
    assert model.pin(ProgramId("a"))
    for index, name in enumerate("bc"):
        model.submit(request(name, name, prompt=400), 10.0 + index * 10.0)
        model.advance(19.0 + index * 10.0)
    assert model.cache.cached(ProgramId("a")) == 410


def test_a_request_larger_than_the_memory_is_refused():
    model = EngineModel(COSTS)
    assert not model.submit(request("a", prompt=2000), 0.0)


def test_a_crash_clears_queue_and_batch():
    model = EngineModel(COSTS)
    for name in "abc":
        model.submit(request(name, name), 0.0)
    assert sorted(model.crash(0.01)) == ["a", "b", "c"]
    assert model.running == model.waiting == 0
    assert model.next_event_at() is None


@given(
    st.lists(
        st.tuples(
            st.integers(0, 50),
            st.sampled_from("abcd"),
            st.integers(1, 600),
            st.integers(1, 60),
            st.booleans(),
        ),
        max_size=25,
    )
)
def test_every_request_ends_once_and_memory_matches_the_events(steps):
    model = EngineModel(COSTS)
    now, expected, cancelled = 0.0, set(), set()
    events = []
    for index, (gap, program, prompt, output, cancel) in enumerate(steps):
        now += gap / 10
        name = f"r{index}"
        assert model.submit(request(name, program, prompt, output), now)
        expected.add(name)
        if cancel and model.cancel(RequestId(name), now + 0.05):
            cancelled.add(name)
            now += 0.05
    events = model.advance(now + 10_000.0)
    ends = [e.request for e in events if isinstance(e, RequestFinished)]
    assert sorted(ends) == sorted(expected - cancelled)
    assert model.running == model.waiting == 0
    held = {e.program: e.tokens for e in events if isinstance(e, CacheChanged)}
    total = sum(model.cache.tokens(program) for program in held)
    assert total <= COSTS.kv_tokens
    assert {p: model.cache.cached(p) for p in held} == held
