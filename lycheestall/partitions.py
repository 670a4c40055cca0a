"""The hash that maps programs to partitions."""

from __future__ import annotations

import xxhash

from .ids import AccountId, PartitionId, ProgramId, root_program

__all__ = ["partition_of"]


def partition_of(
    account: AccountId, program: ProgramId, count: int
) -> PartitionId:
    """Returns the partition a program belongs to, for life.

    Sub-agents land on their top-level program's partition. The hash is
    the same in every release and on every VM.

    Args:
        account: Who pays.
        program: A program id; only its top level counts.
        count: Number of partitions, over 0.
    """
    name = f"{account}\0{root_program(program)}".encode()
    return PartitionId(xxhash.xxh3_64_intdigest(name) % count)
