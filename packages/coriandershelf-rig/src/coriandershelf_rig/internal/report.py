"""The result line of an experiment, as JSON."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Report:
    """The result of an experiment.

    :param measure: the quantity that defines the experiment.
    :param candidate: its value for coriandershelf, compared with ``target``.
    :param baseline: its value for the baseline under the same load and seed; ``None`` without one.
    :param violations: number of violated guarantees and other conditions that the run must meet.
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
        columns = ("experiment", "seed", "measure", "baseline", "candidate", "ratio", "target")
        line = {name: _rounded(fields[name]) for name in (*columns, "violations")}
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
