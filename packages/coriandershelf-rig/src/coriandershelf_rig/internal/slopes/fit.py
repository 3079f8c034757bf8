"""Linear fits of measured values by size, with residuals and extrapolation to a target size."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A linear fit of one measured quantity by size.

    :param unit: unit of the quantity, for the summary.
    :param points: at least four pairs of size and value.
    :param target_size: required size, to which the line is extrapolated.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    target_size: float

    def summary(self) -> str:
        """Return the points, the line, its largest residual and its value at the target size."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        line = statistics.linear_regression(sizes, values)
        residuals = [
            abs(value - (line.intercept + line.slope * size)) for size, value in self.points
        ]
        measured = ", ".join(f"{size:g}: {value:.4g}" for size, value in self.points)
        at_target = line.intercept + line.slope * self.target_size
        origin = "measured" if self.target_size <= max(sizes) else "extrapolated"
        return (
            f"{self.name} ({self.unit} by {self.size_name}): {measured}\n"
            f"  line {line.intercept:.4g} + {line.slope:.4g} a {self.size_name}, worst miss "
            f"{max(residuals):.3g}; at {self.target_size:g}: {at_target:.4g} {self.unit} "
            f"({origin}; measured {min(sizes):g} to {max(sizes):g})"
        )


def median_of(count: int, measure: Callable[[], float]) -> float:
    """Return the median of ``count`` measurements; other processes disturb single ones."""
    return statistics.median(measure() for _ in range(count))


def join_summaries(fits: Sequence[LinearFit]) -> str:
    """Return the fits' summaries, one below another."""
    return "\n".join(fit.summary() for fit in fits)
