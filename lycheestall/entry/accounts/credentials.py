"""Credentials that a request carries."""

from __future__ import annotations

from dataclasses import dataclass, field

from .account import ApiKey, KeyDigest, digest_key

__all__ = [
    "BearerKey",
    "Credentials",
    "NoCredentials",
    "UnusableCredentials",
    "check_key",
    "key_mark",
    "mark_of",
]

MAX_KEY_BYTES = 1024
"""Longest accepted API key."""

MARK_CHARACTERS = 8
"""Digits of a key's digest by which logs name a key: enough to tell it from
others, too few to be of use to anybody who guesses keys."""


@dataclass(frozen=True, slots=True)
class NoCredentials:
    """The request carries none."""


@dataclass(frozen=True, slots=True)
class BearerKey:
    """The request carries one API key, which is never shown."""

    api_key: ApiKey = field(repr=False)


@dataclass(frozen=True, slots=True)
class UnusableCredentials:
    """The request carries something that can't be a key.

    Attributes:
        reason: What is wrong, without what the caller sent.
    """

    reason: str


Credentials = NoCredentials | BearerKey | UnusableCredentials


def check_key(key: bytes) -> str | None:
    """Returns what is wrong with the form of a key; None if nothing is."""
    if not key:
        return "empty key"
    if len(key) > MAX_KEY_BYTES:
        return "key too long"
    printable = key.isascii() and key.decode("ascii").isprintable()
    if not printable or b" " in key:
        return "key with unprintable characters"
    return None


def key_mark(credentials: Credentials) -> str | None:
    """Returns what logs name a request's key by, None without a usable one."""
    if not isinstance(credentials, BearerKey):
        return None
    return mark_of(digest_key(credentials.api_key))


def mark_of(digest: KeyDigest) -> str:
    """Returns what logs name a key by, given its digest."""
    return digest[:MARK_CHARACTERS]
