"""Brings a VM's ledger up to date while the store is unavailable."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..ids import Offset
from ..logs import Logger
from .ledger_messages import (
    AskLedger,
    AskPosition,
    LedgerPosition,
    LedgerTail,
)
from .membership import Members, MemberView
from .outages.ledger_gap import UNREAD_WINDOW_S, LastReads, LedgerGap
from .peer_rpc import PeerClient
from .token_ledger import HolderId, TokenLedger
from .unrecorded_grants import UnrecordedGrants

__all__ = ["LedgerCatchUp"]

REPLY_TIMEOUT_S = 0.3
"""Timeout of a peer's reply."""

GROUP_WAIT_S = 0.15
"""Longest wait for the VMs of a group before one of them replies for all;
shorter than ``REPLY_TIMEOUT_S``."""

ASKED_PER_GROUP = 2
"""Members of another group that are asked at once, in case one is lost."""


@dataclass(frozen=True, slots=True)
class _Asked:
    """What a question about a peer's position refers to.

    Attributes:
        view: The members that were known.
        at: When the question was sent.
    """

    view: MemberView
    at: float


class LedgerCatchUp:
    """Collects the records that other VMs have read or written.

    A VM has read all records that it may use, its own included. So all VMs are
    asked only how far they have read, and the one that has read most is asked
    for the records. What they granted in an earlier outage and have not
    recorded since is collected with it. In other groups, two members are asked
    to reply for all.

    Args:
        holder: This VM's ID in the ledger.
        ledger: Allocations of all VMs; receives the records.
        grants: Receives the unrecorded grants.
        members: The VMs of the system.
        peers: Calls them.
        position: Returns the offset of the first record not read.
        reads: When the VMs last read the ledger.
        store_unavailable: Returns whether this VM's writes fail.
        clock: Provides the time.
        logger: Receives the results.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        ledger: TokenLedger,
        grants: UnrecordedGrants,
        members: Members,
        peers: PeerClient,
        position: Callable[[], Offset],
        reads: LastReads,
        store_unavailable: Callable[[], bool],
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._grants = grants
        self._members = members
        self._peers = peers
        self._position = position
        self._reads = reads
        self._store_unavailable = store_unavailable
        self._clock = clock
        self._logger = logger
        self._position_by_vm: dict[HolderId, Offset] = {}
        # Of other groups: the members whose records may be missing, and how
        # far the group has read, with the member that replied.
        self._unheard_by_group: dict[
            tuple[HolderId, ...], frozenset[HolderId]
        ] = {}
        self._position_by_group: dict[
            tuple[HolderId, ...], tuple[Offset, HolderId]
        ] = {}
        self._collected_until = Offset(0)
        # Did not reply, or are of a build that doesn't know ``AskPosition``.
        self._no_position_from: set[HolderId] = set()
        self._calls: set[tuple[HolderId, type]] = set()
        # Take part in the outage, but their member records were not read.
        self._unknown_vms: set[HolderId] = set()
        self._waiting: list[Deferred[None]] = []
        self._outages = 0
        self._steps = 0
        self._logged_progress: tuple[int, int, bool] | None = None

    async def step(self) -> None:
        """Asks the VMs whose records may be missing."""
        if not self._store_unavailable() or self.complete:
            return
        self._steps += 1
        self._ask_group()
        for group in self._incomplete_groups():
            for number in range(min(ASKED_PER_GROUP, len(group))):
                holder = group[(self._steps + number) % len(group)]
                self._ask_member(holder, whole_group=True)
        self._collect()

    def reset(self) -> None:
        """Forgets what was collected, since the store is available again."""
        self._outages += 1
        self._steps = 0
        self._position_by_vm.clear()
        self._unheard_by_group.clear()
        self._position_by_group.clear()
        self._no_position_from.clear()
        self._calls.clear()
        self._unknown_vms.clear()
        self._collected_until = Offset(0)
        self._reads.clear()
        self._logged_progress = None
        self._notify()

    def note_vm(self, holder: HolderId) -> None:
        """Notes a VM that takes part in the outage.

        It may have joined so late that no other VM has read of it.
        """
        if self._store_unavailable() and self._members.get(holder) is None:
            self._unknown_vms.add(holder)

    @property
    def group_complete(self) -> bool:
        """Whether the records of this VM's group are known."""
        if any(self._members.get(h) is None for h in self._unknown_vms):
            return False
        return not self._unheard_in_group()

    @property
    def complete(self) -> bool:
        """Whether the records of all VMs are known."""
        return self.group_complete and not self._incomplete_groups()

    @property
    def gap(self) -> LedgerGap:
        """Whose records may be missing."""
        if self.complete:
            return LedgerGap.NONE
        silent = self._silent_vms()
        if silent is None or len(silent) != 1:
            return LedgerGap.MANY
        (holder,) = silent
        if not self._members.limits_unread(holder):
            return LedgerGap.MANY
        if self._reads.unread_s(self._clock.seconds()) > UNREAD_WINDOW_S:
            return LedgerGap.MANY
        return LedgerGap.ONE_VM

    def reply(self, message: AskLedger) -> LedgerTail:
        """Returns the records that a peer has not read."""
        start = message.start
        complete = self._store_unavailable() and self._ledger.keeps_from(start)
        return LedgerTail(
            self._holder,
            complete=complete,
            group_complete=complete and self.group_complete,
            records=self._ledger.records_from(start),
            grants=tuple(self._grants.all()),
        )

    async def reply_position(self, message: AskPosition) -> LedgerPosition:
        """Returns how much of the ledger this VM, or its group, has read."""
        if message.whole_group:
            self._ask_group()
            await self._wait_for_group()
        unheard: tuple[HolderId, ...] = ()
        if message.whole_group:
            unheard = (*self._unheard_in_group(), *self._unknown_vms)
        return LedgerPosition(
            self._holder,
            away=self._store_unavailable(),
            position=self._read_until(),
            unheard=unheard,
            read_ago_s=self._clock.seconds() - self._reads.read_at,
            failing_for_s=self._clock.seconds() - self._reads.failing_since,
            grants=tuple(self._grants.all()),
        )

    def _ask_group(self) -> None:
        if not self._store_unavailable():
            return
        for holder in self._unheard_in_group():
            self._ask_member(holder, whole_group=False)

    def _wait_for_group(self) -> Deferred[None]:
        waiting: Deferred[None] = Deferred()
        if self.group_complete or not self._store_unavailable():
            waiting.callback(None)
            return waiting
        self._waiting.append(waiting)
        self._clock.callLater(GROUP_WAIT_S, self._stop_waiting, waiting)
        return waiting

    def _stop_waiting(self, waiting: Deferred[None]) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.callback(None)

    def _notify(self) -> None:
        for waiting in list(self._waiting):
            self._stop_waiting(waiting)

    def _read_until(self) -> Offset:
        return max(self._position(), self._collected_until)

    def _silent_vms(self) -> set[HolderId] | None:
        # None if a VM may only be slow, or has joined too late.
        if any(self._members.get(h) is None for h in self._unknown_vms):
            return None
        silent = set(self._unheard_in_group())
        if not silent <= self._no_position_from:
            return None
        until = self._read_until()
        for group in self._incomplete_groups():
            unheard = self._unheard_by_group.get(group)
            if unheard is None or self._position_by_group[group][0] > until:
                return None
            silent |= unheard
        return silent

    def _log_progress(self) -> None:
        unheard = self._unheard_in_group()
        missing = len(self._incomplete_groups())
        progress = (len(unheard), missing, self.complete)
        if progress == self._logged_progress:
            return
        self._logged_progress = progress
        self._logger.info(
            "collected the ledger's newest records",
            vms=len(self._position_by_vm),
            missing=unheard,
            missing_groups=missing,
            group_complete=self.group_complete,
            complete=self.complete,
            gap=self.gap.value,
            ledger_position=self._position(),
            collected_until=self._read_until(),
        )

    def _unheard_in_group(self) -> list[HolderId]:
        until = self._read_until()
        return [
            member.holder
            for member in self._members.group_peers(self._holder)
            if self._position_by_vm.get(member.holder, until + 1) > until
        ]

    def _incomplete_groups(self) -> list[tuple[HolderId, ...]]:
        until = self._read_until()
        return [
            group
            for group in self._members.view().groups
            if group
            and self._holder not in group
            and (
                self._unheard_by_group.get(group, True)
                or self._position_by_group[group][0] > until
            )
        ]

    def _collect(self) -> None:
        # The VM that has read most has what all others have.
        positions = [
            (position, holder)
            for holder, position in self._position_by_vm.items()
        ]
        positions.extend(self._position_by_group.values())
        if not positions:
            return
        position, holder = max(positions)
        if position > self._read_until():
            self._ask_records(holder, position)

    def _ask_member(self, holder: HolderId, *, whole_group: bool) -> None:
        if holder in self._no_position_from:
            # VMs of an earlier build know only ``AskLedger``.
            self._ask_records(holder, Offset(0))
        message = AskPosition(self._holder, whole_group)
        asked = _Asked(self._members.view(), self._clock.seconds())
        self._call(holder, message, self._add_position, asked)

    def _ask_records(self, holder: HolderId, position: Offset) -> None:
        message = AskLedger(self._holder, self._read_until())
        self._call(holder, message, self._add_records, position)

    def _call(
        self,
        holder: HolderId,
        message: AskPosition | AskLedger,
        add: Callable[[HolderId, Any, Any], None],
        context: Any,
    ) -> None:
        member = self._members.get(holder)
        call = (holder, type(message))
        if member is None or call in self._calls:
            return
        self._calls.add(call)
        reply = self._peers.call(
            member.address, message, timeout_s=REPLY_TIMEOUT_S
        )
        reply.addCallback(self._replied, call, add, context, self._outages)
        reply.addErrback(self._call_failed, call)

    def _replied(
        self,
        reply: Any,
        call: tuple[HolderId, type],
        add: Callable[[HolderId, Any, Any], None],
        context: Any,
        outage: int,
    ) -> None:
        if outage != self._outages:
            return
        self._calls.discard(call)
        add(call[0], reply, context)
        self._collect()
        if self.group_complete:
            self._notify()
        self._log_progress()

    def _call_failed(
        self, failure: Failure, call: tuple[HolderId, type]
    ) -> None:
        self._calls.discard(call)
        self._logger.error(
            "collecting the ledger failed", error=failure.getTraceback()
        )

    def _add_position(
        self, holder: HolderId, reply: Any, asked: _Asked
    ) -> None:
        if not isinstance(reply, LedgerPosition):
            self._no_position_from.add(holder)
            return
        now = self._clock.seconds()
        self._grants.add_all(reply.grants, now=now)
        if reply.holder != holder:
            # A process that has started again replies with another ID.
            self._no_position_from.add(holder)
            return
        self._no_position_from.discard(holder)
        if not reply.away:
            return
        if not self._store_unavailable():
            return
        # The reply was written between ``asked.at`` and ``now``. Dating the
        # read from the question and the failure from the reply can only
        # overestimate the time for which records were not read, also when
        # VMs pass on each other's times.
        self._reads.add(
            read_at=asked.at - reply.read_ago_s,
            failing_since=now - reply.failing_for_s,
        )
        group = asked.view.group_of(holder)
        if self._holder in group:
            self._position_by_vm[holder] = reply.position
            return
        self._unheard_by_group[group] = frozenset(reply.unheard)
        self._position_by_group[group] = (reply.position, holder)

    def _add_records(self, asked: HolderId, reply: Any, until: Offset) -> None:
        if not isinstance(reply, LedgerTail):
            if until:
                self._forget_position(asked)
            return
        for record in reply.records:
            self._ledger.apply(record)
        self._grants.add_all(reply.grants, now=self._clock.seconds())
        if reply.holder != asked or not reply.complete:
            if until:
                self._forget_position(asked)
            return
        if not self._store_unavailable():
            return
        self._collected_until = max(self._collected_until, until)
        group = self._members.view().group_of(asked)
        if self._holder in group:
            self._position_by_vm.setdefault(asked, Offset(0))
        elif reply.group_complete:
            self._unheard_by_group[group] = frozenset()
            self._position_by_group.setdefault(group, (Offset(0), asked))

    def _forget_position(self, holder: HolderId) -> None:
        # It has read more than the others, and can't be asked any more.
        self._position_by_vm.pop(holder, None)
        for group, (_, asked) in list(self._position_by_group.items()):
            if asked == holder:
                del self._position_by_group[group]
                del self._unheard_by_group[group]
