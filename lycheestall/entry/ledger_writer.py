"""Appends this VM's records to the ledger in batches, one at a time."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    DeferredList,
    ensureDeferred,
)

from ..clock import sleep
from ..ids import Offset, ProgramId
from ..logs import Logger
from .crashes.crash_reports import CrashReports
from .reservation_decision import ReservationDecision
from .store import (
    AppendConflict,
    Appended,
    AppendOutcome,
    AppendUnknown,
    KeyedRecord,
    KeyedWrite,
    Store,
    Topic,
    WriterFence,
)
from .store_health import StoreHealth
from .target_table import TargetProcess
from .token_allocator import TokenAllocator, TurnId
from .token_ledger import AllocationWrite, HolderId, encode_allocation
from .topic_follower import TopicFollower

__all__ = ["LedgerWriter", "ReservationResult"]

BATCH_DELAY_S = 0.2
"""Seconds for which records that nobody waits for are collected."""

READ_BACK_DELAY_S = 0.12
"""Seconds without a reply to an append after which the ledger is read to find
out whether the append was carried out."""

APPEND_RETRY_S = 0.25
"""Seconds between appends while the store fails."""

ReservationResult = ReservationDecision | None
"""Result of a turn's reservation; None if no decision could be made."""

AllocationCheck = Callable[
    [list[AllocationWrite]], Coroutine[Deferred[Any], Any, bool]
]
"""Returns whether allocations that were read back may take effect."""


@dataclass(frozen=True, slots=True)
class _PendingReservation:
    """A turn that waits for a record."""

    program: ProgramId
    result: Deferred[ReservationResult]


class LedgerWriter:
    """Appends due records and reads them back before they take effect.

    Args:
        store: The store.
        follower: Follows the ledger.
        allocator: Token budgets of this VM.
        crashes: Crash reports.
        holder: This VM's ID in the ledger.
        clock: Times the appends.
        health: Records the outcomes of store calls.
        logger: Receives appends with an unknown result.
        recovering: Returns whether other VMs' grants of an outage may be
            unrecorded, so that nothing is allocated in advance.
        grants_known: Returns whether all unrecorded grants of a program are
            known; otherwise nothing more of it is allocated in advance.
        may_use: Returns whether allocations that were read back may take
            effect; otherwise they are written again.
    """

    def __init__(
        self,
        *,
        store: Store,
        follower: TopicFollower,
        allocator: TokenAllocator,
        crashes: CrashReports,
        holder: HolderId,
        clock: Any,
        health: StoreHealth,
        logger: Logger,
        recovering: Callable[[], bool],
        grants_known: Callable[[ProgramId], bool],
        may_use: AllocationCheck | None = None,
    ) -> None:
        self._may_use = may_use
        self._recovering = recovering
        self._grants_known = grants_known
        self._store = store
        self._follower = follower
        self._allocator = allocator
        self._crashes = crashes
        self._holder = holder
        self._clock = clock
        self._health = health
        self._logger = logger
        self._epoch = 1
        self._sequence = 0
        self._pending: dict[TurnId, _PendingReservation] = {}
        self._running = False
        self._stopping = False
        self._flush_waiters: list[Deferred[None]] = []
        self._other_writes: list[KeyedWrite] = []
        self._failures = 0
        self._batch_delay: Deferred[None] | None = None
        self._unread_writes: set[tuple[bytes, bytes | None]] = set()

    def reserve(
        self,
        program: ProgramId,
        turn: TurnId,
        *,
        max_tokens: int,
        budget: int,
        grants_known: bool = True,
    ) -> Deferred[ReservationResult] | ReservationDecision | None:
        """Reserves tokens for a turn.

        Args:
            program: The program.
            turn: The turn.
            max_tokens: Maximum tokens that the turn generates.
            budget: The program's token budget.
            grants_known: Whether all grants of the program that are not in
                the ledger are known.

        Returns:
            The decision if it is known at once, None if it needs a record
            and the store is unavailable, else a Deferred of either.
        """
        decision = self._allocator.reserve(
            program,
            turn,
            max_tokens=max_tokens,
            budget=budget,
            now=self._clock.seconds(),
        )
        if decision is not ReservationDecision.NEEDS_RECORD:
            return decision
        if self._health.unavailable or not grants_known:
            self._allocator.cancel(program, turn)
            self.wake()
            return (
                None
                if self._health.unavailable
                else ReservationDecision.RECOVERING
            )
        result: Deferred[ReservationResult] = Deferred(
            lambda _: self._cancel(program, turn)
        )
        self._pending[turn] = _PendingReservation(program, result)
        self.wake()
        return result

    @property
    def store_unavailable(self) -> bool:
        """Whether the store is unavailable."""
        return self._health.unavailable

    @property
    def store_unavailable_since(self) -> float:
        """When the store was last found to be unavailable."""
        return self._health.unavailable_since

    def settle(self, program: ProgramId, turn: TurnId, used: int) -> None:
        """Replaces a turn's reservation by the tokens that it used."""
        self._allocator.settle(program, turn, used, self._clock.seconds())
        self.wake()

    def report_crash(self, fingerprint: str, process: TargetProcess) -> int:
        """Reports a target's process that has crashed running a request."""
        count = self._crashes.record_crash(fingerprint, process)
        self.wake()
        return count

    def request_answered(self, fingerprint: str) -> None:
        """Notes that a target has answered a request."""
        if self._crashes.request_answered(fingerprint):
            self.wake()

    def observe(self, record: KeyedRecord) -> None:
        """Notes a record read from the ledger; it may be one of this VM's."""
        self._unread_writes.discard((record.key, record.value))

    def append_records(self, *writes: KeyedWrite) -> None:
        """Queues records that are not allocations or crash reports."""
        self._other_writes.extend(writes)
        self.wake()

    def wake(self) -> None:
        """Starts writing if records are due."""
        if self._batch_delay is not None and self._is_urgent():
            self._batch_delay.cancel()
        if not self._running and self._has_due_records():
            self._running = True
            ensureDeferred(self._run()).addErrback(self._run_failed)

    def flush(self) -> Deferred[None]:
        """Writes due records without advance allocations, then stops."""
        self._stopping = True
        self._allocator.release_preallocated()
        done: Deferred[None] = Deferred()
        self._flush_waiters.append(done)
        self.wake()
        if not self._running:
            self._notify_flushed()
        return done

    def _has_due_records(self) -> bool:
        if self._other_writes:
            return True
        return (
            self._allocator.has_due_records()
            or self._crashes.has_due_records()
        )

    async def _run(self) -> None:
        while self._has_due_records():
            if not self._is_urgent():
                await self._wait_for_batch()
            if await self._write():
                self._failures = 0
                continue
            self._failures += 1
            if self._failures > 1:
                self._end_pending(None)
                await sleep(self._clock, APPEND_RETRY_S)
        self._failures = 0
        self._running = False
        self._notify_flushed()

    def _is_urgent(self) -> bool:
        if self._stopping or self._other_writes:
            return True
        return (
            self._allocator.has_urgent_records()
            or self._crashes.has_due_records()
        )

    async def _wait_for_batch(self) -> None:
        self._batch_delay = sleep(self._clock, BATCH_DELAY_S)
        try:
            await self._batch_delay
        except CancelledError:
            return
        finally:
            self._batch_delay = None

    def _run_failed(self, failure: Any) -> None:
        self._running = False
        self._logger.error(
            "ledger writer failed", error=failure.getTraceback()
        )
        self._end_pending(None)

    def _notify_flushed(self) -> None:
        waiters, self._flush_waiters = self._flush_waiters, []
        for done in waiters:
            done.callback(None)

    async def _write(self) -> bool:
        # Grants of other VMs in an outage may not be recorded yet.
        preallocate = not self._stopping and not self._recovering()
        allocations = self._allocator.take_writes(
            self._clock.seconds(),
            preallocate=preallocate,
            grants_known=self._grants_known,
        )
        crash_reports = self._crashes.take_writes()
        writes = [
            encode_allocation(write.program, self._holder, write.allocation)
            for write in allocations
        ]
        other_writes, self._other_writes = self._other_writes, []
        writes.extend(crash_reports)
        writes.extend(other_writes)
        if not writes:
            return True
        self._sequence += 1
        fence = WriterFence(self._holder, self._epoch, self._sequence)
        started_at = self._clock.seconds()
        outcome = await self._append(writes, fence)
        now = self._clock.seconds()
        if outcome is None:
            self._logger.info(
                "append confirmed by reading it back",
                records=len(writes),
                waited_ms=round((now - started_at) * 1000, 1),
            )
            return await self._records_read(allocations)
        if isinstance(outcome, Appended):
            self._health.succeeded(now)
            last = Offset(outcome.first + len(writes) - 1)
            if await self._follower.read_until(last):
                return await self._records_read(allocations)
        else:
            # The store rejects a delayed copy of this append by its old epoch.
            self._epoch += 1
            self._sequence = 0
            self._crashes.write_failed(crash_reports)
            self._other_writes = other_writes + self._other_writes
            if isinstance(outcome, AppendConflict):
                self._logger.warning("append refused", reason=outcome.reason)
            else:
                self._health.failed(now, outcome.error, started_at=started_at)
        self._allocator.write_failed(allocations)
        return False

    async def _append(
        self, writes: list[KeyedWrite], fence: WriterFence
    ) -> AppendOutcome | None:
        # Returns None if the reply was lost but all records were read back.
        self._unread_writes = {(write.key, write.value) for write in writes}
        appending = self._store.append(Topic.LEDGER, writes, fence)
        pause = sleep(self._clock, READ_BACK_DELAY_S)
        waited_for: list[Deferred[Any]] = [appending, pause]
        await DeferredList(
            waited_for, fireOnOneCallback=True, consumeErrors=True
        )
        pause.cancel()
        replied = appending.called
        if not replied or isinstance(await appending, AppendUnknown):
            await self._follower.read()
            if not self._unread_writes:
                appending.cancel()
                return None
        return await appending

    async def _records_read(self, allocations: list[AllocationWrite]) -> bool:
        if self._may_use is not None and not await self._may_use(allocations):
            self._logger.warning(
                "no peer confirmed reading the ledger; writing again",
                records=len(allocations),
            )
            # The write succeeded, but is not used until it is written again.
            self._allocator.write_failed(allocations)
            return False
        self._records_applied(allocations)
        return True

    def _records_applied(self, allocations: list[AllocationWrite]) -> None:
        for write in allocations:
            decisions = self._allocator.record_applied(write)
            for turn, decision in decisions:
                reservation = self._pending.pop(turn, None)
                if reservation is not None:
                    reservation.result.callback(decision)
                    continue
                self._logger.error("decision for an unknown turn", turn=turn)

    def _end_pending(self, result: ReservationResult) -> None:
        pending, self._pending = self._pending, {}
        for turn, reservation in pending.items():
            self._allocator.cancel(reservation.program, turn)
            reservation.result.callback(result)

    def _cancel(self, program: ProgramId, turn: TurnId) -> None:
        if self._pending.pop(turn, None) is not None:
            self._allocator.cancel(program, turn)
