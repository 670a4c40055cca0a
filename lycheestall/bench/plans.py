"""Plans of simulated programs, and the resources they need."""

from __future__ import annotations

from dataclasses import dataclass

from ..engine_model import EngineCosts
from ..ids import AccountId, ProgramId

__all__ = [
    "ProgramPlan",
    "TurnPlan",
    "lower_bound_s",
    "kv_token_s",
    "prefix_tokens",
    "engine_time_s",
]


@dataclass(frozen=True, slots=True)
class TurnPlan:
    """One call of a program.

    Attributes:
        new_tokens: Prompt tokens added since the last turn's answer.
        output_tokens: Length of the answer in tokens.
        pause_s: Tool or thinking time after the answer.
        children: Sub-agents that run concurrently after the answer; the
            next turn waits for all of them.
    """

    new_tokens: int
    output_tokens: int
    pause_s: float
    children: tuple[ProgramPlan, ...] = ()


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """The plan of one program.

    Attributes:
        program: Its id.
        account: The account that owns it.
        kind: The kind of program, as in the workload definitions.
        arrival_s: When it starts; unused for sub-agents.
        turns: Its turns, in order.
        shared_tokens: Prompt tokens shared with the parent program.
        deadline_s: Time limit of one call.
    """

    program: ProgramId
    account: AccountId
    kind: str
    arrival_s: float
    turns: tuple[TurnPlan, ...]
    shared_tokens: int = 0
    deadline_s: float = 120.0


def prefix_tokens(plan: ProgramPlan, turn: int) -> int:
    """Returns the tokens of the turns before ``turn``, as may be cached."""
    earlier_turns = plan.turns[:turn]
    return sum(
        earlier.new_tokens + earlier.output_tokens for earlier in earlier_turns
    )


def lower_bound_s(plan: ProgramPlan, costs: EngineCosts) -> float:
    """Returns the critical path in seconds: idle engine, warm cache."""
    total = 0.0
    for turn in plan.turns:
        total += turn.new_tokens / costs.prefill_tokens_per_s
        total += turn.output_tokens * costs.decode_step_s(1)
        child_bounds_s = [
            lower_bound_s(child, costs) for child in turn.children
        ]
        total += max([turn.pause_s, *child_bounds_s])
    return total - _last_pause_s(plan)


def engine_time_s(plan: ProgramPlan, costs: EngineCosts) -> float:
    """Returns engine seconds at a full batch with all prefixes cached."""
    token_s = costs.decode_step_s(costs.batch_limit) / costs.batch_limit
    total = 0.0
    for turn in plan.turns:
        total += turn.new_tokens / costs.prefill_tokens_per_s
        total += turn.output_tokens * token_s
        total += sum(engine_time_s(child, costs) for child in turn.children)
    return total


def _last_pause_s(plan: ProgramPlan) -> float:
    last = plan.turns[-1]
    return last.pause_s if not last.children else 0.0


def kv_token_s(plan: ProgramPlan, costs: EngineCosts) -> float:
    """Returns the KV cache use on an idle engine, in token seconds.

    A program's prefix stays in the cache through its pauses until its
    last answer.
    """
    total = 0.0
    for index, turn in enumerate(plan.turns):
        tokens = plan.shared_tokens + prefix_tokens(plan, index + 1)
        held_s = turn.new_tokens / costs.prefill_tokens_per_s
        held_s += turn.output_tokens * costs.decode_step_s(1)
        if index + 1 < len(plan.turns):
            child_bounds_s = [lower_bound_s(c, costs) for c in turn.children]
            held_s += max([turn.pause_s, *child_bounds_s])
        total += tokens * held_s
        total += sum(kv_token_s(c, costs) for c in turn.children)
    return total
