"""Compares two states of the code by the reports of days that the users' bench played with each.

A state's folder has one report a day (``fleetbench run ... --report FOLDER/DAY.json``). Days are
paired by their file names: the same day and seed, played with both states.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

import matplotlib
import msgspec
from msgspec import Struct, field

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

FIGURE_INCHES = (10.0, 4.0)
REPLICAS_PRICE = "seconds of servers ordered"
UNANSWERED = "deadline"
PARTS = {"worst windows": "worst seconds", "worst class": "worst kind"}
WEAKEST_COUNT = 3
OWED_MIN_COUNT = 15


class Group(Struct, frozen=True):
    """Requests of one kind, zone or span of seconds.

    :param owed: requests that the deployment owes an answer.
    :param share: credit earned ÷ credit owed.
    """

    name: str
    owed: int
    in_time: int
    late: int
    refused: int
    failed: int
    share: float


class DayReport(Struct, frozen=True):
    """One play of a day.

    :param worth: the bench's figure for the day, after prices.
    :param parts: whole day, worst seconds, worst kind and worst zone, each a share of credit.
    :param prices: what is taken off, by name.
    :param unanswered: tries without an answer by the caller's deadline.
    :param faults: broken rules, and why the day was given up.
    """

    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    callers: Group
    kinds: list[Group] = field(default_factory=list)
    zones: list[Group] = field(default_factory=list)
    seconds: list[Group] = field(default_factory=list)
    unanswered: int = 0
    faults: list[str] = field(default_factory=list)


COLUMNS = (
    "worth", "whole day", "worst seconds", "worst kind", "worst zone", "prices", "replicas",
    "in time", "late", "refused", "failed", "unanswered",
)  # fmt: skip


def decode_report(data: bytes) -> DayReport:
    """Decode a report of the bench.

    :raises ValueError: not such a report.
    """
    try:
        fields = msgspec.json.decode(data)
        return DayReport(
            float(fields["G"]),
            {PARTS.get(name, name): float(value) for name, _, value in fields["parts"]},
            {name: float(value) for name, _, value in fields["prices"]},
            _decode_group(fields["all"]),
            [_decode_group(item) for item in fields["classes"]],
            [_decode_group(item) for item in fields["zones"]],
            [_decode_group(item) for item in fields["windows"]],
            int(fields["ends"].get(UNANSWERED, 0)),
            [*map(str, fields["breaks"]), *([str(fields["fault"])] if fields["fault"] else [])],
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not a report of the bench: {error!r}") from error


def read_reports(folder: Path) -> dict[str, DayReport]:
    """Return the reports of a state by day.

    :raises ValueError: a file is not a report.
    """
    return {file.stem: decode_report(file.read_bytes()) for file in sorted(folder.glob("*.json"))}


def row_of(report: DayReport) -> dict[str, float]:
    """Return the figures of a day by column; shares of the requests owed for what callers got."""
    callers, owed = report.callers, max(1, report.callers.owed)
    figures = {
        "worth": report.worth,
        **report.parts,
        "prices": sum(report.prices.values()),
        "replicas": report.prices.get(REPLICAS_PRICE, 0.0),
        "in time": callers.in_time / owed,
        "late": callers.late / owed,
        "refused": callers.refused / owed,
        "failed": callers.failed / owed,
        "unanswered": float(report.unanswered),
    }
    return {column: figures.get(column, 0.0) for column in COLUMNS}


def compare(states: Mapping[str, Mapping[str, DayReport]]) -> str:
    """Return a Markdown table of the days that all states have played.

    Below the means it states each state's mean gain of worth over the first state, with its
    standard error, and its weakest seconds by day.

    :raises ValueError: no day was played with all states.
    """
    days = sorted(set.intersection(*(set(reports) for reports in states.values())))
    if not days:
        raise ValueError("no day was played with all states")
    lines = ["| day | state | " + " | ".join(COLUMNS) + " |", "|---" * (2 + len(COLUMNS)) + "|"]
    for day in days:
        lines += [_line(day, name, row_of(states[name][day])) for name in states]
    for name, reports in states.items():
        rows = [row_of(reports[day]) for day in days]
        means = {column: fmean(row[column] for row in rows) for column in COLUMNS}
        lines.append(_line(f"mean of {len(days)}", name, means))
    lines.append("")
    first = next(iter(states))
    for name, reports in states.items():
        if name != first:
            gains = [reports[day].worth - states[first][day].worth for day in days]
            lines.append(f"{name}: worth {_gain(gains)} over {first}")
        for day in days:
            lines += [f"{name} {day}: {text}" for text in reports[day].faults]
            lines.append(f"{name} {day}: weakest seconds {weakest_seconds(reports[day])}")
    return "\n".join(lines)


def weakest_seconds(report: DayReport) -> str:
    """Return the spans of seconds that earned the least, with what callers got there."""
    spans = [item for item in report.seconds if item.owed >= OWED_MIN_COUNT]
    weakest = sorted(spans, key=lambda item: item.share)[:WEAKEST_COUNT]
    return "; ".join(
        f"{item.name} ({item.share:.2f}: {item.late} late, {item.refused} refused, "
        f"{item.failed} failed of {item.owed})"
        for item in weakest
    )


def plot_seconds(file: str, day: str, states: Mapping[str, DayReport]) -> Path:
    """Plot the share of credit earned over the seconds of one day, a line for each state."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for name, report in states.items():
        spans = [item for item in report.seconds if item.owed >= OWED_MIN_COUNT]
        axes.plot([float(item.name) for item in spans], [item.share for item in spans], label=name)
    axes.set_xlabel("second of the day")
    axes.set_ylabel("credit earned ÷ owed")
    axes.set_ylim(0.0, 1.05)
    axes.set_title(day)
    axes.grid(visible=True, alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
    return Path(file)


def _decode_group(fields: Mapping[str, Any]) -> Group:
    return Group(
        str(fields["name"]),
        int(fields["n"]) - int(fields["not_owed"]),
        int(fields["in_aim"]),
        int(fields["late"]),
        int(fields["refused"]),
        int(fields["failed"]),
        float(fields["worth"]),
    )


def _line(day: str, name: str, row: Mapping[str, float]) -> str:
    cells = [
        f"{row[column]:.0f}" if column == "unanswered" else f"{row[column]:.3f}"
        for column in COLUMNS
    ]
    return f"| {day} | {name} | " + " | ".join(cells) + " |"


def _gain(gains: Sequence[float]) -> str:
    if len(gains) < 2:
        return f"{fmean(gains):+.4f} (one day)"
    error = stdev(gains) / math.sqrt(len(gains))
    return f"{fmean(gains):+.4f} ± {error:.4f} (standard error)"
