"""Asks peers whether they reach the store while this VM doesn't."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash
from twisted.internet.defer import Deferred, DeferredList

from ..ids import Offset, ZoneId
from ..logs import Logger
from .membership import Member, Members, MemberView
from .outage import OutageTracker, SurveyResult
from .peer_messages import PeerReply, StoreReport, Survey
from .peer_rpc import PeerClient
from .routed_store import RoutedStore
from .token_ledger import HolderId

__all__ = ["PeerSurvey"]

SURVEY_TIMEOUT_S = 0.3
"""Timeout of a peer's report."""

MAJORITY_WAIT_S = 0.1
"""Seconds after which a majority agrees without the peers that are silent."""

PROBE_INTERVAL_S = 1.0
"""Seconds between checks whether the store is available directly again."""


class PeerSurvey:
    """Finds a peer that reaches the store, or agrees that none does.

    Args:
        holder: This VM's ID in the ledger.
        zone: Its availability zone.
        store: The store, reached directly or through a peer.
        members: The VMs of the system.
        outage: Receives the reports.
        peers: Calls the peers.
        clock: Times the calls.
        logger: Receives the results.
        position: Returns the ledger offset read so far.
        store_unavailable: Returns whether a ledger call has failed since the
            last successful one started.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        zone: ZoneId,
        store: RoutedStore,
        members: Members,
        outage: OutageTracker,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
        position: Callable[[], Offset],
        store_unavailable: Callable[[], bool],
    ) -> None:
        self._position = position
        self._store_unavailable = store_unavailable
        self._holder = holder
        self._zone = zone
        self._store = store
        self._members = members
        self._outage = outage
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._probed_at = 0.0
        self._surveying = False
        self._last_result: SurveyResult | None = None

    async def step(self) -> None:
        """Runs one survey or probe if the store is unavailable."""
        if self._store.relayed:
            await self._probe()
            return
        if self._store.direct_unavailable or self._is_away():
            await self._survey()
            return
        self._last_result = None

    def report(self, survey: Survey) -> Deferred[PeerReply]:
        """Reports to a peer whether this VM reaches the store.

        A peer that knows other members also gets the member records that this
        VM has read, so that all VMs agree on the newest ones.

        Args:
            survey: The peer's question.
        """
        checked = self._store.check_reachable(self._position())
        return checked.addCallback(self._report, survey.view)

    def _report(self, store_up: bool, peer_view: str) -> PeerReply:
        digest = self._members.view().digest
        same_view = digest == peer_view
        if not self._store.direct_up:
            self._outage.report_unavailable()
        return StoreReport(
            self._holder,
            store_up=store_up,
            store_unavailable=not self._store.direct_up,
            view=digest,
            members=() if same_view else self._members.records(),
        )

    def _is_away(self) -> bool:
        return not self._store.direct_up and self._store_unavailable()

    async def _probe(self) -> None:
        now = self._clock.seconds()
        if now - self._probed_at < PROBE_INTERVAL_S:
            return
        self._probed_at = now
        await self._store.probe(self._position())

    async def _survey(self) -> None:
        if self._surveying:
            return
        self._surveying = True
        started = self._clock.seconds()
        view = self._members.view()
        others = self._members.group_peers(self._holder)
        reports: list[StoreReport] = []
        timer = self._clock.callLater(
            MAJORITY_WAIT_S, self._add_majority, view, reports, started
        )
        await self._ask(others, view, reports)
        if timer.active():
            timer.cancel()
        self._surveying = False
        result = self._outage.add_survey(view, reports, started)
        self._log_result(result, view, asked=len(others), replies=len(reports))
        relay = self._choose_relay(result, others)
        if relay is not None and self._store.direct_unavailable:
            self._store.relay_through(relay)

    def _add_majority(
        self, view: MemberView, reports: list[StoreReport], started: float
    ) -> None:
        # A silent peer doesn't delay the agreement of the others.
        self._surveying = False
        self._outage.add_survey(view, reports, started)

    def _ask(
        self,
        others: list[Member],
        view: MemberView,
        reports: list[StoreReport],
    ) -> Deferred[Any]:
        message = Survey(self._holder, view.digest)
        calls = [
            self._peers.call(
                member.address, message, timeout_s=SURVEY_TIMEOUT_S
            ).addCallback(self._replied, reports)
            for member in others
        ]
        return DeferredList(calls, consumeErrors=True)

    def _replied(self, reply: Any, reports: list[StoreReport]) -> None:
        if not isinstance(reply, StoreReport):
            return
        reports.append(reply)
        for record in reply.members:
            self._members.apply(record)

    def _log_result(
        self,
        result: SurveyResult,
        view: MemberView,
        *,
        asked: int,
        replies: int,
    ) -> None:
        if result == self._last_result:
            return
        self._last_result = result
        self._logger.info(
            "survey of peers",
            asked=asked,
            answered=replies,
            reaches_store=len(result.reaches_store),
            agreeing=result.agreeing,
            group=len(view.group_of(self._holder)),
        )

    def _choose_relay(
        self, result: SurveyResult, others: list[Member]
    ) -> Member | None:
        reaching = [m for m in others if m.holder in result.reaches_store]
        reaching.sort(key=lambda m: (m.zone != self._zone, m.holder))
        if not reaching:
            return None
        nearest = [m for m in reaching if m.zone == reaching[0].zone]
        # Spreads the VMs without a connection to the store over the relays.
        return nearest[
            xxhash.xxh3_64_intdigest(self._holder.encode()) % len(nearest)
        ]
