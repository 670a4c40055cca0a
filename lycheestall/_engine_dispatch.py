"""One job of the engine dispatcher: its stream, its recovery, its end."""

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
ABSENT_ANSWERS_NEEDED = 2
STALL_TIMEOUT_S = 10.0
RESUME_DELAYS_S = (0.0, 0.25, 1.0)
NOT_FOUND = 404


class StreamObserver(ABC):
    """Hears how a dispatch's stream goes."""

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
        """The stream ended and cannot be taken up again.

        Args:
            dispatch: The job.
            result: How it ended.
            crashed: Whether an engine that had the request no longer has
                it, which means that its process ended.
        """

    @abstractmethod
    def cancelled(self, dispatch: EngineDispatch) -> None:
        """The job is no longer wanted."""


class EngineDispatch(JobHandle, EngineSink):
    """A job from submission to its end, over all its attempts."""

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
        """Holds a job that no engine has yet.

        Args:
            key: The job's key.
            job: The job.
            listener: Who hears of it.
            observer: Who hears of its stream.
            clock: For timeouts and delays.
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
        self._timer = clock
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
        """Starts a stream on an engine."""
        self._begin_attempt(engine, target, request.request)
        self._start(engine.generate(request, self))

    def resume(
        self, engine: Engine, target: TargetId, request: RequestId
    ) -> None:
        """Takes up the stream of an earlier dispatch."""
        self._begin_attempt(engine, target, request)
        self._accepted = True
        self._start(engine.resume(request, self._delivered, self))

    def check_progress(self, now: float) -> None:
        """Breaks a stream that has made no progress for too long."""
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
        """Tells the engine, without waiting, to stop the request."""
        if self._engine is None:
            return
        engine, self._engine = self._engine, None
        _ignore_cancellation(
            defer.ensureDeferred(engine.cancel(self._request))
        )

    def cancel(self) -> None:
        """Ends the job; the engine is told to stop. No event follows."""
        if self.ended:
            return
        self.stop()
        self._observer.cancelled(self)

    def may_send(self) -> bool:
        """Returns whether the owner still lets the request go out."""
        if self.ended or self.job.may_send() is not None:
            return False
        self._written = True
        return True

    @property
    def in_doubt(self) -> bool:
        """Whether the engine may still come to run the request.

        True after a request was written that the engine neither accepted
        nor refused: a process that hangs has it waiting in its socket.
        """
        return self._written and not self._accepted

    async def wait_until_resolved(self) -> None:
        """Waits until the engine cannot run an unsettled request.

        That is when its process has ended, or when it answers and says,
        twice in a row, that it does not have the request.
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

    async def _with_timeout(self, asked: Coroutine[Any, Any, Any]) -> Any:
        """Returns an engine's answer, None when none comes in time."""
        answer = defer.ensureDeferred(asked)
        timer = self._clock.callLater(RESOLVE_ANSWER_TIMEOUT_S, answer.cancel)
        try:
            return await answer
        except Exception:
            return None
        finally:
            if timer.active():
                timer.cancel()

    def accepted(self) -> None:
        """The engine has the request."""
        if self.ended:
            return
        self._accepted = True
        self._active_at = self._timer.seconds()
        self._observer.stream_accepted(self)
        self.listener.accepted(self.target, self._request)

    def chunk(self, data: bytes) -> None:
        """Passes the next bytes of the answer on."""
        if self.ended:
            return
        self._active_at = self._timer.seconds()
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
        self._active_at = self._timer.seconds()

    def _start(self, first: Coroutine[Any, Any, EngineResult]) -> None:
        run = defer.ensureDeferred(self._follow(first))
        if not run.called:
            self._run = run
        _ignore_cancellation(run)

    async def _follow(self, first: Coroutine[Any, Any, EngineResult]) -> None:
        result = await self._await_stream(first)
        crashed = False
        if isinstance(result, EngineBroken) and not self.in_doubt:
            result, crashed = await self._recover(result)
        if self.ended:
            return
        self._run = None
        self._observer.stream_ended(self, result, crashed=crashed)

    async def _recover(
        self, broken: EngineBroken
    ) -> tuple[EngineResult, bool]:
        """Resumes a broken stream where it broke, while that gets on."""
        delays = list(RESUME_DELAYS_S)
        crashed = False
        while delays and self._engine is not None:
            await _delay(self._clock, delays.pop(0))
            before = self._delivered
            resumed = self._engine.resume(self._request, before, self)
            result = await self._await_stream(resumed)
            if isinstance(result, EngineDone):
                return result, False
            crashed = isinstance(result, EngineRefused)
            if isinstance(result, EngineRefused) and (
                result.status == NOT_FOUND
            ):
                break
            if self._delivered > before:
                delays = list(RESUME_DELAYS_S)
        return broken, crashed and self._accepted

    async def _await_stream(
        self, stream: Coroutine[Any, Any, EngineResult]
    ) -> EngineResult:
        self._active_at = self._timer.seconds()
        self._stream = defer.ensureDeferred(stream)
        try:
            return await self._stream
        except Exception as error:
            return EngineBroken(self._accepted, self.chunks, repr(error))
        finally:
            self._stream = None


class DiscardingSink(EngineSink):
    """Takes a stream that nobody wants."""

    def accepted(self) -> None:
        """Does nothing."""

    def chunk(self, data: bytes) -> None:
        """Does nothing."""


async def _delay(clock: Clock, seconds: float) -> None:
    if seconds:
        await sleep(clock, seconds)


def _ignore_cancellation(deferred: defer.Deferred[Any]) -> None:
    """Drops a cancellation; anything else goes to the log of errors."""
    deferred.addErrback(_drop_cancellation)


def _drop_cancellation(failure: Failure) -> None:
    if not isinstance(failure.value, defer.CancelledError):
        failure.raiseException()
