"""The owner's live state of one top-level program and its sub-agents."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from .answers import AnswerKey, AnswerStore
from .budget import Budget
from .call_order import CallOrder, KeyedCall, RunningCall
from .call_summary import CallSummary
from .clock import Clock
from .history import ChainPoint, History
from .ids import (
    AccountId,
    CallNumber,
    IdempotencyKey,
    Offset,
    PartitionId,
    ProgramId,
    RequestId,
    TargetId,
)
from .outcomes import Completed, Refused
from .receipts import Receipt
from .sequencer import Sequencer

__all__ = ["Agent", "Program"]

STATE_FORMAT = 1
MAX_RECENT_CALLS = 64
NO_TARGET = TargetId("")
NO_REQUEST = RequestId("")


@dataclass(slots=True)
class Agent:
    """A program path: the top-level program or one of its sub-agents.

    Attributes:
        order: Releases its calls in order.
        history: The hash chain over its messages.
        parameters_digest: Digest of its newest request without the
            messages and token limit, which covers for example the tools;
            empty if unknown.
    """

    order: CallOrder
    history: History
    parameters_digest: bytes = b""


@dataclass(slots=True)
class Program:
    """A top-level program that this VM owns.

    Attributes:
        account: The program's client account.
        root: The top-level program's id.
        name: The program's ledger id.
        program_class: Its class, for rules.
        partition: The partition that it belongs to.
        opened_ms: When it was opened, milliseconds since 1970.
        budget: What it may spend.
        clock: Monotonic time.
        gap_hold_s: How long to wait for a missing call number, in
            seconds.
        history_known: Whether its complete history is known here; if
            not, a sub-agent seen for the first time may have made calls
            before.
        recorded: Whether the log has its opening.
        turns: Number of chat calls dispatched.
        ended: Why it ended; empty while it is open.
        taken_over_s: When it was taken over from an owner that failed,
            in monotonic seconds; None if it was not.
        active_at: When it was last active, in monotonic seconds.
        agent_by_id: Its program paths.
        run_by_key: Its calls that are held or running.
        action_by_key: Its non-idempotent calls until their outcome is
            in the log.
        recent_calls: Summaries of the calls that ended last.
    """

    account: AccountId
    root: ProgramId
    name: ProgramId
    program_class: str
    partition: PartitionId
    opened_ms: int
    budget: Budget
    clock: Clock
    gap_hold_s: float
    history_known: bool = True
    recorded: bool = False
    turns: int = 0
    ended: str = ""
    active_at: float = 0.0
    taken_over_s: float | None = None
    agent_by_id: dict[ProgramId, Agent] = field(default_factory=dict)
    run_by_key: dict[AnswerKey, RunningCall] = field(default_factory=dict)
    action_by_key: dict[IdempotencyKey, KeyedCall] = field(
        default_factory=dict
    )
    recent_calls: deque[CallSummary] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_CALLS)
    )

    def agent(self, program: ProgramId) -> Agent:
        """Returns a program path's state, creating it if necessary."""
        agent = self.agent_by_id.get(program)
        if agent is None:
            sequencer = Sequencer(self.gap_hold_s, exact=self.history_known)
            agent = self._add(program, sequencer)
        return agent

    def touch(self) -> None:
        """Marks the program as active now."""
        self.active_at = self.clock.seconds()

    def stop_calls(self, refused: Refused) -> None:
        """Ends all calls immediately.

        Args:
            refused: The outcome of calls that no target has.
        """
        for run in list(self.run_by_key.values()):
            run.stop(refused)

    def blocks_handover(self) -> bool:
        """Returns whether a record of a call is not read back yet."""
        runs = {*self.run_by_key.values(), *self.action_by_key.values()}
        return any(run.blocks_handover() for run in runs)

    def dump(self, answers: AnswerStore) -> list[object]:
        """Returns the live state for a handover.

        Running calls continue on this VM. Their reservations count as
        spent, and later calls may start from their pending answers. The
        newest answer is included in case the caller did not receive it.

        Args:
            answers: The pending and stored answers.
        """
        agents: list[object] = []
        for program, agent in self.agent_by_id.items():
            sequencer = agent.order.sequencer
            key = self._key(program, sequencer.newest_accepted)
            answer = answers.find(key)
            unanswered = answer is not None and not isinstance(
                answer.outcome, Completed
            )
            agents.append(
                [
                    program,
                    sequencer.dump(repeatable=unanswered),
                    self._points_with_pending(program, agent),
                    answers.export(key),
                ]
            )
        return [
            STATE_FORMAT,
            self.account,
            self.root,
            self.name,
            self.program_class,
            self.opened_ms,
            self.budget.dump(),
            self.history_known,
            self.recorded,
            self.turns,
            agents,
        ]

    @classmethod
    def restored(
        cls,
        state: Any,
        *,
        partition: PartitionId,
        clock: Clock,
        gap_hold_s: float,
        answers: AnswerStore,
    ) -> Program:
        """Returns a program with the state that ``dump`` returned.

        Args:
            state: The live state.
            partition: The partition that the program belongs to.
            clock: Monotonic time.
            gap_hold_s: How long to wait for a missing call number, in
                seconds.
            answers: Where the newest answers are stored.

        Raises:
            ValueError: The state has another format.
        """
        if state[0] != STATE_FORMAT:
            raise ValueError(f"unsupported program state format {state[0]}")
        _, account, root, name, program_class, opened_ms, *rest = state
        budget, history_known, recorded, turns, agents = rest
        program = cls(
            account=account,
            root=root,
            name=name,
            program_class=program_class,
            partition=partition,
            opened_ms=opened_ms,
            budget=Budget.restored(budget),
            clock=clock,
            gap_hold_s=gap_hold_s,
            history_known=history_known,
            recorded=recorded,
            turns=turns,
            active_at=clock.seconds(),
        )
        for path, order, points, answer in agents:
            sequencer = Sequencer.restored(order, gap_hold_s)
            program._add(path, sequencer).history.load(points)
            if answer is not None:
                key = program._key(path, sequencer.newest_accepted)
                answers.restore(key, answer)
        return program

    def receipt(
        self,
        program: ProgramId,
        *,
        epoch: Offset,
        point: ChainPoint | None = None,
        target: TargetId = NO_TARGET,
        request: RequestId = NO_REQUEST,
    ) -> Receipt:
        """Returns a receipt for the state of a program path.

        Args:
            program: The program path.
            epoch: The offset of the owner's partition claim.
            point: The history point to prove; the newest by default.
            target: The engine whose answer completes the point.
            request: The id of the request to that engine.
        """
        agent = self.agent(program)
        return Receipt(
            account=self.account,
            program=program,
            number=agent.order.sequencer.newest_accepted,
            turn=self.turns,
            point=point or agent.history.newest,
            spend=self.budget.committed,
            epoch=epoch,
            target=target,
            request=request,
        )

    def _key(self, program: ProgramId, number: int) -> AnswerKey:
        return AnswerKey(self.account, program, CallNumber(number))

    def _points_with_pending(self, program: ProgramId, agent: Agent) -> object:
        history = History(self.account, program)
        history.load(agent.history.dump())
        for key, run in self.run_by_key.items():
            point = run.pending_point()
            if key.program == program and point is not None:
                history.add(point)
        return history.dump()

    def _add(self, program: ProgramId, sequencer: Sequencer) -> Agent:
        order = CallOrder(sequencer, self.clock)
        agent = Agent(order, History(self.account, program))
        self.agent_by_id[program] = agent
        return agent
