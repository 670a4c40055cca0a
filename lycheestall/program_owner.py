"""Runs the programs of the partitions that this VM owns."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred

from .account_portions import AccountPortions
from .action_calls import ActionCalls
from .answers import AnswerKey, AnswerStore
from .application_picker import ApplicationPicker
from .call_order import EndedCallHandle
from .calls import Call, CallHandle, CallHandler, CallKind, CallSink
from .cell_view import CellView, PartitionWatcher
from .chat_calls import ChatCalls
from .clock import Clock, Timer
from .dispatch import ChatDispatcher
from .ids import Offset, PartitionId, ProgramId
from .ledger import Ledger
from .lifetimes import Lifetimes
from .logs import failure_logger
from .outcomes import Outcome, Reason, Refused, Step
from .owner_dependencies import OwnerDependencies
from .partitions import partition_of
from .program_control import ProgramControl
from .program_table import ProgramTable
from .receipts import ReceiptSigner
from .reservations import Reservations
from .rules.rule_set import RuleSet
from .settings import TuningSettings

__all__ = ["ProgramOwner"]

SWEEP_INTERVAL_S = 2.0
SWEEPS_PER_RETENTION_CHECK = 150
QUIESCE_CHECK_S = 0.02
MOVE_RETRY_S = 0.2
_CONTROL_KINDS = (CallKind.END, CallKind.CANCEL, CallKind.SHOW)


class ProgramOwner(CallHandler, PartitionWatcher):
    """Runs the calls of programs whose partitions this VM owns.

    Args:
        cell: The VM's view of its cell.
        ledger: Returns the folded state of programs.
        dispatcher: Dispatches chat calls to engines.
        applications: Picks a target for each action.
        rules: Returns the rules in force.
        clock: The node's clock.
        wall_ms: Returns wall-clock time, milliseconds since 1970.
        receipt_keys: Keys that sign receipts and ids, newest first.
        settings: Timeouts and sizes.
        partitions: Number of partitions; the same on all VMs.
    """

    def __init__(
        self,
        *,
        cell: CellView,
        ledger: Callable[[], Ledger],
        dispatcher: ChatDispatcher,
        applications: ApplicationPicker,
        rules: Callable[[], RuleSet],
        clock: Clock,
        wall_ms: Callable[[], int],
        receipt_keys: Sequence[bytes],
        settings: TuningSettings,
        partitions: int,
    ) -> None:
        self._dependencies = dependencies = OwnerDependencies(
            cell=cell,
            ledger=ledger,
            dispatcher=dispatcher,
            applications=applications,
            rules=rules,
            clock=clock,
            wall_ms=wall_ms,
            keys=tuple(receipt_keys),
            signer=ReceiptSigner(receipt_keys),
            settings=settings,
            answers=AnswerStore(
                retention_s=settings.answer_retention_s, clock=clock
            ),
            account_portions=AccountPortions(),
        )
        self._partitions = partitions
        reservations = Reservations(dependencies)
        self._table = table = ProgramTable(dependencies, reservations)
        self._lifetimes = lifetimes = Lifetimes(dependencies, table)
        self._chats = ChatCalls(dependencies, reservations, lifetimes)
        self._actions = ActionCalls(
            dependencies, reservations, table, lifetimes
        )
        self._control = ProgramControl(dependencies, table, lifetimes)
        self._quiescing: set[PartitionId] = set()
        self._sweeps = 0
        self._sweep_timer: Timer = clock.callLater(
            SWEEP_INTERVAL_S, self._sweep
        )

    def close(self) -> None:
        """Stops the periodic sweep."""
        if self._sweep_timer.active():
            self._sweep_timer.cancel()

    def programs(self) -> int:
        """Returns the number of live programs."""
        return sum(1 for _ in self._table)

    def is_live(self, name: ProgramId) -> bool:
        """Returns whether a top-level program is live here.

        Args:
            name: The program's ledger id.
        """
        return self._table.is_live(name)

    def in_flight(self) -> int:
        """Returns the number of calls that are held or running."""
        return sum(len(program.run_by_key) for program in self._table)

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Starts a call; refuses it if its partition is not owned."""
        if call.kind is CallKind.RESUME:
            return self._resume(call, sink)
        if not call.program:
            return _finish(
                sink, Refused(Step.PARSE, Reason.BAD_REQUEST, detail="program")
            )
        partition = partition_of(call.account, call.program, self._partitions)
        refused = self._refusal(partition)
        if refused is not None:
            return _finish(sink, refused)
        if call.kind in _CONTROL_KINDS and not self._table.may_exist(call):
            return _finish(sink, _unknown_program_refusal())
        program = self._table.get_or_open(call, partition)
        if isinstance(program, Refused):
            return self._answer_ended(call, program, sink)
        if call.kind is CallKind.CHAT:
            return self._chats.start(call, program, sink)
        if call.kind is CallKind.ACTION:
            return self._actions.start(call, program, sink)
        return self._control.start(call, program, sink)

    def partition_gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        """Takes over a partition's programs."""
        self._quiescing.discard(partition)
        self._table.take_over(
            partition, program_states, may_miss_programs=may_miss_programs
        )

    def partition_lost(self, partition: PartitionId) -> None:
        """Drops a partition's programs.

        Answers of calls at a target are still delivered to their callers.
        Waiting calls are refused, since this VM may not dispatch them
        any more.
        """
        self._quiescing.discard(partition)
        self._refuse_waiting_calls(partition)
        self._table.drop(partition)

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Stops dispatch and returns the partition's live state.

        Waiting calls are refused, and their router retries them at the
        next owner. Calls at a target run to their end here. The result
        is ready once the pending records of non-idempotent calls are
        read back.
        """
        self._quiescing.add(partition)
        self._refuse_waiting_calls(partition)
        state: Deferred[dict[str, bytes]] = Deferred()
        self._dump_when_recorded(partition, state)
        return state

    def _dump_when_recorded(
        self, partition: PartitionId, state: Deferred[dict[str, bytes]]
    ) -> None:
        if state.called:
            return
        programs = self._table.in_partition(partition)
        if any(program.blocks_handover() for program in programs):
            self._dependencies.clock.callLater(
                QUIESCE_CHECK_S, self._dump_when_recorded, partition, state
            )
            return
        state.callback(self._table.dump(partition))

    def _refuse_waiting_calls(self, partition: PartitionId) -> None:
        moving = _moving_refusal()
        for program in self._table.in_partition(partition):
            for run in list(program.run_by_key.values()):
                if not run.may_have_run and not run.blocks_handover():
                    run.stop(moving)

    def _refusal(self, partition: PartitionId) -> Refused | None:
        if partition in self._quiescing:
            return _moving_refusal()
        return self._dependencies.cell.refusal(partition)

    def _resume(self, call: Call, sink: CallSink) -> CallHandle:
        key = AnswerKey(call.account, call.program, call.number)
        answer = self._dependencies.answers.find(key)
        if answer is not None:
            return answer.attach(sink, call.resume_from)
        return self._resume_at_engine(call, sink) or _finish(
            sink, _answer_gone_refusal()
        )

    def _resume_at_engine(
        self, call: Call, sink: CallSink
    ) -> CallHandle | None:
        """Resumes a stream that was started by an owner that failed."""
        partition = partition_of(call.account, call.program, self._partitions)
        refused = self._refusal(partition)
        if refused is not None:
            return _finish(sink, refused)
        if not call.receipt or not self._table.may_exist(call):
            return None
        program = self._table.get_or_open(call, partition)
        if isinstance(program, Refused):
            return _finish(sink, program)
        return self._chats.resume_stream(call, program, sink)

    def _answer_ended(
        self, call: Call, refused: Refused, sink: CallSink
    ) -> CallHandle:
        """Answers a call of a program that has already ended."""
        program = self._table.find(call)
        if program is None or call.kind not in _CONTROL_KINDS:
            return _finish(sink, refused)
        return self._control.start(call, program, sink)

    def _sweep(self) -> None:
        dependencies = self._dependencies
        self._sweep_timer = dependencies.clock.callLater(
            SWEEP_INTERVAL_S, self._sweep
        )
        dependencies.answers.expire()
        self._lifetimes.sweep()
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_RETENTION_CHECK == 0:
            self._lifetimes.forget()
        if dependencies.cell.log_unresponsive():
            return
        for record in dependencies.account_portions.return_idle(
            dependencies.clock.seconds()
        ):
            written = dependencies.cell.submit(record)
            written.addErrback(
                failure_logger("return of an idle portion failed")
            )


def _finish(sink: CallSink, outcome: Outcome) -> CallHandle:
    sink.finish(outcome)
    return EndedCallHandle()


def _moving_refusal() -> Refused:
    return Refused(
        Step.ORDER,
        Reason.NOT_OWNER,
        retry_after_s=MOVE_RETRY_S,
        detail="the program moves to another VM",
    )


def _unknown_program_refusal() -> Refused:
    return Refused(
        Step.OPEN,
        Reason.PROGRAM_UNKNOWN,
        detail="no program of this id is open or kept",
    )


def _answer_gone_refusal() -> Refused:
    return Refused(
        Step.RESUME,
        Reason.ANSWER_GONE,
        detail="no answer of this call is kept here",
        needs="the call again under its number, or the receipt from the "
        "head of its stream",
    )
