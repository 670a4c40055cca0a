"""Linear regression of measured costs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Line", "fit_line"]

_MIN_VALUE = 1e-9


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes:
        intercept: The cost at size 0.
        slope: The cost of each additional unit.
        residual: The largest deviation of a sample from the line, as a
            share of the sample.
    """

    intercept: float
    slope: float
    residual: float

    def value_at(self, size: float) -> float:
        """Returns the value of the line at a size.

        Args:
            size: The size.
        """
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fits a line by weighted least squares.

    The weights are the inverse squares of the values, which minimizes
    relative deviations; otherwise the large sizes would dominate.

    Args:
        sizes: At least two distinct sizes.
        values: The cost at each size.
    """
    weights = [1.0 / max(value, _MIN_VALUE) ** 2 for value in values]
    total_weight = sum(weights)
    pairs = list(zip(weights, sizes, values, strict=True))
    mean_size = sum(w * x for w, x, _ in pairs) / total_weight
    mean_value = sum(w * y for w, _, y in pairs) / total_weight
    sum_xx = sum(w * (x - mean_size) ** 2 for w, x, _ in pairs)
    sum_xy = sum(w * (x - mean_size) * (y - mean_value) for w, x, y in pairs)
    slope = sum_xy / sum_xx
    intercept = mean_value - slope * mean_size
    residual = 0.0
    for size, value in zip(sizes, values, strict=True):
        deviation = abs(intercept + slope * size - value)
        residual = max(residual, deviation / max(value, _MIN_VALUE))
    return Line(intercept, slope, residual)
