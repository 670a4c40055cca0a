"""Time windows in which a simulated service is faulty."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class FaultWindow:
    """A time window in which a fault applies.

    Attributes:
        start: Start of the window, in virtual time.
        end: End of the window, exclusive.
        nodes: The affected nodes; None for all.
        amount: Size of the fault, such as a delay in seconds.
    """

    start: float
    end: float
    nodes: frozenset[str] | None
    amount: float = 0.0

    def applies_to(self, now: float, node: str) -> bool:
        """Returns whether the fault affects a node at a time."""
        if not self.start <= now < self.end:
            return False
        return self.nodes is None or node in self.nodes


def fault_window(
    start: float,
    end: float,
    nodes: Iterable[str] | None,
    amount: float = 0.0,
) -> FaultWindow:
    """Creates a window for some nodes, or for all if ``nodes`` is None."""
    node_set = None if nodes is None else frozenset(nodes)
    return FaultWindow(start, end, node_set, amount)


def amount_at(
    windows: list[FaultWindow], now: float, node: str
) -> float | None:
    """Returns the amount of the first window that applies, or None."""
    for window in windows:
        if window.applies_to(now, node):
            return window.amount
    return None
