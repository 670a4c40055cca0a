"""Executes the engine scheduler's commands against the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, cast

from twisted.internet import defer

from ._engine_dispatch import EngineDispatch, StreamObserver
from ._engine_liveness import EngineLiveness, HoldDecision
from ._memory_release import MemoryReleaser, ReleaseObserver
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
from .rules.rule_set import RuleSet
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

PROGRESS_CHECK_INTERVAL_S = 1.0
MIN_POLL_DELAY_S = 0.001
NO_ENGINE_RETRY_S = 2.0
HOLD_RETRY_INTERVAL_S = 0.1


class EngineDispatcher(ChatDispatcher, StreamObserver, ReleaseObserver):
    """Queues jobs, dispatches them to engines and retries safe ones."""

    def __init__(
        self,
        *,
        engines: EngineDirectory,
        rules: Callable[[], RuleSet],
        clock: Clock,
        wall_ms: Callable[[], int],
        random: Random,
        vm: VmId,
        crash_reporter: Callable[[bytes, TargetId], None],
        quarantined: Callable[[bytes], bool],
        cell_size: Callable[[], int],
        session: Callable[[], SessionId] = lambda: SessionId(""),
    ) -> None:
        """Creates a dispatcher for the engines of the directory.

        Args:
            engines: The cell's engines; call ``engines_changed`` after
                each change.
            rules: Returns the rules in force.
            clock: The node's monotonic clock.
            wall_ms: Returns wall-clock time in milliseconds since 1970.
            random: Seeds the tie breaker between engines of equal cost.
            vm: The VM that this dispatcher runs on.
            crash_reporter: Called with a request's fingerprint and the
                target that crashed while it ran the request.
            quarantined: Returns whether a fingerprint has crashed too
                many targets, by the reports of all VMs.
            cell_size: Returns the number of VMs that share the engines.
            session: Returns the daemon's session, which is sent to
                engines with each request.
        """
        self._session = session
        self._engines = engines
        self._releaser = MemoryReleaser(engines, self)
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
        self._last_key = 0
        self._submit_timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._poll_at: float | None = None
        self._progress_timer: Timer | None = None
        self._submitted: list[JobKey] = []
        self._unresolved = UnresolvedRequests(clock)
        self._liveness = EngineLiveness(engines, clock)
        self.engines_changed()

    def submit(self, job: ChatJob, listener: ChatListener) -> JobHandle:
        """Queues a job; exactly one ending event follows unless cancelled."""
        dispatch = self._add_dispatch(job, listener, 0)
        self._submitted.append(dispatch.key)
        if self._submit_timer is None:
            self._submit_timer = self._clock.callLater(
                0, self._process_submitted
            )
        return dispatch

    def resume(
        self,
        job: ChatJob,
        target: TargetId,
        request: RequestId,
        start: int,
        listener: ChatListener,
    ) -> JobHandle:
        """Resumes a stream that an earlier owner had dispatched."""
        dispatch = self._add_dispatch(job, listener, start)
        now = self._clock.seconds()
        self._scheduler.adopt(dispatch.key, job, target, now)
        self._clock.callLater(0, self._resume, dispatch, target, request)
        return dispatch

    def program_paused(self, root: ProgramId) -> None:
        """Handles a program's wait for a tool; its cache is needed soon."""
        self._scheduler.program_paused(root, self._clock.seconds())

    def program_ended(self, root: ProgramId) -> None:
        """Releases engine memory of a program that ended or vanished."""
        now = self._clock.seconds()
        self._execute(self._scheduler.program_ended(root, now))

    def engines_changed(self) -> None:
        """Reads the directory again after a change."""
        now = self._clock.seconds()
        entries = self._engines.entries()
        self._execute(self._scheduler.set_engines(entries, now))

    def observe(self, report: LoadReport) -> None:
        """Handles a load report, polled here or by another VM."""
        self._liveness.record_answer(report.target)
        if self._engines.observe(report):
            self.engines_changed()
        now = self._clock.seconds()
        self._execute(self._scheduler.observe_load(report, now))

    def observe_cache(self, target: TargetId, page: CacheEvents) -> None:
        """Handles a page of an engine's cache events."""
        self._scheduler.observe_cache(target, page, self._clock.seconds())

    def load_view(self, target: TargetId) -> EngineView:
        """Returns this VM's view of an engine's load."""
        return self._scheduler.load_view(target, self._clock.seconds())

    def reconcile_memory(
        self,
        target: TargetId,
        held: Iterable[HeldMemory],
        is_live: Callable[[ProgramId], bool],
    ) -> None:
        """Releases engine memory that belongs to no live program.

        Args:
            target: The engine.
            held: The memory that it reports.
            is_live: Returns whether a top-level program is open in the
                cell.
        """
        now = self._clock.seconds()
        self._execute(
            self._scheduler.reconcile_memory(target, held, is_live, now)
        )

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Handles an engine's confirmation of a memory release."""
        self._scheduler.release_confirmed(target, root)

    def stream_accepted(self, dispatch: EngineDispatch) -> None:
        """Handles the engine's acceptance of a request."""
        self._scheduler.job_accepted(dispatch.key, self._clock.seconds())

    def stream_started(self, dispatch: EngineDispatch) -> None:
        """Handles the first chunk of an attempt."""
        self._scheduler.job_started(dispatch.key, self._clock.seconds())

    def stream_ended(
        self, dispatch: EngineDispatch, result: EngineResult, *, crashed: bool
    ) -> None:
        """Handles the end of a stream that cannot be resumed."""
        key, now = dispatch.key, self._clock.seconds()
        if isinstance(result, EngineDone):
            self._drop(dispatch)
            dispatch.listener.done(result, dispatch.target)
            self._execute(self._scheduler.job_done(key, result, now))
            return
        if isinstance(result, EngineRefused):
            self._execute(self._scheduler.job_refused(key, result, now))
            return
        if dispatch.unresolved:
            self._unresolved.wait(
                dispatch,
                on_resolved=partial(
                    self._stream_broken, dispatch, result, crashed=False
                ),
                on_timeout=partial(self._accept_timed_out, dispatch),
            )
            return
        self._stream_broken(dispatch, result, crashed=crashed)

    def _stream_broken(
        self, dispatch: EngineDispatch, result: EngineBroken, *, crashed: bool
    ) -> None:
        key, now = dispatch.key, self._clock.seconds()
        dispatch.cancel_at_engine()
        self._execute(
            self._scheduler.stream_broken(
                key,
                chunks=dispatch.chunks,
                crashed=crashed,
                may_repeat=dispatch.job.may_repeat(),
                detail=result.detail,
                now=now,
            )
        )

    def _accept_timed_out(self, dispatch: EngineDispatch) -> None:
        if dispatch.ended:
            return
        now = self._clock.seconds()
        self._execute(self._scheduler.accept_timed_out(dispatch.key, now))

    def cancelled(self, dispatch: EngineDispatch) -> None:
        """Handles a cancelled job."""
        self._drop(dispatch)
        now = self._clock.seconds()
        self._execute(self._scheduler.cancel(dispatch.key, now))

    def _add_dispatch(
        self, job: ChatJob, listener: ChatListener, delivered: int
    ) -> EngineDispatch:
        self._last_key += 1
        dispatch = EngineDispatch(
            JobKey(self._last_key),
            job,
            listener,
            observer=self,
            clock=self._clock,
            delivered=delivered,
        )
        self._dispatch_by_key[dispatch.key] = dispatch
        if self._progress_timer is None:
            self._progress_timer = self._clock.callLater(
                PROGRESS_CHECK_INTERVAL_S, self._check_streams
            )
        return dispatch

    def _process_submitted(self) -> None:
        self._submit_timer = None
        keys, self._submitted = self._submitted, []
        now = self._clock.seconds()
        for key in keys:
            dispatch = self._dispatch_by_key.get(key)
            if dispatch is None:
                continue
            hold = self._liveness.hold(key, dispatch.job, now)
            if self._unresolved.blocks(dispatch.job.program):
                hold = HoldDecision.REFUSE
            if hold is HoldDecision.REFUSE:
                self._end_refused(EndRefused(key, UNRESOLVED_REQUEST))
                continue
            if hold is HoldDecision.WAIT:
                self._clock.callLater(
                    HOLD_RETRY_INTERVAL_S, self._resubmit, key
                )
                continue
            self._execute(self._scheduler.submit(key, dispatch.job, now))

    def _resubmit(self, key: JobKey) -> None:
        self._submitted.append(key)
        if self._submit_timer is None:
            self._submit_timer = self._clock.callLater(
                0, self._process_submitted
            )

    def _resume(
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
        dispatch.resume(engine, target, request)

    def _execute(self, commands: Iterable[DispatchCommand]) -> None:
        for command in commands:
            if isinstance(command, SendJob):
                self._send(command)
            elif isinstance(command, EndRefused):
                self._end_refused(command)
            elif isinstance(command, EndFailed):
                self._end_failed(command)
            elif isinstance(command, ReleaseMemory):
                release = self._releaser.release(command)
                defer.ensureDeferred(release).addErrback(
                    failure_logger("releasing engine memory failed")
                )
            elif isinstance(command, ReportCrash):
                self._crash_reporter(command.fingerprint, command.target)
        self._schedule_poll()

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
                self._scheduler.job_not_sent(command.key, refusal, now)
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

    def _check_streams(self) -> None:
        self._progress_timer = None
        now = self._clock.seconds()
        for dispatch in list(self._dispatch_by_key.values()):
            if dispatch.target and now >= dispatch.job.deadline_s:
                self._execute(self._scheduler.job_expired(dispatch.key, now))
                continue
            dispatch.check_progress(now)
        self._execute(self._scheduler.poll(now))
        if self._dispatch_by_key and self._progress_timer is None:
            self._progress_timer = self._clock.callLater(
                PROGRESS_CHECK_INTERVAL_S, self._check_streams
            )

    def _schedule_poll(self) -> None:
        now = self._clock.seconds()
        poll_at = self._scheduler.next_wake(now)
        if poll_at == self._poll_at and self._poll_timer is not None:
            return
        if self._poll_timer is not None:
            cast(Any, self._poll_timer).cancel()
            self._poll_timer = None
        self._poll_at = poll_at
        if poll_at is not None:
            delay = max(poll_at - now, MIN_POLL_DELAY_S)
            self._poll_timer = self._clock.callLater(delay, self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        self._execute(self._scheduler.poll(self._clock.seconds()))
