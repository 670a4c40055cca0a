"""Which connections give way when memory or descriptors are short."""

from __future__ import annotations

import pytest

from lycheestall.entry.callers import (
    ConnectionBounds,
    ConnectionBudget,
    Standing,
    Usage,
    caller_bounds,
)
from lycheestall.entry.callers.connection_budget import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    STALL_S,
)

MEGABYTE = 1_000_000


@pytest.fixture
def budget() -> ConnectionBudget[str]:
    """A budget of 10 MB and 20 descriptors."""
    return ConnectionBudget(
        ConnectionBounds(memory_bytes=10 * MEGABYTE, descriptors=20)
    )


def connect(
    budget: ConnectionBudget[str],
    owner: str,
    standing: Standing,
    *,
    now: float = 0.0,
    size: int = 0,
) -> Usage[str]:
    usage, decision = budget.connect(owner, now)
    assert decision.granted
    budget.change(usage, standing, now)
    assert budget.resize(usage, size, now).granted
    return usage


# Guards against uploads that all end before any is complete.
def test_an_upload_that_makes_progress_keeps_its_memory(
    budget: ConnectionBudget[str],
) -> None:
    first = connect(budget, "first", Standing.UNPROVEN, size=6 * MEGABYTE)
    second = connect(budget, "second", Standing.UNPROVEN)
    refused = budget.resize(second, 3 * MEGABYTE, STALL_S / 2)
    assert not refused.granted
    assert refused.evicted == ()
    budget.progressed(first, 10, STALL_S)
    decision = budget.resize(second, 3 * MEGABYTE, STALL_S)
    assert decision.granted
    assert decision.evicted == ("first",)


def test_connections_give_way_in_the_order_of_their_standing(
    budget: ConnectionBudget[str],
) -> None:
    for standing in (Standing.RUNNING, Standing.READING, Standing.UNPROVEN):
        connect(budget, standing.name, standing, size=2 * MEGABYTE)
    large = connect(budget, "large", Standing.RUNNING)
    decision = budget.resize(large, 5 * MEGABYTE, 0.0)
    assert decision.granted
    assert decision.evicted == ("UNPROVEN", "READING")


def test_requests_in_progress_never_give_way(
    budget: ConnectionBudget[str],
) -> None:
    connect(budget, "running", Standing.RUNNING, size=6 * MEGABYTE)
    large = connect(budget, "large", Standing.RUNNING)
    decision = budget.resize(large, 5 * MEGABYTE, 100.0)
    assert not decision.granted
    assert decision.evicted == ()


# Guards against large requests that leave nothing for ordinary ones.
def test_large_requests_leave_memory_for_small_ones(
    budget: ConnectionBudget[str],
) -> None:
    connect(budget, "large", Standing.RUNNING, size=7 * MEGABYTE)
    other = connect(budget, "other", Standing.RUNNING)
    assert not budget.resize(other, MEGABYTE, 0.0).granted
    for number in range(8):
        connect(
            budget,
            f"small {number}",
            Standing.RUNNING,
            size=SMALL_BYTES - CONNECTION_BYTES,
        )


def test_the_oldest_unused_connection_gives_way_to_a_new_one(
    budget: ConnectionBudget[str],
) -> None:
    connect(budget, "used", Standing.IDLE)
    for number in range(19):
        connect(budget, f"unused {number}", Standing.UNUSED, now=number)
    _, decision = budget.connect("new", 30.0)
    assert decision.granted
    assert decision.evicted == ("unused 0",)


# Guards against more connections to targets than there are descriptors for.
def test_requests_in_progress_need_a_descriptor_for_their_target(
    budget: ConnectionBudget[str],
) -> None:
    usages = [connect(budget, str(n), Standing.READING) for n in range(11)]
    granted = [budget.start_request(u, 0.0).granted for u in usages]
    assert granted == [True] * 9 + [False] * 2
    for usage in usages:
        budget.disconnect(usage)
        budget.disconnect(usage)
    assert budget.descriptors == budget.used_bytes == 0


def test_a_connection_that_gave_way_frees_its_memory_once(
    budget: ConnectionBudget[str],
) -> None:
    stalled = connect(budget, "stalled", Standing.READING, size=7 * MEGABYTE)
    other = connect(budget, "other", Standing.READING)
    assert budget.resize(other, 7 * MEGABYTE, STALL_S).evicted == ("stalled",)
    budget.resize(stalled, 0, STALL_S)
    budget.disconnect(stalled)
    budget.disconnect(other)
    assert budget.used_bytes == 0


def test_8000_connections_fit_into_the_default_memory() -> None:
    bounds = caller_bounds(128.0, 20_000)
    budget: ConnectionBudget[int] = ConnectionBudget(bounds)
    for number in range(8000):
        _, decision = budget.connect(number, 0.0)
        assert decision.granted
        assert decision.evicted == ()
