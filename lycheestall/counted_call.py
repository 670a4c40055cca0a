"""Counts callers' calls under way and how they end."""

from __future__ import annotations

from .calls import Call, CallHandle, CallSink, ResponseHead
from .clock import Clock
from .metrics import Metrics
from .outcomes import Outcome

__all__ = ["CallCounter", "CountedCall"]


class CallCounter:
    """Counts the calls of one VM's callers.

    Args:
        clock: Times the calls.
        metrics: Where their outcomes are counted.

    Attributes:
        open: Calls that have not ended and whose callers have not left.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self.open = 0
        self._clock = clock
        self._metrics = metrics

    def start(self, call: Call, sink: CallSink) -> CountedCall:
        """Counts a call from now on.

        Args:
            call: The call.
            sink: Where its answer goes.
        """
        self.open += 1
        return CountedCall(self, call, sink, arrived=self._clock.seconds())

    def ended(self, call: Call, outcome: Outcome, arrived: float) -> None:
        """Counts the end of a call.

        Args:
            call: The call.
            outcome: How it ended.
            arrived: When it arrived, on the counter's clock.
        """
        self.left()
        duration_s = self._clock.seconds() - arrived
        self._metrics.call_ended(call, outcome, duration_s)

    def left(self) -> None:
        """Counts a call that nobody waits for any more."""
        self.open -= 1


class CountedCall(CallSink, CallHandle):
    """Passes a call through; counts it until it ends or is left.

    Attributes:
        inner: The hold on the call itself.
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
        """Returns whether the reader is slower than the writer."""
        return self._sink.congested()

    def detach(self) -> None:
        """Counts the caller as gone and says so."""
        if self._open:
            self._open = False
            self._counter.left()
        if self.inner is not None:
            self.inner.detach()
