"""Routes store calls directly or through a peer VM."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, succeed

from ..clock import Timer
from ..ids import Offset
from ..logs import Logger
from .membership import Member
from .peer_rpc import PeerClient
from .relay_messages import RelayAppend, RelayNewest, RelayRead
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
"""Timeout of a relayed call, in addition to the long-poll wait."""

FAILURES_BEFORE_RELAY = 2
"""Consecutive failed direct calls after which a relay is looked for."""

RECENT_SUCCESS_S = 0.15
"""Age up to which a successful call counts as a reachability check."""

CHECK_TIMEOUT_S = 0.18
"""Timeout of a reachability check; shorter than that of a survey, which
waits for the result."""

LATER_TOPICS = (Topic.VERSIONS, Topic.ORIGINS)
"""Topics that VMs of the first build do not know. They don't relay calls for
them, but those for all others."""

_T = TypeVar("_T")


class RoutedStore(Store):
    """Calls the store directly, or through a peer after failures.

    Only calls for the ledger topic count as failures: its partition can be
    unavailable while others respond, and token budgets depend only on it.

    Args:
        direct: The direct client of the store.
        peers: Client for calls to other VMs.
        clock: Time source and timers.
        logger: Logs changes of the route.

    Attributes:
        direct: The direct client of the store.
    """

    def __init__(
        self, direct: Store, peers: PeerClient, clock: Any, logger: Logger
    ) -> None:
        self.direct = direct
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._calls = StoreCallLog(logger, clock)
        self._failures = 0
        self._relay: Member | None = None
        self._succeeded_at = float("-inf")
        self._waiting_checks: list[Deferred[bool]] = []
        self._check_timer: Timer | None = None

    @property
    def direct_up(self) -> bool:
        """Whether the last direct ledger call succeeded."""
        return self._failures == 0

    @property
    def direct_unavailable(self) -> bool:
        """Whether direct ledger calls fail, so that a relay is needed."""
        return self._failures >= FAILURES_BEFORE_RELAY

    @property
    def relayed(self) -> bool:
        """Whether calls are relayed through a peer."""
        return self._relay is not None

    def relay_through(self, member: Member | None) -> None:
        """Relays calls through a peer; None restores direct calls."""
        if member == self._relay:
            return
        self._relay = member
        self._logger.info(
            "store reached through",
            peer=member.holder if member is not None else "itself",
        )

    @property
    def turn_shards(self) -> int:
        """Number of shards of the topic of turns."""
        return self.direct.turn_shards

    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
        *,
        shard: int = 0,
    ) -> Deferred[AppendOutcome]:
        """Appends records atomically."""
        if self._relay is None:
            return self._observed(
                self.direct.append(topic, writes, fence, shard=shard),
                "append",
                topic,
            )
        message = RelayAppend(topic, tuple(writes), fence, shard)
        return self._call_through(
            self._relay, message, 0.0, AppendUnknown("peer did not reply")
        )

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        if self._relay is None:
            return self._observed(
                self.direct.read(topic, start, wait_s=wait_s),
                "read",
                topic,
                wait_s=wait_s,
            )
        return self._call_through(
            self._relay,
            RelayRead(topic, start, wait_s),
            wait_s,
            StoreFailed("peer did not reply"),
        )

    def newest(
        self, topic: Topic, *, after: str | None = None, shard: int = 0
    ) -> Deferred[NewestOutcome]:
        """Lists the newest record of each key, one page per call."""
        if self._relay is None:
            return self._observed(
                self.direct.newest(topic, after=after, shard=shard),
                "list",
                topic,
            )
        return self._call_through(
            self._relay,
            RelayNewest(topic, after, shard),
            0.0,
            StoreFailed("peer did not reply"),
        )

    def probe(self, start: Offset) -> Deferred[ReadOutcome]:
        """Reads directly from the store, also while calls are relayed.

        Args:
            start: Offset in the ledger to read from.
        """
        topic = Topic.LEDGER
        return self._observed(self.direct.read(topic, start), "probe", topic)

    def call_for_peer(self, message: object) -> Deferred[Any]:
        """Calls the store directly for a peer that doesn't reach it.

        Raises:
            ValueError: If the message is not a call to the store.
        """
        if isinstance(message, RelayAppend):
            return self.direct.append(
                message.topic,
                message.writes,
                message.fence,
                shard=message.shard,
            )
        if isinstance(message, RelayRead):
            return self.direct.read(
                message.topic, message.start, wait_s=message.wait_s
            )
        if isinstance(message, RelayNewest):
            return self.direct.newest(
                message.topic, after=message.after, shard=message.shard
            )
        raise ValueError(f"unexpected peer message {type(message).__name__}")

    def check_reachable(self, start: Offset) -> Deferred[bool]:
        """Returns whether this VM can reach the store directly.

        Peers that look for a relay rely on the result. A recent successful
        call is enough; otherwise the store is probed. Concurrent checks
        share one probe.

        Args:
            start: Offset in the ledger to read from.
        """
        if not self.direct_up:
            return succeed(False)
        if self._clock.seconds() - self._succeeded_at < RECENT_SUCCESS_S:
            return succeed(True)
        waiting: Deferred[bool] = Deferred()
        self._waiting_checks.append(waiting)
        if len(self._waiting_checks) == 1:
            self._check_timer = self._clock.callLater(
                CHECK_TIMEOUT_S, self._finish_checks, False
            )
            self.probe(start).addCallback(
                lambda _: self._finish_checks(self.direct_up)
            )
        return waiting

    def _finish_checks(self, reachable: bool) -> None:
        if self._check_timer is not None and self._check_timer.active():
            self._check_timer.cancel()
        waiting_checks, self._waiting_checks = self._waiting_checks, []
        for waiting in waiting_checks:
            waiting.callback(reachable)

    def _observed(
        self,
        outcome: Deferred[_T],
        operation: str,
        topic: Topic,
        *,
        wait_s: float = 0.0,
    ) -> Deferred[_T]:
        started_at = self._clock.seconds()

        def on_outcome(result: Any) -> Any:
            self._calls.call_ended(
                operation,
                topic,
                result,
                started_at=started_at,
                wait_s=wait_s,
            )
            return (
                self._record_outcome(result)
                if topic is Topic.LEDGER
                else result
            )

        return outcome.addCallback(on_outcome)

    def _record_outcome(self, outcome: Any) -> Any:
        if isinstance(outcome, StoreFailed | AppendUnknown):
            self._failures += 1
        else:
            self._failures = 0
            self._succeeded_at = self._clock.seconds()
            self.relay_through(None)
        return outcome

    def _call_through(
        self, member: Member, message: Any, wait_s: float, no_reply: Any
    ) -> Deferred[Any]:
        reply: Deferred[Any] = self._peers.call(
            member.address, message, timeout_s=RELAY_TIMEOUT_S + wait_s
        )
        return reply.addCallback(
            self._on_relayed, member, message.topic, no_reply
        )

    def _on_relayed(
        self, reply: Any, member: Member, topic: Topic, no_reply: Any
    ) -> Any:
        if reply is not None and not isinstance(reply, StoreFailed):
            return reply
        if self._relay == member and topic not in LATER_TOPICS:
            self.relay_through(None)
        return no_reply if reply is None else reply
