"""Rendezvous hashing: everybody chooses the same member for a key."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ["rendezvous"]

_Member = TypeVar("_Member", bound=str)


def rendezvous(key: str, members: Iterable[_Member]) -> _Member | None:
    """Returns the member that a key falls to, None without members.

    When a member joins or leaves, only the keys that fall to it move.

    Args:
        key: What is to be placed.
        members: Who may get it, in any order.
    """

    def weight(member: _Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}:{member}".encode())

    return max(members, key=weight, default=None)
