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

__all__ = ["HolderId", "TokenLedger", "grant_write", "read_grant"]

HolderId = NewType("HolderId", str)
"""One life of one VM's process, as the ledger names it."""

_GRANT = "t"
_SEPARATOR = "\x1f"


@dataclass(frozen=True, slots=True)
class Grant:
    """A VM's upper bound for one program."""

    program: ProgramId
    holder: HolderId
    tokens: int


def grant_write(
    program: ProgramId, holder: HolderId, tokens: int | None
) -> KeyedWrite:
    """Returns the record of a VM's upper bound; None drops it."""
    key = _SEPARATOR.join((_GRANT, program, holder)).encode()
    value = None if tokens is None else str(tokens).encode()
    return KeyedWrite(key, value)


def read_grant(record: KeyedRecord) -> Grant | None:
    """Returns what a record grants, None if it is about something else.

    A dropped record grants nothing.
    """
    parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
    if len(parts) != 3 or parts[0] != _GRANT:
        return None
    value = record.value
    if value is not None and not value.isdigit():
        return None
    tokens = 0 if value is None else int(value)
    return Grant(ProgramId(parts[1]), HolderId(parts[2]), tokens)


class TokenLedger:
    """The newest grant of each VM for each program."""

    def __init__(self) -> None:
        self._by_program: dict[
            ProgramId, dict[HolderId, tuple[Offset, int]]
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
        by_holder[grant.holder] = (record.offset, grant.tokens)
        return grant

    def others(self, program: ProgramId, holder: HolderId) -> int:
        """Returns the tokens of all VMs but one."""
        by_holder = self._by_program.get(program)
        if by_holder is None:
            return 0
        return sum(
            tokens for name, (_, tokens) in by_holder.items() if name != holder
        )

    def own(self, program: ProgramId, holder: HolderId) -> int:
        """Returns the tokens of one VM."""
        by_holder = self._by_program.get(program, {})
        return by_holder.get(holder, (Offset(0), 0))[1]

    def known(self, program: ProgramId) -> bool:
        """Returns whether any VM has a record for the program."""
        return program in self._by_program

    def __len__(self) -> int:
        return len(self._by_program)
