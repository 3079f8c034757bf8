"""Plots of latency distributions of baseline and candidate."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

FIGURE_INCHES = (8.0, 5.0)


def plot_latencies(
    file: str, title: str, series: Mapping[str, Sequence[float]], target_s: float | None = None
) -> Path:
    """Plot the share of requests that waited longer than a time, on logarithmic axes.

    :param series: latencies in seconds by the name of the variant measured.
    :param target_s: drawn as a vertical line.
    """
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for name, values in series.items():
        ordered = sorted(values)
        slower_shares = [1.0 - index / len(ordered) for index in range(len(ordered))]
        axes.step(ordered, slower_shares, where="post", label=f"{name} ({len(ordered)})")
    if target_s is not None:
        axes.axvline(target_s, linestyle=":", color="grey", label=f"target {target_s} s")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("time to the first token (s)")
    axes.set_ylabel("share of requests that waited longer")
    axes.set_title(title)
    axes.grid(visible=True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
    return Path(file)
