"""Runs both co-operatives' programs over HTTP against entry VMs.

An experiment tool: many programs at once, each a chain of calls with
numbers, receipts and idempotency keys, retried by the typed outcome.
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
from ._load_program import Entry, ProgramCaller
from ._load_records import CallEnd, CallRecord
from ._load_workloads import (
    WORKLOADS,
    LoadStep,
    ProgramFailedError,
    Scale,
)

__all__ = [
    "LoadBench",
    "LoadReport",
    "LoadSettings",
    "ProgramRecord",
    "WorkloadSettings",
    "load_settings",
    "percentile",
]

OPEN_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class WorkloadSettings:
    """The programs of one account and kind.

    Attributes:
        workload: ``pole_run``, ``quotation`` or ``voicing``.
        key: The account's bearer key.
        model: The model the programs ask.
        programs: How many programs run.
        concurrency: How many of them at once.
        scale: How large they are.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    workload: str
    key: str
    model: str = "planner"
    programs: int = 10
    concurrency: int = 5
    scale: Scale = field(default_factory=Scale)


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """A load run's settings file.

    Attributes:
        base_urls: The entry VMs' addresses for callers.
        workloads: What runs.
        seed: Chooses entry VMs, pauses and prompts.
        deadline_s: How long a call may take with all its retries.
        open_limit_s: How long opening a program may take.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    base_urls: list[str]
    workloads: list[WorkloadSettings]
    seed: int = 1
    deadline_s: float = 30.0
    open_limit_s: float = 30.0


def load_settings(data: bytes) -> LoadSettings:
    """Returns the settings of a JSON file.

    Args:
        data: The file's bytes.

    Raises:
        ValueError: The file does not describe a load run.
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
class ProgramRecord:
    """One program and how it ended.

    Attributes:
        program: Its id, empty when it could not be opened.
        workload: Its kind.
        finished: Whether it got to its end.
        why: Why not.
        duration_s: From opening to end.
    """

    program: str
    workload: str
    finished: bool = False
    why: str = ""
    duration_s: float = 0.0


@dataclass(slots=True)
class LoadReport:
    """What a load run's callers saw.

    Attributes:
        programs: Every program.
        calls: Every call.
    """

    programs: list[ProgramRecord] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)

    def summary(self) -> dict[str, Any]:
        """Returns counts and latency percentiles, as JSON values."""
        ends = Counter(call.end.value for call in self.calls)
        reasons = Counter(call.reason for call in self.calls if call.reason)
        whys = Counter(p.why for p in self.programs if not p.finished)
        return {
            "programs": len(self.programs),
            "programs_finished": sum(p.finished for p in self.programs),
            "programs_unfinished_by_reason": dict(whys),
            "calls": len(self.calls),
            "calls_by_outcome": dict(ends),
            "calls_by_reason": dict(reasons),
            "requests": sum(call.tries for call in self.calls),
            "resumes": sum(call.resumes for call in self.calls),
            "program_latency_s_by_workload": {
                name: _latency(
                    [
                        p.duration_s
                        for p in self.programs
                        if p.workload == name and p.finished
                    ]
                )
                for name in sorted({p.workload for p in self.programs})
            },
            "call_latency_s": _latency(
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
        settings: What runs.
        reactor: The running Twisted reactor.

    Attributes:
        report: What has been seen so far.
    """

    def __init__(self, settings: LoadSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._client = HttpClient(reactor, pool)
        self.report = LoadReport()

    async def run(self) -> LoadReport:
        """Runs all programs to their end."""
        work: list[Deferred[None]] = []
        for item in self._settings.workloads:
            limit = DeferredSemaphore(item.concurrency)
            for index in range(item.programs):
                name = f"{self._settings.seed}:{item.workload}:{index}"
                work.append(limit.run(self._start, item, Random(name)))
        await gatherResults(work)
        return self.report

    def _start(self, item: WorkloadSettings, random: Random) -> Deferred[None]:
        return ensureDeferred(self._run_program(item, random))

    async def _run_program(
        self, item: WorkloadSettings, random: Random
    ) -> None:
        started = self._reactor.seconds()
        record = ProgramRecord("", item.workload)
        self.report.programs.append(record)
        entry = Entry(self._settings.base_urls, random)
        record.program = await self._open(item, entry)
        if not record.program:
            record.why = "could not be opened"
            return

        def caller(program: str) -> ProgramCaller:
            return ProgramCaller(
                self._client,
                entry,
                item.key,
                program,
                item.workload,
                self._settings.deadline_s,
                self.report.calls.append,
            )

        step = LoadStep(
            caller(record.program),
            lambda name: caller(f"{record.program}/{name}"),
            random,
            item.scale,
            item.model,
        )
        try:
            await WORKLOADS[item.workload](step)
        except FirstError as error:
            record.why = str(error.subFailure.value)
        except ProgramFailedError as error:
            record.why = str(error)
        except Exception as error:
            record.why = f"{type(error).__name__}: {error}"
        else:
            record.finished = True
        record.duration_s = self._reactor.seconds() - started
        await step.caller.finish(cancel=not record.finished)

    async def _open(self, item: WorkloadSettings, entry: Entry) -> str:
        end = self._reactor.seconds() + self._settings.open_limit_s
        headers = {
            "authorization": f"Bearer {item.key}",
            "lycheestall-class": item.workload,
        }
        while self._reactor.seconds() < end:
            url = f"{entry.pick()}/v1/programs"
            result = await self._client.request(
                "POST", url, headers=headers, body=b""
            )
            if isinstance(result, HttpResponse) and result.status == 201:
                return _program_of(result.body)
            await self._sleep(OPEN_RETRY_S)
        return ""

    def _sleep(self, delay_s: float) -> Deferred[None]:
        return deferLater(self._reactor, delay_s, lambda: None)


def percentile(values: list[float], share: float) -> float:
    """Returns the value that a share of the values does not exceed.

    Args:
        values: At least one value, in any order.
        share: The share, 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _latency(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    mean = sum(values) / len(values)
    shares = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    found = {name: percentile(values, at) for name, at in shares.items()}
    return {
        name: round(value, 3)
        for name, value in {"mean": mean, **found}.items()
    }


def _program_of(body: bytes) -> str:
    fields = TypeAdapter(dict[str, Any]).validate_json(body)
    return str(fields["program"])
