"""The KV memory of a simulated engine, by program prefix."""

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
    """An LRU cache of prefixes; those in use or pinned stay."""

    def __init__(self, capacity: int) -> None:
        """Creates an empty cache.

        Args:
            capacity: Size in tokens.
        """
        self._capacity = capacity
        self._used = 0
        self._prefix_by_program: OrderedDict[ProgramId, _Prefix] = (
            OrderedDict()
        )

    def tokens(self, program: ProgramId) -> int:
        """Returns the memory that a program uses, in tokens."""
        prefix = self._prefix_by_program.get(program)
        return prefix.tokens if prefix is not None else 0

    def cached(self, program: ProgramId) -> int:
        """Returns the length of a program's computed prefix."""
        prefix = self._prefix_by_program.get(program)
        return prefix.cached if prefix is not None else 0

    def unevictable_share(self) -> float:
        """Returns the share of memory that is in use or pinned."""
        held = sum(
            prefix.tokens
            for prefix in self._prefix_by_program.values()
            if prefix.users or prefix.pinned
        )
        return held / self._capacity

    def pin(self, program: ProgramId) -> bool:
        """Pins a prefix against eviction; False when there is none."""
        prefix = self._prefix_by_program.get(program)
        if prefix is None:
            return False
        prefix.pinned = True
        return True

    def unpin(self, program: ProgramId) -> None:
        """Allows eviction of a prefix again."""
        prefix = self._prefix_by_program.get(program)
        if prefix is not None:
            prefix.pinned = False

    def pinned(self) -> list[ProgramId]:
        """Returns the programs whose prefix is pinned."""
        items = self._prefix_by_program.items()
        return [program for program, prefix in items if prefix.pinned]

    def begin_use(self, program: ProgramId) -> None:
        """Counts one more request that uses a program's prefix."""
        prefix = self._prefix_by_program.setdefault(program, _Prefix())
        prefix.users += 1
        self._prefix_by_program.move_to_end(program)

    def end_use(self, program: ProgramId) -> None:
        """Counts one request fewer that uses a program's prefix."""
        prefix = self._prefix_by_program[program]
        prefix.users -= 1
        if not prefix.users and not prefix.tokens:
            del self._prefix_by_program[program]

    def reserve(self, program: ProgramId, tokens: int) -> None:
        """Reserves at least ``tokens`` of memory for a program in use."""
        prefix = self._prefix_by_program[program]
        self._used += max(tokens - prefix.tokens, 0)
        prefix.tokens = max(tokens, prefix.tokens)

    def store(self, program: ProgramId, tokens: int) -> None:
        """Sets the length of a program's prefix and frees unused memory."""
        prefix = self._prefix_by_program.setdefault(program, _Prefix())
        prefix.cached = max(tokens, 0)
        if not prefix.users or tokens > prefix.tokens:
            self._used += tokens - prefix.tokens
            prefix.tokens = tokens
        self._prefix_by_program.move_to_end(program)

    def drop(self, root: ProgramId) -> list[ProgramId]:
        """Frees the unused prefixes of a program and its sub-agents.

        Returns:
            The programs whose prefix was freed.
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
        """Evicts least recently used prefixes until ``tokens`` are free.

        Returns:
            The evicted programs, or None if too little can be evicted;
            then nothing is evicted.
        """
        missing = self._used + tokens - self._capacity
        victims: list[ProgramId] = []
        for program, prefix in self._prefix_by_program.items():
            if missing <= 0:
                break
            if prefix.users or prefix.pinned:
                continue
            victims.append(program)
            missing -= prefix.tokens
        if missing > 0:
            return None
        for program in victims:
            self._used -= self._prefix_by_program.pop(program).tokens
        return victims
