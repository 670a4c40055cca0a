"""The workloads of the load generator, one function each."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.task import deferLater

from ._load_program import ProgramCaller
from ._load_records import CallEnd, CallRecord

__all__ = [
    "WorkloadContext",
    "WorkloadScale",
    "WORKLOADS",
    "ProgramFailedError",
]


class ProgramFailedError(Exception):
    """A call failed for good, so its program cannot continue."""


@dataclass(frozen=True, slots=True)
class WorkloadScale:
    """The size of a workload's programs.

    Attributes:
        pause_s: Maximum pause between two turns, in seconds.
        answer_tokens: Maximum number of tokens in an answer.
        prefix_words: Words of the opening prompt.
        turns: Number of turns of a ``voicing`` program after the first.
    """

    pause_s: float = 0.3
    answer_tokens: int = 32
    prefix_words: int = 200
    turns: int = 6


@dataclass(frozen=True, slots=True)
class WorkloadContext:
    """Runs the steps of one program of a workload.

    Attributes:
        caller: Makes the program's calls.
        sub_agent_caller: Returns the caller of the named sub-agent.
        random: The program's random number generator.
        scale: The size of the program.
        model: The model of its chat calls.
    """

    caller: ProgramCaller
    sub_agent_caller: Callable[[str], ProgramCaller]
    random: Random
    scale: WorkloadScale
    model: str

    async def chat(
        self, prompt: str, caller: ProgramCaller | None = None
    ) -> CallRecord:
        """Makes a chat call and raises ``ProgramFailedError`` if it fails."""
        caller = caller or self.caller
        record = await caller.chat(
            prompt,
            model=self.model,
            max_tokens=self.scale.answer_tokens,
            streamed=self.random.random() < 0.7,
        )
        if record.end is not CallEnd.COMPLETED:
            raise ProgramFailedError(f"chat: {record.reason}")
        return record

    async def call_application(
        self, group: str, operation: str, label: str
    ) -> CallRecord:
        """Makes a non-idempotent call with its own idempotency key.

        An unknown outcome doesn't fail the program: it is recorded and
        left to be resolved outside the program.
        """
        key = f"{self.caller.program}:{label}"
        body = f'{{"what": "{label}"}}'.encode()
        record = await self.caller.call_application(
            group, operation, body, key
        )
        if record.end is CallEnd.REFUSED:
            raise ProgramFailedError(f"{operation}: {record.reason}")
        return record

    async def call_tool(self, label: str) -> CallRecord:
        """Makes an idempotent call to a tool service."""
        body = f'{{"what": "{label}"}}'.encode()
        return await self.caller.call_application(
            "survey", "POST /check", body, ""
        )

    def pause(self) -> Deferred[None]:
        """Waits for a random time, as between two turns."""
        delay_s = self.random.uniform(0.0, self.scale.pause_s)
        clock = self.caller.client.clock
        return deferLater(clock, delay_s, lambda: None)

    def opening_prompt(self, opening: str) -> str:
        """Returns a long prompt that is unique to the program."""
        words = [opening, self.caller.program]
        pool = ("pass", "marker", "bearing", "alloy", "partial", "rim")
        for _ in range(self.scale.prefix_words):
            words.append(self.random.choice(pool))
        return " ".join(words)


async def _pole_run(context: WorkloadContext) -> None:
    """Makes chat, tool and order calls, and a parallel sub-agent call."""
    await context.chat(context.opening_prompt("plan the pole run"))
    await context.call_tool("slope")
    await context.pause()
    sub_agent = context.sub_agent_caller("notes")
    sub_agent_call = ensureDeferred(
        context.chat("check the survey notes", sub_agent)
    )
    main_call = ensureDeferred(context.chat("explain the marker spacing"))
    await gatherResults([sub_agent_call, main_call], consumeErrors=True)
    await context.call_application("poles", "POST /placements", "placement")
    await context.pause()
    await context.chat("the third marker leans, what now")
    await context.call_application(
        "poles", "POST /orders", "replacement poles"
    )
    await context.chat("close the run")


async def _quotation(context: WorkloadContext) -> None:
    """Alternates chat calls with two non-idempotent calls."""
    await context.chat(context.opening_prompt("draft a quotation for a gong"))
    await context.pause()
    await context.chat("use less tin and quote again")
    await context.call_application("foundry", "POST /metal-orders", "bronze")
    await context.chat("write the covering letter")
    await context.call_application("foundry", "POST /invoices", "invoice")


async def _voicing(context: WorkloadContext) -> None:
    """Makes many chat calls on one large, growing prefix."""
    await context.chat(context.opening_prompt("voice the chime"))
    for turn in range(context.scale.turns):
        await context.pause()
        await context.chat(f"strike {turn}: the second partial is sharp")


Workload = Callable[[WorkloadContext], Awaitable[None]]

WORKLOADS: dict[str, Workload] = {
    "pole_run": _pole_run,
    "quotation": _quotation,
    "voicing": _voicing,
}
