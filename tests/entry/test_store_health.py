"""Pattern: a queue before one partition, while the store answers others."""

from __future__ import annotations

from lycheestall.entry.store_health import StoreHealth
from lycheestall.logs import get_logger


def new_health(returns: list[float]) -> StoreHealth:
    """Returns the health of a store that has answered at second 10."""
    health = StoreHealth(get_logger(), "ledger", returned=returns.append)
    health.succeeded(10.0)
    return health


def test_a_call_that_fails_beside_answered_ones_is_no_outage() -> None:
    returns: list[float] = []
    health = new_health(returns)
    health.succeeded(10.3)
    health.failed(10.5, "timeout", started_at=10.1)
    assert not health.away
    health.succeeded(10.6)
    assert returns == []


def test_a_call_without_any_answer_since_its_start_is_an_outage() -> None:
    returns: list[float] = []
    health = new_health(returns)
    health.failed(10.5, "timeout", started_at=10.1)
    assert health.away
    health.succeeded(12.0)
    assert returns == [12.0]
