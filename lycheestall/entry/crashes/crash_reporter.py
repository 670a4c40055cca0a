"""Tells requests that crash targets from connections that are lost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from ...clock import Clock
from ...ids import TargetId
from ...logs import Logger
from ..target_table import TargetProcess, TargetTable
from .target_contact import ProbeResult, TargetContact

__all__ = ["DOUBT_S", "CrashReporter", "CrashVerdict"]

DOUBT_S = 0.05
"""Seconds after a lost connection in which its target may still be heard, or
the connections to other targets are lost with it."""

IN_FLIGHT_S = 0.02
"""Seconds after a lost connection in which data that a target sent before may
arrive over other connections."""

RESTART_NOTICE_S = 10.0
"""Seconds after a lost connection in which the registration of a newer process
shows that the target had crashed."""

MAX_LOSSES = 1024
"""Lost connections that are remembered, the last ones."""


class CrashVerdict(Enum):
    """What a lost connection was found to be.

    Attributes:
        CRASHED: The target accepts no connections, while others do.
        RESTARTED: The target has registered another process since.
        ANSWERS: The target was heard afterwards; only a response was lost.
        LEFT: The target was leaving or is no longer registered.
        LINKS_LOST: This VM reaches no other target either.
        SILENT: Nothing was heard of the target, which may be cut off.
    """

    CRASHED = "crashed"
    RESTARTED = "restarted"
    ANSWERS = "answers"
    LEFT = "left"
    LINKS_LOST = "links lost"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class _Loss:
    """A connection that was lost.

    Attributes:
        process: The target's process.
        fingerprint: The request that was running.
        at: When it was lost.
    """

    process: TargetProcess
    fingerprint: str
    at: float


class CrashReporter:
    """Reports a request whose target has crashed while running it.

    That a connection was lost proves no crash: targets reset connections and
    go on. So the target is listened to, then probed with a new connection.
    If it refuses that, another target is probed, since this VM may have lost
    its links. A target that crashes and accepts connections again at once is
    found by the registration of its new process.

    Args:
        clock: Tells the time and delays the verdicts.
        table: The registered targets.
        contact: Returns what tells whether targets are heard.
        report: Reports a request and the process that it has crashed.
        logger: Receives the verdicts.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        table: TargetTable,
        contact: Callable[[], TargetContact],
        report: Callable[[str, TargetProcess], object],
        logger: Logger,
    ) -> None:
        self._clock = clock
        self._table = table
        self._contact = contact
        self._report = report
        self._logger = logger
        self._undecided: deque[_Loss] = deque(maxlen=MAX_LOSSES)

    def connection_lost(self, target: TargetId, fingerprint: str) -> None:
        """Notes that a connection was lost, not closed after a response.

        Args:
            target: Its target.
            fingerprint: The request that the target was running.
        """
        registration = self._table.get(target)
        if registration is None:
            return
        loss = _Loss(registration.process, fingerprint, self._clock.seconds())
        self._clock.callLater(DOUBT_S, self._decide, loss)

    def target_registered(self, process: TargetProcess) -> None:
        """Notes that a target has registered a process.

        Args:
            process: The process; it is newer than the one before.
        """
        now = self._clock.seconds()
        for loss in list(self._undecided):
            if loss.process.target != process.target:
                continue
            if loss.process == process or now - loss.at > RESTART_NOTICE_S:
                continue
            self._undecided.remove(loss)
            self._conclude(loss, CrashVerdict.RESTARTED)

    def _decide(self, loss: _Loss) -> None:
        deciding = ensureDeferred(self._find_verdict(loss))
        deciding.addCallback(lambda verdict: self._conclude(loss, verdict))
        deciding.addErrback(self._failed)

    async def _find_verdict(self, loss: _Loss) -> CrashVerdict:
        target = loss.process.target
        usable = self._table.get_usable(target)
        if usable is None:
            return CrashVerdict.LEFT
        if usable.process != loss.process:
            return CrashVerdict.RESTARTED
        contact = self._contact()
        if contact.heard_since(target, loss.at + IN_FLIGHT_S):
            return CrashVerdict.ANSWERS
        result = await contact.probe(target)
        if result is ProbeResult.CONNECTED:
            return CrashVerdict.ANSWERS
        if result is ProbeResult.SILENT:
            return CrashVerdict.SILENT
        if await contact.reaches_another(target, since=loss.at):
            return CrashVerdict.CRASHED
        return CrashVerdict.LINKS_LOST

    def _conclude(self, loss: _Loss, verdict: CrashVerdict) -> None:
        crashed = verdict in (CrashVerdict.CRASHED, CrashVerdict.RESTARTED)
        self._logger.info(
            "connection lost while a target ran a request",
            target=loss.process.target,
            target_started_ms=loss.process.started_ms,
            fingerprint=loss.fingerprint,
            verdict=verdict.value,
            took_ms=round(1000 * (self._clock.seconds() - loss.at), 1),
        )
        if crashed:
            self._report(loss.fingerprint, loss.process)
        elif verdict is not CrashVerdict.LEFT:
            self._undecided.append(loss)

    def _failed(self, failure: Failure) -> None:
        self._logger.error(
            "finding out why a connection was lost failed",
            error=failure.getTraceback(),
        )
