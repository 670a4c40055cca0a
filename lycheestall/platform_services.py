"""Interfaces to the platform's log service, VM list and weight store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .ids import Offset, StreamName, TargetId, VmId, ZoneId

__all__ = [
    "AppendResult",
    "AppendUnknown",
    "Appended",
    "LogEntry",
    "LogService",
    "ReadBatch",
    "ReadFailed",
    "ReadResult",
    "ReadStartExpired",
    "VmEntry",
    "VmList",
    "VmListFailed",
    "VmListResult",
    "VmListing",
    "VmRole",
    "VmState",
    "WeightGrant",
    "WeightStore",
]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of a log stream: its offset and its payload."""

    offset: Offset
    payload: bytes


@dataclass(frozen=True, slots=True)
class Appended:
    """The append succeeded; ``first`` is the first payload's offset."""

    first: Offset


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The append may have succeeded; no valid response was received."""

    error: str


@dataclass(frozen=True, slots=True)
class ReadBatch:
    """The entries read from a stream.

    Attributes:
        entries: The entries in offset order; may be empty.
        first_retained: The oldest offset that the log still retains.
        end: The offset that the next appended record will get.
    """

    entries: tuple[LogEntry, ...]
    first_retained: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class ReadStartExpired:
    """The requested start offset is no longer retained by the log.

    Attributes:
        first_retained: The oldest offset that the log still retains.
        end: The offset that the next appended record will get.
    """

    first_retained: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The read failed or the response was invalid."""

    error: str


AppendResult: TypeAlias = Appended | AppendUnknown
ReadResult: TypeAlias = ReadBatch | ReadStartExpired | ReadFailed


class LogService(ABC):
    """The platform's append-only log.

    The methods are coroutines that await only Deferreds, so that they
    run with any Twisted clock.
    """

    @abstractmethod
    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends payloads atomically as consecutive records.

        Args:
            stream: The stream's name.
            payloads: At least one payload.
        """

    @abstractmethod
    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads entries starting at an offset.

        Args:
            stream: The stream's name.
            start: The first offset to read.
            limit: Maximum number of entries to return.
            wait_s: How long the log may wait for a first entry.
        """


class VmRole(Enum):
    """The role of a VM in the platform's list."""

    ENTRY = "entry"
    ENGINE = "engine"
    APPLICATION = "application"
    TOOL = "tool"


class VmState(Enum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmEntry:
    """One VM of the platform's list.

    Attributes:
        vm: The VM's id; for a target, also the target's id.
        role: The VM's role.
        zone: The VM's availability zone.
        host: The VM's IP address.
        port: The port that the VM serves.
        state: Whether the VM is live or leaving.
        group: A target's application or model group, else empty.
    """

    vm: VmId
    role: VmRole
    zone: ZoneId
    host: str
    port: int
    state: VmState = VmState.LIVE
    group: str = ""


@dataclass(frozen=True, slots=True)
class VmListing:
    """A snapshot of the VM list; a higher version is newer."""

    version: int
    entries: tuple[VmEntry, ...]


@dataclass(frozen=True, slots=True)
class VmListFailed:
    """The VM list could not be fetched."""

    error: str


VmListResult: TypeAlias = VmListing | VmListFailed


class VmList(ABC):
    """The platform's list of live and leaving VMs; it may be out of date."""

    @abstractmethod
    async def fetch(self) -> VmListResult:
        """Returns the newest snapshot that the platform offers."""


@dataclass(frozen=True, slots=True)
class WeightGrant:
    """The weight store's response to a request to load weights.

    Attributes:
        granted: Whether the load may start now.
        retry_after_s: If not granted, seconds until the next request.
    """

    granted: bool
    retry_after_s: float = 0.0


class WeightStore(ABC):
    """The platform's rate-limited store of model weights."""

    @abstractmethod
    async def request(self, name: str, target: TargetId) -> WeightGrant:
        """Requests permission to load a model, an adapter or a version.

        Args:
            name: The name of the weights.
            target: The engine that will load them.
        """
