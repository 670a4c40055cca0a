"""Starts the timer that ends or reports an attempt without a response."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Timer
from .attempt import Attempt
from .configuration import Route
from .placement.target_pace import TargetPace
from .request_dependencies import RequestDependencies

__all__ = ["start_overdue_timer"]

RESPONSE_MIN_OVERDUE_S = 0.1
"""Shortest time after which a response is overdue."""

FIRST_EVENT_MIN_OVERDUE_S = 0.4
"""Shortest time after which the first event of a stream is overdue; longer,
since another target has to process the prompt again."""


def start_overdue_timer(
    deps: RequestDependencies,
    route: Route,
    attempt: Attempt,
    *,
    can_retry_elsewhere: bool,
    remaining_s: float,
    pace: TargetPace,
    on_overdue: Callable[[], None],
) -> Timer | None:
    """Returns the timer, or None if it isn't known when a response is due.

    Args:
        deps: Dependencies shared by all requests.
        route: The request's route.
        attempt: The attempt; it times out if it can be repeated.
        can_retry_elsewhere: Whether another target may run the request.
        remaining_s: Seconds until the request's deadline.
        pace: How fast the target is.
        on_overdue: Called when the response is overdue but the attempt has
            to go on.
    """
    min_s = RESPONSE_MIN_OVERDUE_S
    if route.is_stream:
        min_s = FIRST_EVENT_MIN_OVERDUE_S
    timeout_s: float | None = None
    if can_retry_elsewhere:
        timeout_s = deps.timeouts.timeout_s(
            route.name, min_s=min_s, remaining_s=remaining_s, pace=pace
        )
    timer: Timer
    if timeout_s is not None:
        timer = deps.clock.callLater(timeout_s, attempt.time_out)
        return timer
    overdue_s = deps.timeouts.overdue_s(route.name, min_s=min_s, pace=pace)
    if overdue_s is None:
        return None
    timer = deps.clock.callLater(overdue_s, on_overdue)
    return timer
