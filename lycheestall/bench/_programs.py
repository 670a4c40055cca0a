"""The callers of the policy bench: programs and what became of them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from ..dispatch import ChatJob
from ..engine_model import ModelRequest
from ..ids import ModelName, ProgramId, RequestId, root_program
from ..outcomes import Failed, Refused
from ..targets import EngineDone
from ._timeline import Timeline
from .plans import ProgramPlan, prefix_before

__all__ = ["BenchProgram", "BenchTally", "JobSink", "ProgramRecord"]

RETRY_AFTER_FAILURE_S = 1.0
PATIENCE_S = 300.0


@dataclass(frozen=True, slots=True)
class ProgramRecord:
    """One top-level program's end.

    Attributes:
        plan: The program.
        ended_s: When its last answer came, or when it gave up.
        completed: Whether it got all its answers.
    """

    plan: ProgramPlan
    ended_s: float
    completed: bool

    @property
    def latency_s(self) -> float:
        """Time from arrival to the last answer."""
        return self.ended_s - self.plan.arrival_s


@dataclass(slots=True)
class BenchTally:
    """Counts of one run.

    Attributes:
        records: One for each top-level program that ended.
        calls: Calls answered whole.
        sent: Dispatches to engines.
        refused: Refusals that callers got.
        failed: Failures that callers got.
        reusable_tokens: Prompt tokens that had been computed before.
        wasted_tokens: Of these, tokens computed again.
    """

    records: list[ProgramRecord] = field(default_factory=list)
    calls: int = 0
    sent: int = 0
    refused: int = 0
    failed: int = 0
    reusable_tokens: int = 0
    wasted_tokens: int = 0

    @property
    def ended(self) -> int:
        """Top-level programs that have ended."""
        return len(self.records)


class JobSink(ABC):
    """Where programs send their calls."""

    @abstractmethod
    def submit_job(self, program: BenchProgram, job: ChatJob) -> None:
        """Takes a call."""

    @abstractmethod
    def program_paused(self, root: ProgramId) -> None:
        """Hears that a program waits for a tool."""

    @abstractmethod
    def program_ended(self, root: ProgramId) -> None:
        """Hears that a program ended."""


class BenchProgram:
    """Makes one program's calls in turn."""

    def __init__(
        self,
        plan: ProgramPlan,
        sink: JobSink,
        timeline: Timeline,
        tally: BenchTally,
        *,
        parent: BenchProgram | None = None,
    ) -> None:
        """Prepares a program.

        Args:
            plan: Its turns.
            sink: Where its calls go.
            timeline: When things happen.
            tally: Where ends are counted.
            parent: The program that spawned it, None at the top.
        """
        self.plan = plan
        self._sink = sink
        self._timeline = timeline
        self._tally = tally
        self._parent = parent
        self._turn = 0
        self._children_left = 0
        self._asked_s = 0.0
        self._ended = False

    def start(self) -> None:
        """Makes the first call."""
        self._ask_first()

    def give_up(self) -> None:
        """Counts a program that has not ended as not completed."""
        if not self._ended:
            self._end(completed=False)

    def model_request(self, request: RequestId, priority: int) -> ModelRequest:
        """Returns the engine's view of the current call."""
        turn = self.plan.turns[self._turn]
        parent = self._parent
        return ModelRequest(
            request=request,
            program=self.plan.program,
            prompt_tokens=self._prompt_tokens(),
            output_tokens=turn.output_tokens,
            priority=priority,
            parent=parent.plan.program if parent else None,
            parent_tokens=self.plan.shared_tokens,
        )

    def answered(self, result: EngineDone) -> None:
        """The current call's answer is whole."""
        reusable = prefix_before(self.plan, self._turn)
        if reusable:
            reusable += self.plan.shared_tokens
        self._tally.calls += 1
        self._tally.reusable_tokens += reusable
        missed = reusable - result.cached_tokens
        self._tally.wasted_tokens += max(missed, 0)
        turn = self.plan.turns[self._turn]
        self._turn += 1
        if turn.children:
            self._spawn(turn.children)
            return
        if self._turn >= len(self.plan.turns):
            self._end(completed=True)
            return
        self._sink.program_paused(root_program(self.plan.program))
        self._timeline.after(turn.pause_s, self._ask_first)

    def refused(self, outcome: Refused) -> None:
        """The call was not run; asks again when told to."""
        self._tally.refused += 1
        self._ask_again(outcome.retry_after_s)

    def failed(self, outcome: Failed) -> None:
        """The call broke; model calls can be asked again."""
        self._tally.failed += 1
        self._ask_again(outcome.retry_after_s or RETRY_AFTER_FAILURE_S)

    def _ask_again(self, delay_s: float) -> None:
        waited_s = self._timeline.now + delay_s - self._asked_s
        if delay_s <= 0 or waited_s > PATIENCE_S:
            self._end(completed=False)
            return
        self._timeline.after(delay_s, self._ask)

    def _ask_first(self) -> None:
        self._asked_s = self._timeline.now
        self._ask()

    def _ask(self) -> None:
        plan = self.plan
        turn = plan.turns[self._turn]
        job = ChatJob(
            program=plan.program,
            root=root_program(plan.program),
            account=plan.account,
            program_class=plan.kind,
            number=self._turn + 1,
            model=ModelName(""),
            body=b"",
            prompt_tokens=self._prompt_tokens(),
            max_tokens=max(2 * turn.output_tokens, 256),
            fingerprint=f"{plan.program}#{self._turn}".encode(),
            deadline_s=self._timeline.now + plan.deadline_s,
            epoch=1,
            may_send=_nothing,
            may_repeat=_always,
        )
        self._sink.submit_job(self, job)

    def _prompt_tokens(self) -> int:
        before = prefix_before(self.plan, self._turn)
        new = self.plan.turns[self._turn].new_tokens
        return self.plan.shared_tokens + before + new

    def _spawn(self, children: tuple[ProgramPlan, ...]) -> None:
        self._children_left = len(children)
        for child in children:
            BenchProgram(
                child, self._sink, self._timeline, self._tally, parent=self
            ).start()

    def _child_ended(self) -> None:
        self._children_left -= 1
        if self._children_left:
            return
        if self._turn >= len(self.plan.turns):
            self._end(completed=True)
            return
        self._ask_first()

    def _end(self, *, completed: bool) -> None:
        self._ended = True
        if self._parent is not None:
            self._parent._child_ended()
            return
        now = self._timeline.now
        self._tally.records.append(ProgramRecord(self.plan, now, completed))
        self._sink.program_ended(self.plan.program)


def _nothing() -> None:
    return None


def _always() -> bool:
    return True
