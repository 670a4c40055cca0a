"""Workloads of the policy bench: programs with their turns, in advance.

A workload is drawn once for a seed; every policy runs the same programs.
Lengths are in tokens, times in seconds.
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
    memory_token_s,
    work_s,
)

__all__ = ["WORKLOAD_NAMES", "draw_workload"]


Drawer = Callable[[Random, ProgramId, AccountId, float], ProgramPlan]
Need = Callable[[ProgramPlan, EngineCosts], float]


def _pole_run(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns: list[TurnPlan] = []
    count = random.randint(3, 8)
    burst_at = random.randrange(count) if random.random() < 0.3 else -1
    for index in range(count):
        first = random.randint(800, 1600)
        new = first if index == 0 else random.randint(80, 400)
        children: tuple[ProgramPlan, ...] = ()
        if index == burst_at:
            children = _checks(random, program, account, first)
        output = random.randint(40, 160)
        pause_s = random.uniform(0.3, 3.0)
        turns.append(TurnPlan(new, output, pause_s, children))
    return ProgramPlan(program, account, "pole_run", at, tuple(turns))


def _checks(
    random: Random, parent: ProgramId, account: AccountId, shared: int
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
            ProgramPlan(child, account, "check", 0.0, turns, shared // 2)
        )
    return tuple(children)


def _quotation(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns: list[TurnPlan] = []
    for index in range(random.randint(4, 9)):
        first = random.randint(2000, 4000)
        new = first if index == 0 else random.randint(200, 700)
        output = random.randint(120, 400)
        turns.append(TurnPlan(new, output, random.uniform(1.0, 6.0)))
    return ProgramPlan(program, account, "quotation", at, tuple(turns))


def _voicing(
    random: Random, program: ProgramId, account: AccountId, at: float
) -> ProgramPlan:
    turns: list[TurnPlan] = []
    for index in range(random.randint(8, 16)):
        first = random.randint(4000, 8000)
        new = first if index == 0 else random.randint(300, 1200)
        output = random.randint(80, 250)
        turns.append(TurnPlan(new, output, random.uniform(5.0, 30.0)))
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

_DRAWER_BY_KIND: dict[str, tuple[Drawer, AccountId]] = {
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
MEAN_SAMPLE = 200
BURST_MEAN = 4.0
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
    """Draws the programs of one run, in order of arrival.

    Args:
        name: One of ``WORKLOAD_NAMES``. ``shared`` is the mixed load
            at half of ``load`` beside an account that offers quotations
            at the other half; in ``greedy`` that account offers
            ``GREEDY_FACTOR`` times as much.
        seed: Decides everything drawn.
        load: Offered work as a share of what the engines can do: of
            their time at full batches, or of the memory that keeps every
            live program's prefix, whichever is scarcer.
        horizon_s: Time in which programs arrive.
        engines: How many engines.
        costs: What each engine can do.
    """
    if name in ("shared", "greedy"):
        half = load / 2
        fair = draw_workload(
            "mixed",
            seed=seed,
            load=half,
            horizon_s=horizon_s,
            engines=engines,
            costs=costs,
        )
        extra = draw_greedy(
            seed=seed,
            load=half * (GREEDY_FACTOR if name == "greedy" else 1.0),
            horizon_s=horizon_s,
            engines=engines,
            costs=costs,
        )
        return sorted([*fair, *extra], key=_arrival)
    shares = _SHARE_BY_KIND[name]
    compute = load * engines / _memory_factor(shares, costs)
    plans: list[ProgramPlan] = []
    for kind, share in shares.items():
        plans.extend(
            _draw_kind(
                kind,
                random=Random(f"{seed}/{name}/{kind}"),
                rate=compute * share,
                horizon_s=horizon_s,
                costs=costs,
            )
        )
    return sorted(plans, key=_arrival)


def draw_greedy(
    *,
    seed: int,
    load: float,
    horizon_s: float,
    engines: int,
    costs: EngineCosts,
) -> list[ProgramPlan]:
    """Draws one account's quotations at a load of their own."""
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


def _arrival(plan: ProgramPlan) -> float:
    return plan.arrival_s


def _memory_factor(shares: dict[str, float], costs: EngineCosts) -> float:
    """Returns by how much memory is scarcer than time, at least 1."""
    token_s = 0.0
    for kind, share in shares.items():
        held = _mean(kind, memory_token_s, costs)
        token_s += share * held / _mean(kind, work_s, costs)
    return max(token_s / costs.kv_tokens, 1.0)


def _mean(kind: str, need: Need, costs: EngineCosts) -> float:
    drawer, account = _DRAWER_BY_KIND[kind]
    sample = Random(f"sample/{kind}")
    plans = [
        drawer(sample, ProgramId(""), account, 0.0) for _ in range(MEAN_SAMPLE)
    ]
    return sum(need(plan, costs) for plan in plans) / MEAN_SAMPLE


def _draw_kind(
    kind: str,
    *,
    random: Random,
    rate: float,
    horizon_s: float,
    costs: EngineCosts,
) -> list[ProgramPlan]:
    """Draws bursts whose work arrives at ``rate`` engine seconds a second."""
    drawer, account = _DRAWER_BY_KIND[kind]
    mean_s = _mean(kind, work_s, costs)
    burst_mean = BURST_MEAN if kind == "pole_run" else 1.0
    burst_rate = rate / mean_s / burst_mean
    plans: list[ProgramPlan] = []
    at = random.expovariate(burst_rate) if burst_rate else horizon_s
    while at < horizon_s:
        size = 1
        while burst_mean > 1.0 and random.random() > 1.0 / burst_mean:
            size += 1
        for _ in range(size):
            program = ProgramId(f"{kind}-{len(plans)}")
            arrival = at + random.uniform(0.0, 0.5)
            plans.append(drawer(random, program, account, arrival))
        at += random.expovariate(burst_rate)
    return plans
