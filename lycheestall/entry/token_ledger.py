"""Tokens that programs have been granted, folded from the store's records.

Each VM records, for each program, how many tokens it may have handed out
at most. A program's tokens are the sum over all VMs; the order of the
records decides who may have the last ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from ..ids import Offset, ProgramId
from .store import KeyedRecord, KeyedWrite

__all__ = [
    "Grant",
    "HolderId",
    "Holding",
    "TokenLedger",
    "grant_write",
    "read_grant",
]

HolderId = NewType("HolderId", str)
"""One life of one VM's process, as the ledger names it."""

_GRANT = "t"
_SEPARATOR = "\x1f"


@dataclass(frozen=True, slots=True)
class Holding:
    """Tokens of one program.

    Attributes:
        limit: Most that may be handed out without another record.
        committed: Part of it that was handed out or that running turns
            may still generate.
        doubtful: Whether tokens granted before may be missing in the
            ledger.
    """

    limit: int
    committed: int
    doubtful: bool = False


NOTHING = Holding(0, 0)

_DOUBTFUL = b"d"


@dataclass(frozen=True, slots=True)
class Grant:
    """What one VM holds of a program."""

    program: ProgramId
    holder: HolderId
    holding: Holding


def grant_write(
    program: ProgramId, holder: HolderId, holding: Holding
) -> KeyedWrite:
    """Returns the record of what a VM holds."""
    key = _SEPARATOR.join((_GRANT, program, holder)).encode()
    value = b"%d,%d" % (holding.limit, holding.committed)
    if holding.doubtful:
        value += b"," + _DOUBTFUL
    return KeyedWrite(key, value)


def read_grant(record: KeyedRecord) -> Grant | None:
    """Returns what a record grants, None if it is about something else.

    A dropped record grants nothing.
    """
    parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
    if len(parts) != 3 or parts[0] != _GRANT:
        return None
    holding = NOTHING
    if record.value is not None:
        numbers = record.value.split(b",")
        if len(numbers) < 2:
            return None
        if not numbers[0].isdigit() or not numbers[1].isdigit():
            return None
        holding = Holding(
            int(numbers[0]), int(numbers[1]), _DOUBTFUL in numbers[2:]
        )
    return Grant(ProgramId(parts[1]), HolderId(parts[2]), holding)


class TokenLedger:
    """The newest grant of each VM for each program."""

    def __init__(self) -> None:
        self._by_program: dict[
            ProgramId, dict[HolderId, tuple[Offset, Holding]]
        ] = {}

    def apply(self, record: KeyedRecord) -> Grant | None:
        """Takes a record; an older one than is known changes nothing."""
        grant = read_grant(record)
        if grant is None:
            return None
        by_holder = self._by_program.setdefault(grant.program, {})
        known = by_holder.get(grant.holder)
        if known is not None and known[0] >= record.offset:
            return None
        by_holder[grant.holder] = (record.offset, grant.holding)
        return grant

    def others(self, program: ProgramId, holder: HolderId) -> Holding:
        """Returns what all VMs but one hold."""
        limit = 0
        committed = 0
        doubtful = False
        for name, (_, holding) in self._by_program.get(program, {}).items():
            if name == holder:
                continue
            limit += holding.limit
            committed += holding.committed
            doubtful = doubtful or holding.doubtful
        return Holding(limit, committed, doubtful)

    def total(self, program: ProgramId) -> Holding:
        """Returns what all VMs hold."""
        return self.others(program, HolderId(""))

    def own(self, program: ProgramId, holder: HolderId) -> Holding:
        """Returns what one VM holds."""
        by_holder = self._by_program.get(program, {})
        return by_holder.get(holder, (Offset(0), NOTHING))[1]

    def recorded_at(self, program: ProgramId, holder: HolderId) -> Offset:
        """Returns the offset of a VM's newest record; -1 without one."""
        by_holder = self._by_program.get(program, {})
        return by_holder.get(holder, (Offset(-1), NOTHING))[0]

    def known(self, program: ProgramId) -> bool:
        """Returns whether any VM has a record for the program."""
        return program in self._by_program

    def __len__(self) -> int:
        return len(self._by_program)
