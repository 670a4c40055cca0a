"""One live top-level program with its sub-agents."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from .answers import AnswerKey, AnswerStore
from .budget import Budget
from .call_facts import CallFact
from .call_order import CallOrder, KeyedCall, RunningCall
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
KEPT_FACTS = 64
NO_TARGET = TargetId("")
NO_REQUEST = RequestId("")


@dataclass(slots=True)
class Agent:
    """A program path: the top-level program or one sub-agent.

    Attributes:
        order: The order of its calls.
        history: Its digest chain.
        frame: Digest of the parts of its newest request round the
            messages, such as tools; empty when unknown.
    """

    order: CallOrder
    history: History
    frame: bytes = b""


@dataclass(slots=True)
class Program:
    """What this VM knows of a program it owns.

    Attributes:
        account: Who pays.
        root: The top-level program's id.
        name: Its form in the log.
        program_class: Its class, for rules.
        partition: Where it belongs.
        opened_ms: When it was opened, milliseconds since 1970.
        budget: What it may spend.
        clock: Monotonic time.
        gap_hold_s: How long gaps in call numbers are waited out.
        proven: Whether its whole past is known here; if not, sub-agents
            that turn up may have a history.
        recorded: Whether the log knows that it is open.
        turns: Chat calls dispatched.
        ended: Why it ended, empty while open.
        lost_owner_s: When it came over from an owner that was lost, on
            the clock; None if it did not.
        active_at: When it was last heard of, monotonic seconds.
        agent_by_id: Its program paths.
        run_by_key: Its calls that are held or under way.
        action_by_key: Its non-idempotent calls until the log has their
            outcome.
        facts: Its newest ended calls.
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
    proven: bool = True
    recorded: bool = False
    turns: int = 0
    ended: str = ""
    active_at: float = 0.0
    lost_owner_s: float | None = None
    agent_by_id: dict[ProgramId, Agent] = field(default_factory=dict)
    run_by_key: dict[AnswerKey, RunningCall] = field(default_factory=dict)
    action_by_key: dict[IdempotencyKey, KeyedCall] = field(
        default_factory=dict
    )
    facts: deque[CallFact] = field(
        default_factory=lambda: deque(maxlen=KEPT_FACTS)
    )

    def agent(self, program: ProgramId) -> Agent:
        """Returns a program path's state, new if it turns up."""
        agent = self.agent_by_id.get(program)
        if agent is None:
            sequencer = Sequencer(self.gap_hold_s, exact=self.proven)
            agent = self._add(program, sequencer)
        return agent

    def touch(self) -> None:
        """Notes that the program was heard of."""
        self.active_at = self.clock.seconds()

    def stop_calls(self, refused: Refused) -> None:
        """Ends all calls at once.

        Args:
            refused: What callers are told of calls no target has.
        """
        for run in list(self.run_by_key.values()):
            run.stop(refused)

    def blocks_handover(self) -> bool:
        """Returns whether a record of a call is still to be read back."""
        runs = {*self.run_by_key.values(), *self.action_by_key.values()}
        return any(run.blocks_handover() for run in runs)

    def dump(self, answers: AnswerStore) -> list[object]:
        """Returns the live state for a handover.

        Calls under way go on here; their reservations count as spent
        and their answers are points that later calls may start from.
        The newest answer goes along, in case it did not arrive.

        Args:
            answers: Answers under way and kept.
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
                    self._points(program, agent),
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
            self.proven,
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
        """Returns a program from what ``dump`` made.

        Args:
            state: The live state.
            partition: Where the program belongs.
            clock: Monotonic time.
            gap_hold_s: How long gaps are waited out.
            answers: Takes the newest answers.

        Raises:
            ValueError: The state has another format.
        """
        if state[0] != STATE_FORMAT:
            raise ValueError(f"program state of format {state[0]}")
        _, account, root, name, program_class, opened_ms, *rest = state
        budget, proven, recorded, turns, agents = rest
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
            proven=proven,
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
        """Returns where a program path stands.

        Args:
            program: The program path.
            epoch: The owner's claim offset.
            point: The history point to prove, the newest by default.
            target: The engine whose answer will complete the point.
            request: That dispatch.
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

    def _points(self, program: ProgramId, agent: Agent) -> object:
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
