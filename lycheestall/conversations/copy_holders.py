"""Chooses the VMs that hold copies of what another one knows."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ..ids import ZoneId

__all__ = ["CopyCandidate", "choose_copy_holders"]


@dataclass(frozen=True, slots=True)
class CopyCandidate:
    """A VM that can hold copies.

    Attributes:
        name: Unique name; it decides which copies it holds.
        zone: Its availability zone.
    """

    name: str
    zone: ZoneId


def choose_copy_holders(
    key: str, candidates: Iterable[CopyCandidate], count: int
) -> list[str]:
    """Returns the names of the VMs to hold what a key names, best first.

    All VMs choose the same ones without asking each other. A zone gets a
    second copy only when every zone has one.

    Args:
        key: A program, for its turns, or a request, for its stream.
        candidates: All VMs that can be chosen.
        count: Number of VMs to choose.
    """

    def weight(candidate: CopyCandidate) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}:{candidate.name}".encode())

    chosen: list[str] = []
    remaining = sorted(candidates, key=weight, reverse=True)
    while remaining and len(chosen) < count:
        used_zones: set[ZoneId] = set()
        next_round: list[CopyCandidate] = []
        for candidate in remaining:
            if candidate.zone in used_zones:
                next_round.append(candidate)
                continue
            used_zones.add(candidate.zone)
            chosen.append(candidate.name)
        remaining = next_round
    return chosen[:count]
