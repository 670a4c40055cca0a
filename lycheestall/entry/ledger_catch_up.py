"""Brings a VM's ledger up to date while the store is unavailable."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..ids import Offset
from ..logs import Logger
from .ledger_messages import AskLedger, LedgerTail
from .members import Member, Members
from .peer_rpc import PeerClient, call_all
from .token_ledger import HolderId, TokenLedger
from .unrecorded_grants import UnrecordedGrants

__all__ = ["LedgerCatchUp"]

REPLY_TIMEOUT_S = 0.3
"""Timeout of a peer's reply."""


class LedgerCatchUp:
    """Collects the records that other VMs have read or written.

    Every VM knows all records that it has written itself. So what all VMs
    know together is the whole ledger. What they granted in an earlier outage
    and have not recorded since is collected with it. Members of other groups
    are asked one for each group, once it has collected the records of its
    group.

    Args:
        holder: This VM's ID in the ledger.
        ledger: Allocations of all VMs; receives the records.
        grants: Receives the unrecorded grants.
        members: The VMs of the system.
        peers: Calls them.
        position: Returns the offset from which on the ledger is not read.
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
        self._store_unavailable = store_unavailable
        self._clock = clock
        self._logger = logger
        self._collected_from: set[HolderId] = set()
        self._collected_groups: set[tuple[HolderId, ...]] = set()
        self._unread_vms: set[HolderId] = set()
        self._steps = 0
        self._logged_progress: tuple[int, bool] | None = None

    async def step(self) -> None:
        """Asks the VMs whose records are missing."""
        if not self._store_unavailable() or self.complete:
            return
        await self._collect(self._missing_members())
        if self.group_complete:
            await self._collect(self._next_members_of_groups())
        self._log_progress()

    def reset(self) -> None:
        """Forgets what was collected, since the store is available again."""
        self._collected_from.clear()
        self._collected_groups.clear()
        self._unread_vms.clear()
        self._logged_progress = None

    def note_vm(self, holder: HolderId) -> None:
        """Notes a VM that takes part in the outage.

        It may have joined so late that no other VM has read of it.
        """
        if self._store_unavailable() and self._members.get(holder) is None:
            self._unread_vms.add(holder)

    @property
    def group_complete(self) -> bool:
        """Whether the records of this VM's group are known."""
        if any(self._members.get(h) is None for h in self._unread_vms):
            return False
        return not self._missing_members()

    @property
    def complete(self) -> bool:
        """Whether the records of all VMs are known."""
        return self.group_complete and not self._missing_groups()

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

    def _log_progress(self) -> None:
        progress = (len(self._collected_from), self.complete)
        if progress == self._logged_progress:
            return
        self._logged_progress = progress
        self._logger.info(
            "collected the ledger's newest records",
            vms=len(self._collected_from),
            missing=[m.holder for m in self._missing_members()],
            group_complete=self.group_complete,
            complete=self.complete,
            ledger_position=self._position(),
        )

    def _missing_members(self) -> list[Member]:
        return [
            member
            for member in self._members.group_peers(self._holder)
            if member.holder not in self._collected_from
        ]

    def _missing_groups(self) -> list[tuple[HolderId, ...]]:
        return [
            group
            for group in self._members.view().groups
            if group
            and self._holder not in group
            and group not in self._collected_groups
        ]

    def _next_members_of_groups(self) -> list[Member]:
        self._steps += 1
        members = [
            self._members.get(group[self._steps % len(group)])
            for group in self._missing_groups()
        ]
        return [member for member in members if member is not None]

    async def _collect(self, members: Iterable[Member]) -> None:
        message = AskLedger(self._holder, self._position())
        replies = await call_all(
            self._peers, members, message, timeout_s=REPLY_TIMEOUT_S
        )
        for reply in replies:
            if isinstance(reply, LedgerTail):
                self._add(reply)

    def _add(self, tail: LedgerTail) -> None:
        for record in tail.records:
            self._ledger.apply(record)
        self._grants.add_all(tail.grants, now=self._clock.seconds())
        if not tail.complete or not self._store_unavailable():
            return
        self._collected_from.add(tail.holder)
        if tail.group_complete:
            view = self._members.view()
            self._collected_groups.add(view.group_of(tail.holder))
