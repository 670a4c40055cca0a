"""Holds a program's calls while an earlier one may still reach an engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import defer

from ._engine_dispatch import EngineDispatch
from .clock import Clock
from .ids import ProgramId
from .outcomes import Reason, Refused, Step

__all__ = ["UNSETTLED", "Settlement"]

SETTLE_LIMIT_S = 5.0

UNSETTLED = Refused(
    Step.PLACE,
    Reason.NO_TARGET,
    retry_after_s=2.0,
    detail="an earlier call of the program may still reach its engine",
)


class Settlement:
    """Waits until engines cannot run requests whose fate is open.

    Another dispatch before that could be overtaken: the first would
    reach its engine after later calls had reached others.
    """

    def __init__(
        self, clock: Clock, *, limit_s: float = SETTLE_LIMIT_S
    ) -> None:
        """Starts with nothing open.

        Args:
            clock: For the limit.
            limit_s: After this long the job is given up, though the
                program's later calls are still held.
        """
        self._clock = clock
        self._limit_s = limit_s
        self._open_by_program: Counter[ProgramId] = Counter()

    def holds(self, program: ProgramId) -> bool:
        """Returns whether a program's calls may not be dispatched."""
        return self._open_by_program[program] > 0

    def wait(
        self,
        dispatch: EngineDispatch,
        *,
        settled: Callable[[], None],
        given_up: Callable[[], None],
    ) -> None:
        """Waits for a dispatch's engine.

        Args:
            dispatch: Whose request is open.
            settled: Called when the engine cannot run it any more.
            given_up: Called when that takes longer than the limit.
        """
        program = dispatch.job.program
        self._open_by_program[program] += 1
        limit = self._clock.callLater(self._limit_s, given_up)

        def close(_: object) -> None:
            if limit.active():
                limit.cancel()
            self._open_by_program[program] -= 1
            if not self._open_by_program[program]:
                del self._open_by_program[program]
            if not dispatch.ended:
                settled()

        defer.ensureDeferred(dispatch.wait_until_resolved()).addBoth(close)
