"""Writes this VM's records to the ledger, in groups, one at a time."""

from __future__ import annotations

from collections.abc import Callable
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
from .crash_reports import CrashReports
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
from .token_books import BookDecision, RecordedGrant, TokenBooks, TurnId
from .token_ledger import HolderId, grant_write
from .topic_follower import TopicFollower

__all__ = ["LedgerWriter", "TurnAnswer"]

LINGER_S = 0.2
"""Seconds that records nobody waits for are gathered."""

CHECK_S = 0.12
"""Seconds after which the ledger is read to see whether an append whose
answer is missing has been carried out."""

RETRY_S = 0.25
"""Seconds between appends while the store fails."""

TurnAnswer = BookDecision | None
"""A turn's answer; None when the store did not answer."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A turn that waits for a record."""

    program: ProgramId
    answer: Deferred[TurnAnswer]


class LedgerWriter:
    """Appends due records and reads them back before they count.

    Args:
        store: The store.
        follower: Follows the ledger.
        books: Token budgets.
        crashes: Crash reports.
        holder: This VM's name in the ledger.
        clock: Times the appends.
        health: Learns how the calls went.
        logger: Where appends of unknown fate are logged.
        hold_off: Whether records of others may still be missing, so that
            no turn may start by the ledger alone.
    """

    def __init__(
        self,
        *,
        store: Store,
        follower: TopicFollower,
        books: TokenBooks,
        crashes: CrashReports,
        holder: HolderId,
        clock: Any,
        health: StoreHealth,
        logger: Logger,
        hold_off: Callable[[], bool],
    ) -> None:
        self._hold_off = hold_off
        self._store = store
        self._follower = follower
        self._books = books
        self._crashes = crashes
        self._holder = holder
        self._clock = clock
        self._health = health
        self._logger = logger
        self._epoch = 1
        self._sequence = 0
        self._waiting: dict[TurnId, _Waiting] = {}
        self._running = False
        self._stopping = False
        self._idle: list[Deferred[None]] = []
        self._notices: list[KeyedWrite] = []
        self._failures = 0
        self._lingering: Deferred[None] | None = None
        self._unseen: set[tuple[bytes, bytes | None]] = set()

    def reserve(
        self,
        program: ProgramId,
        turn: TurnId,
        *,
        most: int,
        budget: int,
        settled: bool = False,
    ) -> Deferred[TurnAnswer] | BookDecision | None:
        """Asks for a turn's tokens.

        Args:
            program: The program.
            turn: The turn.
            most: Most tokens that it generates.
            budget: Tokens that the program may generate.
            settled: Whether the book knows what an outage's decider has
                granted of the program.

        Returns:
            The decision where it is known at once, None where a record
            is needed and the store is away, else a Deferred of either.
        """
        decision = self._books.ask(
            program,
            turn,
            most=most,
            budget=budget,
            now=self._clock.seconds(),
        )
        if decision is not BookDecision.NEEDS_RECORD:
            return decision
        unsettled = self._hold_off() and not settled
        if self._health.unavailable or unsettled:
            self._books.withdraw(program, turn)
            self.wake()
            return None if self._health.unavailable else BookDecision.SETTLING
        answer: Deferred[TurnAnswer] = Deferred(
            lambda _: self._withdraw(program, turn)
        )
        self._waiting[turn] = _Waiting(program, answer)
        self.wake()
        return answer

    @property
    def store_away(self) -> bool:
        """Whether records can't be written now."""
        return self._health.unavailable

    @property
    def away_since(self) -> float:
        """When the store was last found to be away."""
        return self._health.unavailable_since

    def settle(self, program: ProgramId, turn: TurnId, handed: int) -> None:
        """Ends a turn that was granted."""
        self._books.settle(program, turn, handed, self._clock.seconds())
        self.wake()

    def crashed(self, request: str) -> int:
        """Reports a target lost while it ran a request."""
        count = self._crashes.crashed(request)
        self.wake()
        return count

    def saw(self, record: KeyedRecord) -> None:
        """Takes a record of the ledger; it may be one of this VM's."""
        self._unseen.discard((record.key, record.value))

    def announce(self, write: KeyedWrite) -> None:
        """Writes a record that is not about tokens."""
        self._notices.append(write)
        self.wake()

    def wake(self) -> None:
        """Starts writing if records are due."""
        if self._lingering is not None and self._hurried():
            self._lingering.cancel()
        if not self._running and self._due():
            self._running = True
            ensureDeferred(self._run()).addErrback(self._run_failed)

    def flush(self) -> Deferred[None]:
        """Writes what is due without holding turns ahead, then stops."""
        self._stopping = True
        self._books.release_ahead()
        done: Deferred[None] = Deferred()
        self._idle.append(done)
        self.wake()
        if not self._running:
            self._tell_idle()
        return done

    def _due(self) -> bool:
        if self._notices:
            return True
        return self._books.pending() or self._crashes.pending()

    async def _run(self) -> None:
        while self._due():
            if not self._hurried():
                await self._linger()
            if await self._write():
                self._failures = 0
                continue
            self._failures += 1
            if self._failures > 1:
                self._answer_all(None)
                await sleep(self._clock, RETRY_S)
        self._failures = 0
        self._running = False
        self._tell_idle()

    def _hurried(self) -> bool:
        if self._stopping or self._notices:
            return True
        return self._books.urgent() or self._crashes.pending()

    async def _linger(self) -> None:
        self._lingering = sleep(self._clock, LINGER_S)
        try:
            await self._lingering
        except CancelledError:
            return
        finally:
            self._lingering = None

    def _run_failed(self, failure: Any) -> None:
        self._running = False
        self._logger.error("ledger writer", error=failure.getTraceback())
        self._answer_all(None)

    def _tell_idle(self) -> None:
        idle, self._idle = self._idle, []
        for done in idle:
            done.callback(None)

    async def _write(self) -> bool:
        # What others were granted in an outage may not be recorded yet.
        ahead = not self._stopping and not self._hold_off()
        grants = self._books.take_writes(self._clock.seconds(), ahead=ahead)
        reports = self._crashes.take_writes()
        writes = [
            grant_write(grant.program, self._holder, grant.holding)
            for grant in grants
        ]
        notices, self._notices = self._notices, []
        writes.extend(reports)
        writes.extend(notices)
        if not writes:
            return True
        self._sequence += 1
        fence = WriterFence(self._holder, self._epoch, self._sequence)
        started_at = self._clock.seconds()
        outcome = await self._append(writes, fence)
        now = self._clock.seconds()
        if outcome is None:
            self._logger.info(
                "append read back without an answer",
                records=len(writes),
                waited_ms=round((now - started_at) * 1000, 1),
            )
            self._written(grants)
            return True
        if isinstance(outcome, Appended):
            self._health.succeeded(now)
            last = Offset(outcome.first + len(writes) - 1)
            if await self._follower.read_until(last):
                self._written(grants)
                return True
        else:
            # A newer epoch keeps a late copy of this append out.
            self._epoch += 1
            self._sequence = 0
            self._crashes.write_failed(reports)
            self._notices = notices + self._notices
            if isinstance(outcome, AppendConflict):
                self._logger.warning("append refused", reason=outcome.reason)
            else:
                self._health.failed(now, outcome.error, started_at=started_at)
        self._books.write_failed(grants)
        return False

    async def _append(
        self, writes: list[KeyedWrite], fence: WriterFence
    ) -> AppendOutcome | None:
        # None: all records were read back, so the answer was lost.
        self._unseen = {(write.key, write.value) for write in writes}
        appending = self._store.append(Topic.LEDGER, writes, fence)
        pause = sleep(self._clock, CHECK_S)
        first: list[Deferred[Any]] = [appending, pause]
        await DeferredList(first, fireOnOneCallback=True, consumeErrors=True)
        pause.cancel()
        answered = appending.called
        if not answered or isinstance(await appending, AppendUnknown):
            await self._follower.read()
            if not self._unseen:
                appending.cancel()
                return None
        return await appending

    def _written(self, grants: list[RecordedGrant]) -> None:
        for grant in grants:
            answers = self._books.written(grant)
            for turn, decision in answers:
                waiting = self._waiting.pop(turn, None)
                if waiting is not None:
                    waiting.answer.callback(decision)
                    continue
                self._logger.error("answer for an unknown turn", turn=turn)

    def _answer_all(self, answer: TurnAnswer) -> None:
        waiting, self._waiting = self._waiting, {}
        for turn, entry in waiting.items():
            self._books.withdraw(entry.program, turn)
            entry.answer.callback(answer)

    def _withdraw(self, program: ProgramId, turn: TurnId) -> None:
        if self._waiting.pop(turn, None) is not None:
            self._books.withdraw(program, turn)
