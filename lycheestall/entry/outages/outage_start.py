"""Agrees on an outage as soon as the first call to the store fails."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ...clock import sleep
from ...logs import Logger
from ..ledger_catch_up import LedgerCatchUp
from ..ledger_messages import AskPosition, LedgerPosition
from ..outage import OutageMode, OutageTracker
from ..peer_survey import PeerSurvey
from ..routed_store import RoutedStore
from .ledger_gap import LedgerGap

__all__ = ["OutageStart"]

STEP_S = 0.07
"""Seconds between two surveys at the start of an outage; VMs notice it at
different times."""

STEPS = 20
"""Surveys at the start of an outage; afterwards the polling loops go on."""


class OutageStart:
    """Runs the survey and the collection of the ledger without delay.

    Args:
        store: The store, reached directly or through a peer.
        survey: Asks the peers whether they reach the store.
        catch_up: Collects what this VM must know to decide.
        outage: Tracks outages of the store.
        refresh: Reads the ledger now.
        store_unavailable: Returns whether the last ledger call failed.
        position: Returns the ledger offset read so far.
        clock: Provides the time.
        logger: Receives errors.
    """

    def __init__(
        self,
        *,
        store: RoutedStore,
        survey: PeerSurvey,
        catch_up: LedgerCatchUp,
        outage: OutageTracker,
        refresh: Callable[[], None],
        store_unavailable: Callable[[], bool],
        position: Callable[[], Any],
        clock: Any,
        logger: Logger,
    ) -> None:
        self._store = store
        self._survey = survey
        self._catch_up = catch_up
        self._outage = outage
        self._refresh = refresh
        self._store_unavailable = store_unavailable
        self._position = position
        self._clock = clock
        self._logger = logger
        self._running = False

    def begin(self) -> None:
        """Reads the ledger again after a failed call, and starts surveys."""
        # A second failure tells an outage from a single lost call.
        self._refresh()
        if self._running:
            return
        self._running = True
        self._clock.callLater(0, self._start)

    async def reply_position(self, message: AskPosition) -> LedgerPosition:
        """Returns how much of the ledger this VM, or its group, has read.

        A VM that has not noticed the outage yet calls the store first.

        Args:
            message: The peer's question.
        """
        await self._store.check_reachable(self._position())
        if not self._store.direct_up and not self._store_unavailable():
            self._refresh()
        reply = await self._catch_up.reply_position(message)
        if reply.away:
            self._outage.report_unavailable()
        return reply

    def _start(self) -> None:
        ensureDeferred(self._run()).addErrback(self._failed)

    async def _run(self) -> None:
        for _ in range(STEPS):
            if not self._store_unavailable():
                break
            if not self._decides():
                surveyed: Deferred[None] = ensureDeferred(self._survey.step())
                surveyed.addErrback(self._step_failed)
            await self._catch_up.step()
            if self._decides() and self._catch_up.gap is not LedgerGap.MANY:
                break
            await sleep(self._clock, STEP_S)
        self._running = False

    def _decides(self) -> bool:
        mode = self._outage.mode(self._clock.seconds())
        return mode is OutageMode.DECIDERS

    def _failed(self, failure: Failure) -> None:
        self._running = False
        self._step_failed(failure)

    def _step_failed(self, failure: Failure) -> None:
        self._logger.error(
            "surveying peers at the start of an outage failed",
            error=failure.getTraceback(),
        )
