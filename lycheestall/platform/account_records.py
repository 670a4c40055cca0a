"""Decodes the accounts of the operators' configuration.

Each fault has one reading, so that all VMs agree, and leaves the rest of the
configuration in force; docs/design/accounts.md lists them.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import orjson

from ..entry.accounts import (
    Account,
    AccountId,
    AccountProblem,
    ApiKey,
    KeyDigest,
    check_key,
    digest_key,
)

__all__ = ["DecodedAccounts", "conceal_keys", "decode_accounts"]

_ACCOUNTS = "tenants"
_KEYS = "api_keys"
# Written by VMs in place of the keys; null stands for an unusable key.
_DIGESTS = "api_key_digests"

MAX_NAME_CHARACTERS = 200
"""Longest accepted name; targets get it in a header."""

MIN_BURST = 1.0
"""Smallest burst of an account with a rate: one request."""


class DecodedAccounts:
    """Collects the accounts of a configuration and what is wrong with them.

    Attributes:
        problems: All faults, in the order of the entries.
    """

    def __init__(self) -> None:
        self._by_id: dict[AccountId, Account] = {}
        self._owner_by_digest: dict[KeyDigest, AccountId] = {}
        self.problems: list[AccountProblem] = []

    @property
    def accounts(self) -> tuple[Account, ...]:
        """The usable accounts, in the order of their first entries."""
        return tuple(self._by_id.values())

    def add(self, position: int, entry: object) -> None:
        """Adds one entry of the configuration."""
        if not isinstance(entry, Mapping):
            self._add_problem(position, "", "not an object; skipped")
            return
        name = entry.get("name")
        if not isinstance(name, str) or not _is_usable_name(name):
            text = "the name is missing or unusable; its keys are unknown"
            self._add_problem(position, "", text)
            return
        account = AccountId(name)
        digests = self._digests(position, account, entry)
        known = self._by_id.get(account)
        if known is not None:
            text = "a second entry; only its keys are added to the first"
            self._add_problem(position, account, text)
            self._by_id[account] = Account(
                account,
                known.key_digests + digests,
                known.priority,
                known.rate_per_s,
                known.burst,
            )
            return
        rate_per_s = self._rate(position, account, entry)
        self._by_id[account] = Account(
            account,
            digests,
            self._priority(position, account, entry),
            rate_per_s,
            self._burst(position, account, entry) if rate_per_s else 0.0,
        )

    def add_unreadable(self, text: str) -> None:
        """Notes that there are accounts, but that none can be read."""
        self._add_problem(None, "", text)

    def _digests(
        self, position: int, account: AccountId, entry: Mapping[str, Any]
    ) -> tuple[KeyDigest, ...]:
        values = _key_digests(entry)
        if values is None:
            text = f"{_KEYS} is not a list; the entry has no keys"
            self._add_problem(position, account, text)
            return ()
        digests: list[KeyDigest] = []
        for index, value in enumerate(values):
            if not isinstance(value, str) or not value:
                text = f"key {index} is unusable; skipped"
                self._add_problem(position, account, text)
                continue
            digest = KeyDigest(value)
            owner = self._owner_by_digest.setdefault(digest, account)
            if owner == account:
                digests.append(digest)
                continue
            text = f"key {index} belongs to account {owner!r}; skipped"
            self._add_problem(position, account, text)
        return tuple(digests)

    def _priority(
        self, position: int, account: AccountId, entry: Mapping[str, Any]
    ) -> int | None:
        value = entry.get("priority")
        if value is None:
            return None
        number = _number(value)
        if number is None or number < 0 or number != int(number):
            text = "the priority is unusable; routes' priorities hold"
            self._add_problem(position, account, text)
            return None
        return int(number)

    def _rate(
        self, position: int, account: AccountId, entry: Mapping[str, Any]
    ) -> float:
        value = entry.get("rate_per_s")
        number = 0.0 if value is None else _number(value)
        if number is None or number < 0:
            text = "the rate is unusable; the account has no limit"
            self._add_problem(position, account, text)
            return 0.0
        return number

    def _burst(
        self, position: int, account: AccountId, entry: Mapping[str, Any]
    ) -> float:
        value = entry.get("burst")
        number = MIN_BURST if value is None else _number(value)
        if number is None or number < MIN_BURST:
            text = "the burst is below one request; it counts as one"
            self._add_problem(position, account, text)
            return MIN_BURST
        return number

    def _add_problem(
        self, position: int | None, account: str, text: str
    ) -> None:
        self.problems.append(AccountProblem(position, account, text))


def decode_accounts(document: Mapping[str, Any]) -> DecodedAccounts:
    """Returns the accounts of a configuration; it never fails."""
    decoded = DecodedAccounts()
    entries = document.get(_ACCOUNTS)
    if entries is None:
        return decoded
    if not isinstance(entries, list):
        decoded.add_unreadable("not a list; no key is accepted")
        return decoded
    for position, entry in enumerate(entries):
        decoded.add(position, entry)
    return decoded


def conceal_keys(value: bytes) -> bytes:
    """Returns a configuration record with digests in place of keys.

    One without accounts is returned unchanged.

    Args:
        value: The record's value, possibly unreadable.
    """
    if f'"{_ACCOUNTS}"'.encode() not in value:
        return value
    try:
        document = orjson.loads(value)
    except ValueError:
        # It can't be decoded either way, and it may hold keys.
        return b""
    if not isinstance(document, dict):
        return b""
    entries = document.get(_ACCOUNTS)
    if isinstance(entries, list):
        document[_ACCOUNTS] = [_concealed(entry) for entry in entries]
    elif entries is not None:
        document[_ACCOUNTS] = False
    return orjson.dumps(document)


def _concealed(entry: object) -> dict[str, Any] | None:
    if not isinstance(entry, dict):
        return None
    kept = {name: entry[name] for name in entry if name != _KEYS}
    if _KEYS in entry or _DIGESTS in entry:
        kept[_DIGESTS] = _key_digests(entry)
    return kept


def _key_digests(entry: Mapping[str, Any]) -> list[Any] | None:
    """Returns the digests of an entry's keys; None if they aren't a list."""
    digests: list[Any] = []
    concealed = entry.get(_DIGESTS, [])
    keys = entry.get(_KEYS, [])
    if not isinstance(concealed, list) or not isinstance(keys, list):
        return None
    digests.extend(concealed)
    for key in keys:
        usable = isinstance(key, str) and check_key(_encoded(key)) is None
        digests.append(digest_key(ApiKey(key)) if usable else None)
    return digests


def _encoded(key: str) -> bytes:
    return key.encode("utf-8", "surrogatepass")


def _is_usable_name(name: str) -> bool:
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        return False
    return name.isprintable() and name == name.strip()


def _number(value: object) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) else None
