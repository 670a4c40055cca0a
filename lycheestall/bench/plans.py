"""Programs of the policy bench, and what they need at the least."""

from __future__ import annotations

from dataclasses import dataclass

from ..engine_model import EngineCosts
from ..ids import AccountId, ProgramId

__all__ = [
    "ProgramPlan",
    "TurnPlan",
    "lower_bound_s",
    "memory_token_s",
    "prefix_before",
    "work_s",
]


@dataclass(frozen=True, slots=True)
class TurnPlan:
    """One call of a program.

    Attributes:
        new_tokens: Prompt tokens added since the last turn's answer.
        output_tokens: Length of the answer.
        pause_s: Tool or thinking time after the answer.
        children: Sub-agents that run side by side after the answer; the
            next turn waits for them.
    """

    new_tokens: int
    output_tokens: int
    pause_s: float
    children: tuple[ProgramPlan, ...] = ()


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """One program.

    Attributes:
        program: Its id.
        account: Who pays.
        kind: The sort of work, for the report.
        arrival_s: When it starts; for sub-agents unused.
        turns: Its calls, in order.
        shared_tokens: Prompt tokens shared with the parent program.
        deadline_s: How long a caller waits for one answer.
    """

    program: ProgramId
    account: AccountId
    kind: str
    arrival_s: float
    turns: tuple[TurnPlan, ...]
    shared_tokens: int = 0
    deadline_s: float = 120.0


def prefix_before(plan: ProgramPlan, turn: int) -> int:
    """Returns the tokens of all turns before one: what may be cached."""
    before = plan.turns[:turn]
    return sum(each.new_tokens + each.output_tokens for each in before)


def lower_bound_s(plan: ProgramPlan, costs: EngineCosts) -> float:
    """Returns the critical path on an idle engine with a warm cache."""
    total = 0.0
    for turn in plan.turns:
        total += turn.new_tokens / costs.prefill_tokens_per_s
        total += turn.output_tokens * costs.decode_step_s(1)
        branches = [lower_bound_s(child, costs) for child in turn.children]
        total += max([turn.pause_s, *branches])
    return total - _last_pause(plan)


def work_s(plan: ProgramPlan, costs: EngineCosts) -> float:
    """Returns engine time at a full batch, with every prefix cached."""
    token_s = costs.decode_step_s(costs.batch_limit) / costs.batch_limit
    total = 0.0
    for turn in plan.turns:
        total += turn.new_tokens / costs.prefill_tokens_per_s
        total += turn.output_tokens * token_s
        total += sum(work_s(child, costs) for child in turn.children)
    return total


def _last_pause(plan: ProgramPlan) -> float:
    last = plan.turns[-1]
    return last.pause_s if not last.children else 0.0


def memory_token_s(plan: ProgramPlan, costs: EngineCosts) -> float:
    """Returns the KV memory held, in token seconds, on an idle engine.

    A program's prefix stays in memory through its pauses until its last
    answer.
    """
    total = 0.0
    for index, turn in enumerate(plan.turns):
        tokens = plan.shared_tokens + prefix_before(plan, index + 1)
        held_s = turn.new_tokens / costs.prefill_tokens_per_s
        held_s += turn.output_tokens * costs.decode_step_s(1)
        if index + 1 < len(plan.turns):
            branches = [lower_bound_s(c, costs) for c in turn.children]
            held_s += max([turn.pause_s, *branches])
        total += tokens * held_s
        total += sum(memory_token_s(c, costs) for c in turn.children)
    return total
