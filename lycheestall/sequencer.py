"""The order in which one program's calls go on to targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeAlias

from .ids import CallNumber

__all__ = [
    "Attach",
    "Clash",
    "Go",
    "Hold",
    "Offer",
    "Sequencer",
    "Superseded",
]

KEPT_NUMBERS = 32


@dataclass(frozen=True, slots=True)
class Go:
    """The call goes on now."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class Hold:
    """The call waits for those before it.

    Attributes:
        number: The call's number.
        until: When it is given up, unless a call before it came.
    """

    number: CallNumber
    until: float


@dataclass(frozen=True, slots=True)
class Attach:
    """The call is known: its answer is under way or kept."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class Clash:
    """Another body has this number."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class Superseded:
    """A later call went on; this one never will."""

    number: CallNumber


Offer: TypeAlias = Go | Hold | Attach | Clash | Superseded


class _State(Enum):
    HELD = "held"
    GOING = "going"
    PASSED = "passed"


@dataclass(slots=True)
class _Entry:
    digest: bytes
    until: float
    state: _State = _State.HELD


@dataclass(slots=True)
class Sequencer:
    """Releases a program's calls one after the other.

    Call n+1 goes on once call n was accepted by a target or has ended.
    A call whose predecessors have not come is held for ``gap_hold_s``.

    Attributes:
        gap_hold_s: How long a gap is waited out, in seconds.
        expected: The number that goes on next.
        exact: Whether ``expected`` is certain. After an owner's loss it
            is not: missing numbers may have gone on there, so a gap
            that lasts is skipped instead of refused.
    """

    gap_hold_s: float
    expected: int = 1
    exact: bool = True
    _top: int = 0
    _entry_by_number: dict[CallNumber, _Entry] = field(default_factory=dict)

    def offer(self, number: int, digest: bytes, now: float) -> Offer:
        """Takes a call.

        Args:
            number: Its number; 0 numbers it after all that have come.
            digest: Digest of its body.
            now: The time, in seconds.
        """
        if number == 0:
            highest = max(self._entry_by_number, default=0)
            number = max(self.expected - 1, highest, self._top) + 1
        call = CallNumber(number)
        entry = self._entry_by_number.get(call)
        if entry is not None:
            return Attach(call) if entry.digest == digest else Clash(call)
        if call <= self._top:
            return Superseded(call)
        entry = _Entry(digest, now + self.gap_hold_s)
        self._entry_by_number[call] = entry
        if call <= self.expected and self._blocking() is None:
            return self._release(call, entry)
        return Hold(call, entry.until)

    def passed(self, number: CallNumber) -> list[CallNumber]:
        """A target has the call, or it ended after a target had it.

        Returns:
            The calls that go on now.
        """
        entry = self._entry_by_number.get(number)
        if entry is not None:
            entry.state = _State.PASSED
        self._top = max(self._top, number)
        self._prune()
        return self._next()

    def note(self, number: CallNumber) -> None:
        """Notes that a target has a call, without releasing others."""
        self._top = max(self._top, number)

    def refused(self, number: CallNumber) -> list[CallNumber]:
        """The call ended without a target; its number is free again.

        Returns:
            The calls that go on now.
        """
        self._entry_by_number.pop(number, None)
        if number == self._top and self.expected == number + 1:
            self._top = number - 1
        return self._next()

    def forget(self, number: CallNumber) -> None:
        """Forgets a call whose answer is kept no longer."""
        entry = self._entry_by_number.get(number)
        if entry is not None and entry.state is _State.PASSED:
            del self._entry_by_number[number]

    def reopen(self, number: CallNumber) -> bool:
        """Makes room for a repeat of the newest call, if it may run.

        Returns:
            Whether no later call went on, so that a repeat keeps order.
        """
        if number != self._top or self.expected != number + 1:
            return False
        if self._blocking() is not None:
            return False
        self._entry_by_number.pop(number, None)
        self._top = number - 1
        self.expected = number
        return True

    def may_repeat(self, number: CallNumber) -> bool:
        """Returns whether no later call has gone on."""
        return self._top <= number and self.expected <= number + 1

    def expire(self, now: float) -> tuple[list[CallNumber], list[CallNumber]]:
        """Gives up what was held for too long.

        Args:
            now: The time, in seconds.

        Returns:
            Calls refused for their gap, and calls that go on now.
        """
        if self._blocking() is not None:
            return [], []
        late = sorted(
            number
            for number, entry in self._entry_by_number.items()
            if entry.state is _State.HELD and entry.until <= now
        )
        if late and not self.exact:
            self.expected = late[0]
            return [], self._next()
        for number in late:
            del self._entry_by_number[number]
        return late, []

    def next_expiry(self) -> float | None:
        """Returns when ``expire`` is due, None when nothing is held."""
        if self._blocking() is not None:
            return None
        held = [
            entry.until
            for entry in self._entry_by_number.values()
            if entry.state is _State.HELD
        ]
        return min(held, default=None)

    @property
    def newest(self) -> int:
        """Returns the newest number that a target has had."""
        return self._top

    def dump(self, *, repeatable: bool = False) -> object:
        """Returns the state for a handover.

        Args:
            repeatable: Whether the newest call, which was not answered
                whole, may go on once more at the successor.
        """
        entry = self._entry_by_number.get(CallNumber(self._top))
        if repeatable or entry is None:
            top = self._top - 1 if repeatable else self._top
            return [self.expected, self.exact, top, b""]
        return [self.expected, self.exact, self._top, entry.digest]

    @classmethod
    def restored(cls, state: Any, gap_hold_s: float) -> Sequencer:
        """Returns a sequencer from what ``dump`` made."""
        expected, exact, top, digest = state
        sequencer = cls(gap_hold_s, expected, exact, top)
        if digest:
            entry = _Entry(digest, 0.0, _State.PASSED)
            sequencer._entry_by_number[CallNumber(top)] = entry
        return sequencer

    def _prune(self) -> None:
        for number, entry in list(self._entry_by_number.items()):
            old = number <= self._top - KEPT_NUMBERS
            if old and entry.state is _State.PASSED:
                del self._entry_by_number[number]

    def _blocking(self) -> CallNumber | None:
        for number, entry in self._entry_by_number.items():
            if entry.state is _State.GOING:
                return number
        return None

    def _next(self) -> list[CallNumber]:
        if self._blocking() is not None:
            return []
        for number in sorted(self._entry_by_number):
            entry = self._entry_by_number[number]
            if entry.state is not _State.HELD:
                continue
            if number > self.expected:
                return []
            return [self._release(number, entry).number]
        return []

    def _release(self, number: CallNumber, entry: _Entry) -> Go:
        entry.state = _State.GOING
        self.exact = True
        self.expected = max(self.expected, number + 1)
        return Go(number)
