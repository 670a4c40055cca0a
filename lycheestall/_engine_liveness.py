"""Tracks which engines have answered since a program's owner failed."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.internet import defer

from ._engine_dispatch import DiscardingSink
from .clock import Clock
from .dispatch import ChatJob
from .dispatch_commands import JobKey
from .engine_directory import EngineDirectory
from .ids import ModelName, RequestId, TargetId
from .targets import Engine, EngineRefused

__all__ = ["EngineLiveness", "HoldDecision"]

PROBE_TIMEOUT_S = 2.0
TAKEOVER_WINDOW_S = 60.0
MAX_HOLD_S = 3.0
PROBE_REQUEST = RequestId("nobody")  # no engine has a request of this id


class HoldDecision(Enum):
    """How to treat a job whose program came from a failed owner."""

    PASS = "pass"
    WAIT = "wait"
    REFUSE = "refuse"


class EngineLiveness:
    """Distinguishes engines that answer from hung ones.

    A failed owner may have left an unread request in a hung engine's socket
    buffer. An engine that answers has read all earlier requests; one
    whose process has ended will never read them.

    Args:
        engines: The cell's engines.
        clock: Runs the probes' timeouts.
    """

    def __init__(self, engines: EngineDirectory, clock: Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._answered_at: dict[TargetId, float] = {}
        self._probing: set[TargetId] = set()
        self._held_since: dict[JobKey, float] = {}

    def record_answer(self, target: TargetId) -> None:
        """Records that an engine answered now."""
        self._answered_at[target] = self._clock.seconds()

    def all_answered_since(self, model: ModelName, since_s: float) -> bool:
        """Returns whether no engine can have an older unread request.

        Probes the engines that have not answered since.

        Args:
            model: The model that the request would be for.
            since_s: Clock time from which an answer counts.
        """
        unconfirmed: list[TargetId] = []
        for entry in self._engines.entries():
            answered_at = self._answered_at.get(entry.target, float("-inf"))
            if entry.serves(model) and answered_at < since_s:
                unconfirmed.append(entry.target)
        for target in unconfirmed:
            self._probe(target)
        return not unconfirmed

    def hold(self, key: JobKey, job: ChatJob, now: float) -> HoldDecision:
        """Returns whether to hold a job to keep its program's order.

        A hung engine may still have the failed owner's request in its
        socket buffer and run it after other engines ran later calls.

        Args:
            key: The job's key.
            job: The job.
            now: The current time.
        """
        since_s = job.taken_over_s
        if since_s is None or now - since_s > TAKEOVER_WINDOW_S:
            return HoldDecision.PASS
        if self.all_answered_since(job.model, since_s):
            return HoldDecision.PASS
        if now - self._held_since.setdefault(key, now) <= MAX_HOLD_S:
            return HoldDecision.WAIT
        return HoldDecision.REFUSE

    def forget(self, key: JobKey) -> None:
        """Removes a job that has ended."""
        self._held_since.pop(key, None)

    def _probe(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        if engine is None or target in self._probing:
            return
        self._probing.add(target)
        probe = defer.ensureDeferred(self._answers_or_gone(engine))
        timer = self._clock.callLater(PROBE_TIMEOUT_S, probe.cancel)

        def answered(result: Any) -> None:
            if timer.active():
                timer.cancel()
            self._probing.discard(target)
            if result is True:
                self.record_answer(target)

        probe.addBoth(answered)

    async def _answers_or_gone(self, engine: Engine) -> bool:
        """Returns whether an engine answers or its process has ended."""
        result = await engine.resume(PROBE_REQUEST, 0, DiscardingSink())
        return isinstance(result, EngineRefused)
