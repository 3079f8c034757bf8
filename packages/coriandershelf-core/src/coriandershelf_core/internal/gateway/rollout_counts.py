"""Counts of a service's answers by route and version during a roll-out, and what they prove.

An answer is bad if it is a server error, if it broke off, or if it is several times slower than the
recent answers of the old version on the same route at the same VM. Both versions are counted by the
same rule, so what is wrong with the site, the load or the requests shows in both.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

# An answer is slow beyond this multiple of the median of the old version on its route.
SLOW_FACTOR = 2.5
# New replicas have empty prompt caches, so their answers must also exceed this multiple of the time
# without any cached prompt.
COLD_SLOW_FACTOR = 2.0
# Differences below this are noise of the link and of the VM itself.
SLOW_MIN_S = 0.03
# The median is of at most this many answers of the last seconds, and of no fewer than the minimum.
REFERENCE_MAX_COUNT = 25
REFERENCE_MIN_COUNT = 4
REFERENCE_WINDOW_S = 6.0
# When a replica crashes, all its requests break at once, in any version. So a broken attempt counts
# only once the replica has answered again, or has accepted and broken a later one.
BREAK_KEPT_S = 6.0
BREAK_CONFIRMED_AFTER_S = 0.1
# Bad answers are expected at twice the old version's rate, but at no less than this one.
BAD_RATE_FLOOR = 0.02
REFERENCE_FACTOR = 2.0
REFERENCE_PRIOR_COUNT = 10.0
REFERENCE_PRIOR_BAD = 0.5
BAD_MIN_COUNT = 4
# Bounds on the logarithm of the chance that a sound version gives so many bad answers (Chernoff).
# Reverting takes e^-11; e^-6 suffices when the verdict is due, and e^-5 as the number of bad
# answers that must end a roll-out is approached.
BAD_SCORE = 11.0
DOUBT_SCORE = 6.0
MANY_BAD_COUNT = 25
MANY_BAD_SCORE = 5.0
# Of the target's replicas this share, at least one of several, may be bad by itself.
OUTLIER_SHARE = 0.25


class Judged(Enum):
    """How an attempt was counted."""

    NOT_YET = "not-yet"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """Answers on one route: of the target and of the other versions.

    :param new_bad: bad answers of the target by replica.
    """

    new: int = 0
    old: int = 0
    old_bad: int = 0
    new_bad: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class VersionCounts:
    """One VM's counts for the order at ``offset``.

    :param old_running: its requests in flight at other versions than the target.
    """

    offset: int
    old_running: int = 0
    routes: dict[str, RouteCounts] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the counts say about the target.

    :param bad: whether no sound version could have given these answers.
    :param doubtful: whether a sound version hardly could.
    """

    bad: bool = False
    doubtful: bool = False
    answers_count: int = 0
    bad_count: int = 0
    reason: str = ""


def weigh(counts: Iterable[VersionCounts], replicas: Iterable[str]) -> Evidence:
    """Compare the target with the old versions, on each route and on all together.

    :param replicas: the target's replicas; bad answers of those that are gone or leave are left
        out, since a replica that is reclaimed breaks its requests in any version.
    """
    present = set(replicas)
    routes: dict[str, list[RouteCounts]] = {}
    for vm_counts in counts:
        for name, route in vm_counts.routes.items():
            routes.setdefault(name, []).append(route)
    sums = {name: _sum(items) for name, items in routes.items()}
    total = _sum(sums.values())
    bad = doubtful = False
    reason = ""
    for name, item in (*sums.items(), ("all", total)):
        score, bad_count = _score(item, present)
        limit = MANY_BAD_SCORE if bad_count >= MANY_BAD_COUNT else BAD_SCORE
        if score >= min(limit, DOUBT_SCORE) and bad_count >= BAD_MIN_COUNT:
            is_bad = score >= limit
            if is_bad or not doubtful:
                reason = f"{bad_count} bad of {item.new} on {name}, {item.old_bad} of {item.old}"
            doubtful, bad = True, bad or is_bad
    return Evidence(bad, doubtful, total.new, sum(total.new_bad.values()), reason)


def _sum(items: Iterable[RouteCounts]) -> RouteCounts:
    new = old = old_bad = 0
    new_bad: dict[str, int] = {}
    for item in items:
        new, old, old_bad = new + item.new, old + item.old, old_bad + item.old_bad
        for name, count in item.new_bad.items():
            new_bad[name] = new_bad.get(name, 0) + count
    return RouteCounts(new, old, old_bad, new_bad)


def _score(item: RouteCounts, present: set[str]) -> tuple[float, int]:
    """Return -log of the bound on the chance of these counts, and the bad answers regarded."""
    counts = sorted(count for name, count in item.new_bad.items() if name in present)
    outliers = max(1, int(OUTLIER_SHARE * len(present))) if len(present) > 1 else 0
    kept = counts[: max(0, len(counts) - outliers)]
    bad = sum(kept)
    if len(present) > 1:
        # The outliers' answers are left out as well, at the mean number of a replica.
        answers = max(float(bad), item.new * (1.0 - outliers / len(present)))
    else:
        answers = float(item.new)
    if bad == 0 or answers <= 0.0:
        return 0.0, bad
    old_rate = (item.old_bad + REFERENCE_PRIOR_BAD) / (item.old + REFERENCE_PRIOR_COUNT)
    expected = max(BAD_RATE_FLOOR, REFERENCE_FACTOR * old_rate)
    rate = bad / answers
    if expected >= 1.0 or rate <= expected:
        return 0.0, bad
    divergence = rate * math.log(rate / expected)
    if rate < 1.0:
        divergence += (1.0 - rate) * math.log((1.0 - rate) / (1.0 - expected))
    return answers * divergence, bad


@dataclass(frozen=True, slots=True)
class Timing:
    """A measured time and what it is compared with.

    :param baseline_s: expected time on a replica of nominal speed.
    :param cold_s: the same without any cached prompt.
    """

    taken_s: float
    baseline_s: float
    cold_s: float


@dataclass(slots=True)
class _Tally:
    new: int = 0
    old: int = 0
    old_bad: int = 0
    new_bad: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Break:
    route: str
    is_new: bool
    at_s: float
    counts_answer: bool


@dataclass(slots=True)
class OwnCounts:
    """This VM's counts for one order."""

    _tallies: dict[str, _Tally] = field(default_factory=dict)
    _ratios: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)
    _breaks: dict[str, list[_Break]] = field(default_factory=dict)

    def snapshot(self, offset: int, old_running: int) -> VersionCounts:
        """Return the counts for a digest."""
        routes = {
            name: RouteCounts(item.new, item.old, item.old_bad, dict(item.new_bad))
            for name, item in self._tallies.items()
        }
        return VersionCounts(offset, old_running, routes)

    def is_slow(self, reference: str, is_new: bool, timing: Timing, now_s: float) -> bool:
        """Return whether a time is several times that of the old version."""
        usual = self._usual_ratio(reference, now_s)
        if usual is None:
            return False
        limit_s = SLOW_FACTOR * usual * timing.baseline_s
        if is_new:
            limit_s = max(limit_s, COLD_SLOW_FACTOR * usual * timing.cold_s)
        return timing.taken_s > limit_s + SLOW_MIN_S

    def note_time(self, reference: str, timing: Timing, now_s: float) -> None:
        """Add a time of the old version to those that others are compared with."""
        ratios = self._ratios.setdefault(reference, deque(maxlen=REFERENCE_MAX_COUNT))
        ratios.append((now_s, timing.taken_s / max(1e-4, timing.baseline_s)))

    def add(self, route: str, replica: str, is_new: bool, answers: int, bad: int) -> None:
        """Count answers of a replica."""
        tally = self._tallies.setdefault(route, _Tally())
        if is_new:
            tally.new += answers
            if bad:
                tally.new_bad[replica] = tally.new_bad.get(replica, 0) + bad
        else:
            tally.old += answers
            tally.old_bad += bad

    def add_break(
        self, route: str, replica: str, is_new: bool, started_s: float, counted: bool, now_s: float
    ) -> None:
        """Keep a broken attempt until the replica shows that it still runs.

        :param counted: whether the attempt was counted as an answer already.
        """
        self.confirm_breaks(replica, started_s)
        kept = self._breaks.setdefault(replica, [])
        kept.append(_Break(route, is_new, now_s, not counted))

    def confirm_breaks(self, replica: str, alive_s: float) -> None:
        """Count a replica's broken attempts: it was still running at ``alive_s``."""
        kept = self._breaks.get(replica)
        if not kept:
            return
        confirmed_s = alive_s - BREAK_CONFIRMED_AFTER_S
        for item in kept:
            if alive_s - BREAK_KEPT_S <= item.at_s <= confirmed_s:
                self.add(item.route, replica, item.is_new, int(item.counts_answer), 1)
        self._breaks[replica] = [item for item in kept if item.at_s > confirmed_s]

    def _usual_ratio(self, reference: str, now_s: float) -> float | None:
        recent = [
            ratio
            for at_s, ratio in self._ratios.get(reference, ())
            if now_s - at_s <= REFERENCE_WINDOW_S
        ]
        return median(recent) if len(recent) >= REFERENCE_MIN_COUNT else None


def latest_counts(
    kept: Mapping[tuple[str, int], VersionCounts], own: VersionCounts
) -> list[VersionCounts]:
    """Return this VM's counts and those last heard from each process, for the same order."""
    return [own, *(item for item in kept.values() if item.offset == own.offset)]
