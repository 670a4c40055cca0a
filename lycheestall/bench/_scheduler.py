"""What a policy has to offer to run in the policy bench."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from ..dispatch import ChatJob
from ..dispatch_commands import DispatchCommand, JobKey
from ..engine_directory import EngineEntry
from ..ids import ProgramId, TargetId
from ..targets import CacheEvents, EngineDone, EngineRefused, LoadReport

__all__ = ["BenchScheduler"]


class BenchScheduler(Protocol):
    """What a policy has to offer to run in the bench."""

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Takes the engines as the VM list has them."""

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Takes a new job."""

    def accepted(self, key: JobKey, now: float) -> None:
        """The engine has the job."""

    def started(self, key: JobKey, now: float) -> None:
        """The first chunk has come."""

    def done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """The answer is whole."""

    def refused(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """The engine did not run the job."""

    def broken(
        self,
        key: JobKey,
        *,
        chunks: int,
        crashed: bool,
        may_repeat: bool,
        detail: str,
        now: float,
    ) -> list[DispatchCommand]:
        """The stream broke for good."""

    def observe(self, report: LoadReport, now: float) -> list[DispatchCommand]:
        """Takes a load report."""

    def observe_cache(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Takes a page of cache events."""

    def program_paused(self, root: ProgramId, now: float) -> None:
        """The program waits for a tool."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """The program ended."""

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """An engine has released a program's memory."""

    def poll(self, now: float) -> list[DispatchCommand]:
        """Sends what can be sent."""

    def next_wake(self, now: float) -> float | None:
        """Returns when to poll next."""
