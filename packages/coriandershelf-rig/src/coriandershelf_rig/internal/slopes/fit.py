"""Straight lines through measured sizes, with what they miss and how far they are stretched."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Quantity:
    """One measured quantity against a size.

    :param unit: of the quantity, for print.
    :param points: (size, value), at least four.
    :param target_size: size of the letter, to which the line is stretched.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    target_size: float

    def report(self) -> str:
        """Return the points, the line, its worst miss and its value at the target size."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        line = statistics.linear_regression(sizes, values)
        misses = [abs(value - (line.intercept + line.slope * size)) for size, value in self.points]
        measured = ", ".join(f"{size:g}: {value:.4g}" for size, value in self.points)
        at_target = line.intercept + line.slope * self.target_size
        how = "measured" if self.target_size <= max(sizes) else "extrapolated"
        return (
            f"{self.name} ({self.unit} by {self.size_name}): {measured}\n"
            f"  line {line.intercept:.4g} + {line.slope:.4g} a {self.size_name}, worst miss "
            f"{max(misses):.3g}; at {self.target_size:g}: {at_target:.4g} {self.unit} "
            f"({how}; measured {min(sizes):g} to {max(sizes):g})"
        )


def median_of(count: int, measure: Callable[[], float]) -> float:
    """Return the median of some measurements, since other processes disturb single ones."""
    return statistics.median(measure() for _ in range(count))


def join(quantities: Sequence[Quantity]) -> str:
    """Return the reports below each other."""
    return "\n".join(quantity.report() for quantity in quantities)
