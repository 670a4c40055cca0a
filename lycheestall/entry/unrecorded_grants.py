"""Tokens that were granted without the ledger and are not in it yet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..ids import ProgramId
from .token_ledger import HolderId, TokenLedger, TurnRef

__all__ = ["TurnGrant", "UnrecordedGrants"]


@dataclass(frozen=True, slots=True)
class TurnGrant:
    """Tokens that were granted to one turn without the ledger.

    Attributes:
        program: The turn's program.
        turn: The turn.
        tokens: Maximum tokens that the turn generates, or the tokens that it
            has used once that is known.
    """

    program: ProgramId
    turn: TurnRef
    tokens: int


@dataclass(frozen=True, slots=True)
class _KnownGrant:
    """A grant and when this VM learned of it."""

    grant: TurnGrant
    known_at: float


class UnrecordedGrants:
    """All unrecorded grants that this VM knows of, its own turns included.

    Every grant is known to two VMs before its turn starts. It stays known
    until the ledger names the turn, so that a VM that dies takes no grant with
    it.

    Args:
        ledger: Allocations of all VMs; grants that it names are dropped.
    """

    def __init__(self, ledger: TokenLedger) -> None:
        self._ledger = ledger
        self._by_program: dict[ProgramId, dict[TurnRef, _KnownGrant]] = {}

    def add(self, grant: TurnGrant, *, now: float) -> None:
        """Adds a grant; the fewest tokens that are known for a turn count.

        Args:
            grant: The grant.
            now: Current time.
        """
        by_turn = self._by_program.setdefault(grant.program, {})
        known = by_turn.get(grant.turn)
        if known is None:
            by_turn[grant.turn] = _KnownGrant(grant, now)
        elif grant.tokens < known.grant.tokens:
            by_turn[grant.turn] = replace(known, grant=grant)

    def settle(self, program: ProgramId, turn: TurnRef, used: int) -> None:
        """Replaces a turn's maximum by the tokens that it used."""
        by_turn = self._by_program.get(program, {})
        known = by_turn.get(turn)
        if known is None:
            return
        if not used:
            del by_turn[turn]
            return
        by_turn[turn] = replace(known, grant=TurnGrant(program, turn, used))

    def has(self, program: ProgramId, turn: TurnRef) -> bool:
        """Returns whether a grant is known and unrecorded."""
        return any(grant.turn == turn for grant in self.of(program))

    def of(self, program: ProgramId) -> list[TurnGrant]:
        """Returns a program's unrecorded grants."""
        by_turn = self._by_program.get(program)
        if by_turn is None:
            return []
        for turn in list(by_turn):
            if self._ledger.is_recorded(program, turn):
                del by_turn[turn]
        if not by_turn:
            del self._by_program[program]
        return [known.grant for known in by_turn.values()]

    def tokens(
        self, program: ProgramId, *, excluding: HolderId | None = None
    ) -> int:
        """Returns the tokens of a program's unrecorded grants.

        Args:
            program: The program.
            excluding: A VM whose turns are left out.
        """
        return sum(
            grant.tokens
            for grant in self.of(program)
            if grant.turn.holder != excluding
        )

    def all(self) -> list[TurnGrant]:
        """Returns all unrecorded grants."""
        return [
            grant
            for program in list(self._by_program)
            for grant in self.of(program)
        ]

    def known_since(self, grant: TurnGrant) -> float:
        """Returns when this VM learned of a grant that it knows."""
        return self._by_program[grant.program][grant.turn].known_at

    def add_all(self, grants: Iterable[TurnGrant], *, now: float) -> None:
        """Adds the grants that another VM has reported."""
        for grant in grants:
            self.add(grant, now=now)
