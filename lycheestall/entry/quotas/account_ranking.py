"""Which VMs decide on an account."""

from __future__ import annotations

import heapq

from ..accounts import AccountId
from ..membership import Member, Members
from ..permit_deciders import member_weight
from ..token_ledger import HolderId
from ..vm_settings import Address

__all__ = ["DECIDERS", "AccountRanking"]

DECIDERS = 2
"""VMs that may decide on an account: the first, and its stand-in."""


class AccountRanking:
    """Ranks the members for each account as for targets with a limit.

    Members come and go all day in a large system. A change therefore only
    compares the members that came with the highest ones of each account.

    Args:
        members: The VMs of the system.
        size: Members to rank.
    """

    def __init__(self, members: Members, *, size: int) -> None:
        self._members = members
        self._size = size
        self._digest = ""
        self._member_by_address: dict[Address, Member] = {}
        self._addresses_by_account: dict[AccountId, list[Address]] = {}

    @property
    def digest(self) -> str:
        """Hash of the members; equal ones give the same ranking."""
        return self._members.view().digest

    def ranked(self, account: AccountId) -> tuple[Member, ...]:
        """Returns the highest members, the deciding one first."""
        if self.digest != self._digest:
            self._update()
        addresses = self._addresses_by_account.get(account)
        if addresses is None:
            addresses = self._highest(account, list(self._member_by_address))
            self._addresses_by_account[account] = addresses
        return tuple(self._member_by_address[at] for at in addresses)

    def rank_of(self, account: AccountId, holder: HolderId) -> int | None:
        """Returns a member's rank from 0; None if it is not among them."""
        for rank, member in enumerate(self.ranked(account)):
            if member.holder == holder:
                return rank
        return None

    def _update(self) -> None:
        self._digest = self.digest
        before = self._member_by_address.keys()
        current = {member.address: member for member in self._members.all()}
        added = list(current.keys() - before)
        removed = before - current.keys()
        self._member_by_address = current
        for account, addresses in list(self._addresses_by_account.items()):
            if not removed.isdisjoint(addresses):
                del self._addresses_by_account[account]
            elif added:
                self._addresses_by_account[account] = self._highest(
                    account, addresses + added
                )

    def _highest(
        self, account: AccountId, addresses: list[Address]
    ) -> list[Address]:
        return heapq.nlargest(
            self._size,
            addresses,
            key=lambda address: member_weight(f"quota:{account}", address),
        )
