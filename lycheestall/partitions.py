"""The hash that maps programs to partitions."""

from __future__ import annotations

import xxhash

from .ids import AccountId, PartitionId, ProgramId, root_program

__all__ = ["partition_of"]


def partition_of(
    account: AccountId, program: ProgramId, count: int
) -> PartitionId:
    """Returns the partition of a program, which never changes.

    Sub-agents belong to their top-level program's partition. The hash
    has to be the same in every release and on every VM.

    Args:
        account: The client account that runs the program.
        program: A program id; only its top-level part is hashed.
        count: Number of partitions, greater than 0.
    """
    name = f"{account}\0{root_program(program)}".encode()
    return PartitionId(xxhash.xxh3_64_intdigest(name) % count)
