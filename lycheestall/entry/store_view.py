"""The configuration and target registrations read from the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..clock import sleep
from ..ids import Offset, TargetId
from ..logs import Logger
from .accounts import ConfigurationEvidence
from .configuration_relay import (
    ASK_WAIT_S,
    MAX_AGE_S,
    ConfigurationRelay,
    ReaderState,
)
from .configuration_state import ConfigurationState
from .connection_pool import ConnectionPool
from .placement.target_chooser import TargetChooser
from .record_decoder import RecordDecoder, UnreadableRecord
from .relay_messages import RelayedConfiguration
from .shared_read import SharedRead
from .store import KeyedRecord, Store, Topic
from .store_health import StoreHealth
from .target_table import TargetProcess, TargetRegistration, TargetTable
from .topic_follower import TopicFollower

__all__ = ["StoreView"]

CONFIGURATION_WAIT_S = 1.5
"""Long-poll wait of configuration reads; also limits how long an
unresponsive connection stays undetected."""

MEMBERS_POLL_S = 0.05
"""Seconds between checks whether the zone's other VMs are known."""

RETRY_S = 0.2
"""Seconds between configuration reads while they fail."""

ASK_AGAIN_S = 0.3
"""Seconds in which peers that had nothing to tell aren't asked again."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection to a target."""

MAX_PAGES = 100
"""Pages of registrations that are read in one go."""

MAX_UNREADABLE = 1024
"""IDs whose records are known to be unreadable, the newest ones; only the
first such record of an ID is logged."""


class StoreView:
    """Follows the configuration and targets topics.

    Also keeps the connection pools of the targets.

    Args:
        store: The store.
        health: Records the outcomes of the calls.
        decoder: Decodes the records.
        table: Receives the registrations.
        chooser: Resets its state of targets that have restarted.
        reactor: Time source and connections.
        logger: Logs changes.
        relay: Passes configurations on within the zone.
        members_known: Returns whether the zone's other VMs are known.
        on_restarted: Called with a target's newer process.

    Attributes:
        configuration: The configuration in force.
        evidence: How recently it was known to be the newest.
        newer_configuration: Asks peers for a newer one.
    """

    def __init__(
        self,
        *,
        store: Store,
        health: StoreHealth,
        decoder: RecordDecoder,
        table: TargetTable,
        chooser: TargetChooser,
        reactor: Any,
        logger: Logger,
        relay: ConfigurationRelay,
        members_known: Callable[[], bool],
        on_restarted: Callable[[TargetProcess], None],
    ) -> None:
        self._on_restarted = on_restarted
        self._relay = relay
        self._members_known = members_known
        self._configuration_record: KeyedRecord | None = None
        self._decoder = decoder
        self._table = table
        self._table_revision = 0
        self._chooser = chooser
        self._reactor = reactor
        self._logger = logger
        self._unreadable: dict[TargetId, None] = {}
        self._pool_by_process: dict[TargetProcess, ConnectionPool] = {}
        self.configuration = ConfigurationState(logger)
        self.evidence = ConfigurationEvidence()
        self.newer_configuration = SharedRead(self._ask_peers, logger)
        self._ask_again_at = float("-inf")
        self._configuration_follower = TopicFollower(
            store,
            Topic.CONFIGURATION,
            clock=reactor,
            health=health,
            apply=self._apply_configuration,
        )
        self._targets_follower = TopicFollower(
            store,
            Topic.TARGETS,
            clock=reactor,
            health=health,
            apply=self._apply_target,
            on_listed=self._apply_listing,
        )

    @property
    def loaded(self) -> bool:
        """Whether a configuration and the targets have been read."""
        if self.configuration.current is None:
            return False
        return self._targets_follower.loaded

    @property
    def targets_read_at(self) -> float:
        """When the latest successful read of the targets started."""
        return self._targets_follower.read_at

    async def poll_configuration(self) -> None:
        """Waits for a newer configuration, from the store or the zone."""
        if self._relay.starting and not self._members_known():
            await sleep(self._reactor, MEMBERS_POLL_S)
            return
        reader = self._relay.reader()
        if reader is None:
            await self._read_configuration()
            return
        asked_at = self._reactor.seconds()
        reply = await self._relay.ask(reader, self._configuration_start)
        if reply is not None:
            self._accept_relayed(reply, asked_at, wait_s=ASK_WAIT_S)
        elif self._relay.starting:
            await sleep(self._reactor, RETRY_S)

    @property
    def _configuration_start(self) -> Offset:
        return self._configuration_follower.position or Offset(0)

    def _accept_relayed(
        self, reply: RelayedConfiguration, asked_at: float, *, wait_s: float
    ) -> None:
        records = [] if reply.value is None else [reply.record()]
        self._configuration_follower.accept(records, reply.end, asked_at)
        # The time of arrival proves nothing: this VM may have been suspended.
        # A reply without a value was held for the whole wait.
        replied_at = asked_at + (wait_s if reply.value is None else 0.0)
        self.evidence.confirmed(replied_at - MAX_AGE_S)

    async def _ask_peers(self) -> bool:
        asked_at = self._reactor.seconds()
        if asked_at < self._ask_again_at:
            return False
        replies = await self._relay.ask_now(self._configuration_start)
        for reply in replies:
            self._accept_relayed(reply, asked_at, wait_s=0.0)
        if not replies:
            self._ask_again_at = self._reactor.seconds() + ASK_AGAIN_S
        return bool(replies)

    async def _read_configuration(self) -> None:
        follower = self._configuration_follower
        if not await follower.read(wait_s=CONFIGURATION_WAIT_S):
            self._relay.read_failed()
            await sleep(self._reactor, RETRY_S)
            return
        self.evidence.confirmed(follower.read_at)
        record, end = self._configuration_record, follower.position
        if record is not None and end is not None:
            state = ReaderState(record, end, follower.read_at)
            self._relay.update(state)

    @property
    def targets_listed_at(self) -> float:
        """When the latest listing of the targets started."""
        return self._targets_follower.listed_at

    async def read_all_targets(self) -> bool:
        """Reads registrations until there are no more, page by page."""
        follower = self._targets_follower
        for _ in range(MAX_PAGES):
            position = follower.position
            if not await follower.read():
                return False
            if follower.position == position:
                return True
        return False

    async def read_targets(self) -> bool:
        """Reads new registrations of targets; returns whether it succeeded."""
        return await self._targets_follower.read()

    def pool_of(self, registration: TargetRegistration) -> ConnectionPool:
        """Returns the connection pool of a registered target process."""
        process = registration.process
        pool = self._pool_by_process.get(process)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                registration.host,
                registration.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            self._pool_by_process[process] = pool
        return pool

    def remove_expired(self) -> None:
        """Deletes lapsed targets and closes outdated connection pools."""
        for target in self._table.expire_lapsed(self._reactor.seconds()):
            self._logger.info("target gone", target=target, lapsed=True)
        if self._table.revision == self._table_revision:
            return
        self._table_revision = self._table.revision
        for process in list(self._pool_by_process):
            registration = self._table.get(process.target)
            if registration is not None and registration.process == process:
                continue
            self._pool_by_process.pop(process).close()

    def close(self) -> None:
        """Closes all idle connections to targets."""
        for pool in self._pool_by_process.values():
            pool.close()

    def _apply_configuration(self, record: KeyedRecord) -> None:
        if not self._decoder.is_configuration(record.key):
            return
        if record.value is None:
            return
        decoded = self._decoder.decode_configuration(record.value)
        if isinstance(decoded, UnreadableRecord):
            self.evidence.record_unreadable(record.offset)
            self._logger.error(
                "configuration record unreadable",
                offset=record.offset,
                reason=decoded.reason,
            )
            return
        self.evidence.record_readable(record.offset)
        self._configuration_record = record
        self.configuration.update(decoded)

    def _apply_target(self, record: KeyedRecord) -> None:
        target = TargetId(record.key.decode("utf-8", "replace"))
        if record.value is None:
            if self._table.remove(target, self._reactor.seconds()):
                self._logger.info(
                    "target gone", target=target, offset=record.offset
                )
            return
        decoded = self._decoder.decode_registration(target, record.value)
        if isinstance(decoded, UnreadableRecord):
            self._log_unreadable(target, record, decoded)
            return
        self._unreadable.pop(target, None)
        self._register(decoded, record)

    def _log_unreadable(
        self,
        target: TargetId,
        record: KeyedRecord,
        unreadable: UnreadableRecord,
    ) -> None:
        # Its writer may write it again every second.
        if target in self._unreadable:
            return
        self._unreadable[target] = None
        if len(self._unreadable) > MAX_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]
        self._logger.warning(
            "target record unreadable",
            target=target,
            offset=record.offset,
            reason=unreadable.reason,
        )

    def _register(
        self, registration: TargetRegistration, record: KeyedRecord
    ) -> None:
        previous = self._table.get(registration.target)
        if (
            previous is not None
            and previous.started_ms > registration.started_ms
        ):
            return
        if not self._table.register(registration):
            return
        self._logger.info(
            "target registered",
            target=registration.target,
            service=registration.service,
            software_version=registration.software_version,
            draining=registration.draining,
            started_ms=registration.started_ms,
            offset=record.offset,
        )
        if previous is None or previous.started_ms != registration.started_ms:
            self._chooser.forget(registration.target)
            self._on_restarted(registration.process)

    def _apply_listing(self, keys: set[bytes]) -> None:
        targets = {TargetId(key.decode("utf-8", "replace")) for key in keys}
        self._table.keep_only(targets, self._reactor.seconds())
