"""Admission control for the programs of an account that exceeds its quota.

A program that is refused half-way wastes what it has used. So one starts only
if the quota has room for it beside those that have begun; others are refused
at once, with a retry delay after which there should be room.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ProgramAdmission"]

MIN_RETRY_S = 0.3
"""Shortest retry delay."""

HONOURED_SHARE = 1 / 3
"""Callers obey a retry delay up to this share of the time to their deadline; a
program that was told a longer one gets no place in the order of returns."""

MEMORY_S = 60.0
"""Seconds for which a program that has ended is remembered as begun."""

MAX_PROGRAMS = 4096
"""Programs of one account that are remembered, those heard from last."""

SILENT_GAPS = 4.0
"""Usual gaps between two requests of a program after which it has ended."""

MIN_SILENT_S = 0.5
MAX_SILENT_S = 6.0
"""Bounds in seconds on the silence after which a program has ended."""

USUAL_GAP_S = 0.5
USUAL_REQUESTS = 4.0
"""Seconds between requests, and requests of a program, that are assumed before
any is observed."""

MIN_OBSERVED_PROGRAM_S = 5.0
"""Least observation in seconds of active programs, so that a few requests at
once don't count as the usual rate."""

LEARNING_SHARE = 0.05
"""Weight of one observation in the mean."""

REQUEST_RATE_TIME_CONSTANT_S = 8.0
"""Time constant of the decaying mean request rate of active programs."""

MAX_HANDED = 500
"""Programs that are handed over to another VM."""

LATE_RETURN_S = 0.5
"""Seconds for which room is kept for a program that was told to return."""


MIN_REQUESTS_PER_S = 0.02
"""Least requests per second of an active program."""


@dataclass(slots=True)
class _Program:
    """When a program was last heard from, and its granted requests."""

    seen_at: float
    requests: int = 0
    seen_from_start: bool = True


class ProgramAdmission:
    """The programs of one account, as its deciding VM sees them.

    Attributes:
        requests_per_program: Mean number of requests of a whole program.
        gap_s: Mean time between two requests of a program.
    """

    def __init__(self) -> None:
        self.requests_per_program = USUAL_REQUESTS
        self.gap_s = USUAL_GAP_S
        self._active: OrderedDict[str, _Program] = OrderedDict()
        self._ended: OrderedDict[str, _Program] = OrderedDict()
        self._return_at: OrderedDict[str, float] = OrderedDict()
        self._last_single_at = float("-inf")
        self._programs_ended = 0
        self._requests = MIN_OBSERVED_PROGRAM_S / USUAL_GAP_S
        self._program_s = MIN_OBSERVED_PROGRAM_S
        self._counted_at: float | None = None

    @property
    def active(self) -> int:
        """Programs that have begun and not ended."""
        return len(self._active)

    @property
    def requests_per_s(self) -> float:
        """Requests per second of one active program."""
        return max(MIN_REQUESTS_PER_S, self._requests / self._program_s)

    def programs(self) -> tuple[str, ...]:
        """Returns the programs that have begun, the latest last."""
        return (*self._ended, *self._active)[-MAX_HANDED:]

    def add_begun(self, programs: Iterable[str], now: float) -> None:
        """Adds programs that another VM has seen begin."""
        for program in programs:
            if program not in self._active:
                self._active[program] = _Program(now, seen_from_start=False)

    def has_begun(self, program: str | None) -> bool:
        """Returns whether a request of the program was granted."""
        return program in self._active or program in self._ended

    def may_start(
        self,
        program: str | None,
        *,
        level: float,
        capacity: float,
        rate_per_s: float,
        now: float,
    ) -> bool:
        """Returns whether the quota carries one more program to its end.

        The rate carries as many programs as use it up together; the stock
        carries whole programs besides.

        Args:
            program: The program; None for a single request.
            level: Permits in stock.
            capacity: Most permits in stock.
            rate_per_s: Permits per second.
            now: Current time.
        """
        self._update(now)
        if level < 1.0:
            return False
        expected = self._expected_before(program, now)
        if level >= capacity - 0.5 and not expected:
            return True
        carried = rate_per_s / self.requests_per_s
        carried += level / self.requests_per_program
        return self.active + expected + 1 <= carried

    def record(self, program: str | None, now: float) -> None:
        """Records a request that was granted."""
        self._update(now)
        if program is None:
            return
        self._requests += 1.0
        self._return_at.pop(program, None)
        known = self._active.pop(program, None)
        known = known or self._ended.pop(program, None)
        if known is None:
            known = _Program(now)
        else:
            gap_s = min(MAX_SILENT_S, now - known.seen_at)
            self.gap_s += LEARNING_SHARE * (gap_s - self.gap_s)
        known.seen_at = now
        known.requests += 1
        self._active[program] = known
        if len(self._active) > MAX_PROGRAMS:
            self._end_oldest()

    def retry_after_s(
        self,
        program: str | None,
        *,
        rate_per_s: float,
        remaining_s: float,
        now: float,
    ) -> float:
        """Returns when a program that was refused finds room.

        Programs return in the order in which they were first refused, at the
        pace at which the quota carries whole programs.

        Args:
            program: The program; None for a single request.
            rate_per_s: Permits per second.
            remaining_s: Seconds until the request's deadline.
            now: Current time.
        """
        if program is None:
            return self._single_retry_s(rate_per_s, remaining_s, now)
        ahead = len(self._return_at)
        if program in self._return_at:
            ahead = list(self._return_at).index(program)
        interval_s = self.requests_per_program / rate_per_s
        delay_s = max(MIN_RETRY_S, (ahead + 1) * interval_s)
        honoured = delay_s <= remaining_s * HONOURED_SHARE
        if honoured or program in self._return_at:
            self._return_at[program] = now + delay_s
        return delay_s

    def _single_retry_s(
        self, rate_per_s: float, remaining_s: float, now: float
    ) -> float:
        """Returns the delay of a request that can't be told from others."""
        at = max(now + MIN_RETRY_S, self._last_single_at + 1.0 / rate_per_s)
        if at - now <= remaining_s * HONOURED_SHARE:
            self._last_single_at = at
        return at - now

    def _expected_before(self, program: str | None, now: float) -> int:
        """Returns how many programs are to start before this one."""
        own_at = now + MIN_RETRY_S
        if program is not None:
            own_at = self._return_at.get(program, own_at)
        return sum(at < own_at for at in self._return_at.values())

    def _update(self, now: float) -> None:
        self._count_time(now)
        silent_s = min(
            MAX_SILENT_S, max(MIN_SILENT_S, SILENT_GAPS * self.gap_s)
        )
        while self._active:
            oldest = next(iter(self._active.values()))
            if oldest.seen_at > now - silent_s:
                break
            self._end_oldest()
        while self._ended:
            program, ended = next(iter(self._ended.items()))
            if (
                ended.seen_at > now - MEMORY_S
                and len(self._ended) < MAX_PROGRAMS
            ):
                break
            del self._ended[program]
        late = [
            program
            for program, at in self._return_at.items()
            if at < now - LATE_RETURN_S
        ]
        for program in late:
            del self._return_at[program]

    def _count_time(self, now: float) -> None:
        before = now if self._counted_at is None else self._counted_at
        elapsed_s = max(0.0, now - before)
        self._counted_at = max(now, before)
        kept = max(0.0, 1.0 - elapsed_s / REQUEST_RATE_TIME_CONSTANT_S)
        self._requests *= kept
        self._program_s *= kept
        if kept > 0:
            self._program_s += self.active * elapsed_s
        missing_s = max(0.0, MIN_OBSERVED_PROGRAM_S - self._program_s)
        self._program_s += missing_s
        self._requests += missing_s / USUAL_GAP_S

    def _end_oldest(self) -> None:
        program, known = self._active.popitem(last=False)
        self._ended[program] = known
        if not known.seen_from_start:
            return
        self._programs_ended += 1
        share = max(LEARNING_SHARE, 1.0 / (1.0 + self._programs_ended))
        error = known.requests - self.requests_per_program
        self.requests_per_program += share * error
