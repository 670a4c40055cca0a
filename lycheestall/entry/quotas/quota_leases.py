"""Which of an account's two deciding VMs may grant how much.

The first VM grants the whole quota only while the second has lately
confirmed that it grants nothing. Once they lose contact, each grants at most
half; the second begins no earlier than the first has stopped.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..accounts import AccountId
from ..token_ledger import HolderId

__all__ = ["Lease", "QuotaLeases"]

LEASE_S = 1.5
"""Seconds for which a confirmation is valid; longer than the pauses of a busy
VM."""

HOLD_INTERVAL_S = 0.4
"""Seconds between two requests for a confirmation; several fit into a
lease."""


class Lease(Enum):
    """State of the first VM's lease, which the second one grants.

    Attributes:
        NEVER: Never granted; another VM may be deciding.
        VALID: The second VM grants no permits.
        LAPSED: Expired; the second VM may grant its half.
    """

    NEVER = "never"
    VALID = "valid"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class _Hold:
    """A lease granted to the first VM, and when it expires."""

    holder: HolderId
    until: float


class QuotaLeases:
    """The confirmations that a VM has got and given."""

    def __init__(self) -> None:
        self._asked_at: dict[AccountId, float] = {}
        self._valid_until: dict[AccountId, float] = {}
        self._hold_by_account: dict[AccountId, _Hold] = {}

    def take_due(self, account: AccountId, now: float) -> bool:
        """Returns whether to renew the lease; if so, starts the interval."""
        asked_at = self._asked_at.get(account, float("-inf"))
        if now - asked_at < HOLD_INTERVAL_S:
            return False
        self._asked_at[account] = now
        return True

    def confirm(self, account: AccountId, asked_at: float) -> None:
        """Notes a confirmation of the second VM."""
        self._valid_until[account] = asked_at + LEASE_S
        self._hold_by_account.pop(account, None)

    def lease(self, account: AccountId, now: float) -> Lease:
        """Returns what this VM may rely on as the first one."""
        until = self._valid_until.get(account)
        if until is None:
            return Lease.NEVER
        return Lease.VALID if now < until else Lease.LAPSED

    def hold(self, account: AccountId, holder: HolderId, now: float) -> None:
        """Grants the first VM a lease; this VM grants no permits then."""
        self._valid_until.pop(account, None)
        self._hold_by_account[account] = _Hold(holder, now + LEASE_S)

    def is_held(self, account: AccountId, now: float) -> bool:
        """Returns whether a lease of the first VM is valid."""
        hold = self._hold_by_account.get(account)
        return hold is not None and now < hold.until

    def has_lapsed(
        self, account: AccountId, first: HolderId, now: float
    ) -> bool:
        """Returns whether the lease that the first VM had has expired."""
        hold = self._hold_by_account.get(account)
        return hold is not None and hold.holder == first and now >= hold.until

    def forget(self, account: AccountId) -> None:
        """Forgets an account that this VM has stopped to decide on."""
        self._valid_until.pop(account, None)
        self._asked_at.pop(account, None)
