"""The store, directly or through a peer that reaches it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, succeed

from ..clock import Timer
from ..ids import Offset
from ..logs import Logger
from .members import Member
from .peer_link import PeerCaller
from .peer_messages import RelayAppend, RelayNewest, RelayRead
from .store import (
    AppendOutcome,
    AppendUnknown,
    KeyedWrite,
    NewestOutcome,
    ReadOutcome,
    Store,
    StoreFailed,
    Topic,
    WriterFence,
)
from .store_call_log import StoreCallLog

__all__ = ["RoutedStore"]

RELAY_TIMEOUT_S = 1.2
"""Longest time for a relayed call, beyond what the store may wait."""

FAILURES_FOR_AWAY = 2
"""Direct calls in a row that fail before peers are asked."""

FRESH_S = 0.15
"""Age up to which an answer of the store proves that it is up."""

CHECK_TIMEOUT_S = 0.18
"""Longest time for such a proof; shorter than a survey."""

_T = TypeVar("_T")


class RoutedStore(Store):
    """Calls the store directly until that fails, then through a peer.

    Only calls about the ledger count: its part of the store can be away
    while others answer, and budgets depend on it alone.

    Args:
        direct: The store itself.
        peers: Calls peers.
        clock: Tells the time.
        logger: Where changes of the way are logged.
    """

    def __init__(
        self, direct: Store, peers: PeerCaller, clock: Any, logger: Logger
    ) -> None:
        self.direct = direct
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._calls = StoreCallLog(logger, clock)
        self._failures = 0
        self._relay: Member | None = None
        self._answered_at = float("-inf")
        self._checks: list[Deferred[bool]] = []
        self._check_timer: Timer | None = None

    @property
    def direct_up(self) -> bool:
        """Whether the store itself has answered lately."""
        return self._failures == 0

    @property
    def direct_unavailable(self) -> bool:
        """Whether peers should be asked for the store."""
        return self._failures >= FAILURES_FOR_AWAY

    @property
    def relayed(self) -> bool:
        """Whether calls go through a peer."""
        return self._relay is not None

    def relay_through(self, member: Member | None) -> None:
        """Sends calls through a peer from now on; None: directly."""
        if member == self._relay:
            return
        self._relay = member
        self._logger.info(
            "store reached through",
            peer=member.holder if member is not None else "itself",
        )

    def append(
        self, topic: Topic, writes: Sequence[KeyedWrite], fence: WriterFence
    ) -> Deferred[AppendOutcome]:
        """Appends records, all or nothing."""
        if self._relay is None:
            return self._noted(
                self.direct.append(topic, writes, fence), "append", topic
            )
        message = RelayAppend(topic, tuple(writes), fence)
        return self._through(
            self._relay, message, 0.0, AppendUnknown("peer did not answer")
        )

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        if self._relay is None:
            return self._noted(
                self.direct.read(topic, start, wait_s=wait_s),
                "read",
                topic,
                wait_s=wait_s,
            )
        return self._through(
            self._relay,
            RelayRead(topic, start, wait_s),
            wait_s,
            StoreFailed("peer did not answer"),
        )

    def newest(
        self, topic: Topic, *, after: str | None = None
    ) -> Deferred[NewestOutcome]:
        """Reads a page of the newest record of each key."""
        if self._relay is None:
            return self._noted(
                self.direct.newest(topic, after=after), "list", topic
            )
        return self._through(
            self._relay,
            RelayNewest(topic, after),
            0.0,
            StoreFailed("peer did not answer"),
        )

    def probe(self, start: Offset) -> Deferred[ReadOutcome]:
        """Asks the store itself, whatever way calls go now.

        Args:
            start: Offset in the ledger to read from.
        """
        topic = Topic.LEDGER
        return self._noted(self.direct.read(topic, start), "probe", topic)

    def check(self, start: Offset) -> Deferred[bool]:
        """Tells whether the store answers this VM itself just now.

        An answer of a moment ago is proof enough; otherwise the store is
        asked. Peers that look for a way to it rely on this.

        Args:
            start: Offset in the ledger to read from.
        """
        if not self.direct_up:
            return succeed(False)
        if self._clock.seconds() - self._answered_at < FRESH_S:
            return succeed(True)
        told: Deferred[bool] = Deferred()
        self._checks.append(told)
        if len(self._checks) == 1:
            self._check_timer = self._clock.callLater(
                CHECK_TIMEOUT_S, self._checked, False
            )
            self.probe(start).addCallback(
                lambda _: self._checked(self.direct_up)
            )
        return told

    def _checked(self, answers: bool) -> None:
        if self._check_timer is not None and self._check_timer.active():
            self._check_timer.cancel()
        checks, self._checks = self._checks, []
        for told in checks:
            told.callback(answers)

    def _noted(
        self,
        outcome: Deferred[_T],
        operation: str,
        topic: Topic,
        *,
        wait_s: float = 0.0,
    ) -> Deferred[_T]:
        started_at = self._clock.seconds()

        def note(answer: Any) -> Any:
            self._calls.ended(
                operation,
                topic,
                answer,
                started_at=started_at,
                wait_s=wait_s,
            )
            return self._note(answer) if topic is Topic.LEDGER else answer

        return outcome.addCallback(note)

    def _note(self, outcome: Any) -> Any:
        if isinstance(outcome, StoreFailed | AppendUnknown):
            self._failures += 1
        else:
            self._failures = 0
            self._answered_at = self._clock.seconds()
            self.relay_through(None)
        return outcome

    def _through(
        self, member: Member, message: Any, wait_s: float, unanswered: Any
    ) -> Deferred[Any]:
        reply: Deferred[Any] = self._peers.call(
            member.address, message, timeout_s=RELAY_TIMEOUT_S + wait_s
        )
        return reply.addCallback(self._relayed_outcome, member, unanswered)

    def _relayed_outcome(
        self, reply: Any, member: Member, unanswered: Any
    ) -> Any:
        if reply is not None and not isinstance(reply, StoreFailed):
            return reply
        if self._relay == member:
            self.relay_through(None)
        return unanswered if reply is None else reply
