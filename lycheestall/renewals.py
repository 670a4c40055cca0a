"""A session's renewals in the log, in step with the other members'."""

from __future__ import annotations

from collections.abc import Callable

from .cell_view import Folded
from .clock import Clock, Timer
from .ids import Offset
from .log_writer import LogWriter
from .records import SessionRenewed

__all__ = ["Renewals"]

LATE_S = 1.5


class Renewals:
    """Writes renewals, one at a time.

    The first renewal that is read starts a cycle for all members, so
    that the cell renews in step and its renewals share an append.

    Args:
        writer: The session's writer.
        clock: Monotonic time.
        interval_s: From one cycle to the next.
        folded: Returns the newest offset in the state.
        on_renewed: Told of an accepted renewal, with when it was sent.
    """

    def __init__(
        self,
        writer: LogWriter,
        clock: Clock,
        *,
        interval_s: float,
        folded: Callable[[], Offset],
        on_renewed: Callable[[float], None],
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._interval_s = interval_s
        self._folded = folded
        self._on_renewed = on_renewed
        self._running = False
        self._pending = False
        self._cycle_at = float("-inf")
        self._back_at = clock.seconds()
        self._timer: Timer | None = None

    @property
    def back_at(self) -> float:
        """When a renewal last came back late; others' may be late too."""
        return self._back_at

    def start(self) -> None:
        """Writes the first renewal."""
        self._running = True
        self._renew()

    def stop(self) -> None:
        """Writes no more."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def read(self) -> None:
        """Takes any member's renewal that was read from the log."""
        if self._starts_cycle(self._clock.seconds()):
            self._renew()

    def _renew(self) -> None:
        if self._pending or not self._running:
            return
        self._pending = True
        sent_at = self._clock.seconds()
        body = SessionRenewed(self._folded())
        written = self._writer.submit(body, can_hold=True)
        written.addCallback(self._written, sent_at)

    def _written(self, folded: Folded, sent_at: float) -> None:
        self._pending = False
        if not self._running:
            return
        now = self._clock.seconds()
        if now - sent_at > LATE_S:
            self._back_at = now
        self._starts_cycle(now)
        self._renew_at(self._cycle_at + self._interval_s)
        if folded.verdict.accepted:
            self._on_renewed(sent_at)

    def _starts_cycle(self, now: float) -> bool:
        """Takes a renewal that was read; True for a cycle's first."""
        if now - self._cycle_at < self._interval_s / 2:
            return False
        self._cycle_at = now
        return True

    def _renew_at(self, time: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        wait_s = max(time - self._clock.seconds(), 0.0)
        self._timer = self._clock.callLater(wait_s, self._renew)
