"""Blocks a program's calls while an earlier one may still reach an engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import defer

from ._engine_dispatch import EngineDispatch
from .clock import Clock
from .ids import ProgramId
from .outcomes import Reason, Refused, Step

__all__ = ["UNRESOLVED_REQUEST", "UnresolvedRequests"]

RESOLVE_TIMEOUT_S = 5.0

UNRESOLVED_REQUEST = Refused(
    Step.PLACE,
    Reason.NO_TARGET,
    retry_after_s=2.0,
    detail="an earlier call of the program may still reach its engine",
)


class UnresolvedRequests:
    """Tracks sent requests that an engine may still run.

    Until such a request is resolved, the program's calls must not be
    dispatched again: the request could reach its engine after later
    calls have reached other engines.
    """

    def __init__(
        self, clock: Clock, *, timeout_s: float = RESOLVE_TIMEOUT_S
    ) -> None:
        """Starts without unresolved requests.

        Args:
            clock: Measures the timeout.
            timeout_s: How long a job waits for its request, in seconds.
                The program's later calls stay blocked after that.
        """
        self._clock = clock
        self._timeout_s = timeout_s
        self._count_by_program: Counter[ProgramId] = Counter()

    def blocks(self, program: ProgramId) -> bool:
        """Returns whether a program's calls must not be dispatched."""
        return self._count_by_program[program] > 0

    def wait(
        self,
        dispatch: EngineDispatch,
        *,
        on_resolved: Callable[[], None],
        on_timeout: Callable[[], None],
    ) -> None:
        """Waits until the engine cannot run a dispatch's request any more.

        Args:
            dispatch: The dispatch whose request is unresolved.
            on_resolved: Called when the engine cannot run the request,
                unless the dispatch has ended.
            on_timeout: Called if that takes longer than the timeout.
        """
        program = dispatch.job.program
        self._count_by_program[program] += 1
        timer = self._clock.callLater(self._timeout_s, on_timeout)

        def resolve(_: object) -> None:
            if timer.active():
                timer.cancel()
            self._count_by_program[program] -= 1
            if not self._count_by_program[program]:
                del self._count_by_program[program]
            if not dispatch.ended:
                on_resolved()

        defer.ensureDeferred(dispatch.wait_until_resolved()).addBoth(resolve)
