"""The simulated programs of the policy bench and their results."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from ..dispatch import ChatJob
from ..engine_model import ModelRequest
from ..ids import ModelName, ProgramId, RequestId, root_program
from ..outcomes import Failed, Refused
from ..targets import EngineDone
from ._clock import SimulationClock
from .plans import ProgramPlan, prefix_tokens

__all__ = ["BenchProgram", "BenchTally", "JobHandler", "ProgramResult"]

FAILURE_RETRY_S = 1.0
MAX_RETRY_TIME_S = 300.0


@dataclass(frozen=True, slots=True)
class ProgramResult:
    """The result of one top-level program.

    Attributes:
        plan: The program's plan.
        ended_s: When it got its last answer or was abandoned.
        completed: Whether all its calls were answered.
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
    """Counters and results of one run.

    Attributes:
        records: One result for each top-level program that ended.
        calls: Number of completed calls.
        sent: Number of dispatches to engines.
        refused: Number of refusals returned to programs.
        failed: Number of failures returned to programs.
        reusable_tokens: Prompt tokens that were computed before.
        wasted_tokens: Reusable tokens that were computed again.
    """

    records: list[ProgramResult] = field(default_factory=list)
    calls: int = 0
    sent: int = 0
    refused: int = 0
    failed: int = 0
    reusable_tokens: int = 0
    wasted_tokens: int = 0

    @property
    def ended(self) -> int:
        """Number of top-level programs that have ended."""
        return len(self.records)


class JobHandler(ABC):
    """Receives the calls and state changes of programs."""

    @abstractmethod
    def submit_job(self, program: BenchProgram, job: ChatJob) -> None:
        """Submits a call."""

    @abstractmethod
    def program_paused(self, root: ProgramId) -> None:
        """Called when a program starts to wait for a tool."""

    @abstractmethod
    def program_ended(self, root: ProgramId) -> None:
        """Called when a program has ended."""


class BenchProgram:
    """Makes the calls of one program sequentially."""

    def __init__(
        self,
        plan: ProgramPlan,
        handler: JobHandler,
        clock: SimulationClock,
        tally: BenchTally,
        *,
        parent: BenchProgram | None = None,
    ) -> None:
        """Initializes a program.

        Args:
            plan: The program's plan.
            handler: Receives its calls.
            clock: The simulation clock.
            tally: The counters of the run.
            parent: The parent program, or None for a top-level program.
        """
        self.plan = plan
        self._handler = handler
        self._clock = clock
        self._tally = tally
        self._parent = parent
        self._turn = 0
        self._running_children = 0
        self._turn_started_s = 0.0
        self._ended = False

    def start(self) -> None:
        """Starts the first turn."""
        self._start_turn()

    def abandon(self) -> None:
        """Ends the program as not completed, unless it has ended."""
        if not self._ended:
            self._end(completed=False)

    def model_request(self, request: RequestId, priority: int) -> ModelRequest:
        """Returns the current call as a request to an engine model."""
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

    def on_completed(self, result: EngineDone) -> None:
        """Counts the completed call and continues with the next turn."""
        reusable = prefix_tokens(self.plan, self._turn)
        if reusable:
            reusable += self.plan.shared_tokens
        self._tally.calls += 1
        self._tally.reusable_tokens += reusable
        uncached = reusable - result.cached_tokens
        self._tally.wasted_tokens += max(uncached, 0)
        turn = self.plan.turns[self._turn]
        self._turn += 1
        if turn.children:
            self._start_children(turn.children)
            return
        if self._turn >= len(self.plan.turns):
            self._end(completed=True)
            return
        self._handler.program_paused(root_program(self.plan.program))
        self._clock.call_later(turn.pause_s, self._start_turn)

    def on_refused(self, outcome: Refused) -> None:
        """Retries the call if the refusal has a retry delay."""
        self._tally.refused += 1
        self._retry(outcome.retry_after_s)

    def on_failed(self, outcome: Failed) -> None:
        """Retries the failed call; repeating a model call is safe."""
        self._tally.failed += 1
        self._retry(outcome.retry_after_s or FAILURE_RETRY_S)

    def _retry(self, delay_s: float) -> None:
        waited_s = self._clock.now + delay_s - self._turn_started_s
        if delay_s <= 0 or waited_s > MAX_RETRY_TIME_S:
            self._end(completed=False)
            return
        self._clock.call_later(delay_s, self._send_call)

    def _start_turn(self) -> None:
        self._turn_started_s = self._clock.now
        self._send_call()

    def _send_call(self) -> None:
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
            deadline_s=self._clock.now + plan.deadline_s,
            epoch=1,
            may_send=_allow_send,
            may_repeat=_allow_repeat,
        )
        self._handler.submit_job(self, job)

    def _prompt_tokens(self) -> int:
        before = prefix_tokens(self.plan, self._turn)
        new = self.plan.turns[self._turn].new_tokens
        return self.plan.shared_tokens + before + new

    def _start_children(self, children: tuple[ProgramPlan, ...]) -> None:
        self._running_children = len(children)
        for child in children:
            BenchProgram(
                child, self._handler, self._clock, self._tally, parent=self
            ).start()

    def _on_child_ended(self) -> None:
        self._running_children -= 1
        if self._running_children:
            return
        if self._turn >= len(self.plan.turns):
            self._end(completed=True)
            return
        self._start_turn()

    def _end(self, *, completed: bool) -> None:
        self._ended = True
        if self._parent is not None:
            self._parent._on_child_ended()
            return
        now = self._clock.now
        self._tally.records.append(ProgramResult(self.plan, now, completed))
        self._handler.program_ended(self.plan.program)


def _allow_send() -> None:
    return None


def _allow_repeat() -> bool:
    return True
