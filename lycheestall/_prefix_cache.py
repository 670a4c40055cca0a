"""The KV memory of a modelled engine, by program prefix."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .ids import ProgramId, root_program

__all__ = ["PrefixCache"]


@dataclass(slots=True)
class _Prefix:
    tokens: int = 0
    cached: int = 0
    users: int = 0
    pinned: bool = False


class PrefixCache:
    """Prefixes in order of use; what is not in use can be evicted."""

    def __init__(self, capacity: int) -> None:
        """Starts empty.

        Args:
            capacity: Tokens that fit.
        """
        self._capacity = capacity
        self._used = 0
        self._prefix_by_program: OrderedDict[ProgramId, _Prefix] = (
            OrderedDict()
        )

    def tokens(self, program: ProgramId) -> int:
        """Returns the tokens of memory that a program takes."""
        prefix = self._prefix_by_program.get(program)
        return prefix.tokens if prefix is not None else 0

    def cached(self, program: ProgramId) -> int:
        """Returns the computed prefix tokens that a request would find."""
        prefix = self._prefix_by_program.get(program)
        return prefix.cached if prefix is not None else 0

    def held_share(self) -> float:
        """Returns the share of memory that cannot be evicted."""
        held = sum(
            prefix.tokens
            for prefix in self._prefix_by_program.values()
            if prefix.users or prefix.pinned
        )
        return held / self._capacity

    def pin(self, program: ProgramId) -> bool:
        """Keeps a prefix from eviction; False when there is none."""
        prefix = self._prefix_by_program.get(program)
        if prefix is None:
            return False
        prefix.pinned = True
        return True

    def unpin(self, program: ProgramId) -> None:
        """Lets a prefix be evicted again."""
        prefix = self._prefix_by_program.get(program)
        if prefix is not None:
            prefix.pinned = False

    def pinned(self) -> list[ProgramId]:
        """Returns the programs whose prefix is pinned."""
        items = self._prefix_by_program.items()
        return [program for program, prefix in items if prefix.pinned]

    def begin_use(self, program: ProgramId) -> None:
        """Marks a program's prefix as used by one more request."""
        prefix = self._prefix_by_program.setdefault(program, _Prefix())
        prefix.users += 1
        self._prefix_by_program.move_to_end(program)

    def end_use(self, program: ProgramId) -> None:
        """Marks a program's prefix as used by one request fewer."""
        prefix = self._prefix_by_program[program]
        prefix.users -= 1
        if not prefix.users and not prefix.tokens:
            del self._prefix_by_program[program]

    def reserve(self, program: ProgramId, tokens: int) -> None:
        """Gives a program in use at least ``tokens`` of memory."""
        prefix = self._prefix_by_program[program]
        self._used += max(tokens - prefix.tokens, 0)
        prefix.tokens = max(tokens, prefix.tokens)

    def store(self, program: ProgramId, tokens: int) -> None:
        """Sets a program's computed prefix; frees what it does not need."""
        prefix = self._prefix_by_program.setdefault(program, _Prefix())
        prefix.cached = max(tokens, 0)
        if not prefix.users or tokens > prefix.tokens:
            self._used += tokens - prefix.tokens
            prefix.tokens = tokens
        self._prefix_by_program.move_to_end(program)

    def drop(self, root: ProgramId) -> list[ProgramId]:
        """Frees what no request uses of a program and its sub-agents.

        Returns:
            The programs whose prefix was dropped.
        """
        dropped = [
            program
            for program, prefix in self._prefix_by_program.items()
            if root_program(program) == root and not prefix.users
        ]
        for program in dropped:
            self._used -= self._prefix_by_program.pop(program).tokens
        return dropped

    def make_room(self, tokens: int) -> list[ProgramId] | None:
        """Evicts what was used longest ago until ``tokens`` are free.

        Returns:
            The programs evicted, None when that would not be enough; in
            that case nothing is evicted.
        """
        missing = self._used + tokens - self._capacity
        chosen: list[ProgramId] = []
        for program, prefix in self._prefix_by_program.items():
            if missing <= 0:
                break
            if prefix.users or prefix.pinned:
                continue
            chosen.append(program)
            missing -= prefix.tokens
        if missing > 0:
            return None
        for program in chosen:
            self._used -= self._prefix_by_program.pop(program).tokens
        return chosen
