"""Token allocations of programs, folded from the ledger's records.

Each VM records, for each program, an upper bound on the tokens it may have
used. A program's usage is the sum over all VMs. If VMs compete for the
last tokens of a budget, the order of their records decides.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

from ..ids import Offset, ProgramId
from .record_numbers import decode_number
from .store import KeyedRecord, KeyedWrite

__all__ = [
    "AllocationRecord",
    "HolderId",
    "Allocation",
    "AllocationWrite",
    "TokenLedger",
    "TurnRef",
    "encode_allocation",
    "decode_allocation",
]

HolderId = NewType("HolderId", str)
"""Identifies one run of a VM's process in the ledger; each restart has its own
ID."""

MAX_RECENT_RECORDS = 2_000
"""Records kept as they were read, for VMs that have not read them; some
seconds of the busiest traffic."""

MAX_RECORDED_TURNS = 100
"""Turns named in a record; for older ones a VM that has not read an earlier
record counts the tokens twice."""

_ALLOCATION_KEY = "t"
_SEPARATOR = "\x1f"


@dataclass(frozen=True, order=True, slots=True)
class TurnRef:
    """Identifies a turn in the whole system.

    Attributes:
        holder: The VM that ran it.
        turn: Its number on that VM.
    """

    holder: HolderId
    turn: int


@dataclass(frozen=True, slots=True)
class Allocation:
    """Tokens of one program that a VM, or all VMs together, may use.

    Attributes:
        limit: Tokens that may be used without another record.
        committed: Part of the limit that was used or that running turns
            may still generate.
        maybe_incomplete: Whether earlier grants may be missing in the ledger.
        outage_turns: Turns that were granted without the ledger and are part
            of the limit.
    """

    limit: int
    committed: int
    maybe_incomplete: bool = False
    outage_turns: frozenset[TurnRef] = frozenset()


@dataclass(frozen=True, slots=True)
class AllocationWrite:
    """An allocation that this VM writes to the ledger."""

    program: ProgramId
    allocation: Allocation


EMPTY_ALLOCATION = Allocation(0, 0)

_INCOMPLETE_FLAG = b"d"
_TURNS_PREFIX = b"g"
_TURN_SEPARATOR = b";"
_HOLDER_SEPARATOR = b"~"


@dataclass(frozen=True, slots=True)
class AllocationRecord:
    """One VM's allocation for one program."""

    program: ProgramId
    holder: HolderId
    allocation: Allocation


def encode_allocation(
    program: ProgramId, holder: HolderId, allocation: Allocation
) -> KeyedWrite:
    """Returns the ledger record of a VM's allocation."""
    key = _SEPARATOR.join((_ALLOCATION_KEY, program, holder)).encode()
    value = b"%d,%d" % (allocation.limit, allocation.committed)
    if allocation.maybe_incomplete:
        value += b"," + _INCOMPLETE_FLAG
    if allocation.outage_turns:
        value += b"," + _encode_turns(allocation.outage_turns, holder)
    return KeyedWrite(key, value)


def decode_allocation(record: KeyedRecord) -> AllocationRecord | None:
    """Decodes a VM's allocation; returns None for other kinds of records.

    A record whose key was dropped decodes as an empty allocation.
    """
    parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
    if len(parts) != 3 or parts[0] != _ALLOCATION_KEY:
        return None
    allocation = EMPTY_ALLOCATION
    if record.value is not None:
        fields = record.value.split(b",")
        if len(fields) < 2:
            return None
        limit, committed = decode_number(fields[0]), decode_number(fields[1])
        if limit is None or committed is None:
            return None
        allocation = Allocation(
            limit,
            committed,
            _INCOMPLETE_FLAG in fields[2:],
            _decode_turns(fields[2:], HolderId(parts[2])),
        )
    return AllocationRecord(
        ProgramId(parts[1]), HolderId(parts[2]), allocation
    )


class TokenLedger:
    """The newest allocation of each VM for each program."""

    def __init__(self) -> None:
        self._by_program: dict[
            ProgramId, dict[HolderId, tuple[Offset, Allocation]]
        ] = {}
        self._recent: deque[KeyedRecord] = deque()
        self._recent_from = Offset(0)

    def apply(self, record: KeyedRecord) -> AllocationRecord | None:
        """Applies a record unless a newer one is known.

        Returns:
            The allocation, or None if the record changed nothing.
        """
        update = decode_allocation(record)
        if update is None:
            return None
        by_holder = self._by_program.setdefault(update.program, {})
        current = by_holder.get(update.holder)
        if current is not None and current[0] >= record.offset:
            return None
        by_holder[update.holder] = (record.offset, update.allocation)
        self._keep(record)
        return update

    def records_from(self, start: Offset) -> tuple[KeyedRecord, ...]:
        """Returns the kept records from an offset on."""
        return tuple(r for r in self._recent if r.offset >= start)

    def keeps_from(self, start: Offset) -> bool:
        """Returns whether all records read from an offset on are kept."""
        return start >= self._recent_from

    def total_except(self, program: ProgramId, holder: HolderId) -> Allocation:
        """Returns the sum of the allocations of all VMs but one."""
        limit = 0
        committed = 0
        maybe_incomplete = False
        for name, (_, allocation) in self._by_program.get(program, {}).items():
            if name == holder:
                continue
            limit += allocation.limit
            committed += allocation.committed
            maybe_incomplete = maybe_incomplete or allocation.maybe_incomplete
        return Allocation(limit, committed, maybe_incomplete)

    def total(self, program: ProgramId) -> Allocation:
        """Returns the sum of the allocations of all VMs."""
        return self.total_except(program, HolderId(""))

    def allocation_of(
        self, program: ProgramId, holder: HolderId
    ) -> Allocation:
        """Returns one VM's allocation."""
        by_holder = self._by_program.get(program, {})
        return by_holder.get(holder, (Offset(0), EMPTY_ALLOCATION))[1]

    def last_offset(self, program: ProgramId, holder: HolderId) -> Offset:
        """Returns the offset of a VM's newest record, or -1 without one."""
        by_holder = self._by_program.get(program, {})
        return by_holder.get(holder, (Offset(-1), EMPTY_ALLOCATION))[0]

    def is_recorded(self, program: ProgramId, turn: TurnRef) -> bool:
        """Returns whether a turn granted without the ledger is in it now."""
        return any(
            turn in allocation.outage_turns
            for _, allocation in self._by_program.get(program, {}).values()
        )

    def __len__(self) -> int:
        return len(self._by_program)

    def _keep(self, record: KeyedRecord) -> None:
        self._recent.append(record)
        if len(self._recent) > MAX_RECENT_RECORDS:
            dropped = self._recent.popleft()
            # A listing is not in the order of offsets.
            self._recent_from = max(
                self._recent_from, Offset(dropped.offset + 1)
            )


def _encode_turns(turns: Iterable[TurnRef], holder: HolderId) -> bytes:
    # A VM's own turns are named by their numbers alone.
    newest = sorted(turns, key=lambda turn: turn.turn)[-MAX_RECORDED_TURNS:]
    names: list[bytes] = []
    for turn in newest:
        name = b"%d" % turn.turn
        if turn.holder != holder:
            name = turn.holder.encode() + _HOLDER_SEPARATOR + name
        names.append(name)
    return _TURNS_PREFIX + _TURN_SEPARATOR.join(names)


def _decode_turns(
    fields: Iterable[bytes], holder: HolderId
) -> frozenset[TurnRef]:
    turns: set[TurnRef] = set()
    for field in fields:
        if not field.startswith(_TURNS_PREFIX):
            continue
        for name in field.removeprefix(_TURNS_PREFIX).split(_TURN_SEPARATOR):
            other, _, digits = name.rpartition(_HOLDER_SEPARATOR)
            number = decode_number(digits)
            if number is None:
                continue
            owner = HolderId(other.decode("utf-8", "replace")) or holder
            turns.add(TurnRef(owner, number))
    return frozenset(turns)
