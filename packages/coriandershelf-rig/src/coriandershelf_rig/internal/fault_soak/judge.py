"""Judges a soak by what callers were told and what replicas ran."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from coriandershelf_rig.internal.fault_soak.callers import LIMIT_S, Record, expected_events

# Statuses that say: has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# After its time limit a request has its answer within this.
ANSWER_SLACK_S = 1.0
REVOKED_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a VM was paused, killed or started again."""

    vm: int
    from_s: float
    to_s: float


@dataclass(slots=True)
class Verdict:
    """What a soak found; ``broken`` holds a line for each broken promise."""

    counts: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def count(self, name: str) -> None:
        """Count an outcome."""
        self.counts[name] = self.counts.get(name, 0) + 1


def judge(
    records: Iterable[Record],
    begun: dict[str, list[float]],
    revoked_at_s: dict[str, float],
    disturbances: list[Disturbance],
    judge_times: bool = True,
) -> Verdict:
    """Return what a soak's records prove.

    :param judge_times: whether answers must be in time; not on a machine that others use, too.

    :param begun: for each request id, when replicas began to run it.
    :param revoked_at_s: keys taken away, and when.
    """
    verdict = Verdict()
    for record in records:
        runs = begun.get(record.request_id, [])
        verdict.count(f"{record.kind} {_outcome(record)}")
        lines = list(_broken(record, runs, revoked_at_s))
        if judge_times and _is_late(record, disturbances):
            lines.append(f"had no answer for {record.ended_at_s - record.sent_at_s:.1f} s")
        for line in lines:
            verdict.broken.append(f"{record.request_id} at VM {record.vm}: {line}")
    return verdict


def _outcome(record: Record) -> str:
    if record.abandoned:
        return "left"
    if record.status is None:
        return "no answer"
    return f"{record.status}" if record.whole else f"{record.status} cut"


def _broken(
    record: Record,
    runs: list[float],
    revoked_at_s: dict[str, float],
) -> Iterable[str]:
    if record.kind == "book" and len(runs) > 1:
        yield f"ran {len(runs)} times"
    if record.status in PROMISES and runs:
        yield f"was told {record.status} although it ran"
    if record.status == 200 and record.whole and not record.is_right:
        yield f"got another answer than its replica made: {record.body[:120]!r}"
    if record.status == 200 and record.kind in ("plan", "ask") and not record.whole:
        whole_events = record.body[: record.body.rfind(b"\n\n") + 2]
        if not expected_events(record.request_id).startswith(whole_events):
            yield f"its events are out of order or doubled: {record.body[-120:]!r}"
    revoked_s = revoked_at_s.get(record.key)
    if revoked_s is not None and any(at_s > revoked_s + REVOKED_AFTER_S for at_s in runs):
        yield "ran long after its key was taken away"


def _is_late(record: Record, disturbances: list[Disturbance]) -> bool:
    took_s = record.ended_at_s - record.sent_at_s
    disturbed = any(
        item.vm == record.vm and item.from_s <= record.ended_at_s and item.to_s >= record.sent_at_s
        for item in disturbances
    )
    return took_s > LIMIT_S + ANSWER_SLACK_S and not disturbed and not record.abandoned
