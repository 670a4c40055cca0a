"""Summarizes runs of the policy bench as a table or as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

import orjson

from ..engine_model import EngineCosts
from ._programs import BenchTally, ProgramResult
from .plans import ProgramPlan, engine_time_s, lower_bound_s

__all__ = [
    "LOWER_BOUND",
    "PolicyRow",
    "lower_bound_row",
    "mean_row",
    "policy_row",
    "rows_as_json",
    "rows_as_table",
]

LOWER_BOUND = "lower_bound"


@dataclass(frozen=True, slots=True)
class PolicyRow:
    """Results of one policy on one workload; times are in seconds.

    Attributes:
        policy: The policy's name.
        workload: The workload's name.
        load: Offered load as a share of capacity.
        seeds: Number of runs that the row is the mean of.
        programs: Number of top-level programs that ended.
        completed: Share of programs whose calls were all answered.
        mean_s: Mean program latency.
        p50_s: Median program latency.
        p95_s: 95th percentile.
        p99_s: 99th percentile.
        bound_ratio: Mean latency divided by the mean lower bound.
        wasted: Share of reusable prompt tokens computed again.
        goodput: Engine time of the programs completed within the
            horizon, as a share of capacity.
        refused: Number of refusals returned to programs.
        failed: Number of failures returned to programs.
        sent: Dispatches to engines per completed call.
        worst_account: The highest bound ratio of an account, divided by
            the bound ratio of all programs.
        p95_by_account: 95th percentile of program latency by account.
    """

    policy: str
    workload: str
    load: float
    seeds: int
    programs: float
    completed: float
    mean_s: float
    p50_s: float
    p95_s: float
    p99_s: float
    bound_ratio: float
    wasted: float
    goodput: float
    refused: float
    failed: float
    sent: float
    worst_account: float
    p95_by_account: dict[str, float]


def policy_row(
    policy: str,
    tally: BenchTally,
    *,
    workload: str,
    load: float,
    costs: EngineCosts,
    engines: int,
    horizon_s: float,
) -> PolicyRow:
    """Returns the row of one run."""
    records = tally.records
    latencies = [record.latency_s for record in records]
    bounds = [lower_bound_s(record.plan, costs) for record in records]
    completed = [r for r in records if r.completed]
    completed_s = sum(
        engine_time_s(r.plan, costs)
        for r in completed
        if r.ended_s <= horizon_s
    )
    return PolicyRow(
        policy=policy,
        workload=workload,
        load=load,
        seeds=1,
        programs=len(records),
        completed=len(completed) / max(len(records), 1),
        mean_s=_mean(latencies),
        p50_s=_quantile(latencies, 0.50),
        p95_s=_quantile(latencies, 0.95),
        p99_s=_quantile(latencies, 0.99),
        bound_ratio=_mean(latencies) / max(_mean(bounds), 1e-9),
        wasted=tally.wasted_tokens / max(tally.reusable_tokens, 1),
        goodput=completed_s / horizon_s / engines,
        refused=tally.refused,
        failed=tally.failed,
        sent=tally.sent / max(tally.calls, 1),
        worst_account=_worst_account(records, costs),
        p95_by_account=_p95_by_account(records),
    )


def lower_bound_row(
    plans: Sequence[ProgramPlan],
    *,
    workload: str,
    load: float,
    costs: EngineCosts,
) -> PolicyRow:
    """Returns the row of the lower bounds, which no policy can beat."""
    records = [
        ProgramResult(plan, plan.arrival_s + lower_bound_s(plan, costs), True)
        for plan in plans
    ]
    tally = BenchTally(records=records)
    return policy_row(
        LOWER_BOUND,
        tally,
        workload=workload,
        load=load,
        costs=costs,
        engines=1,
        horizon_s=float("inf"),
    )


def mean_row(rows: Sequence[PolicyRow]) -> PolicyRow:
    """Returns the mean of one policy's rows over seeds."""
    first = rows[0]
    values: dict[str, float] = {}
    for name, value in asdict(first).items():
        if isinstance(value, float | int) and name not in ("load", "seeds"):
            values[name] = _mean([getattr(row, name) for row in rows])
    accounts = {name for row in rows for name in row.p95_by_account}
    p95_by_account = {
        name: _mean([row.p95_by_account.get(name, 0.0) for row in rows])
        for name in sorted(accounts)
    }
    return PolicyRow(
        policy=first.policy,
        workload=first.workload,
        load=first.load,
        seeds=len(rows),
        p95_by_account=p95_by_account,
        **values,
    )


def rows_as_json(rows: Sequence[PolicyRow]) -> str:
    """Returns rows as one JSON document with sorted keys."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    document = {"rows": [asdict(row) for row in rows]}
    return orjson.dumps(document, option=options).decode()


def rows_as_table(rows: Sequence[PolicyRow]) -> str:
    """Returns rows as a plain-text table."""
    lines = [
        f"{'workload':<11}{'load':>5} {'policy':<18}{'mean':>8}{'p50':>8}"
        f"{'p95':>8}{'p99':>8}{'/bound':>7}{'wasted':>8}{'goodput':>8}"
        f"{'done':>6}{'refused':>8}{'failed':>7}{'sent':>6}{'worst':>6}"
    ]
    for row in rows:
        lines.append(
            f"{row.workload:<11}{row.load:>5.2f} {row.policy:<18}"
            f"{row.mean_s:>8.2f}{row.p50_s:>8.2f}{row.p95_s:>8.2f}"
            f"{row.p99_s:>8.2f}{row.bound_ratio:>7.2f}{row.wasted:>8.2%}"
            f"{row.goodput:>8.3f}{row.completed:>6.0%}{row.refused:>8.1f}"
            f"{row.failed:>7.1f}{row.sent:>6.2f}{row.worst_account:>6.2f}"
        )
    return "\n".join(lines)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _worst_account(
    records: Sequence[ProgramResult], costs: EngineCosts
) -> float:
    overall = _bound_ratio(records, costs)
    if not overall:
        return 0.0
    accounts = {record.plan.account for record in records}
    ratios: list[float] = []
    for account in accounts:
        account_records = [r for r in records if r.plan.account == account]
        ratios.append(_bound_ratio(account_records, costs))
    return max(ratios) / overall


def _bound_ratio(
    records: Sequence[ProgramResult], costs: EngineCosts
) -> float:
    bound = sum(lower_bound_s(record.plan, costs) for record in records)
    return sum(record.latency_s for record in records) / max(bound, 1e-9)


def _p95_by_account(records: Sequence[ProgramResult]) -> dict[str, float]:
    by_account: dict[str, list[float]] = {}
    for record in records:
        latencies = by_account.setdefault(record.plan.account, [])
        latencies.append(record.latency_s)
    return {
        account: _quantile(latencies, 0.95)
        for account, latencies in sorted(by_account.items())
    }
