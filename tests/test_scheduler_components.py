"""Tests of the scheduler's components, one by one."""

from __future__ import annotations

import pytest
from _engine_fakes import LINE, make_job
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.cache_estimate import CacheEstimate
from lycheestall.dispatch_commands import JobKey, ReleaseMemory
from lycheestall.ejection import OutlierEjection
from lycheestall.engine_load import EngineLoadEstimate
from lycheestall.engine_memory import EngineMemoryTracker
from lycheestall.fair_queue import FairQueue
from lycheestall.ids import AccountId, ProgramId, TargetId, VmId
from lycheestall.overload_control import ConcurrencyLimit, OverloadControl
from lycheestall.placement import Placement
from lycheestall.quarantine import Quarantine
from lycheestall.retries import RetryBudget
from lycheestall.rules.rule_set import ShareRule
from lycheestall.service_estimate import ServiceEstimate
from lycheestall.targets import (
    CacheEvent,
    CacheEvents,
    HeldMemory,
    LoadReport,
)

E1, E2, E3 = TargetId("e1"), TargetId("e2"), TargetId("e3")
P1, P2 = ProgramId("p1"), ProgramId("p2")
ACCOUNT = AccountId("trust")
EQUAL = ShareRule(1.0, 0, LINE)


def answer(cache, target, program, tokens, cached, now):
    cache.record_answer(
        target,
        program,
        account=ACCOUNT,
        tokens=tokens,
        cached_tokens=cached,
        now=now,
    )


def page(*events, after=100):
    cache_events = tuple(CacheEvent(s, ProgramId(p), t) for s, p, t in events)
    return CacheEvents(cache_events, after)


def report(target, running, waiting, age_s=0.0):
    return LoadReport(target, running, waiting, 0.0, 0.0, age_s=age_s)


# Cache estimate


def test_an_answer_updates_the_estimate_at_once():
    cache = CacheEstimate()
    answer(cache, E1, P1, 1000, 0, 0.0)
    assert cache.tokens(E1, P1, 1200) == 1000
    assert cache.tokens(E2, P1, 1200) == 0


def test_a_delayed_event_does_not_override_a_newer_answer():
    cache = CacheEstimate()
    answer(cache, E1, P1, 1000, 0, 10.0)
    cache.observe(E1, page((5, "p1", 0), (6, "p1", 400)), 11.0)
    assert cache.tokens(E1, P1, 1200) == 1000
    cache.observe(E1, page((7, "p1", 1000), (8, "p1", 0)), 12.0)
    assert cache.tokens(E1, P1, 1200) == 0


def test_an_eviction_counts_after_the_event_delay():
    cache = CacheEstimate()
    answer(cache, E1, P1, 1000, 0, 0.0)
    cache.observe(E1, page((5, "p1", 0)), 60.0)
    assert cache.tokens(E1, P1, 1200) == 0
    assert cache.capacity_tokens(E1) == 1000


def test_event_gaps_lower_the_confidence_in_all_prefixes():
    cache = CacheEstimate()
    cache.observe(E1, page((1, "p1", 1000)), 0.0)
    cache.observe(E1, page((30, "p2", 10)), 1.0)
    assert 0 < cache.tokens(E1, P1, 1200) < 700


def test_a_cache_miss_lowers_the_confidence_in_older_prefixes():
    cache = CacheEstimate()
    cache.observe(E1, page((1, "p1", 1000), (2, "p2", 1000)), 0.0)
    answer(cache, E1, P2, 1100, 0, 5.0)
    assert cache.tokens(E1, P1, 1000) == 500
    assert cache.tokens(E1, P2, 1100) == 1100


def test_a_lower_sequence_number_means_an_empty_cache():
    cache = CacheEstimate()
    cache.observe(E1, page((90, "p1", 1000)), 0.0)
    cache.observe(E1, page((1, "p2", 10), after=2), 1.0)
    assert cache.tokens(E1, P1, 1200) == 0
    assert cache.tokens(E1, P2, 1200) == 10


def test_an_ended_program_no_longer_counts():
    cache = CacheEstimate()
    answer(cache, E1, P1, 1000, 0, 0.0)
    assert cache.account_tokens(ACCOUNT) == 1000
    cache.program_ended(P1)
    assert cache.resident_tokens(E1) == 0
    assert cache.account_tokens(ACCOUNT) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("answer", "event", "end", "crash")),
            st.sampled_from(("p1", "p2", "p1/a")),
            st.integers(0, 2000),
            st.integers(1, 200),
        ),
        max_size=40,
    )
)
def test_resident_tokens_are_the_sum_of_the_prefixes(steps):
    cache = CacheEstimate()
    for sequence, (kind, name, tokens, gap) in enumerate(steps, start=1):
        now = float(sequence * gap)
        if kind == "answer":
            answer(cache, E1, ProgramId(name), tokens, 0, now)
        elif kind == "event":
            cache.observe(E1, page((sequence, name, tokens)), now)
        elif kind == "end":
            cache.program_ended(P1)
        else:
            cache.clear_engine(E1)
        prefixes = cache._cache(E1).prefix_by_program.values()
        counted = sum(p.tokens for p in prefixes if p.counted)
        assert cache.resident_tokens(E1) == counted


# Load estimate


def test_dispatches_since_the_report_are_added():
    load = EngineLoadEstimate()
    load.sent(E1, 0.0)
    load.observe(report(E1, 5, 0, age_s=0.5), 1.0)
    assert load.requests(E1) == 5
    load.sent(E1, 1.1)
    assert load.requests(E1) == 6
    load.ended(E1, 1.2)
    load.ended(E1, 1.3)
    assert load.requests(E1) == 4


def test_a_delayed_report_is_compared_with_the_requests_of_its_time():
    load = EngineLoadEstimate()
    for at in (0.0, 0.1, 2.0, 2.1):
        load.sent(E1, at)
    load.observe(report(E1, 2, 0, age_s=1.5), 2.5)
    assert load.requests(E1) == 4


# Placement


def placement(vm="vm1"):
    cache, load = CacheEstimate(), EngineLoadEstimate()
    chooser = Placement(
        vm=VmId(vm),
        seed=1,
        cache=cache,
        load=load,
        service=ServiceEstimate(),
    )
    return chooser, cache, load


def test_a_cached_prefix_outweighs_an_idle_engine():
    chooser, cache, load = placement()
    answer(cache, E1, P1, 8000, 0, 0.0)
    load.observe(report(E1, 4, 0), 0.0)
    job = make_job("p1", prompt_tokens=8200)
    assert chooser.choose(JobKey(1), job, (E1, E2)).target == E1


def test_a_long_queue_outweighs_a_small_prefix():
    chooser, cache, load = placement()
    answer(cache, E1, P1, 200, 0, 0.0)
    load.observe(report(E1, 16, 60), 0.0)
    job = make_job("p1", prompt_tokens=400)
    assert chooser.choose(JobKey(1), job, (E1, E2)).target == E2


def test_vms_do_not_all_choose_the_same_idle_engine():
    engines = [TargetId(f"e{n}") for n in range(5)]
    chosen = []
    for vm in range(20):
        chooser, _, load = placement(f"vm{vm}")
        for engine in engines:
            load.observe(report(engine, 8, 0), 0.0)
        load.observe(report(engines[0], 7, 0), 0.0)
        choice = chooser.choose(JobKey(1), make_job("new"), engines)
        chosen.append(choice.target)
    assert chosen.count(engines[0]) < 20
    assert len(set(chosen)) > 1


# Fair queue


def rank_of(
    queue, job, *, wall_s, service_s=1.0, share=EQUAL, cached_prefill_s=0.0
):
    return queue.rank(
        job,
        share,
        service_s=service_s,
        cached_prefill_s=cached_prefill_s,
        slots=4.0,
        wall_s=wall_s,
    )


def test_a_program_with_less_service_goes_first():
    queue = FairQueue()
    queue.charge(P1, 30.0)
    old = rank_of(queue, make_job("p1"), wall_s=100.0)
    new = rank_of(queue, make_job("p9", account="other"), wall_s=100.0)
    assert new < old


def test_service_counts_for_all_sub_agents_of_a_program():
    queue = FairQueue()
    queue.charge(P1, 30.0)
    child = rank_of(queue, make_job("p1/a/b"), wall_s=100.0)
    fresh = rank_of(queue, make_job("p2", account="b"), wall_s=100.0)
    assert fresh < child


def test_a_job_with_a_cached_prefix_goes_before_a_new_program():
    queue = FairQueue()
    new = rank_of(queue, make_job("p2", account="b"), wall_s=100.0)
    warm = rank_of(queue, make_job("p1"), wall_s=100.0, cached_prefill_s=3.0)
    assert warm < new


def test_strict_priority_outranks_due_times():
    queue = FairQueue()
    first = ShareRule(1.0, 0, LINE)
    second = ShareRule(100.0, 1, LINE)
    late = rank_of(queue, make_job("p1"), wall_s=500.0, share=first)
    early = rank_of(
        queue, make_job("p2", account="b"), wall_s=0.0, share=second
    )
    assert late < early
    assert late.engine_priority() < early.engine_priority()


@given(st.integers(1, 300), st.floats(0.1, 5.0))
def test_a_greedy_account_does_not_delay_another(calls, service_s):
    queue = FairQueue()
    for number in range(calls):
        greedy = make_job(f"g{number}", account="greedy")
        rank_of(queue, greedy, wall_s=0.0, service_s=service_s)
    other = rank_of(queue, make_job("p1"), wall_s=1.0, service_s=1.0)
    late = rank_of(
        queue, make_job("gx", account="greedy"), wall_s=1.0, service_s=1.0
    )
    assert other.due_s == pytest.approx(1.0)
    assert late.due_s >= min(1.0, 2 * calls * service_s / 4.0)


def test_an_account_leads_only_beyond_its_fair_share():
    queue = FairQueue()
    for number in range(40):
        greedy = make_job(f"g{number}", account="greedy")
        rank_of(queue, greedy, wall_s=0.0, service_s=1.0)
    rank_of(queue, make_job("p1"), wall_s=0.0, service_s=1.0)
    assert queue.lead_s(AccountId("greedy"), 0.0) >= 10.0
    assert queue.lead_s(ACCOUNT, 0.0) < 1.0
    assert queue.lead_s(AccountId("unknown"), 0.0) == 0.0


@given(st.lists(st.floats(0.0, 500.0), min_size=1, max_size=50))
def test_no_job_starves(services):
    """Past service delays a job only up to a limit."""
    queue = FairQueue()
    for service_s in services:
        queue.charge(P1, service_s)
    waiting = rank_of(queue, make_job("p1"), wall_s=0.0)
    newer = rank_of(queue, make_job("p2", account="b"), wall_s=121.0)
    assert waiting < newer


# Overload control


def test_the_limit_shrinks_on_long_queues_and_grows_when_used_up():
    limit = ConcurrencyLimit()
    before = limit.limit
    limit.observe(report(E1, 8, 20), own=6)
    assert limit.limit < before
    for _ in range(10):
        limit.observe(report(E1, 8, 0), own=100)
    assert limit.limit > before


def test_a_slow_start_ramps_the_limit_up():
    limit = ConcurrencyLimit(limit=40.0)
    limit.begin_slow_start(100.0)
    assert limit.effective_limit(100.0) == 1.0
    assert limit.effective_limit(110.0) == pytest.approx(20.0)
    assert limit.effective_limit(121.0) == 40.0


def test_a_job_that_would_miss_its_deadline_is_refused():
    overload = OverloadControl()
    wait_s = overload.wait_s(50, in_flight=5, residence_s=10.0, now=0.0)
    assert wait_s == pytest.approx(100.0)
    retry_s = overload.retry_after_s(wait_s, 5.0, queued=50, left_s=60.0)
    assert retry_s is not None
    assert 0 < retry_s <= 60.0
    assert overload.retry_after_s(wait_s, 5.0, queued=50, left_s=200.0) is None


# Retry budget


@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_budget(steps):
    budget = RetryBudget(ratio=0.1, max_balance=10.0)
    first_attempts = retries = 0
    for first in steps:
        if first:
            first_attempts += 1
            budget.record_first_attempt()
        elif budget.try_take():
            retries += 1
    assert retries <= 10 + 0.1 * first_attempts


# Ejection


@given(st.integers(1, 12), st.lists(st.integers(0, 11), max_size=60))
def test_at_least_half_of_the_engines_stay_usable(count, failures):
    ejection = OutlierEjection()
    engines = [TargetId(f"e{n}") for n in range(count)]
    for at, index in enumerate(failures):
        ejection.record_failure(engines[index % count], float(at), down=True)
        usable = ejection.usable(engines, float(at))
        assert 2 * len(usable) >= count
        assert len(set(usable)) == len(usable)


def test_an_engine_is_ejected_probed_and_readmitted():
    ejection = OutlierEjection()
    engines = (E1, E2, E3)
    for at in range(3):
        ejection.record_failure(E1, float(at), down=False)
    assert ejection.usable(engines, 3.0) == [E2, E3]
    assert ejection.usable(engines, 20.0) == [E1, E2, E3]
    ejection.record_sent(E1)
    assert ejection.usable(engines, 20.0) == [E2, E3]
    assert ejection.record_answer(E1)
    assert ejection.usable(engines, 20.0) == [E1, E2, E3]


# Quarantine


def test_a_request_is_quarantined_after_its_second_crash():
    quarantine = Quarantine(reported_quarantined=lambda fingerprint: False)
    quarantine.record_crash(b"x", E1)
    assert not quarantine.blocks(b"x")
    assert not quarantine.may_run(b"x", E1)
    quarantine.record_crash(b"x", E2)
    assert quarantine.blocks(b"x")
    assert not quarantine.blocks(b"y")


def test_reports_of_other_vms_quarantine_a_request_too():
    quarantine = Quarantine(
        reported_quarantined=lambda fingerprint: fingerprint == b"x"
    )
    assert quarantine.blocks(b"x")


def test_two_suspects_do_not_share_an_engine():
    quarantine = Quarantine(reported_quarantined=lambda fingerprint: False)
    for fingerprint in (b"x", b"y"):
        quarantine.record_crash(fingerprint, E1)
    quarantine.record_sent(b"x", E2)
    assert not quarantine.may_run(b"y", E2)
    assert quarantine.may_run(b"y", E3)
    assert quarantine.may_run(b"z", E2)
    quarantine.record_ended(b"x", E2)
    assert quarantine.may_run(b"y", E2)


# Engine memory


def test_memory_of_an_ended_program_is_released_until_confirmed():
    memory = EngineMemoryTracker()
    memory.record_held(P1, E1)
    memory.record_held(P1, E2)
    assert memory.program_ended(P1, 0.0) == [
        ReleaseMemory(E1, P1),
        ReleaseMemory(E2, P1),
    ]
    memory.release_confirmed(E1, P1)
    assert memory.due(1.0) == []
    assert memory.due(5.0) == [ReleaseMemory(E2, P1)]
    memory.release_confirmed(E2, P1)
    assert memory.unconfirmed_releases() == 0


def test_memory_of_no_live_program_is_released():
    memory = EngineMemoryTracker()
    held = (
        HeldMemory(ProgramId("dead/a"), "export", "x", 10),
        HeldMemory(P1, "pin", "y", 10),
    )
    live = {P1}.__contains__
    assert memory.reconcile(E1, held, is_live=live, now=0.0) == []
    released = memory.reconcile(E1, held, is_live=live, now=30.0)
    assert released == [ReleaseMemory(E1, ProgramId("dead"))]


def test_a_program_that_becomes_live_late_keeps_its_memory():
    memory = EngineMemoryTracker()
    held = (HeldMemory(P1, "pin", "y", 10),)
    assert memory.reconcile(E1, held, is_live=lambda p: False, now=0.0) == []
    assert memory.reconcile(E1, held, is_live=lambda p: True, now=1.0) == []
    assert memory.reconcile(E1, held, is_live=lambda p: False, now=2.0) == []
