"""Typed identifiers used across the package."""

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
    "StreamName",
    "TargetId",
    "VmId",
    "ZoneId",
    "root_of",
]

AccountId = NewType("AccountId", str)
"""A caller's account, as named in the settings' key table."""

ProgramId = NewType("ProgramId", str)
"""A program; sub-agents append a path segment to their parent's id."""

CallNumber = NewType("CallNumber", int)
"""The position of a call in its program, from 1."""

CellId = NewType("CellId", str)
"""A group of VMs that shares one log stream and one set of targets."""

PartitionId = NewType("PartitionId", int)
"""A hash range of programs, the unit of ownership inside a cell."""

SessionId = NewType("SessionId", str)
"""One life of one daemon: VM id, start time and a random suffix."""

VmId = NewType("VmId", str)
"""A VM of the system, as the platform's VM list names it."""

ZoneId = NewType("ZoneId", str)
"""An availability zone."""

TargetId = NewType("TargetId", str)
"""A model engine, application runner or tool service."""

ModelName = NewType("ModelName", str)
"""A model, as callers name it."""

Offset = NewType("Offset", int)
"""A record's position in a log stream, from 0; -1 means none."""

StreamName = NewType("StreamName", str)
"""A stream of the platform's log service."""

RequestId = NewType("RequestId", str)
"""One dispatch of one call to one target."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""A caller's name for one non-idempotent call."""

OperatorName = NewType("OperatorName", str)
"""Who published a rule file."""


def root_of(program: ProgramId) -> ProgramId:
    """Returns the top-level program of a sub-agent's id.

    Args:
        program: A program id, with one path segment per nesting level.
    """
    return ProgramId(program.split("/", 1)[0])
