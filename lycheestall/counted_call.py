"""Counts open calls and their outcomes."""

from __future__ import annotations

from .calls import Call, CallHandle, CallSink, ResponseHead
from .clock import Clock
from .metrics import Metrics
from .outcomes import Outcome

__all__ = ["CallCounter", "CountedCall"]


class CallCounter:
    """Counts the calls that callers make to this VM.

    Args:
        clock: Measures the calls' durations.
        metrics: Records their outcomes.

    Attributes:
        open: Number of calls that have neither ended nor been detached.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self.open = 0
        self._clock = clock
        self._metrics = metrics

    def start(self, call: Call, sink: CallSink) -> CountedCall:
        """Starts to count a call.

        Args:
            call: The call.
            sink: Receives its response.
        """
        self.open += 1
        return CountedCall(self, call, sink, arrived=self._clock.seconds())

    def ended(self, call: Call, outcome: Outcome, arrived: float) -> None:
        """Counts the end of a call.

        Args:
            call: The call.
            outcome: How it ended.
            arrived: When it arrived, by the counter's clock.
        """
        self.detached()
        duration_s = self._clock.seconds() - arrived
        self._metrics.call_ended(call, outcome, duration_s)

    def detached(self) -> None:
        """Counts a call whose caller has disconnected."""
        self.open -= 1


class CountedCall(CallSink, CallHandle):
    """Wraps a call and counts it until it ends or is detached.

    Attributes:
        inner: The handle of the wrapped call.
    """

    def __init__(
        self,
        counter: CallCounter,
        call: Call,
        sink: CallSink,
        *,
        arrived: float,
    ) -> None:
        self._counter = counter
        self._call = call
        self._sink = sink
        self._arrived = arrived
        self._open = True
        self.inner: CallHandle | None = None

    def start(self, head: ResponseHead) -> None:
        """Passes status and headers on."""
        self._sink.start(head)

    def chunk(self, data: bytes) -> None:
        """Passes body bytes on."""
        self._sink.chunk(data)

    def finish(self, outcome: Outcome) -> None:
        """Counts the outcome and passes it on."""
        if self._open:
            self._open = False
            self._counter.ended(self._call, outcome, self._arrived)
        self._sink.finish(outcome)

    def congested(self) -> bool:
        """Returns whether the caller reads too slowly."""
        return self._sink.congested()

    def detach(self) -> None:
        """Counts the call as detached and detaches it."""
        if self._open:
            self._open = False
            self._counter.detached()
        if self.inner is not None:
            self.inner.detach()
