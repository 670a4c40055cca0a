"""Types of the identifiers used across the package."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "AccountId",
    "CallNumber",
    "CellId",
    "IdempotencyKey",
    "ModelName",
    "Offset",
    "OperatorName",
    "PartitionId",
    "ProgramId",
    "RequestId",
    "SessionId",
    "SoftwareVersion",
    "StreamName",
    "TargetId",
    "VmId",
    "ZoneId",
    "root_program",
]

AccountId = NewType("AccountId", str)
"""A client account, as named in the ``accounts`` setting."""

ProgramId = NewType("ProgramId", str)
"""A program; a sub-agent's id is its parent's id plus a path segment."""

CallNumber = NewType("CallNumber", int)
"""The position of a call in its program, starting at 1."""

CellId = NewType("CellId", str)
"""A group of VMs that share a log stream and a set of targets."""

PartitionId = NewType("PartitionId", int)
"""A hash partition of the programs; each has one owner in its cell."""

SessionId = NewType("SessionId", str)
"""One session of a daemon: VM id, start time and a random suffix."""

VmId = NewType("VmId", str)
"""A VM, as named in the platform's VM list."""

ZoneId = NewType("ZoneId", str)
"""An availability zone."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""A version of the program that a target runs, not of its model weights."""

TargetId = NewType("TargetId", str)
"""A model engine, application, tool service or a group of them."""

ModelName = NewType("ModelName", str)
"""A model, as named by callers."""

Offset = NewType("Offset", int)
"""A record's position in a log stream, starting at 0; -1 means none."""

StreamName = NewType("StreamName", str)
"""A stream of the platform's log service."""

RequestId = NewType("RequestId", str)
"""One dispatch of a call to a target."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""A caller's unique key for one non-idempotent call."""

OperatorName = NewType("OperatorName", str)
"""The operator who published a rule file."""


def root_program(program: ProgramId) -> ProgramId:
    """Returns the top-level program of a sub-agent's id.

    Args:
        program: A program id with one path segment per nesting level.
    """
    return ProgramId(program.split("/", 1)[0])
