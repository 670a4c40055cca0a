"""Checks that the VMs together keep to the limit that a target names."""

from __future__ import annotations

from collections.abc import Sequence

WINDOW_S = 4.0
EXCESS = 1.5
"""Factor over its limit that a target tolerates within a window."""
EXTRA_REQUESTS = 5
"""Requests beyond that which it tolerates within a window."""
EXCUSED_REQUESTS = 3
"""Requests beyond that for each VM that was started or paused near a window;
it knows no limit until the first response."""
EXCUSED_S = 2.5
"""Seconds before a window in which a disturbance of a VM still counts."""


class SoakLimits:
    """Records disturbances of VMs, which excuse some requests."""

    def __init__(self) -> None:
        self._disturbed_at: list[float] = []

    def vm_disturbed(self, now: float) -> None:
        """Records that a VM was started, stopped or paused."""
        self._disturbed_at.append(now)

    def violations(
        self, name: str, rate_per_s: float, received_at: Sequence[float]
    ) -> list[str]:
        """Returns a description of the worst window above the limit, if any.

        Args:
            name: The target's name.
            rate_per_s: The limit that it names in every response.
            received_at: When it received its requests, sorted.
        """
        worst = ""
        worst_excess = 0.0
        for first, start in enumerate(received_at):
            end = start + WINDOW_S
            count = sum(at <= end for at in received_at[first:])
            allowed = self._allowed(rate_per_s, start, end)
            if count - allowed > worst_excess:
                worst_excess = count - allowed
                worst = (
                    f"limit: {name} got {count} requests in {WINDOW_S:.0f} s"
                    f", {allowed:.0f} are allowed"
                )
        return [worst] if worst else []

    def _allowed(self, rate_per_s: float, start: float, end: float) -> float:
        disturbances = sum(
            start - EXCUSED_S <= at <= end for at in self._disturbed_at
        )
        return (
            EXCESS * WINDOW_S * rate_per_s
            + EXTRA_REQUESTS
            + EXCUSED_REQUESTS * disturbances
        )
