"""Stretches of time in which a stand-in misbehaves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class FaultWindow:
    """A stretch of time in which something goes wrong.

    Attributes:
        start: Its first second.
        end: The first second after it.
        nodes: Whom it concerns, None for everyone.
        amount: How strong it is, in the fault's own unit.
    """

    start: float
    end: float
    nodes: frozenset[str] | None
    amount: float = 0.0

    def hits(self, now: float, node: str) -> bool:
        """Returns whether a node is concerned now."""
        if not self.start <= now < self.end:
            return False
        return self.nodes is None or node in self.nodes


def fault_window(
    start: float,
    end: float,
    nodes: Iterable[str] | None,
    amount: float = 0.0,
) -> FaultWindow:
    """Returns a stretch for some nodes, or for all."""
    concerned = None if nodes is None else frozenset(nodes)
    return FaultWindow(start, end, concerned, amount)


def amount_at(
    windows: list[FaultWindow], now: float, node: str
) -> float | None:
    """Returns how strong a node's first fault is now, None without one."""
    for window in windows:
        if window.hits(now, node):
            return window.amount
    return None
