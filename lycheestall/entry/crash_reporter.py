"""Tells requests that crash targets from connections that are reset."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..ids import TargetId

__all__ = ["CrashReporter"]

DOUBT_S = 0.05
"""Seconds before and after a lost connection in which the loss of another
target's connection means that the link was lost."""

MAX_LOSSES = 1024
"""Lost connections that are remembered, the last ones."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """A connection that was lost.

    Attributes:
        target: Its target.
        fingerprint: The request that was running; None if there was none.
        at: When it was lost.
    """

    target: TargetId
    fingerprint: str | None
    at: float


class CrashReporter:
    """Reports a request whose target has crashed while running it.

    A crash loses the connections to one target. The loss of a VM's links
    resets connections to several at once, and no request is to blame.

    Args:
        clock: Tells the time and delays the reports.
        report: Reports the fingerprint of a request.
    """

    def __init__(self, clock: Clock, report: Callable[[str], object]) -> None:
        self._clock = clock
        self._report = report
        self._losses: deque[_Loss] = deque(maxlen=MAX_LOSSES)

    def connection_lost(
        self, target: TargetId, fingerprint: str | None
    ) -> None:
        """Notes that a connection was lost, not closed.

        Args:
            target: Its target.
            fingerprint: The request that the target was running; None if
                there was none.
        """
        loss = _Loss(target, fingerprint, self._clock.seconds())
        self._losses.append(loss)
        if fingerprint is not None:
            self._clock.callLater(DOUBT_S, self._report_crash, loss)

    def _report_crash(self, loss: _Loss) -> None:
        assert loss.fingerprint is not None
        if not self._others_lost(loss):
            self._report(loss.fingerprint)

    def _others_lost(self, loss: _Loss) -> bool:
        # Targets that the same request has crashed as well don't count.
        targets: set[TargetId] = set()
        own: set[TargetId] = set()
        for other in self._losses:
            if abs(other.at - loss.at) > DOUBT_S:
                continue
            targets.add(other.target)
            if other.fingerprint == loss.fingerprint:
                own.add(other.target)
        return bool(targets - own)
