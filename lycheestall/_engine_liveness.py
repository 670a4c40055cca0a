"""Which engines have answered since a program's owner was lost."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.internet import defer

from ._engine_dispatch import IgnoringSink
from .clock import Clock
from .dispatch import ChatJob
from .dispatch_commands import JobKey
from .engine_directory import EngineDirectory
from .ids import ModelName, RequestId, TargetId
from .targets import Engine, EngineRefused

__all__ = ["EngineLiveness", "Hold"]

ANSWER_LIMIT_S = 2.0
LOST_OWNER_LIMIT_S = 60.0
HOLD_LIMIT_S = 3.0
NOBODY = RequestId("nobody")


class Hold(Enum):
    """What becomes of a job whose program came from a lost owner."""

    PASS = "pass"
    WAIT = "wait"
    REFUSE = "refuse"


class EngineLiveness:
    """Tells engines that answer from those that hang.

    A lost owner may have left a request in a hung engine's socket. An
    engine that answers has read what was sent to it; one whose process
    is gone never will.

    Args:
        engines: The cell's engines.
        clock: Times the questions.
    """

    def __init__(self, engines: EngineDirectory, clock: Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._clear_at: dict[TargetId, float] = {}
        self._asking: set[TargetId] = set()
        self._held_since: dict[JobKey, float] = {}

    def heard(self, target: TargetId) -> None:
        """Notes that an engine answers."""
        self._clear_at[target] = self._clock.seconds()

    def clear(self, model: ModelName, since_s: float) -> bool:
        """Returns whether no engine can hold an older request unread.

        Asks those that have not answered since.

        Args:
            model: The model that the request would be for.
            since_s: Time on the clock from which an answer counts.
        """
        open_targets: list[TargetId] = []
        for entry in self._engines.entries():
            clear_at = self._clear_at.get(entry.target, float("-inf"))
            if entry.serves(model) and clear_at < since_s:
                open_targets.append(entry.target)
        for target in open_targets:
            self._ask(target)
        return not open_targets

    def hold(self, key: JobKey, job: ChatJob, now: float) -> Hold:
        """Returns whether a job has to wait for its program's order.

        A hung engine may have the lost owner's request in its socket
        and run it after later calls have reached others.

        Args:
            key: The job's key.
            job: The job.
            now: The time.
        """
        since_s = job.lost_owner_s
        if since_s is None or now - since_s > LOST_OWNER_LIMIT_S:
            return Hold.PASS
        if self.clear(job.model, since_s):
            return Hold.PASS
        if now - self._held_since.setdefault(key, now) <= HOLD_LIMIT_S:
            return Hold.WAIT
        return Hold.REFUSE

    def forget(self, key: JobKey) -> None:
        """Drops a job that has ended."""
        self._held_since.pop(key, None)

    def _ask(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        if engine is None or target in self._asking:
            return
        self._asking.add(target)
        asked = defer.ensureDeferred(self._answers(engine))
        timer = self._clock.callLater(ANSWER_LIMIT_S, asked.cancel)

        def answered(result: Any) -> None:
            if timer.active():
                timer.cancel()
            self._asking.discard(target)
            if result is True:
                self.heard(target)

        asked.addBoth(answered)

    async def _answers(self, engine: Engine) -> bool:
        """Returns whether an engine answers or its process is gone."""
        result = await engine.resume(NOBODY, 0, IgnoringSink())
        return isinstance(result, EngineRefused)
