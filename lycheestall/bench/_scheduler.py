"""The interface of the scheduling policies in the policy bench."""

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
    """A scheduling policy; methods return the commands to execute."""

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Sets the engines on the VM list."""

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Submits a new job."""

    def job_accepted(self, key: JobKey, now: float) -> None:
        """Handles the acceptance of a job by its engine."""

    def job_started(self, key: JobKey, now: float) -> None:
        """Handles the first chunk of a job's answer."""

    def job_done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """Handles the end of a complete answer."""

    def job_refused(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """Handles a refusal: the engine did not run the job."""

    def stream_broken(
        self,
        key: JobKey,
        *,
        chunks: int,
        crashed: bool,
        may_repeat: bool,
        detail: str,
        now: float,
    ) -> list[DispatchCommand]:
        """Handles an interrupted answer that can't be resumed."""

    def observe_load(
        self, report: LoadReport, now: float
    ) -> list[DispatchCommand]:
        """Handles a load report."""

    def observe_cache(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Handles a page of cache events."""

    def program_paused(self, root: ProgramId, now: float) -> None:
        """Called when a program starts to wait for a tool."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """Called when a program has ended."""

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Called when an engine has released a program's memory."""

    def poll(self, now: float) -> list[DispatchCommand]:
        """Dispatches the queued jobs that can be sent now."""

    def next_wake(self, now: float) -> float | None:
        """Returns the time of the next poll, or None."""
