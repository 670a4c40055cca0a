"""Rendezvous hashing: everybody chooses the same member for a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from .ids import VmId

__all__ = ["rendezvous"]


def rendezvous(key: str, members: Iterable[VmId]) -> VmId | None:
    """Returns the member that a key falls to, None without members.

    When a member joins or leaves, only the keys that fall to it move.

    Args:
        key: What is to be placed.
        members: Who may get it, in any order.
    """

    def weight(vm: VmId) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}:{vm}".encode())

    return max(members, key=weight, default=None)
