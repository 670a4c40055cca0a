"""What the platform gives: log service, VM list, weight store."""

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
    "ReadGone",
    "ReadResult",
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
    """One record of a stream: its offset and its bytes."""

    offset: Offset
    payload: bytes


@dataclass(frozen=True, slots=True)
class Appended:
    """The log answered; the first payload is at ``first``."""

    first: Offset


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No usable answer came; the append may have taken effect."""

    error: str


@dataclass(frozen=True, slots=True)
class ReadBatch:
    """Entries in offset order, possibly none.

    Attributes:
        entries: What was read.
        first_retained: The oldest offset the log still holds.
        end: The offset that the next append will get.
    """

    entries: tuple[LogEntry, ...]
    first_retained: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class ReadGone:
    """The wanted start is older than retention."""

    first_retained: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log did not answer."""

    error: str


AppendResult: TypeAlias = Appended | AppendUnknown
ReadResult: TypeAlias = ReadBatch | ReadGone | ReadFailed


class LogService(ABC):
    """The platform's append-only log.

    Methods are coroutines that await Deferreds only, so that they run
    under any Twisted clock.
    """

    @abstractmethod
    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends payloads as consecutive records, all or none.

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
        """Reads entries from ``start`` on.

        Args:
            stream: The stream's name.
            start: The first offset wanted.
            limit: The most entries to return.
            wait_s: How long the log may wait for a first entry.
        """


class VmRole(Enum):
    """What a VM in the platform's list runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    APPLICATION = "application"
    TOOL = "tool"


class VmState(Enum):
    """A VM's state in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmEntry:
    """One VM of the platform's list.

    Attributes:
        vm: The VM's id; for targets, the target's id.
        role: What it runs.
        zone: Its availability zone.
        host: Its IP address.
        port: The port it serves.
        state: Live or leaving.
        group: The application or model group of a target, or empty.
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
    """The VM list did not answer."""

    error: str


VmListResult: TypeAlias = VmListing | VmListFailed


class VmList(ABC):
    """The platform's lagging list of live and leaving VMs."""

    @abstractmethod
    async def fetch(self) -> VmListResult:
        """Returns the newest snapshot that the platform shows."""


@dataclass(frozen=True, slots=True)
class WeightGrant:
    """Leave to fetch weights.

    Attributes:
        granted: Whether the load may start now.
        retry_after_s: When to ask again if not.
    """

    granted: bool
    retry_after_s: float = 0.0


class WeightStore(ABC):
    """The platform's rate-limited store of model weights."""

    @abstractmethod
    async def request(self, name: str, target: TargetId) -> WeightGrant:
        """Asks for leave to load one model, adapter or version.

        Args:
            name: The weights' name.
            target: The engine that is to load them.
        """
