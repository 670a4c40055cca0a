"""Tests of calls that fail at one partition while others succeed."""

from __future__ import annotations

from lycheestall.entry.store_health import StoreHealth
from lycheestall.logs import get_logger


def new_health(recoveries: list[float]) -> StoreHealth:
    """Returns the health of a store with a successful call at second 10."""
    health = StoreHealth(
        get_logger(), "ledger", on_recovered=recoveries.append
    )
    health.succeeded(10.0)
    return health


def test_a_call_that_fails_while_others_succeed_is_no_outage() -> None:
    recoveries: list[float] = []
    health = new_health(recoveries)
    health.succeeded(10.3)
    health.failed(10.5, "timeout", started_at=10.1)
    assert not health.unavailable
    health.succeeded(10.6)
    assert recoveries == []


def test_a_failed_call_without_a_later_success_is_an_outage() -> None:
    recoveries: list[float] = []
    health = new_health(recoveries)
    health.failed(10.5, "timeout", started_at=10.1)
    assert health.unavailable
    health.succeeded(12.0)
    assert recoveries == [12.0]
