"""What an entry VM has read of the configuration and the targets."""

from __future__ import annotations

from typing import Any

from ..clock import sleep
from ..ids import TargetId
from ..logs import Logger
from .configuration_state import ConfigurationState
from .connection_pool import ConnectionPool
from .record_decoder import RecordDecoder, UnreadableRecord
from .store import KeyedRecord, Store, Topic
from .store_health import StoreHealth
from .target_chooser import TargetChooser
from .target_table import TargetRegistration, TargetTable
from .topic_follower import TopicFollower

__all__ = ["StoreView"]

CONFIGURATION_WAIT_S = 2.0
"""How long the store may hold a read of the configuration; bounds how
long a silent connection goes unnoticed."""

RETRY_S = 0.2
"""Seconds between reads while the store fails."""

CONNECT_TIMEOUT_S = 0.5
"""Longest time for a connection to a target."""


class StoreView:
    """Follows configuration and targets, and connects to the targets.

    Args:
        store: The store.
        health: Learns how the calls went.
        records: Decodes the records.
        table: Takes the targets.
        chooser: Forgets targets that have gone.
        reactor: Times and connects.
        logger: Where changes are logged.
    """

    def __init__(
        self,
        *,
        store: Store,
        health: StoreHealth,
        records: RecordDecoder,
        table: TargetTable,
        chooser: TargetChooser,
        reactor: Any,
        logger: Logger,
    ) -> None:
        self._records = records
        self._table = table
        self._table_revision = 0
        self._chooser = chooser
        self._reactor = reactor
        self._logger = logger
        self._pool_by_target: dict[tuple[TargetId, int], ConnectionPool] = {}
        self.configuration = ConfigurationState(logger)
        self._configuration_follower = TopicFollower(
            store,
            Topic.CONFIGURATION,
            clock=reactor,
            health=health,
            apply=self._take_configuration,
        )
        self._targets_follower = TopicFollower(
            store,
            Topic.TARGETS,
            clock=reactor,
            health=health,
            apply=self._take_target,
            listed=self._take_listing,
        )

    @property
    def loaded(self) -> bool:
        """Whether there is a configuration and the targets are read."""
        if self.configuration.current is None:
            return False
        return self._targets_follower.loaded

    @property
    def targets_read_at(self) -> float:
        """When the newest knowledge of the targets was asked for."""
        return self._targets_follower.read_at

    async def poll_configuration(self) -> None:
        """Waits for a newer configuration."""
        follower = self._configuration_follower
        if not await follower.read(wait_s=CONFIGURATION_WAIT_S):
            await sleep(self._reactor, RETRY_S)

    async def poll_targets(self) -> None:
        """Reads what targets have registered."""
        await self._targets_follower.read()

    def pool_of(self, entry: TargetRegistration) -> ConnectionPool:
        """Returns the connections to one life of a target."""
        key = (entry.target, entry.started_ms)
        pool = self._pool_by_target.get(key)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                entry.host,
                entry.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            self._pool_by_target[key] = pool
        return pool

    def forget_gone(self) -> None:
        """Drops targets that did not come back, and their connections."""
        for target in self._table.expire_lapsed(self._reactor.seconds()):
            self._logger.info("target gone", target=target, lapsed=True)
        if self._table.revision == self._table_revision:
            return
        self._table_revision = self._table.revision
        for key in list(self._pool_by_target):
            entry = self._table.get(key[0])
            if entry is not None and entry.started_ms == key[1]:
                continue
            self._pool_by_target.pop(key).close()

    def close(self) -> None:
        """Drops all connections to targets."""
        for pool in self._pool_by_target.values():
            pool.close()

    def _take_configuration(self, record: KeyedRecord) -> None:
        if not self._records.is_configuration(record.key):
            return
        if record.value is None:
            return
        decoded = self._records.configuration(record.value)
        if isinstance(decoded, UnreadableRecord):
            self._logger.error(
                "configuration unreadable",
                offset=record.offset,
                reason=decoded.reason,
            )
            return
        self.configuration.offer(decoded)

    def _take_target(self, record: KeyedRecord) -> None:
        target = TargetId(record.key.decode("utf-8", "replace"))
        if record.value is None:
            if self._table.remove(target, self._reactor.seconds()):
                self._logger.info(
                    "target gone", target=target, offset=record.offset
                )
            return
        decoded = self._records.target(target, record.value)
        if isinstance(decoded, UnreadableRecord):
            self._logger.warning(
                "target record unreadable",
                target=target,
                offset=record.offset,
                reason=decoded.reason,
            )
            return
        self._register(decoded, record)

    def _register(
        self, entry: TargetRegistration, record: KeyedRecord
    ) -> None:
        known = self._table.get(entry.target)
        if known is not None and known.started_ms > entry.started_ms:
            return
        if not self._table.register(entry):
            return
        self._logger.info(
            "target registered",
            target=entry.target,
            service=entry.service,
            draining=entry.draining,
            started_ms=entry.started_ms,
            offset=record.offset,
        )
        if known is None or known.started_ms != entry.started_ms:
            self._chooser.forget(entry.target)

    def _take_listing(self, keys: set[bytes]) -> None:
        targets = {TargetId(key.decode("utf-8", "replace")) for key in keys}
        self._table.keep_only(targets, self._reactor.seconds())
