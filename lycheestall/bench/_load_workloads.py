"""The programs of both co-operatives, as a load generator runs them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.task import deferLater

from ._load_program import ProgramCaller
from ._load_records import CallEnd, CallRecord

__all__ = ["LoadStep", "Scale", "WORKLOADS", "ProgramFailedError"]


class ProgramFailedError(Exception):
    """A program cannot go on after a call that was given up."""


@dataclass(frozen=True, slots=True)
class Scale:
    """How large the programs are.

    Attributes:
        pause_s: The longest pause between two turns, in seconds.
        answer_tokens: The most tokens of an answer.
        prefix_words: Words of the instructions that open a history.
        turns: Turns of a long session.
    """

    pause_s: float = 0.3
    answer_tokens: int = 32
    prefix_words: int = 200
    turns: int = 6


@dataclass(frozen=True, slots=True)
class LoadStep:
    """What a workload's program needs to run.

    Attributes:
        caller: Makes its calls.
        spawn: Returns a caller for a sub-agent.
        random: The program's own draws.
        scale: How large it is.
        model: The model it asks.
    """

    caller: ProgramCaller
    spawn: Callable[[str], ProgramCaller]
    random: Random
    scale: Scale
    model: str

    async def ask(
        self, prompt: str, caller: ProgramCaller | None = None
    ) -> CallRecord:
        """Makes one chat call; the program fails with it."""
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

    async def act(self, group: str, operation: str, what: str) -> CallRecord:
        """Makes one non-idempotent call with a key of its own.

        An outcome that is unknown is noted and the program goes on, as
        a crew would that asks the office later.
        """
        key = f"{self.caller.program}:{what}"
        body = f'{{"what": "{what}"}}'.encode()
        record = await self.caller.act(group, operation, body, key)
        if record.end is CallEnd.REFUSED:
            raise ProgramFailedError(f"{operation}: {record.reason}")
        return record

    async def use_tool(self, what: str) -> CallRecord:
        """Makes one idempotent call of a tool service."""
        body = f'{{"what": "{what}"}}'.encode()
        return await self.caller.act("survey", "POST /check", body, "")

    def pause(self) -> Deferred[None]:
        """Waits as a program does between two turns."""
        delay_s = self.random.uniform(0.0, self.scale.pause_s)
        clock = self.caller.client.clock
        return deferLater(clock, delay_s, lambda: None)

    def instructions(self, opening: str) -> str:
        """Returns a long opening prompt that differs by program."""
        words = [opening, self.caller.program]
        pool = ("pass", "marker", "bearing", "alloy", "partial", "rim")
        for _ in range(self.scale.prefix_words):
            words.append(self.random.choice(pool))
        return " ".join(words)


async def _pole_run(step: LoadStep) -> None:
    """Plans a run, checks notes by a sub-agent, logs and orders."""
    await step.ask(step.instructions("plan the pole run"))
    await step.use_tool("slope")
    await step.pause()
    helper = step.spawn("notes")
    checking = ensureDeferred(step.ask("check the survey notes", helper))
    asking = ensureDeferred(step.ask("explain the marker spacing"))
    await gatherResults([checking, asking], consumeErrors=True)
    await step.act("poles", "POST /placements", "placement")
    await step.pause()
    await step.ask("the third marker leans, what now")
    await step.act("poles", "POST /orders", "replacement poles")
    await step.ask("close the run")


async def _quotation(step: LoadStep) -> None:
    """Drafts a quotation, orders metal and issues an invoice."""
    await step.ask(step.instructions("draft a quotation for a gong"))
    await step.pause()
    await step.ask("use less tin and quote again")
    await step.act("foundry", "POST /metal-orders", "bronze")
    await step.ask("write the covering letter")
    await step.act("foundry", "POST /invoices", "invoice")


async def _voicing(step: LoadStep) -> None:
    """Goes through a long session on one large, growing prefix."""
    await step.ask(step.instructions("voice the chime"))
    for turn in range(step.scale.turns):
        await step.pause()
        await step.ask(f"strike {turn}: the second partial is sharp")


Workload = Callable[[LoadStep], Awaitable[None]]

WORKLOADS: dict[str, Workload] = {
    "pole_run": _pole_run,
    "quotation": _quotation,
    "voicing": _voicing,
}
