"""Accounts in the soak: which keys callers use, what targets are told."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from lycheestall.entry.http_messages import Header, Request

ACCOUNTS = ("north", "south")
KEPT_VERSIONS = 6
"""Versions of the configuration in which a new key stays."""

IN_FORCE_S = 3.0
"""Seconds within which a version has to be in force."""

WRONG_KEY_SHARE = 0.05


class SoakAccounts:
    """Chooses each request's account and key, and checks what follows.

    Each account has a key that stays and one more with each version.

    Args:
        chances: Determines accounts and keys.
        now: Returns the time.
        enabled: Whether the configuration has accounts.

    Attributes:
        violations: What VMs did wrong.
        refused: Number of requests with a wrong key that got 401.
    """

    def __init__(
        self,
        chances: random.Random,
        now: Callable[[], float],
        *,
        enabled: bool,
    ) -> None:
        self._random = chances
        self._now = now
        self._enabled = enabled
        self._published_at: list[float] = []
        self._account_by_request: dict[str, str | None] = {}
        self.violations: list[str] = []
        self.refused = 0

    def tenants(self) -> list[dict[str, Any]]:
        """Returns the accounts of the next version of the configuration."""
        if not self._enabled:
            return []
        self._published_at.append(self._now())
        last = len(self._published_at)
        versions = range(max(1, last - KEPT_VERSIONS + 1), last + 1)
        return [
            {
                "name": name,
                "api_keys": [name, *(f"{name}-{n}" for n in versions)],
            }
            for name in ACCOUNTS
        ]

    def headers(self, request: str, *, may_be_wrong: bool) -> list[Header]:
        """Returns the credentials of a request.

        Args:
            request: Its ID.
            may_be_wrong: Whether it may carry a key that never was one.
        """
        if not self._enabled:
            return []
        name = ACCOUNTS[0]
        if may_be_wrong:
            name = self._random.choice(ACCOUNTS)
        self._account_by_request[request] = name
        key = self._random.choice([name, self._newest_key(name)])
        if may_be_wrong and self._random.random() < WRONG_KEY_SHARE:
            self._account_by_request[request] = None
            key = f"{name}-0"
        return [
            (b"Authorization", b"Bearer " + key.encode()),
            (b"X-Tenant", b"forged"),
        ]

    def received(self, request: Request) -> None:
        """Checks what a target was told of a request that it runs."""
        headers = {name.lower(): value for name, value in request.headers}
        name = headers[b"x-request-id"].decode()
        if name not in self._account_by_request:
            return
        account = headers.get(b"x-tenant", b"").decode()
        if account != self._account_by_request[name]:
            self.violations.append(f"account: {name} ran for {account!r}")
        if b"authorization" in headers:
            self.violations.append(f"key: a target got that of {name}")

    def answered(self, request: str, status: int) -> None:
        """Checks the status that a caller got."""
        if not self._enabled or status != 401:
            return
        if self._account_by_request[request] is None:
            self.refused += 1
        else:
            self.violations.append(f"denied: {request} got 401")

    def _newest_key(self, name: str) -> str:
        # A version may be unknown where it isn't due yet.
        due = self._now() - IN_FORCE_S
        last = len(self._published_at)
        newest = sum(at <= due for at in self._published_at)
        # Further versions may take the key out while the request is running.
        if newest == 0 or newest <= last - KEPT_VERSIONS + 2:
            return name
        return f"{name}-{newest}"
