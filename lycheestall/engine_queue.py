"""How the other requests at an engine delay one more."""

from __future__ import annotations

__all__ = ["batch_slowdown", "queue_wait_s"]

BATCH_SLOWDOWN = 1.0
"""Relative increase of a request's time in a full batch: it doubles."""


def batch_slowdown(others: float, slots: float) -> float:
    """Returns the factor by which a batch's other requests delay one.

    Args:
        others: Number of other requests at the engine.
        slots: Number of requests that it runs at once.
    """
    return 1.0 + BATCH_SLOWDOWN * min(max(others, 0.0) / slots, 1.0)


def queue_wait_s(ahead: float, slots: float, residence_s: float) -> float:
    """Returns the expected wait for a place in a batch.

    Args:
        ahead: Number of requests that have to end or start before.
        slots: Number of requests that the engine runs at once.
        residence_s: Expected time of one of them in the batch.
    """
    return max(ahead, 0.0) / slots * residence_s
