"""Decides the order in which one program's calls are dispatched."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeAlias

from .ids import CallNumber

__all__ = [
    "Duplicate",
    "Held",
    "NumberConflict",
    "OfferResult",
    "Released",
    "Sequencer",
    "Superseded",
]

RETAINED_CALLS = 32


@dataclass(frozen=True, slots=True)
class Released:
    """The call may be dispatched now."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class Held:
    """The call waits for the calls before it.

    Attributes:
        number: The call's number.
        expires_at: When the wait ends if the missing call has not
            arrived, in monotonic seconds.
    """

    number: CallNumber
    expires_at: float


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The call was received before; its answer is pending or stored."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class NumberConflict:
    """The number was already used with a different body."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class Superseded:
    """A later call was dispatched; this one is never dispatched."""

    number: CallNumber


OfferResult: TypeAlias = (
    Released | Held | Duplicate | NumberConflict | Superseded
)


class _State(Enum):
    """A call's state; a released call blocks those after it."""

    HELD = "held"
    RELEASED = "going"
    ACCEPTED = "passed"


@dataclass(slots=True)
class _Entry:
    digest: bytes
    expires_at: float
    state: _State = _State.HELD


@dataclass(slots=True)
class Sequencer:
    """Releases a program's calls for dispatch one at a time.

    Call n+1 is released once a target has accepted call n, or call n has
    ended. A call that arrives before its predecessors is held for
    ``gap_hold_s``.

    Attributes:
        gap_hold_s: How long to wait for a missing call, in seconds.
        expected: The number of the next call to release.
        exact: Whether ``expected`` is certain. It is not after the
            previous owner failed: that owner may have dispatched the
            missing numbers, so a gap that outlasts the hold is skipped
            instead of refused.
    """

    gap_hold_s: float
    expected: int = 1
    exact: bool = True
    _newest_accepted: int = 0
    _entry_by_number: dict[CallNumber, _Entry] = field(default_factory=dict)

    def offer(self, number: int, digest: bytes, now: float) -> OfferResult:
        """Takes a call that arrived and decides what happens to it.

        Args:
            number: The call's number; 0 assigns the next free number.
            digest: Digest of the call's body.
            now: Monotonic time in seconds.
        """
        if number == 0:
            highest = max(self._entry_by_number, default=0)
            number = max(self.expected - 1, highest, self._newest_accepted) + 1
        call = CallNumber(number)
        entry = self._entry_by_number.get(call)
        if entry is not None:
            return (
                Duplicate(call)
                if entry.digest == digest
                else NumberConflict(call)
            )
        if call <= self._newest_accepted:
            return Superseded(call)
        entry = _Entry(digest, now + self.gap_hold_s)
        self._entry_by_number[call] = entry
        if call <= self.expected and self._unaccepted() is None:
            return self._release(call, entry)
        return Held(call, entry.expires_at)

    def accepted(self, number: CallNumber) -> list[CallNumber]:
        """Records that a target accepted a call and releases the next.

        Also called when a call ends that a target may have run.

        Returns:
            The calls released by this.
        """
        entry = self._entry_by_number.get(number)
        if entry is not None:
            entry.state = _State.ACCEPTED
        self._newest_accepted = max(self._newest_accepted, number)
        self._prune()
        return self._release_next()

    def mark_accepted(self, number: CallNumber) -> None:
        """Records that a target accepted a call; releases nothing."""
        self._newest_accepted = max(self._newest_accepted, number)

    def refused(self, number: CallNumber) -> list[CallNumber]:
        """Frees the number of a call that ended without being run.

        Returns:
            The calls released by this.
        """
        self._entry_by_number.pop(number, None)
        if number == self._newest_accepted and self.expected == number + 1:
            self._newest_accepted = number - 1
        return self._release_next()

    def forget(self, number: CallNumber) -> None:
        """Drops an accepted call whose answer is no longer stored."""
        entry = self._entry_by_number.get(number)
        if entry is not None and entry.state is _State.ACCEPTED:
            del self._entry_by_number[number]

    def reopen(self, number: CallNumber) -> bool:
        """Frees the number of the newest call so that it can run again.

        Returns:
            False if a later call was released; repeating this one would
            then break the order.
        """
        if number != self._newest_accepted or self.expected != number + 1:
            return False
        if self._unaccepted() is not None:
            return False
        self._entry_by_number.pop(number, None)
        self._newest_accepted = number - 1
        self.expected = number
        return True

    def may_repeat(self, number: CallNumber) -> bool:
        """Returns whether no later call was released or accepted."""
        return self._newest_accepted <= number and self.expected <= number + 1

    def expire(self, now: float) -> tuple[list[CallNumber], list[CallNumber]]:
        """Ends the wait of calls that were held for ``gap_hold_s``.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The calls to refuse because of a gap, and the calls released.
        """
        if self._unaccepted() is not None:
            return [], []
        expired = sorted(
            number
            for number, entry in self._entry_by_number.items()
            if entry.state is _State.HELD and entry.expires_at <= now
        )
        if expired and not self.exact:
            self.expected = expired[0]
            return [], self._release_next()
        for number in expired:
            del self._entry_by_number[number]
        return expired, []

    def next_expiry(self) -> float | None:
        """Returns when ``expire`` is due, or None if nothing can expire."""
        if self._unaccepted() is not None:
            return None
        held = [
            entry.expires_at
            for entry in self._entry_by_number.values()
            if entry.state is _State.HELD
        ]
        return min(held, default=None)

    @property
    def newest_accepted(self) -> int:
        """Returns the highest number that a target has accepted."""
        return self._newest_accepted

    def dump(self, *, repeatable: bool = False) -> object:
        """Returns the state for a handover.

        Args:
            repeatable: Whether the next owner may run the newest call
                again because its answer is incomplete.
        """
        entry = self._entry_by_number.get(CallNumber(self._newest_accepted))
        if repeatable or entry is None:
            newest = (
                self._newest_accepted - 1
                if repeatable
                else self._newest_accepted
            )
            return [self.expected, self.exact, newest, b""]
        return [self.expected, self.exact, self._newest_accepted, entry.digest]

    @classmethod
    def restored(cls, state: Any, gap_hold_s: float) -> Sequencer:
        """Returns a sequencer with the state that ``dump`` returned."""
        expected, exact, newest, digest = state
        sequencer = cls(gap_hold_s, expected, exact, newest)
        if digest:
            entry = _Entry(digest, 0.0, _State.ACCEPTED)
            sequencer._entry_by_number[CallNumber(newest)] = entry
        return sequencer

    def _prune(self) -> None:
        for number, entry in list(self._entry_by_number.items()):
            old = number <= self._newest_accepted - RETAINED_CALLS
            if old and entry.state is _State.ACCEPTED:
                del self._entry_by_number[number]

    def _unaccepted(self) -> CallNumber | None:
        """Returns the released call that no target has accepted yet."""
        for number, entry in self._entry_by_number.items():
            if entry.state is _State.RELEASED:
                return number
        return None

    def _release_next(self) -> list[CallNumber]:
        if self._unaccepted() is not None:
            return []
        for number in sorted(self._entry_by_number):
            entry = self._entry_by_number[number]
            if entry.state is not _State.HELD:
                continue
            if number > self.expected:
                return []
            return [self._release(number, entry).number]
        return []

    def _release(self, number: CallNumber, entry: _Entry) -> Released:
        entry.state = _State.RELEASED
        self.exact = True
        self.expected = max(self.expected, number + 1)
        return Released(number)
