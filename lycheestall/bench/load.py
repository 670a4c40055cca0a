"""Load generator: runs many programs over HTTP against entry VMs.

Each program makes a sequence of calls with call numbers, receipts and
idempotency keys, and retries them according to their typed outcomes.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pydantic import ConfigDict, TypeAdapter
from twisted.internet.defer import (
    Deferred,
    DeferredSemaphore,
    FirstError,
    ensureDeferred,
    gatherResults,
)
from twisted.internet.task import deferLater
from twisted.web.client import HTTPConnectionPool

from .._http_client import HttpClient, HttpResponse
from ._load_program import EntryPool, ProgramCaller
from ._load_records import CallEnd, CallRecord
from ._load_workloads import (
    WORKLOADS,
    ProgramFailedError,
    WorkloadContext,
    WorkloadScale,
)

__all__ = [
    "LoadBench",
    "LoadRunReport",
    "LoadSettings",
    "ProgramResult",
    "WorkloadSettings",
    "load_settings",
    "percentile",
]

OPEN_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class WorkloadSettings:
    """The programs of one account and workload.

    Attributes:
        workload: ``pole_run``, ``quotation`` or ``voicing``.
        key: The account's bearer key.
        model: The model of the chat calls.
        programs: Number of programs to run.
        concurrency: Maximum number of them running at once.
        scale: The size of each program.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    workload: str
    key: str
    model: str = "planner"
    programs: int = 10
    concurrency: int = 5
    scale: WorkloadScale = field(default_factory=WorkloadScale)


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """The settings file of a load run.

    Attributes:
        base_urls: Base URLs of the entry VMs.
        workloads: The programs to run.
        seed: Seed of the choice of entry VMs, pauses and prompts.
        deadline_s: Time limit of a call, including its retries.
        open_limit_s: Time limit for opening a program.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    base_urls: list[str]
    workloads: list[WorkloadSettings]
    seed: int = 1
    deadline_s: float = 30.0
    open_limit_s: float = 30.0


def load_settings(data: bytes) -> LoadSettings:
    """Parses the settings file of a load run.

    Args:
        data: The JSON content.

    Raises:
        ValueError: The content is invalid.
    """
    settings = TypeAdapter(LoadSettings).validate_json(data)
    for item in settings.workloads:
        if item.workload not in WORKLOADS:
            known = ", ".join(sorted(WORKLOADS))
            raise ValueError(
                f"workload: found {item.workload!r}, expected {known}"
            )
    return settings


@dataclass(slots=True)
class ProgramResult:
    """The result of one program.

    Attributes:
        program: Its id, empty if it could not be opened.
        workload: The name of its workload.
        finished: Whether all its steps succeeded.
        failure: Why it did not finish, or empty.
        duration_s: Time from the request to open it to its last call.
    """

    program: str
    workload: str
    finished: bool = False
    failure: str = ""
    duration_s: float = 0.0


@dataclass(slots=True)
class LoadRunReport:
    """The results of a load run.

    Attributes:
        programs: One result for each program.
        calls: One record for each call.
    """

    programs: list[ProgramResult] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)

    def summary(self) -> dict[str, Any]:
        """Returns counts and latencies in seconds, as JSON values."""
        outcomes = Counter(call.end.value for call in self.calls)
        reasons = Counter(call.reason for call in self.calls if call.reason)
        failures = Counter(p.failure for p in self.programs if not p.finished)
        return {
            "programs": len(self.programs),
            "programs_finished": sum(p.finished for p in self.programs),
            "programs_unfinished_by_reason": dict(failures),
            "calls": len(self.calls),
            "calls_by_outcome": dict(outcomes),
            "calls_by_reason": dict(reasons),
            "requests": sum(call.tries for call in self.calls),
            "resumes": sum(call.resumes for call in self.calls),
            "program_latency_s_by_workload": {
                name: _latency_summary(
                    [
                        p.duration_s
                        for p in self.programs
                        if p.workload == name and p.finished
                    ]
                )
                for name in sorted({p.workload for p in self.programs})
            },
            "call_latency_s": _latency_summary(
                [
                    call.duration_s
                    for call in self.calls
                    if call.end is CallEnd.COMPLETED
                ]
            ),
        }


class LoadBench:
    """Runs the programs of a load run.

    Args:
        settings: The settings of the run.
        reactor: The running Twisted reactor.

    Attributes:
        report: The results so far.
    """

    def __init__(self, settings: LoadSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._client = HttpClient(reactor, pool)
        self.report = LoadRunReport()

    async def run(self) -> LoadRunReport:
        """Runs all programs and returns their results."""
        work: list[Deferred[None]] = []
        for item in self._settings.workloads:
            semaphore = DeferredSemaphore(item.concurrency)
            for index in range(item.programs):
                name = f"{self._settings.seed}:{item.workload}:{index}"
                work.append(
                    semaphore.run(self._start_program, item, Random(name))
                )
        await gatherResults(work)
        return self.report

    def _start_program(
        self, item: WorkloadSettings, random: Random
    ) -> Deferred[None]:
        return ensureDeferred(self._run_program(item, random))

    async def _run_program(
        self, item: WorkloadSettings, random: Random
    ) -> None:
        started = self._reactor.seconds()
        record = ProgramResult("", item.workload)
        self.report.programs.append(record)
        entry_pool = EntryPool(self._settings.base_urls, random)
        record.program = await self._open_program(item, entry_pool)
        if not record.program:
            record.failure = "could not be opened"
            return

        def caller(program: str) -> ProgramCaller:
            return ProgramCaller(
                self._client,
                entry_pool,
                item.key,
                program,
                item.workload,
                self._settings.deadline_s,
                self.report.calls.append,
            )

        context = WorkloadContext(
            caller(record.program),
            lambda name: caller(f"{record.program}/{name}"),
            random,
            item.scale,
            item.model,
        )
        try:
            await WORKLOADS[item.workload](context)
        except FirstError as error:
            record.failure = str(error.subFailure.value)
        except ProgramFailedError as error:
            record.failure = str(error)
        except Exception as error:
            record.failure = f"{type(error).__name__}: {error}"
        else:
            record.finished = True
        record.duration_s = self._reactor.seconds() - started
        await context.caller.end_program(cancel=not record.finished)

    async def _open_program(
        self, item: WorkloadSettings, entry_pool: EntryPool
    ) -> str:
        end = self._reactor.seconds() + self._settings.open_limit_s
        headers = {
            "authorization": f"Bearer {item.key}",
            "lycheestall-class": item.workload,
        }
        while self._reactor.seconds() < end:
            url = f"{entry_pool.pick()}/v1/programs"
            result = await self._client.request(
                "POST", url, headers=headers, body=b""
            )
            if isinstance(result, HttpResponse) and result.status == 201:
                return _program_id(result.body)
            await self._sleep(OPEN_RETRY_S)
        return ""

    def _sleep(self, delay_s: float) -> Deferred[None]:
        return deferLater(self._reactor, delay_s, lambda: None)


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile, without interpolating between values.

    Args:
        values: At least one value, in any order.
        share: The percentile as a share from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _latency_summary(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    mean = sum(values) / len(values)
    shares = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    percentiles = {name: percentile(values, at) for name, at in shares.items()}
    return {
        name: round(value, 3)
        for name, value in {"mean": mean, **percentiles}.items()
    }


def _program_id(body: bytes) -> str:
    fields = TypeAdapter(dict[str, Any]).validate_json(body)
    return str(fields["program"])
