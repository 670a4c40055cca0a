"""Asks peers how the store looks while it does not answer this VM."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash
from twisted.internet.defer import Deferred

from ..ids import Offset, ZoneId
from ..logs import Logger
from .members import Member, Members
from .outage import Outage, SurveyResult
from .peer_link import PeerCaller, call_all
from .peer_messages import PeerReply, StoreReport, Survey
from .routed_store import RoutedStore
from .token_ledger import HolderId

__all__ = ["Surveyor"]

SURVEY_TIMEOUT_S = 0.3
"""Longest time for a peer's report."""

PROBE_S = 1.0
"""Seconds between looks at whether the store answers directly again."""


class Surveyor:
    """Finds a way to the store, or agrees with peers that there is none.

    Args:
        holder: This VM's name in the ledger.
        zone: Its availability zone.
        store: The store and the way to it.
        members: The VMs of the system.
        outage: Takes the answers.
        peers: Calls peers.
        clock: Times the calls.
        logger: Where results are logged.
        position: Returns up to where the configuration has been read.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        zone: ZoneId,
        store: RoutedStore,
        members: Members,
        outage: Outage,
        peers: PeerCaller,
        clock: Any,
        logger: Logger,
        position: Callable[[], Offset],
    ) -> None:
        self._position = position
        self._holder = holder
        self._zone = zone
        self._store = store
        self._members = members
        self._outage = outage
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._probed_at = 0.0
        self._last: SurveyResult | None = None

    async def step(self) -> None:
        """Looks once; does nothing while the store answers."""
        if self._store.relayed:
            await self._probe()
            return
        if not self._store.direct_unavailable:
            self._last = None
            return
        await self._survey()

    def report(self, survey: Survey) -> Deferred[PeerReply]:
        """Returns how the store looks from here.

        Peers that know other members are told the records that this VM
        has read, so that all agree on the newest.

        Args:
            survey: The peer's question.
        """
        checked = self._store.check_reachable(self._position())
        return checked.addCallback(self._report, survey.view)

    def _report(self, store_up: bool, asked_with: str) -> PeerReply:
        digest = self._members.view().digest
        known = digest == asked_with
        return StoreReport(
            self._holder,
            store_up=store_up,
            store_away=not self._store.direct_up,
            view=digest,
            members=() if known else self._members.records(),
        )

    async def _probe(self) -> None:
        now = self._clock.seconds()
        if now - self._probed_at < PROBE_S:
            return
        self._probed_at = now
        await self._store.probe(self._position())

    async def _survey(self) -> None:
        started = self._clock.seconds()
        view = self._members.view()
        message = Survey(self._holder, view.digest)
        others = self._members.neighbours(self._holder)
        replies = await call_all(
            self._peers, others, message, timeout_s=SURVEY_TIMEOUT_S
        )
        reports = [r for r in replies if isinstance(r, StoreReport)]
        for report in reports:
            for record in report.members:
                self._members.apply(record)
        result = self._outage.surveyed(view, reports, started)
        if result != self._last:
            self._last = result
            self._logger.info(
                "survey of peers",
                asked=len(others),
                answered=len(reports),
                reaches_store=len(result.reaches_store),
                agreeing=result.agreeing,
                group=len(view.cell_of(self._holder)),
            )
        relay = self._nearest(result, others)
        if relay is not None and self._store.direct_unavailable:
            self._store.relay_through(relay)

    def _nearest(
        self, result: SurveyResult, others: list[Member]
    ) -> Member | None:
        able = [m for m in others if m.holder in result.reaches_store]
        able.sort(key=lambda m: (m.zone != self._zone, m.holder))
        if not able:
            return None
        near = [m for m in able if m.zone == able[0].zone]
        # Spreads the VMs that are turned away over the others.
        return near[
            xxhash.xxh3_64_intdigest(self._holder.encode()) % len(near)
        ]
