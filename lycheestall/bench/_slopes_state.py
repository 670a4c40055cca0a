"""Costs of the folded cell state, by programs and by accounts."""

from __future__ import annotations

from ..cell_fold import CellFold
from ..codec import decode_record, encode_record
from ..ids import (
    AccountId,
    IdempotencyKey,
    Offset,
    PartitionId,
    ProgramId,
    SessionId,
    TargetId,
    VmId,
    ZoneId,
)
from ..ledger import Ledger
from ..portions import Portions
from ..program_ids import ledger_id
from ..records import (
    BudgetDrawn,
    IntentRecorded,
    OutcomeRecorded,
    PartitionClaimed,
    PortionReturned,
    PortionTaken,
    ProgramEnded,
    ProgramOpened,
    Record,
    RecordBody,
    SessionJoined,
)
from ._slopes_probe import CostSample, measure_cpu_us, measure_resident_bytes

__all__ = [
    "RECORDS_PER_PROGRAM",
    "measure_checkpoint",
    "measure_fold",
    "measure_portions",
    "measure_programs",
]

SESSION = SessionId("vm-00000.1700000000000.abcd1234")
PARTITION = PartitionId(0)
EPOCH = Offset(1)
DRAWS_PER_PROGRAM = 4
RECORDS_PER_PROGRAM = DRAWS_PER_PROGRAM + 4
ANSWER = b'{"order": "0123456789", "state": "placed"}'
WINDOWS = 3
ACCOUNT_FORMAT = "account-{:04}"


class _MemberFold:
    """A cell fold with one member, which owns one partition."""

    def __init__(self) -> None:
        self.fold = CellFold(Ledger(), Portions())
        self._sequence = 0
        joined = SessionJoined(
            VmId("vm-00000"), ZoneId("z"), "10.0.0.1", 1, "0"
        )
        self.write(joined)
        self.write(PartitionClaimed(PARTITION, Offset(-1)))

    def record(self, body: RecordBody) -> Record:
        """Returns the member's next record."""
        self._sequence += 1
        return Record(SESSION, self._sequence, body)

    def write(self, body: RecordBody) -> None:
        """Folds the member's next record."""
        record = self.record(body)
        offset = Offset(self._sequence - 1)
        assert self.fold.apply(offset, record).accepted, body

    def read(self, payloads: list[bytes]) -> None:
        """Decodes and folds records, as a reader of the stream does."""
        offset = self.fold.as_of
        for payload in payloads:
            offset = Offset(offset + 1)
            record = decode_record(payload)
            assert isinstance(record, Record)
            assert self.fold.apply(offset, record).accepted, record


def _program_records(
    number: int, *, ended: bool, draws: int = DRAWS_PER_PROGRAM
) -> list[RecordBody]:
    """Returns all records of one program, from its opening on."""
    program = _program_id(number)
    key = IdempotencyKey(f"order-{number}")
    account = AccountId(ACCOUNT_FORMAT.format(number % 310))
    bodies: list[RecordBody] = [
        ProgramOpened(program, account, "planning", PARTITION, EPOCH, 1)
    ]
    for draw in range(1, draws + 1):
        tokens, calls = 150_000 * draw, 20 * draw
        bodies.append(
            BudgetDrawn(program, PARTITION, EPOCH, tokens, calls, 3_000_000)
        )
    bodies.append(
        IntentRecorded(
            program,
            PARTITION,
            EPOCH,
            key,
            bytes(32),
            TargetId("orders-1"),
            7,
        )
    )
    bodies.append(
        OutcomeRecorded(program, key, 201, "application/json", ANSWER, True)
    )
    if ended:
        bodies.append(ProgramEnded(program, PARTITION, EPOCH, "ended"))
    return bodies


def _program_id(number: int) -> ProgramId:
    account = AccountId(ACCOUNT_FORMAT.format(number % 310))
    issued_id = f"pr-{number + 1_700_000_000_000:012x}-{number:016x}-{0:024x}"
    return ledger_id(account, ProgramId(issued_id))


def _fold_of_programs(programs: int) -> CellFold:
    state = _MemberFold()
    for number in range(programs):
        for body in _program_records(number, ended=False, draws=1):
            state.write(body)
    return state.fold


def measure_programs(programs: int) -> CostSample:
    """Measures the memory of the folded state of live programs.

    Args:
        programs: Number of live top-level programs in the cell, each
            with one non-idempotent call.
    """
    return CostSample(
        resident_bytes=measure_resident_bytes(
            lambda: _fold_of_programs(programs)
        )
    )


def measure_fold(programs: int) -> CostSample:
    """Measures reading all records of ended programs.

    Args:
        programs: Number of programs, each of ``RECORDS_PER_PROGRAM``
            records.
    """
    source = _MemberFold()
    payloads: list[bytes] = []
    for number in range(programs):
        for body in _program_records(number, ended=True):
            payloads.append(encode_record(source.record(body)))
    states = [_MemberFold() for _ in range(3)]
    cost = measure_cpu_us(
        lambda: states.pop().read(payloads), repeats=len(states)
    )
    return CostSample(cpu_us=cost, wire_bytes=sum(map(len, payloads)))


def measure_checkpoint(programs: int) -> CostSample:
    """Measures writing and loading a checkpoint.

    Args:
        programs: Number of live programs in the state.
    """
    fold = _fold_of_programs(programs)
    data = fold.dump()
    other = CellFold(Ledger(), Portions())

    def run() -> None:
        fold.dump()
        other.load(data)

    return CostSample(
        cpu_us=measure_cpu_us(run, repeats=2), wire_bytes=len(data)
    )


def measure_portions(accounts: int) -> CostSample:
    """Measures folding the records of budget portions.

    Processor time and bytes are per time window; the memory is that of
    the state after all windows.

    Args:
        accounts: Number of accounts; each takes and returns one portion
            in each time window.
    """
    payloads: list[bytes] = []
    source = _MemberFold()
    for window in range(1, WINDOWS + 1):
        for number in range(accounts):
            account = AccountId(ACCOUNT_FORMAT.format(number))
            name = "calls-per-60000ms"
            taken = PortionTaken(account, name, window, 100, 600)
            returned = PortionReturned(account, name, window, 40)
            for body in (taken, returned):
                payloads.append(encode_record(source.record(body)))
    states = [_MemberFold() for _ in range(3)]
    cost = measure_cpu_us(
        lambda: states.pop().read(payloads), repeats=len(states)
    )
    state = _MemberFold()

    def build() -> object:
        state.read(payloads)
        return state

    return CostSample(
        cpu_us=cost / WINDOWS,
        wire_bytes=sum(map(len, payloads)) / WINDOWS,
        resident_bytes=measure_resident_bytes(build),
    )
