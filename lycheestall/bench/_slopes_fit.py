"""Straight lines through measured costs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Line", "fit_line"]

_LEAST = 1e-9


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes:
        intercept: The cost at size 0.
        slope: The cost of each further unit.
        residual: The largest distance of a sample from the line, as a
            share of the sample.
    """

    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the line's value.

        Args:
            size: Where.
        """
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fits a line by least squares of relative distances.

    Weighting by the inverse square of each value keeps the small sizes
    from being drowned by the large ones.

    Args:
        sizes: At least two different sizes.
        values: The cost at each size.
    """
    weights = [1.0 / max(value, _LEAST) ** 2 for value in values]
    total = sum(weights)
    pairs = list(zip(weights, sizes, values, strict=True))
    mean_size = sum(w * x for w, x, _ in pairs) / total
    mean_value = sum(w * y for w, _, y in pairs) / total
    spread = sum(w * (x - mean_size) ** 2 for w, x, _ in pairs)
    shared = sum(w * (x - mean_size) * (y - mean_value) for w, x, y in pairs)
    slope = shared / spread
    intercept = mean_value - slope * mean_size
    residual = 0.0
    for size, value in zip(sizes, values, strict=True):
        distance = abs(intercept + slope * size - value)
        residual = max(residual, distance / max(value, _LEAST))
    return Line(intercept, slope, residual)
