"""Client accounts: who sends a request, and what the account may use."""

from __future__ import annotations

from .account import Account, AccountId, ApiKey

__all__ = ["Account", "AccountId", "ApiKey"]
