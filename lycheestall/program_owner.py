"""The owner's side of calls: runs the programs of owned partitions."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred

from .account_portions import AccountPortions
from .action_calls import ActionCalls
from .answers import AnswerKey, AnswerStore
from .application_picker import ApplicationPicker
from .call_order import NoHandle
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
from .owner_ports import OwnerPorts
from .partitions import partition_of
from .program_control import ProgramControl
from .program_table import ProgramTable
from .receipts import ReceiptSigner
from .reservations import Reservations
from .rules.rule_book import RuleBook
from .settings import TuningSettings

__all__ = ["ProgramOwner"]

SWEEP_INTERVAL_S = 2.0
SWEEPS_PER_FORGETTING = 150
QUIESCE_CHECK_S = 0.02
MOVING_RETRY_S = 0.2
_ABOUT_PROGRAM = (CallKind.END, CallKind.CANCEL, CallKind.SHOW)


class ProgramOwner(CallHandler, PartitionWatcher):
    """Runs calls of the programs whose partitions this VM owns.

    Args:
        cell: The VM's view of its cell.
        ledger: Returns the folded state of programs.
        dispatcher: Where chat calls go.
        applications: Chooses runners for plain calls.
        rules: Returns the rules in force.
        clock: The node's clock.
        wall_ms: Wall-clock time, milliseconds since 1970.
        receipt_keys: Keys that sign receipts and ids, newest first.
        settings: Times and sizes.
        partitions: Number of partitions; the same on all VMs.
    """

    def __init__(
        self,
        *,
        cell: CellView,
        ledger: Callable[[], Ledger],
        dispatcher: ChatDispatcher,
        applications: ApplicationPicker,
        rules: Callable[[], RuleBook],
        clock: Clock,
        wall_ms: Callable[[], int],
        receipt_keys: Sequence[bytes],
        settings: TuningSettings,
        partitions: int,
    ) -> None:
        self._ports = ports = OwnerPorts(
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
            shares=AccountPortions(),
        )
        self._partitions = partitions
        reservations = Reservations(ports)
        self._table = table = ProgramTable(ports, reservations)
        self._lifetimes = lifetimes = Lifetimes(ports, table)
        self._chats = ChatCalls(ports, reservations, lifetimes)
        self._actions = ActionCalls(ports, reservations, table, lifetimes)
        self._control = ProgramControl(ports, table, lifetimes)
        self._quiescing: set[PartitionId] = set()
        self._sweeps = 0
        self._sweeping: Timer = clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Stops the owner's timer."""
        if self._sweeping.active():
            self._sweeping.cancel()

    def programs(self) -> int:
        """Returns how many programs are live here."""
        return sum(1 for _ in self._table)

    def lives(self, name: ProgramId) -> bool:
        """Returns whether a top-level program is live here.

        Args:
            name: Its form in the log.
        """
        return self._table.lives(name)

    def in_flight(self) -> int:
        """Returns how many calls are held or under way here."""
        return sum(len(program.run_by_key) for program in self._table)

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Starts a call of an owned partition."""
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
        if call.kind in _ABOUT_PROGRAM and not self._table.knows(call):
            return _finish(sink, _unknown())
        program = self._table.get(call, partition)
        if isinstance(program, Refused):
            return self._ended(call, program, sink)
        if call.kind is CallKind.CHAT:
            return self._chats.start(call, program, sink)
        if call.kind is CallKind.ACTION:
            return self._actions.start(call, program, sink)
        return self._control.start(call, program, sink)

    def gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        """Takes a partition's programs over."""
        self._quiescing.discard(partition)
        self._table.take(partition, program_states, unproven=may_miss_programs)

    def lost(self, partition: PartitionId) -> None:
        """Forgets a partition's programs.

        Calls that an engine has go on to their callers; those that wait
        are refused, since the cell refuses to let them go on.
        """
        self._quiescing.discard(partition)
        self._stop_waiting(partition)
        self._table.drop(partition)

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Stops dispatch and returns the partition's live state.

        Calls that wait are refused as moving, and their router asks the
        successor. Calls at a target go on here to their end. The state
        waits only for records of non-idempotent calls to be read back.
        """
        self._quiescing.add(partition)
        self._stop_waiting(partition)
        state: Deferred[dict[str, bytes]] = Deferred()
        self._dump_when_still(partition, state)
        return state

    def _dump_when_still(
        self, partition: PartitionId, state: Deferred[dict[str, bytes]]
    ) -> None:
        if state.called:
            return
        programs = self._table.of(partition)
        if any(program.blocks_handover() for program in programs):
            self._ports.clock.callLater(
                QUIESCE_CHECK_S, self._dump_when_still, partition, state
            )
            return
        state.callback(self._table.dump(partition))

    def _stop_waiting(self, partition: PartitionId) -> None:
        moving = _moving()
        for program in self._table.of(partition):
            for run in list(program.run_by_key.values()):
                if not run.passed and not run.blocks_handover():
                    run.stop(moving)

    def _refusal(self, partition: PartitionId) -> Refused | None:
        if partition in self._quiescing:
            return _moving()
        return self._ports.cell.refusal(partition)

    def _resume(self, call: Call, sink: CallSink) -> CallHandle:
        key = AnswerKey(call.account, call.program, call.number)
        answer = self._ports.answers.find(key)
        if answer is not None:
            return answer.attach(sink, call.resume_from)
        return self._take_up(call, sink) or _finish(sink, _answer_gone())

    def _take_up(self, call: Call, sink: CallSink) -> CallHandle | None:
        """Asks the engine for a stream that a lost owner had begun."""
        partition = partition_of(call.account, call.program, self._partitions)
        refused = self._refusal(partition)
        if refused is not None:
            return _finish(sink, refused)
        if not call.receipt or not self._table.knows(call):
            return None
        program = self._table.get(call, partition)
        if isinstance(program, Refused):
            return _finish(sink, program)
        return self._chats.take_up(call, program, sink)

    def _ended(
        self, call: Call, refused: Refused, sink: CallSink
    ) -> CallHandle:
        """Ends or shows a program that has ended already."""
        program = self._table.find(call)
        if program is None or call.kind not in _ABOUT_PROGRAM:
            return _finish(sink, refused)
        return self._control.start(call, program, sink)

    def _sweep(self) -> None:
        ports = self._ports
        self._sweeping = ports.clock.callLater(SWEEP_INTERVAL_S, self._sweep)
        ports.answers.expire()
        self._lifetimes.sweep()
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_FORGETTING == 0:
            self._lifetimes.forget()
        if ports.cell.log_silent():
            return
        for record in ports.shares.idle(ports.clock.seconds()):
            written = ports.cell.submit(record)
            written.addErrback(failure_logger("idle portion not recorded"))


def _finish(sink: CallSink, outcome: Outcome) -> CallHandle:
    sink.finish(outcome)
    return NoHandle()


def _moving() -> Refused:
    return Refused(
        Step.ORDER,
        Reason.NOT_OWNER,
        retry_after_s=MOVING_RETRY_S,
        detail="the program moves to another VM",
    )


def _unknown() -> Refused:
    return Refused(
        Step.OPEN,
        Reason.PROGRAM_UNKNOWN,
        detail="no program of this id is open or kept",
    )


def _answer_gone() -> Refused:
    return Refused(
        Step.RESUME,
        Reason.ANSWER_GONE,
        detail="no answer of this call is kept here",
        needs="the call again under its number, or the receipt from the "
        "head of its stream",
    )
