"""Which VM decides on the requests to a target that names a limit."""

from __future__ import annotations

import xxhash

from .membership import Member, Members
from .target_table import TargetProcess
from .vm_settings import Address

__all__ = ["PermitDeciders", "member_weight"]

DECIDERS = 2
"""VMs that may decide on a target: the first, and one in its stead."""


class PermitDeciders:
    """Ranks the members for each target by rendezvous hashing.

    Members are ranked by address, so that the restart of a VM moves no
    decision.

    Args:
        members: The VMs of the system.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._digest = ""
        self._by_process: dict[TargetProcess, tuple[Member, ...]] = {}

    def ranked(self, process: TargetProcess) -> tuple[Member, ...]:
        """Returns the VMs that decide on a target, the first one first."""
        digest = self._members.view().digest
        if digest != self._digest:
            self._by_process.clear()
            self._digest = digest
        ranked = self._by_process.get(process)
        if ranked is None:
            ranked = self._rank(process)
            self._by_process[process] = ranked
        return ranked

    def _rank(self, process: TargetProcess) -> tuple[Member, ...]:
        def weight(member: Member) -> int:
            key = f"{process.target}:{process.started_ms}"
            return member_weight(key, member.address)

        members = sorted(self._members.all(), key=weight, reverse=True)
        return tuple(members[:DECIDERS])


def member_weight(key: str, address: Address) -> int:
    """Returns the weight of a member; the highest one decides on the key."""
    text = f"{key}:{address.host}:{address.port}"
    return xxhash.xxh3_64_intdigest(text.encode())
