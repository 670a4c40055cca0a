"""Rendezvous hashing: assigns keys to members without coordination."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ["rendezvous", "rendezvous_order"]

_Member = TypeVar("_Member", bound=str)


def rendezvous(key: str, members: Iterable[_Member]) -> _Member | None:
    """Returns the member that a key is assigned to, None without members.

    When a member joins or leaves, only the keys assigned to it move.

    Args:
        key: The key to assign.
        members: The members, in any order.
    """
    return next(iter(rendezvous_order(key, members)), None)


def rendezvous_order(key: str, members: Iterable[_Member]) -> list[_Member]:
    """Returns the members in the order in which a key is assigned to them.

    Args:
        key: The key to assign.
        members: The members, in any order.
    """

    def weight(member: _Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}:{member}".encode())

    return sorted(members, key=weight, reverse=True)
