"""Lets one program's calls go on in the order its sequencer decides."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .calls import CallHandle, CallSink
from .clock import Clock, Timer
from .history import ChainPoint
from .ids import CallNumber
from .outcomes import Reason, Refused, Step
from .sequencer import Offer, Sequencer

__all__ = ["CallOrder", "KeyedCall", "NoHandle", "RunningCall"]


class RunningCall(ABC):
    """A call that is held, under way, or being answered."""

    @abstractmethod
    def go(self) -> None:
        """The calls before it have passed; it goes on."""

    @abstractmethod
    def stop(self, refused: Refused) -> None:
        """Ends the call at once, as far as that is possible.

        Args:
            refused: What the caller is told if no target has the call;
                else the call fails for the same reason.
        """

    @property
    @abstractmethod
    def passed(self) -> bool:
        """Whether a target has, or may have, the call."""

    def blocks_handover(self) -> bool:
        """Returns whether the call's record is still to be read back."""
        return False

    def pending_point(self) -> ChainPoint | None:
        """Returns the history point that its answer will complete."""
        return None


class KeyedCall(RunningCall):
    """A call under an idempotency key.

    Attributes:
        digest: Digest of application, operation and body.
    """

    digest: bytes

    @abstractmethod
    def join(self, sink: CallSink) -> CallHandle:
        """Gives another asker of the same call its answer."""


class NoHandle(CallHandle):
    """The hold on a call that has ended already."""

    def detach(self) -> None:
        """Does nothing."""


class CallOrder:
    """Holds calls back and releases them.

    Args:
        sequencer: Decides.
        clock: Times the gaps.
    """

    def __init__(self, sequencer: Sequencer, clock: Clock) -> None:
        self.sequencer = sequencer
        self._clock = clock
        self._held_by_number: dict[CallNumber, RunningCall] = {}
        self._timer: Timer | None = None

    def offer(self, number: int, digest: bytes) -> Offer:
        """Asks the sequencer about a call that arrives."""
        return self.sequencer.offer(number, digest, self._clock.seconds())

    def hold(self, number: CallNumber, call: RunningCall) -> None:
        """Keeps a call until the sequencer releases it."""
        self._held_by_number[number] = call
        self._arm()

    def drop(self, number: CallNumber) -> None:
        """Forgets a held call that has ended."""
        self._held_by_number.pop(number, None)

    def passed(self, number: CallNumber) -> None:
        """A target has the call, or it ended after a target had it."""
        self._release(self.sequencer.passed(number))

    def refused(self, number: CallNumber) -> None:
        """The call ended without a target."""
        self._release(self.sequencer.refused(number))

    def _release(self, numbers: list[CallNumber]) -> None:
        for number in numbers:
            call = self._held_by_number.pop(number, None)
            if call is None:
                self.refused(number)
                continue
            call.go()
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        due = self.sequencer.next_expiry()
        if due is None:
            return
        wait_s = max(0.0, due - self._clock.seconds())
        self._timer = self._clock.callLater(wait_s, self._expire)

    def _expire(self) -> None:
        late, released = self.sequencer.expire(self._clock.seconds())
        for number in late:
            call = self._held_by_number.pop(number, None)
            if call is not None:
                call.stop(self._gap(number))
        self._release(released)

    def _gap(self, number: CallNumber) -> Refused:
        expected = self.sequencer.expected
        return Refused(
            Step.ORDER,
            Reason.CALL_GAP,
            retry_after_s=self.sequencer.gap_hold_s,
            detail=f"call {number} came, call {expected} did not",
            needs=f"call {expected} first",
        )
