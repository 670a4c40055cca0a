"""Commands of the engine scheduler to the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType, TypeAlias

from .ids import ProgramId, RequestId, TargetId
from .outcomes import Failed, Refused

__all__ = [
    "DispatchCommand",
    "EndFailed",
    "EndRefused",
    "JobKey",
    "ReleaseMemory",
    "ReportCrash",
    "SendJob",
]

JobKey = NewType("JobKey", int)
"""Identifies a job of one dispatcher; ascending in submission order."""


@dataclass(frozen=True, slots=True)
class SendJob:
    """Send a job to an engine.

    Attributes:
        key: The job.
        target: The engine.
        request: The id of this dispatch.
        priority: Priority in the engine's queue; lower runs first.
    """

    key: JobKey
    target: TargetId
    request: RequestId
    priority: int


@dataclass(frozen=True, slots=True)
class EndRefused:
    """End a job that no engine ran."""

    key: JobKey
    outcome: Refused


@dataclass(frozen=True, slots=True)
class EndFailed:
    """End a job that an engine may have run."""

    key: JobKey
    outcome: Failed


@dataclass(frozen=True, slots=True)
class ReleaseMemory:
    """Ask an engine to release a program's memory."""

    target: TargetId
    program: ProgramId


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Tell all VMs that a target crashed while it ran a request."""

    fingerprint: bytes
    target: TargetId


DispatchCommand: TypeAlias = (
    SendJob | EndRefused | EndFailed | ReleaseMemory | ReportCrash
)
