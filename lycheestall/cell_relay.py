"""Combines the log appends of a cell's VMs.

One member, chosen by rendezvous hashing, appends for all members, so
that the number of appends doesn't grow with the number of VMs. The relay
confirms nothing: a writer considers a record written when it reads it
back, and otherwise appends without the relay.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from twisted.internet.defer import ensureDeferred

from .clock import Clock, Timer
from .ids import StreamName, VmId
from .platform_services import LogService
from .rendezvous import rendezvous

__all__ = ["CellRelay", "choose_relay"]

RELAY_FLUSH_S = 0.005
APPEND_TIMEOUT_S = 2.0
MAX_BATCH_BYTES = 1024 * 1024
MAX_QUEUED_BYTES = 8 * 1024 * 1024


def choose_relay(stream: StreamName, members: Iterable[VmId]) -> VmId | None:
    """Returns the member that appends to a stream for the others.

    Args:
        stream: The stream.
        members: The VMs that answer heartbeats and are not leaving.
    """
    return rendezvous(stream, members)


@dataclass(slots=True)
class _Queue:
    """Payloads that wait for the next append to one stream."""

    groups: list[tuple[bytes, ...]] = field(default_factory=list)
    size: int = 0
    due_at: float = float("inf")
    last_append_at: float = float("-inf")
    timer: Timer | None = None
    append_number: int = 0
    in_flight: bool = False


class CellRelay:
    """Batches the payloads of several writers into common appends.

    At most one append per stream is in flight, and appends to a stream
    start at least ``interval_s`` apart, which bounds the cell's append
    rate. Payloads that were added together stay together and in order.

    Args:
        log: The platform's log service.
        clock: Monotonic clock.
        interval_s: Minimum time between two appends to a stream.
    """

    def __init__(
        self, log: LogService, clock: Clock, *, interval_s: float
    ) -> None:
        self._log = log
        self._clock = clock
        self._interval_s = interval_s
        self._queue_by_stream: dict[StreamName, _Queue] = {}

    def add(
        self,
        stream: StreamName,
        payloads: tuple[bytes, ...],
        *,
        hold_s: float = 0.0,
    ) -> bool:
        """Queues payloads for the next append.

        Args:
            stream: The stream.
            payloads: One writer's records, in order.
            hold_s: How long they may wait for other payloads.

        Returns:
            False if the queue is full.
        """
        queue = self._queue_by_stream.setdefault(stream, _Queue())
        size = sum(len(payload) for payload in payloads)
        if queue.size + size > MAX_QUEUED_BYTES:
            return False
        queue.groups.append(payloads)
        queue.size += size
        wait_s = max(hold_s, RELAY_FLUSH_S)
        queue.due_at = min(queue.due_at, self._clock.seconds() + wait_s)
        self._schedule(stream, queue)
        return True

    def stop(self) -> None:
        """Drops all queued payloads."""
        for queue in self._queue_by_stream.values():
            if queue.timer is not None and queue.timer.active():
                queue.timer.cancel()
        self._queue_by_stream.clear()

    def _schedule(self, stream: StreamName, queue: _Queue) -> None:
        if queue.in_flight:
            return
        if queue.timer is not None and queue.timer.active():
            queue.timer.cancel()
        due_at = max(queue.due_at, queue.last_append_at + self._interval_s)
        wait_s = max(due_at - self._clock.seconds(), 0.0)
        queue.timer = self._clock.callLater(wait_s, self._flush, stream, queue)

    def _flush(self, stream: StreamName, queue: _Queue) -> None:
        batch: list[bytes] = []
        size = 0
        while queue.groups:
            group = queue.groups[0]
            group_size = sum(len(payload) for payload in group)
            if batch and size + group_size > MAX_BATCH_BYTES:
                break
            batch.extend(queue.groups.pop(0))
            size += group_size
        queue.size -= size
        if not queue.groups:
            queue.due_at = float("inf")
        queue.last_append_at = self._clock.seconds()
        queue.in_flight = True
        queue.append_number += 1
        queue.timer = self._clock.callLater(
            APPEND_TIMEOUT_S,
            self._append_ended,
            None,
            stream,
            queue,
            queue.append_number,
        )
        answer = ensureDeferred(self._log.append(stream, batch))
        answer.addBoth(self._append_ended, stream, queue, queue.append_number)

    def _append_ended(
        self,
        result: object,
        stream: StreamName,
        queue: _Queue,
        append_number: int,
    ) -> None:
        if not queue.in_flight or append_number != queue.append_number:
            return
        queue.in_flight = False
        if queue.timer is not None and queue.timer.active():
            queue.timer.cancel()
        if queue.groups:
            self._schedule(stream, queue)
