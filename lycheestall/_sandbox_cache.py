"""The stand-in engine's prefix cache and its late, gappy events."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["PrefixCache"]

Prefixes = tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class _Event:
    sequence: int
    program: str
    tokens: int
    shown_at_s: float


class PrefixCache:
    """Prefixes by program, the least recently used evicted first.

    Args:
        capacity_tokens: The most tokens held.
        seconds: Returns the time.
        event_delay_s: How long an event stays hidden.
        gap_every: Every how many events one is lost; 0 for none.
    """

    def __init__(
        self,
        capacity_tokens: int,
        seconds: Callable[[], float],
        *,
        event_delay_s: float = 0.0,
        gap_every: int = 0,
    ) -> None:
        self._capacity_tokens = capacity_tokens
        self._seconds = seconds
        self._event_delay_s = event_delay_s
        self._gap_every = gap_every
        self._prefixes_by_program: OrderedDict[str, Prefixes] = OrderedDict()
        self._events: list[_Event] = []
        self._sequence = 0
        self._pinned: set[str] = set()

    @property
    def used_tokens(self) -> int:
        """Tokens held."""
        return sum(p[-1][1] for p in self._prefixes_by_program.values())

    def find(self, wanted: Prefixes) -> int:
        """Returns the tokens of the longest prefix held."""
        tokens_by_digest = dict(wanted)
        best = 0
        for held in self._prefixes_by_program.values():
            for digest, tokens in reversed(held):
                if tokens <= best:
                    break
                if digest in tokens_by_digest:
                    best = tokens
                    break
        return best

    def store(self, program: str, prefixes: Prefixes) -> None:
        """Holds a program's newest prefix and evicts to make room."""
        if not prefixes:
            return
        self._prefixes_by_program.pop(program, None)
        self._prefixes_by_program[program] = prefixes
        self._tell(program, prefixes[-1][1])
        for oldest in list(self._prefixes_by_program):
            if self.used_tokens <= self._capacity_tokens:
                break
            if oldest == program or oldest in self._pinned:
                continue
            self.drop(oldest)

    def drop(self, program: str) -> None:
        """Evicts a program's prefix."""
        self._pinned.discard(program)
        if self._prefixes_by_program.pop(program, None) is not None:
            self._tell(program, 0)

    def pin(self, program: str) -> None:
        """Keeps a program's prefix until it is dropped."""
        self._pinned.add(program)

    def get(self, program: str) -> Prefixes:
        """Returns a program's prefixes, empty when none are held."""
        return self._prefixes_by_program.get(program, ())

    def programs(self) -> tuple[str, ...]:
        """Returns the programs held."""
        return tuple(self._prefixes_by_program)

    def pinned(self) -> tuple[str, ...]:
        """Returns the programs whose prefix is pinned."""
        return tuple(sorted(self._pinned))

    def events(self, since: int) -> tuple[list[tuple[int, str, int]], int]:
        """Returns the events shown so far and the next sequence number."""
        now = self._seconds()
        shown = [
            (event.sequence, event.program, event.tokens)
            for event in self._events
            if event.sequence >= since and event.shown_at_s <= now
        ]
        return shown, shown[-1][0] + 1 if shown else since

    def _tell(self, program: str, tokens: int) -> None:
        self._sequence += 1
        if self._gap_every and self._sequence % self._gap_every == 0:
            return
        shown_at_s = self._seconds() + self._event_delay_s
        event = _Event(self._sequence, program, tokens, shown_at_s)
        self._events.append(event)
        del self._events[:-10_000]
