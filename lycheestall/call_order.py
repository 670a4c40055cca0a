"""Starts one program's calls in the order its sequencer decides."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .calls import CallHandle, CallSink
from .clock import Clock, Timer
from .history import ChainPoint
from .ids import CallNumber
from .outcomes import Reason, Refused, Step
from .sequencer import OfferResult, Sequencer

__all__ = [
    "CallOrder",
    "EndedCallHandle",
    "KeyedCall",
    "RunningCall",
]


class RunningCall(ABC):
    """A call that is held, running or being answered."""

    @abstractmethod
    def proceed(self) -> None:
        """Starts the call, which the sequencer has released."""

    @abstractmethod
    def stop(self, refused: Refused) -> None:
        """Ends the call at once, as far as that is possible.

        Args:
            refused: The outcome if no target has the call; otherwise the
                call fails with the same reason.
        """

    @property
    @abstractmethod
    def may_have_run(self) -> bool:
        """Whether a target has received the call, or may have."""

    def blocks_handover(self) -> bool:
        """Returns whether a record of the call is not read back yet."""
        return False

    def pending_point(self) -> ChainPoint | None:
        """Returns the history point that the call's answer completes."""
        return None


class KeyedCall(RunningCall):
    """A call with an idempotency key.

    Attributes:
        digest: Digest of the application, operation and body.
    """

    digest: bytes

    @abstractmethod
    def join(self, sink: CallSink) -> CallHandle:
        """Sends the answer to another request for the same call too."""


class EndedCallHandle(CallHandle):
    """The handle of a call that has already ended."""

    def detach(self) -> None:
        """Does nothing."""


class CallOrder:
    """Holds calls until their sequencer releases them.

    Args:
        sequencer: Decides the order.
        clock: Times how long calls are held.
    """

    def __init__(self, sequencer: Sequencer, clock: Clock) -> None:
        self.sequencer = sequencer
        self._clock = clock
        self._held_by_number: dict[CallNumber, RunningCall] = {}
        self._timer: Timer | None = None

    def offer(self, number: int, digest: bytes) -> OfferResult:
        """Returns the sequencer's decision on a call that arrived."""
        return self.sequencer.offer(number, digest, self._clock.seconds())

    def hold(self, number: CallNumber, call: RunningCall) -> None:
        """Keeps a call until the sequencer releases it."""
        self._held_by_number[number] = call
        self._schedule_expiry()

    def drop(self, number: CallNumber) -> None:
        """Removes a held call that has ended."""
        self._held_by_number.pop(number, None)

    def accepted(self, number: CallNumber) -> None:
        """Records that a target accepted a call; starts the next one."""
        self._release(self.sequencer.accepted(number))

    def refused(self, number: CallNumber) -> None:
        """Records that a call was not run; starts the next one."""
        self._release(self.sequencer.refused(number))

    def _release(self, numbers: list[CallNumber]) -> None:
        for number in numbers:
            call = self._held_by_number.pop(number, None)
            if call is None:
                self.refused(number)
                continue
            call.proceed()
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        due = self.sequencer.next_expiry()
        if due is None:
            return
        wait_s = max(0.0, due - self._clock.seconds())
        self._timer = self._clock.callLater(wait_s, self._expire)

    def _expire(self) -> None:
        expired, released = self.sequencer.expire(self._clock.seconds())
        for number in expired:
            call = self._held_by_number.pop(number, None)
            if call is not None:
                call.stop(self._gap_refusal(number))
        self._release(released)

    def _gap_refusal(self, number: CallNumber) -> Refused:
        expected = self.sequencer.expected
        return Refused(
            Step.ORDER,
            Reason.CALL_GAP,
            retry_after_s=self.sequencer.gap_hold_s,
            detail=f"call {number} came, call {expected} did not",
            needs=f"call {expected} first",
        )
