"""Random workloads of the policy bench.

The programs of a workload depend only on its parameters and the seed, so
every policy runs the same ones. Lengths are in tokens, times in seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from ..engine_model import EngineCosts
from ..ids import AccountId, ProgramId
from .plans import (
    ProgramPlan,
    TurnPlan,
    engine_time_s,
    kv_token_s,
)

__all__ = ["WORKLOAD_NAMES", "draw_workload"]


ProgramSampler = Callable[[Random, ProgramId, AccountId, float], ProgramPlan]
CostFunction = Callable[[ProgramPlan, EngineCosts], float]


def _pole_run(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns: list[TurnPlan] = []
    count = random.randint(3, 8)
    check_turn = random.randrange(count) if random.random() < 0.3 else -1
    for index in range(count):
        first_tokens = random.randint(800, 1600)
        new_tokens = first_tokens if index == 0 else random.randint(80, 400)
        children: tuple[ProgramPlan, ...] = ()
        if index == check_turn:
            children = _check_programs(random, program, account, first_tokens)
        output_tokens = random.randint(40, 160)
        pause_s = random.uniform(0.3, 3.0)
        turns.append(TurnPlan(new_tokens, output_tokens, pause_s, children))
    return ProgramPlan(program, account, "pole_run", at, tuple(turns))


def _check_programs(
    random: Random, parent: ProgramId, account: AccountId, shared_tokens: int
) -> tuple[ProgramPlan, ...]:
    children: list[ProgramPlan] = []
    for index in range(random.randint(2, 5)):
        turns = tuple(
            TurnPlan(
                random.randint(200, 600),
                random.randint(30, 120),
                random.uniform(0.2, 1.5),
            )
            for _ in range(random.randint(1, 2))
        )
        child = ProgramId(f"{parent}/{index}")
        children.append(
            ProgramPlan(
                child, account, "check", 0.0, turns, shared_tokens // 2
            )
        )
    return tuple(children)


def _quotation(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns: list[TurnPlan] = []
    for index in range(random.randint(4, 9)):
        first_tokens = random.randint(2000, 4000)
        new_tokens = first_tokens if index == 0 else random.randint(200, 700)
        output_tokens = random.randint(120, 400)
        turns.append(
            TurnPlan(new_tokens, output_tokens, random.uniform(1.0, 6.0))
        )
    return ProgramPlan(program, account, "quotation", at, tuple(turns))


def _voicing(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns: list[TurnPlan] = []
    for index in range(random.randint(8, 16)):
        first_tokens = random.randint(4000, 8000)
        new_tokens = first_tokens if index == 0 else random.randint(300, 1200)
        output_tokens = random.randint(80, 250)
        turns.append(
            TurnPlan(new_tokens, output_tokens, random.uniform(5.0, 30.0))
        )
    return ProgramPlan(program, account, "voicing", at, tuple(turns))


def _looping(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns = [TurnPlan(random.randint(500, 1000), 60, 0.2)]
    for _ in range(29):
        turns.append(TurnPlan(random.randint(40, 100), 60, 0.2))
    return ProgramPlan(program, account, "looping", at, tuple(turns))


TRUST = AccountId("trust")
FOUNDRY = AccountId("foundry")
GREEDY = AccountId("greedy")

_SAMPLER_BY_KIND: dict[str, tuple[ProgramSampler, AccountId]] = {
    "pole_run": (_pole_run, TRUST),
    "quotation": (_quotation, FOUNDRY),
    "voicing": (_voicing, FOUNDRY),
    "looping": (_looping, TRUST),
}

_SHARE_BY_KIND: dict[str, dict[str, float]] = {
    "pole_runs": {"pole_run": 1.0},
    "quotations": {"quotation": 1.0},
    "voicing": {"voicing": 1.0},
    "looping": {"pole_run": 0.7, "looping": 0.3},
    "mixed": {
        "pole_run": 0.4,
        "quotation": 0.3,
        "voicing": 0.25,
        "looping": 0.05,
    },
}

WORKLOAD_NAMES = (*_SHARE_BY_KIND, "shared", "greedy")
MEAN_SAMPLE_SIZE = 200
MEAN_BURST_SIZE = 4.0
GREEDY_FACTOR = 3.0


def draw_workload(
    name: str,
    *,
    seed: int,
    load: float,
    horizon_s: float,
    engines: int,
    costs: EngineCosts,
) -> list[ProgramPlan]:
    """Generates the programs of one run, in order of arrival.

    Args:
        name: One of ``WORKLOAD_NAMES``. ``shared`` combines the mixed
            workload at half of ``load`` with one account that sends
            quotations at the other half; in ``greedy`` that account sends
            ``GREEDY_FACTOR`` times as many.
        seed: Seed of the random generators.
        load: Offered load as a share of the engines' capacity: of their
            time at full batches, or of the cache memory that holds the
            prefixes of all live programs, whichever is scarcer.
        horizon_s: Duration in which programs arrive.
        engines: Number of engines.
        costs: The speeds and limits of each engine.
    """
    if name in ("shared", "greedy"):
        half = load / 2
        mixed = draw_workload(
            "mixed",
            seed=seed,
            load=half,
            horizon_s=horizon_s,
            engines=engines,
            costs=costs,
        )
        greedy = draw_greedy(
            seed=seed,
            load=half * (GREEDY_FACTOR if name == "greedy" else 1.0),
            horizon_s=horizon_s,
            engines=engines,
            costs=costs,
        )
        return sorted([*mixed, *greedy], key=_arrival_s)
    shares = _SHARE_BY_KIND[name]
    rate = load * engines / _memory_factor(shares, costs)
    plans: list[ProgramPlan] = []
    for kind, share in shares.items():
        plans.extend(
            _draw_kind(
                kind,
                random=Random(f"{seed}/{name}/{kind}"),
                rate=rate * share,
                horizon_s=horizon_s,
                costs=costs,
            )
        )
    return sorted(plans, key=_arrival_s)


def draw_greedy(
    *,
    seed: int,
    load: float,
    horizon_s: float,
    engines: int,
    costs: EngineCosts,
) -> list[ProgramPlan]:
    """Generates quotations of one account at a separate load."""
    plans = _draw_kind(
        "quotation",
        random=Random(f"{seed}/greedy"),
        rate=load * engines,
        horizon_s=horizon_s,
        costs=costs,
    )
    return [
        replace(
            plan,
            account=GREEDY,
            kind="greedy",
            program=ProgramId(f"g-{plan.program}"),
        )
        for plan in plans
    ]


def _arrival_s(plan: ProgramPlan) -> float:
    return plan.arrival_s


def _memory_factor(shares: dict[str, float], costs: EngineCosts) -> float:
    """Returns the ratio of cache memory demand to time demand, at least 1."""
    token_s = 0.0
    for kind, share in shares.items():
        held = _mean_cost(kind, kv_token_s, costs)
        token_s += share * held / _mean_cost(kind, engine_time_s, costs)
    return max(token_s / costs.kv_tokens, 1.0)


def _mean_cost(kind: str, cost_of: CostFunction, costs: EngineCosts) -> float:
    sampler, account = _SAMPLER_BY_KIND[kind]
    random = Random(f"sample/{kind}")
    plans = [
        sampler(random, ProgramId(""), account, 0.0)
        for _ in range(MEAN_SAMPLE_SIZE)
    ]
    return sum(cost_of(plan, costs) for plan in plans) / MEAN_SAMPLE_SIZE


def _draw_kind(
    kind: str,
    *,
    random: Random,
    rate: float,
    horizon_s: float,
    costs: EngineCosts,
) -> list[ProgramPlan]:
    """Generates bursts of programs of one kind.

    Args:
        kind: The kind of program.
        random: Source of all random values.
        rate: Offered load, in engine seconds per second.
        horizon_s: Duration in which programs arrive.
        costs: The speeds and limits of each engine.
    """
    sampler, account = _SAMPLER_BY_KIND[kind]
    mean_s = _mean_cost(kind, engine_time_s, costs)
    mean_burst_size = MEAN_BURST_SIZE if kind == "pole_run" else 1.0
    burst_rate = rate / mean_s / mean_burst_size
    plans: list[ProgramPlan] = []
    at = random.expovariate(burst_rate) if burst_rate else horizon_s
    while at < horizon_s:
        size = 1
        while (
            mean_burst_size > 1.0 and random.random() > 1.0 / mean_burst_size
        ):
            size += 1
        for _ in range(size):
            program = ProgramId(f"{kind}-{len(plans)}")
            arrival = at + random.uniform(0.0, 0.5)
            plans.append(sampler(random, program, account, arrival))
        at += random.expovariate(burst_rate)
    return plans
