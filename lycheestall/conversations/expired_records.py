"""Records of turns that are due to be deleted from the store."""

from __future__ import annotations

from heapq import heappop, heappush

from .turn_records import ShardNumber

__all__ = ["ExpiredRecords"]

EXPIRY_SLACK_S = 30
"""Seconds after its expiry at which a record is deleted: the clocks of VMs
may differ."""

MAX_DELAY_S = 60
"""Seconds for which a deletion may wait for another append to its shard."""

MAX_BATCH = 200
"""Deletions in one append."""


class ExpiredRecords:
    """Collects the keys to delete, by shard.

    Deletions ride along with other appends to the same shard, so that in a
    steady state they cost no call of their own.
    """

    def __init__(self) -> None:
        self._heaps: dict[ShardNumber, list[tuple[int, bytes]]] = {}

    def add(self, shard: ShardNumber, key: bytes, expires_at: int) -> None:
        """Notes a record.

        Args:
            shard: The shard that holds it.
            key: Its key.
            expires_at: Unix time at which it expires.
        """
        heap = self._heaps.setdefault(shard, [])
        heappush(heap, (expires_at + EXPIRY_SLACK_S, key))

    def take_due(self, shard: ShardNumber, unix_now: float) -> list[bytes]:
        """Removes and returns the keys of a shard that are due."""
        heap = self._heaps.get(shard)
        keys: list[bytes] = []
        while heap and heap[0][0] <= unix_now and len(keys) < MAX_BATCH:
            keys.append(heappop(heap)[1])
        return keys

    def put_back(
        self, shard: ShardNumber, keys: list[bytes], unix_now: float
    ) -> None:
        """Returns keys whose deletion failed."""
        heap = self._heaps.setdefault(shard, [])
        for key in keys:
            heappush(heap, (int(unix_now), key))

    def overdue_shards(self, unix_now: float) -> list[ShardNumber]:
        """Returns the shards whose deletions have waited long enough."""
        return [
            shard
            for shard, heap in self._heaps.items()
            if heap and heap[0][0] + MAX_DELAY_S <= unix_now
        ]
