"""Runs the engine scheduler's decisions against the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, cast

from twisted.internet import defer

from ._engine_dispatch import EngineDispatch, StreamOwner
from ._engine_liveness import EngineLiveness, Hold
from ._memory_release import MemoryRelease, ReleaseWatcher
from ._unresolved_requests import UNRESOLVED_REQUEST, UnresolvedRequests
from .clock import Clock, Timer
from .dispatch import ChatDispatcher, ChatJob, ChatListener, JobHandle
from .dispatch_commands import (
    DispatchCommand,
    EndFailed,
    EndRefused,
    JobKey,
    ReleaseMemory,
    ReportCrash,
    SendJob,
)
from .engine_directory import EngineDirectory
from .engine_scheduler import EngineScheduler, EngineView
from .ids import ProgramId, RequestId, SessionId, TargetId, VmId
from .logs import failure_logger
from .outcomes import Failed, Reason, Refused, Step
from .rules.rule_book import RuleBook
from .targets import (
    CacheEvents,
    EngineBroken,
    EngineDone,
    EngineRefused,
    EngineRequest,
    EngineResult,
    HeldMemory,
    LoadReport,
)

__all__ = ["EngineDispatcher"]

WATCH_INTERVAL_S = 1.0
MIN_WAKE_S = 0.001
NO_ENGINE_RETRY_S = 2.0
HOLD_CHECK_S = 0.1


class EngineDispatcher(ChatDispatcher, StreamOwner, ReleaseWatcher):
    """Queues jobs, places them on engines and repeats what is safe."""

    def __init__(
        self,
        *,
        engines: EngineDirectory,
        rules: Callable[[], RuleBook],
        clock: Clock,
        wall_ms: Callable[[], int],
        random: Random,
        vm: VmId,
        crash_reporter: Callable[[bytes, TargetId], None],
        quarantined: Callable[[bytes], bool],
        cell_size: Callable[[], int],
        session: Callable[[], SessionId] = lambda: SessionId(""),
    ) -> None:
        """Starts with the engines that the directory knows.

        Args:
            engines: The cell's engines; call ``engines_changed`` after
                each change.
            rules: Returns the rules in force.
            clock: The node's monotonic clock.
            wall_ms: Wall-clock time, milliseconds since 1970.
            random: Seeds the breaking of ties between equal engines.
            vm: The VM that this dispatcher runs on.
            crash_reporter: Called with a request's fingerprint and the
                target that crashed while it ran the request.
            quarantined: Whether a fingerprint has crashed too many
                targets, by the reports of all VMs.
            cell_size: VMs that share the engines.
            session: Returns the daemon's session, which engines are told.
        """
        self._session = session
        self._engines = engines
        self._memory = MemoryRelease(engines, self)
        self._clock = clock
        self._crash_reporter = crash_reporter
        self._scheduler = EngineScheduler(
            vm=vm,
            seed=random.getrandbits(32),
            rules=rules,
            quarantined=quarantined,
            cell_size=cell_size,
            wall_ms=wall_ms,
        )
        self._dispatch_by_key: dict[JobKey, EngineDispatch] = {}
        self._keys = 0
        self._turn: Timer | None = None
        self._wake: Timer | None = None
        self._wake_at: float | None = None
        self._watch: Timer | None = None
        self._submitted: list[JobKey] = []
        self._unresolved = UnresolvedRequests(clock)
        self._liveness = EngineLiveness(engines, clock)
        self.engines_changed()

    def submit(self, job: ChatJob, listener: ChatListener) -> JobHandle:
        """Takes a job; exactly one ending event follows unless cancelled."""
        dispatch = self._new(job, listener, 0)
        self._submitted.append(dispatch.key)
        if self._turn is None:
            self._turn = self._clock.callLater(0, self._take_submitted)
        return dispatch

    def resume(
        self,
        job: ChatJob,
        target: TargetId,
        request: RequestId,
        start: int,
        listener: ChatListener,
    ) -> JobHandle:
        """Takes up a stream that an earlier owner had dispatched."""
        dispatch = self._new(job, listener, start)
        now = self._clock.seconds()
        self._scheduler.adopt(dispatch.key, job, target, now)
        self._clock.callLater(0, self._take_up, dispatch, target, request)
        return dispatch

    def program_paused(self, root: ProgramId) -> None:
        """The program waits for a tool; its cache may soon be needed."""
        self._scheduler.program_paused(root, self._clock.seconds())

    def program_ended(self, root: ProgramId) -> None:
        """The program ended or vanished; engines hold nothing for it."""
        now = self._clock.seconds()
        self._execute(self._scheduler.program_ended(root, now))

    def engines_changed(self) -> None:
        """Takes the directory's engines after a change."""
        now = self._clock.seconds()
        entries = self._engines.entries()
        self._execute(self._scheduler.set_engines(entries, now))

    def observe(self, report: LoadReport) -> None:
        """Takes a load report, polled here or by another VM."""
        self._liveness.heard(report.target)
        if self._engines.observe(report):
            self.engines_changed()
        now = self._clock.seconds()
        self._execute(self._scheduler.observe(report, now))

    def observe_cache(self, target: TargetId, page: CacheEvents) -> None:
        """Takes a page of an engine's cache events."""
        self._scheduler.cache_events(target, page, self._clock.seconds())

    def view(self, target: TargetId) -> EngineView:
        """Returns what this VM knows of an engine's load."""
        return self._scheduler.view(target, self._clock.seconds())

    def found(
        self,
        target: TargetId,
        held: Iterable[HeldMemory],
        live: Callable[[ProgramId], bool],
    ) -> None:
        """Takes what an engine holds; releases what no program owns.

        Args:
            target: The engine.
            held: What it says it holds.
            live: Whether a top-level program lives in the cell.
        """
        now = self._clock.seconds()
        self._execute(self._scheduler.found(target, held, live, now))

    def released(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""
        self._scheduler.released(target, root)

    def stream_accepted(self, dispatch: EngineDispatch) -> None:
        """The engine has the request."""
        self._scheduler.accepted(dispatch.key, self._clock.seconds())

    def stream_started(self, dispatch: EngineDispatch) -> None:
        """The first chunk of an attempt has come."""
        self._scheduler.started(dispatch.key, self._clock.seconds())

    def stream_ended(
        self, dispatch: EngineDispatch, result: EngineResult, *, lost: bool
    ) -> None:
        """The stream ended and cannot be taken up again."""
        key, now = dispatch.key, self._clock.seconds()
        if isinstance(result, EngineDone):
            self._drop(dispatch)
            dispatch.listener.done(result, dispatch.target)
            self._execute(self._scheduler.done(key, result, now))
            return
        if isinstance(result, EngineRefused):
            self._execute(self._scheduler.turned_away(key, result, now))
            return
        if dispatch.unsettled:
            self._unresolved.wait(
                dispatch,
                on_resolved=partial(
                    self._broken, dispatch, result, lost=False
                ),
                on_timeout=partial(self._not_settled, dispatch),
            )
            return
        self._broken(dispatch, result, lost=lost)

    def _broken(
        self, dispatch: EngineDispatch, result: EngineBroken, *, lost: bool
    ) -> None:
        key, now = dispatch.key, self._clock.seconds()
        dispatch.cancel_at_engine()
        self._execute(
            self._scheduler.broken(
                key,
                chunks=dispatch.chunks,
                crashed=lost,
                may_repeat=dispatch.job.may_repeat(),
                detail=result.detail,
                now=now,
            )
        )

    def _not_settled(self, dispatch: EngineDispatch) -> None:
        if dispatch.ended:
            return
        now = self._clock.seconds()
        self._execute(self._scheduler.unsettled(dispatch.key, now))

    def cancelled(self, dispatch: EngineDispatch) -> None:
        """The job is no longer wanted."""
        self._drop(dispatch)
        now = self._clock.seconds()
        self._execute(self._scheduler.cancel(dispatch.key, now))

    def _new(
        self, job: ChatJob, listener: ChatListener, delivered: int
    ) -> EngineDispatch:
        self._keys += 1
        dispatch = EngineDispatch(
            JobKey(self._keys),
            job,
            listener,
            owner=self,
            clock=self._clock,
            delivered=delivered,
        )
        self._dispatch_by_key[dispatch.key] = dispatch
        if self._watch is None:
            self._watch = self._clock.callLater(
                WATCH_INTERVAL_S, self._watch_streams
            )
        return dispatch

    def _take_submitted(self) -> None:
        self._turn = None
        keys, self._submitted = self._submitted, []
        now = self._clock.seconds()
        for key in keys:
            dispatch = self._dispatch_by_key.get(key)
            if dispatch is None:
                continue
            hold = self._liveness.hold(key, dispatch.job, now)
            if self._unresolved.blocks(dispatch.job.program):
                hold = Hold.REFUSE
            if hold is Hold.REFUSE:
                self._end_refused(EndRefused(key, UNRESOLVED_REQUEST))
                continue
            if hold is Hold.WAIT:
                self._clock.callLater(HOLD_CHECK_S, self._submit_again, key)
                continue
            self._execute(self._scheduler.submit(key, dispatch.job, now))

    def _submit_again(self, key: JobKey) -> None:
        self._submitted.append(key)
        if self._turn is None:
            self._turn = self._clock.callLater(0, self._take_submitted)

    def _take_up(
        self, dispatch: EngineDispatch, target: TargetId, request: RequestId
    ) -> None:
        if dispatch.ended:
            return
        engine = self._engines.engine(target)
        if engine is None:
            outcome = Failed(Step.RESUME, Reason.TARGET_FAILED, peer=target)
            self._scheduler.cancel(dispatch.key, self._clock.seconds())
            self._end_failed(EndFailed(dispatch.key, outcome))
            return
        dispatch.take_up(engine, target, request)

    def _execute(self, commands: Iterable[DispatchCommand]) -> None:
        for command in commands:
            if isinstance(command, SendJob):
                self._send(command)
            elif isinstance(command, EndRefused):
                self._end_refused(command)
            elif isinstance(command, EndFailed):
                self._end_failed(command)
            elif isinstance(command, ReleaseMemory):
                release = self._memory.release(command)
                defer.ensureDeferred(release).addErrback(
                    failure_logger("memory not released")
                )
            elif isinstance(command, ReportCrash):
                self._crash_reporter(command.fingerprint, command.target)
        self._set_wake()

    def _send(self, command: SendJob) -> None:
        dispatch = self._dispatch_by_key.get(command.key)
        if dispatch is None:
            return
        engine = self._engines.engine(command.target)
        refusal = dispatch.job.may_send()
        if engine is None:
            refusal = Refused(
                Step.DISPATCH,
                Reason.NO_TARGET,
                peer=command.target,
                retry_after_s=NO_ENGINE_RETRY_S,
            )
        now = self._clock.seconds()
        if refusal is not None or engine is None:
            assert refusal is not None
            self._execute(
                self._scheduler.send_refused(command.key, refusal, now)
            )
            return
        job = dispatch.job
        request = EngineRequest(
            request=command.request,
            program=job.program,
            number=job.number,
            model=job.model,
            body=job.body,
            priority=command.priority,
            deadline_s=max(job.deadline_s - now, 0.0),
            session=self._session(),
            epoch=job.epoch,
        )
        dispatch.send(engine, command.target, request)

    def _end_refused(self, command: EndRefused) -> None:
        dispatch = self._dispatch_by_key.get(command.key)
        if dispatch is None:
            return
        self._drop(dispatch)
        dispatch.stop()
        dispatch.listener.refused(command.outcome)

    def _end_failed(self, command: EndFailed) -> None:
        dispatch = self._dispatch_by_key.get(command.key)
        if dispatch is None:
            return
        self._drop(dispatch)
        dispatch.stop()
        dispatch.listener.failed(command.outcome)

    def _drop(self, dispatch: EngineDispatch) -> None:
        dispatch.ended = True
        self._dispatch_by_key.pop(dispatch.key, None)
        self._liveness.forget(dispatch.key)

    def _watch_streams(self) -> None:
        self._watch = None
        now = self._clock.seconds()
        for dispatch in list(self._dispatch_by_key.values()):
            if dispatch.target and now >= dispatch.job.deadline_s:
                self._execute(self._scheduler.expired(dispatch.key, now))
                continue
            dispatch.watch(now)
        self._execute(self._scheduler.poll(now))
        if self._dispatch_by_key and self._watch is None:
            self._watch = self._clock.callLater(
                WATCH_INTERVAL_S, self._watch_streams
            )

    def _set_wake(self) -> None:
        now = self._clock.seconds()
        wake_at = self._scheduler.next_wake(now)
        if wake_at == self._wake_at and self._wake is not None:
            return
        if self._wake is not None:
            cast(Any, self._wake).cancel()
            self._wake = None
        self._wake_at = wake_at
        if wake_at is not None:
            delay = max(wake_at - now, MIN_WAKE_S)
            self._wake = self._clock.callLater(delay, self._poll)

    def _poll(self) -> None:
        self._wake = None
        self._execute(self._scheduler.poll(self._clock.seconds()))
