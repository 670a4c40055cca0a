"""Which VMs decide on an account."""

from __future__ import annotations

from ..accounts import AccountId
from ..members import Member, Members
from ..permit_deciders import rank_members
from ..token_ledger import HolderId

__all__ = ["DECIDERS", "AccountRanking"]

DECIDERS = 2
"""VMs that may decide on an account: the first, and its stand-in."""


class AccountRanking:
    """Ranks the members for each account as for targets with a limit.

    Args:
        members: The VMs of the system.
        size: Members to rank.
    """

    def __init__(self, members: Members, *, size: int) -> None:
        self._members = members
        self._size = size
        self._digest = ""
        self._by_account: dict[AccountId, tuple[Member, ...]] = {}

    @property
    def digest(self) -> str:
        """Hash of the members; equal ones give the same ranking."""
        return self._members.view().digest

    def ranked(self, account: AccountId) -> tuple[Member, ...]:
        """Returns the highest members, the deciding one first."""
        if self.digest != self._digest:
            self._by_account.clear()
            self._digest = self.digest
        ranked = self._by_account.get(account)
        if ranked is None:
            ranked = rank_members(self._members, f"quota:{account}")
            ranked = ranked[: self._size]
            self._by_account[account] = ranked
        return ranked

    def rank_of(self, account: AccountId, holder: HolderId) -> int | None:
        """Returns a member's rank from 0; None if it is not among them."""
        for rank, member in enumerate(self.ranked(account)):
            if member.holder == holder:
                return rank
        return None
