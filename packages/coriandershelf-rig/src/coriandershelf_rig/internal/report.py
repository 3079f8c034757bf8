"""The one JSON line with which an experiment ends."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Report:
    """What an experiment measured.

    :param measure: the quantity the experiment is defined by.
    :param candidate: its value for our way, held against ``target``.
    :param baseline: its value for the plain way on the same load and seed; ``None`` without one.
    :param violations: broken invariants as judged by the stand-ins.
    """

    experiment: str
    seed: int
    measure: str
    baseline: float | None
    candidate: float
    target: float | None
    violations: int
    note: str = ""

    @property
    def ratio(self) -> float | None:
        """Return candidate ÷ baseline."""
        return self.candidate / self.baseline if self.baseline else None

    def to_json(self) -> str:
        """Return the report as one line."""
        fields = asdict(self)
        note = fields.pop("note")
        fields["ratio"] = self.ratio
        order = ("experiment", "seed", "measure", "baseline", "candidate", "ratio", "target")
        line = {name: _rounded(fields[name]) for name in (*order, "violations")}
        if note:
            line["note"] = note
        return json.dumps(line)


def _rounded(value: object) -> object:
    return round(value, 5) if isinstance(value, float) else value


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie.

    :param share: between 0 and 1.
    :raises ValueError: no values.
    """
    if not values:
        raise ValueError("no values to take a percentile of")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
