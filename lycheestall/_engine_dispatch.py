"""Runs one job's requests to engines and resumes broken streams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure

from .clock import Clock, sleep
from .dispatch import ChatJob, ChatListener, JobHandle
from .dispatch_commands import JobKey
from .ids import RequestId, TargetId
from .targets import (
    Engine,
    EngineBroken,
    EngineDone,
    EngineRefused,
    EngineRequest,
    EngineResult,
    EngineSink,
)

__all__ = ["EngineDispatch", "DiscardingSink", "StreamObserver"]

ACCEPT_TIMEOUT_S = 5.0
RESOLVE_INTERVAL_S = 0.5
RESOLVE_ANSWER_TIMEOUT_S = 2.0
ABSENT_ANSWERS_NEEDED = 2  # in a row
STALL_TIMEOUT_S = 10.0
RESUME_DELAYS_S = (0.0, 0.25, 1.0)
NOT_FOUND = 404


class StreamObserver(ABC):
    """Is notified of the progress of a dispatch's stream."""

    @abstractmethod
    def stream_accepted(self, dispatch: EngineDispatch) -> None:
        """The engine has the request."""

    @abstractmethod
    def stream_started(self, dispatch: EngineDispatch) -> None:
        """The first chunk of an attempt has come."""

    @abstractmethod
    def stream_ended(
        self, dispatch: EngineDispatch, result: EngineResult, *, crashed: bool
    ) -> None:
        """The stream ended and cannot be resumed.

        Args:
            dispatch: The job.
            result: The outcome.
            crashed: Whether an engine that had the request no longer has
                it, which means that its process ended.
        """

    @abstractmethod
    def cancelled(self, dispatch: EngineDispatch) -> None:
        """The program's owner cancelled the job."""


class EngineDispatch(JobHandle, EngineSink):
    """A job from submission to its end, across all attempts."""

    def __init__(
        self,
        key: JobKey,
        job: ChatJob,
        listener: ChatListener,
        *,
        observer: StreamObserver,
        clock: Clock,
        delivered: int = 0,
    ) -> None:
        """Creates a dispatch that is not yet at an engine.

        Args:
            key: The job's key.
            job: The job.
            listener: Receives the answer.
            observer: Is notified of the stream's progress.
            clock: Runs timeouts and delays.
            delivered: Body bytes that the listener already has.
        """
        self.key = key
        self.job = job
        self.listener = listener
        self.chunks = 1 if delivered else 0
        self.ended = False
        self.target = TargetId("")
        self._observer = observer
        self._clock = clock
        self._delivered = delivered
        self._request = RequestId("")
        self._engine: Engine | None = None
        self._accepted = False
        self._written = False
        self._started = False
        self._active_at = 0.0
        self._stream: defer.Deferred[EngineResult] | None = None
        self._run: defer.Deferred[None] | None = None

    def send(
        self, engine: Engine, target: TargetId, request: EngineRequest
    ) -> None:
        """Sends the request to an engine."""
        self._begin_attempt(engine, target, request.request)
        self._start(engine.generate(request, self))

    def resume(
        self, engine: Engine, target: TargetId, request: RequestId
    ) -> None:
        """Resumes the stream of an earlier dispatch."""
        self._begin_attempt(engine, target, request)
        self._accepted = True
        self._start(engine.resume(request, self._delivered, self))

    def check_progress(self, now: float) -> None:
        """Cancels a stream that has made no progress for too long."""
        if self._stream is None:
            return
        idle_s = now - self._active_at
        accept_overdue = not self._accepted and idle_s > ACCEPT_TIMEOUT_S
        stalled = self.chunks > 0 and idle_s > STALL_TIMEOUT_S
        if accept_overdue or stalled:
            self._stream.cancel()

    def stop(self) -> None:
        """Ends the stream and tells the engine to stop the request."""
        self.ended = True
        run, self._run = self._run, None
        if run is not None:
            run.cancel()
        self.cancel_at_engine()

    def cancel_at_engine(self) -> None:
        """Tells the engine to stop the request, without waiting."""
        if self._engine is None:
            return
        engine, self._engine = self._engine, None
        _log_failures(defer.ensureDeferred(engine.cancel(self._request)))

    def cancel(self) -> None:
        """Cancels the job and tells the engine; no event follows."""
        if self.ended:
            return
        self.stop()
        self._observer.cancelled(self)

    def may_send(self) -> bool:
        """Returns whether the request may still be written to the socket."""
        if self.ended or self.job.may_send() is not None:
            return False
        self._written = True
        return True

    @property
    def unresolved(self) -> bool:
        """Whether the engine may still start to run the request.

        True after a request was written that the engine neither accepted
        nor refused: a hung process still has it in its socket buffer.
        """
        return self._written and not self._accepted

    async def wait_until_resolved(self) -> None:
        """Waits until the engine can no longer run an unresolved request.

        This is the case when its process has ended, or when it has
        answered twice in a row that it does not have the request.
        """
        engine = self._engine
        absent_answers = 0
        while engine is not None and absent_answers < ABSENT_ANSWERS_NEEDED:
            result = await self._with_timeout(
                engine.resume(self._request, 0, DiscardingSink())
            )
            if isinstance(result, EngineRefused) and not result.status:
                return
            if isinstance(result, EngineRefused):
                absent_answers += 1
            else:
                absent_answers = 0
                await self._with_timeout(engine.cancel(self._request))
            await sleep(self._clock, RESOLVE_INTERVAL_S)

    async def _with_timeout(self, question: Coroutine[Any, Any, Any]) -> Any:
        """Returns an engine's answer, None on an error or a timeout."""
        answer = defer.ensureDeferred(question)
        timer = self._clock.callLater(RESOLVE_ANSWER_TIMEOUT_S, answer.cancel)
        try:
            return await answer
        except Exception:
            return None
        finally:
            if timer.active():
                timer.cancel()

    def accepted(self) -> None:
        """Handles the engine's acceptance of the request."""
        if self.ended:
            return
        self._accepted = True
        self._active_at = self._clock.seconds()
        self._observer.stream_accepted(self)
        self.listener.accepted(self.target, self._request)

    def chunk(self, data: bytes) -> None:
        """Passes the next bytes of the answer to the listener."""
        if self.ended:
            return
        self._active_at = self._clock.seconds()
        if not self._started:
            self._started = True
            self._observer.stream_started(self)
        self.chunks += 1
        self._delivered += len(data)
        self.listener.chunk(data)

    def _begin_attempt(
        self, engine: Engine, target: TargetId, request: RequestId
    ) -> None:
        self.target = target
        self._engine = engine
        self._request = request
        self._accepted = False
        self._written = False
        self._started = False
        self._active_at = self._clock.seconds()

    def _start(self, first: Coroutine[Any, Any, EngineResult]) -> None:
        run = defer.ensureDeferred(self._follow(first))
        if not run.called:
            self._run = run
        _log_failures(run)

    async def _follow(self, first: Coroutine[Any, Any, EngineResult]) -> None:
        result = await self._await_stream(first)
        crashed = False
        if isinstance(result, EngineBroken) and not self.unresolved:
            result, crashed = await self._recover(result)
        if self.ended:
            return
        self._run = None
        self._observer.stream_ended(self, result, crashed=crashed)

    async def _recover(
        self, broken: EngineBroken
    ) -> tuple[EngineResult, bool]:
        """Resumes a broken stream where it broke.

        The delays start over after each attempt that delivered bytes.

        Returns:
            The outcome, and whether an engine that had accepted the
            request no longer has it.
        """
        delays = list(RESUME_DELAYS_S)
        crashed = False
        while delays and self._engine is not None:
            await _sleep_if_positive(self._clock, delays.pop(0))
            resumed_from = self._delivered
            resumed = self._engine.resume(self._request, resumed_from, self)
            result = await self._await_stream(resumed)
            if isinstance(result, EngineDone):
                return result, False
            crashed = isinstance(result, EngineRefused)
            if isinstance(result, EngineRefused) and (
                result.status == NOT_FOUND
            ):
                break
            if self._delivered > resumed_from:
                delays = list(RESUME_DELAYS_S)
        return broken, crashed and self._accepted

    async def _await_stream(
        self, stream: Coroutine[Any, Any, EngineResult]
    ) -> EngineResult:
        self._active_at = self._clock.seconds()
        self._stream = defer.ensureDeferred(stream)
        try:
            return await self._stream
        except Exception as error:
            return EngineBroken(self._accepted, self.chunks, repr(error))
        finally:
            self._stream = None


class DiscardingSink(EngineSink):
    """Discards a stream."""

    def accepted(self) -> None:
        """Ignores the acceptance."""

    def chunk(self, data: bytes) -> None:
        """Discards the bytes."""


async def _sleep_if_positive(clock: Clock, seconds: float) -> None:
    if seconds:
        await sleep(clock, seconds)


def _log_failures(deferred: defer.Deferred[Any]) -> None:
    """Ignores a cancellation; Twisted logs any other failure."""
    deferred.addErrback(_trap_cancellation)


def _trap_cancellation(failure: Failure) -> None:
    if not isinstance(failure.value, defer.CancelledError):
        failure.raiseException()
