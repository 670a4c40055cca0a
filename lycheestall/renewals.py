"""Lease renewals in the log, synchronized among the cell's members."""

from __future__ import annotations

from collections.abc import Callable

from .cell_view import WriteResult
from .clock import Clock, Timer
from .ids import Offset
from .log_writer import LogWriter
from .records import SessionRenewed

__all__ = ["Renewals"]

LATE_RENEWAL_S = 1.5


class Renewals:
    """Writes renewals, one at a time.

    The first renewal that is read from the log starts a cycle for all
    members: they renew at the same time and share one append.

    Args:
        writer: The session's writer.
        clock: Monotonic time.
        interval_s: Time between two cycles.
        folded: Returns the newest offset in the state.
        on_renewed: Called with the send time of an accepted renewal.
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
        self._recovered_at = clock.seconds()
        self._timer: Timer | None = None

    @property
    def recovered_at(self) -> float:
        """When a renewal last returned late; others' may be late too."""
        return self._recovered_at

    def start(self) -> None:
        """Writes the first renewal."""
        self._running = True
        self._renew()

    def stop(self) -> None:
        """Stops writing renewals."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def on_renewal_read(self) -> None:
        """Handles any member's renewal that was read from the log."""
        if self._try_start_cycle(self._clock.seconds()):
            self._renew()

    def _renew(self) -> None:
        if self._pending or not self._running:
            return
        self._pending = True
        sent_at = self._clock.seconds()
        body = SessionRenewed(self._folded())
        written = self._writer.submit(body, can_hold=True)
        written.addCallback(self._on_written, sent_at)

    def _on_written(self, result: WriteResult, sent_at: float) -> None:
        self._pending = False
        if not self._running:
            return
        now = self._clock.seconds()
        if now - sent_at > LATE_RENEWAL_S:
            self._recovered_at = now
        self._try_start_cycle(now)
        self._schedule_renewal(self._cycle_at + self._interval_s)
        if result.verdict.accepted:
            self._on_renewed(sent_at)

    def _try_start_cycle(self, now: float) -> bool:
        """Returns whether a renewal read now is the first of its cycle."""
        if now - self._cycle_at < self._interval_s / 2:
            return False
        self._cycle_at = now
        return True

    def _schedule_renewal(self, time: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        wait_s = max(time - self._clock.seconds(), 0.0)
        self._timer = self._clock.callLater(wait_s, self._renew)
