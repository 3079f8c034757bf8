"""Counts of a service's answers by route and version during a roll-out, and what they prove.

An answer is bad if it is a server error, if it broke off, or if it is several times slower than the
recent answers of the old version on the same route at the same VM. Both versions are counted by the
same rule, so what is wrong with the site, the load or the requests shows in both.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum
from statistics import median, median_low

from msgspec import Struct, field

# An answer is slow beyond this multiple of the median of the old version on its route.
SLOW_FACTOR = 2.8
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
# Bad answers are expected at twice the old version's rate, but at no less than the first rate; slow
# ones at no less than the second, since replicas of one version differ in speed.
BAD_RATE_FLOOR = 0.01
SLOW_RATE_FLOOR = 0.025
REFERENCE_FACTOR = 2.0
REFERENCE_PRIOR_COUNT = 10.0
REFERENCE_PRIOR_BAD = 0.5
BAD_MIN_COUNT = 4
# As this number of bad answers is reached, the proof that is asked for is lowered to this score:
# not many more may follow.
MANY_BAD_COUNT = 25
MANY_BAD_SCORE = 5.0
# Bad answers of one of the target's several replicas count up to the first number, and beyond it up
# to this multiple of the median rate: a replica may be bad by itself. Replicas with fewer answers
# than the minimum say nothing about the median, and a single bad answer says little.
OUTLIER_COUNT = 1
OUTLIER_FACTOR = 2.0
RATE_MIN = 3
RATE_DISCOUNT = 0.7
# The score of all replicas is at most this multiple of that without the worst one.
OTHERS_FACTOR = 4.0


class Judged(Enum):
    """How an attempt was counted."""

    NOT_YET = "not-yet"
    GOOD = "good"
    BAD = "bad"


class RouteCounts(Struct, frozen=True):
    """Answers on one route: of the target by replica, and of the other versions.

    :param old_bad: failures among them, and ``old_slow`` slow answers; the same for ``new``.
    """

    old: int = 0
    old_bad: int = 0
    old_slow: int = 0
    new: dict[str, int] = field(default_factory=dict)
    new_bad: dict[str, int] = field(default_factory=dict)
    new_slow: dict[str, int] = field(default_factory=dict)


class VersionCounts(Struct, frozen=True):
    """One VM's counts for the order at ``offset``.

    :param old_running: its requests in flight at other versions than the target.
    """

    offset: int
    old_running: int = 0
    routes: dict[str, RouteCounts] = field(default_factory=dict)

    @property
    def bad_count(self) -> int:
        """Return the bad and slow answers of the target."""
        return sum(
            sum(item.new_bad.values()) + sum(item.new_slow.values())
            for item in self.routes.values()
        )


class Evidence(Struct, frozen=True):
    """What the counts say about the target.

    :param score: a sound version gives so many bad answers with a chance of at most e^-score.
    """

    score: float = 0.0
    answers_count: int = 0
    bad_count: int = 0
    reason: str = ""


def sum_routes(counts: Iterable[VersionCounts]) -> dict[str, RouteCounts]:
    """Return the counts of all VMs by route."""
    routes: dict[str, list[RouteCounts]] = {}
    for vm_counts in counts:
        for name, route in vm_counts.routes.items():
            routes.setdefault(name, []).append(route)
    return {name: _sum(items) for name, items in routes.items()}


def counts_since(
    sums: Mapping[str, RouteCounts], earlier: Mapping[str, RouteCounts]
) -> dict[str, RouteCounts]:
    """Return the difference of two sums."""
    none = RouteCounts()
    recent = {}
    for name, item in sums.items():
        past = earlier.get(name, none)
        recent[name] = RouteCounts(
            item.old - past.old,
            item.old_bad - past.old_bad,
            item.old_slow - past.old_slow,
            _difference(item.new, past.new),
            _difference(item.new_bad, past.new_bad),
            _difference(item.new_slow, past.new_slow),
        )
    return recent


def _difference(counts: Mapping[str, int], earlier: Mapping[str, int]) -> dict[str, int]:
    return {name: count - earlier.get(name, 0) for name, count in counts.items()}


def weigh(
    sums: Mapping[str, RouteCounts], replicas: Iterable[str], with_slow: bool = True
) -> Evidence:
    """Compare the target with the old versions, on each route and on all together.

    :param replicas: the target's replicas; bad answers of those that are gone or leave are left
        out, since a replica that is reclaimed breaks its requests in any version.
    :param with_slow: whether slow answers count.
    """
    present = set(replicas)
    total = _sum(sums.values())
    highest, reason = 0.0, ""
    for name, item in (*sums.items(), ("all", total)):
        for slow_count in (False, True) if with_slow else (False,):
            if slow_count and not item.new_slow:
                continue
            score, bad_count, old_bad = _score(item, present, slow_count)
            if bad_count < BAD_MIN_COUNT:
                continue
            if bad_count >= MANY_BAD_COUNT and score >= MANY_BAD_SCORE:
                score = math.inf
            if score > highest:
                highest = score
                kind = "bad or slow" if slow_count else "bad"
                new = sum(item.new.values())
                reason = f"{bad_count} {kind} of {new} on {name}, {old_bad} of {item.old}"
    return Evidence(highest, sum(total.new.values()), sum(total.new_bad.values()), reason)


def _sum(items: Iterable[RouteCounts]) -> RouteCounts:
    old = old_bad = old_slow = 0
    new: dict[str, int] = {}
    new_bad: dict[str, int] = {}
    new_slow: dict[str, int] = {}
    for item in items:
        old, old_bad = old + item.old, old_bad + item.old_bad
        old_slow += item.old_slow
        for total, counts in ((new, item.new), (new_bad, item.new_bad), (new_slow, item.new_slow)):
            for name, count in counts.items():
                total[name] = total.get(name, 0) + count
    return RouteCounts(old, old_bad, old_slow, new, new_bad, new_slow)


def _score(item: RouteCounts, present: set[str], with_slow: bool) -> tuple[float, int, int]:
    """Return the score of these counts, the bad answers regarded, and those of the old version."""
    used = [
        (count, item.new_bad.get(name, 0) + (item.new_slow.get(name, 0) if with_slow else 0))
        for name, count in item.new.items()
        if count > 0 and name in present
    ]
    old_bad = item.old_bad + (item.old_slow if with_slow else 0)
    old_rate = (old_bad + REFERENCE_PRIOR_BAD) / (item.old + REFERENCE_PRIOR_COUNT)
    floor = SLOW_RATE_FLOOR if with_slow else BAD_RATE_FLOOR
    expected = max(floor, REFERENCE_FACTOR * old_rate)
    if len(present) > 1:
        used = _without_outliers(used)
    bad = sum(bad_count for _, bad_count in used)
    score = _divergence(used, expected)
    if len(present) > 1 and score > 0.0:
        # Without the worst replica the others must still show it, if less clearly.
        used.remove(max(used, key=lambda pair: pair[1]))
        score = min(score, OTHERS_FACTOR * _divergence(used, expected))
    return score, bad, old_bad


def _without_outliers(used: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """Return answers and bad ones by replica, with bad ones limited by the median rate."""
    rates = [max(0.0, bad - RATE_DISCOUNT) / count for count, bad in used if count >= RATE_MIN]
    usual_rate = median_low(rates) if len(rates) > 1 else 0.0
    return [
        (count, min(bad, OUTLIER_COUNT + int(OUTLIER_FACTOR * usual_rate * count)))
        for count, bad in used
    ]


def _divergence(used: list[tuple[int, int]], expected: float) -> float:
    """Return -log of Chernoff's bound on the chance of so many bad answers."""
    answers = sum(count for count, _ in used)
    bad = sum(count for _, count in used)
    if bad == 0 or expected >= 1.0 or bad <= expected * answers:
        return 0.0
    rate = min(1.0, bad / answers)
    divergence = rate * math.log(rate / expected)
    if rate < 1.0:
        divergence += (1.0 - rate) * math.log((1.0 - rate) / (1.0 - expected))
    return answers * divergence


class Timing(Struct, frozen=True):
    """A measured time and what it is compared with.

    :param baseline_s: expected time on a replica of nominal speed.
    :param cold_s: the same without any cached prompt.
    """

    taken_s: float
    baseline_s: float
    cold_s: float


class _Tally(Struct):
    old: int = 0
    old_bad: int = 0
    old_slow: int = 0
    new: dict[str, int] = field(default_factory=dict)
    new_bad: dict[str, int] = field(default_factory=dict)
    new_slow: dict[str, int] = field(default_factory=dict)


class _Break(Struct, frozen=True):
    route: str
    is_new: bool
    at_s: float
    counts_answer: bool


class OwnCounts(Struct):
    """This VM's counts for one order."""

    _tallies: dict[str, _Tally] = field(default_factory=dict)
    _ratios: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)
    _breaks: dict[str, list[_Break]] = field(default_factory=dict)

    def snapshot(self, offset: int, old_running: int) -> VersionCounts:
        """Return the counts for a digest."""
        routes = {
            name: RouteCounts(
                item.old,
                item.old_bad,
                item.old_slow,
                dict(item.new),
                dict(item.new_bad),
                dict(item.new_slow),
            )
            for name, item in self._tallies.items()
        }
        return VersionCounts(offset, old_running, routes)

    def is_slow(
        self, references: tuple[str, ...], is_new: bool, timing: Timing, now_s: float
    ) -> bool:
        """Return whether a time is several times that of the old version.

        :param references: names of the times to compare with; the first with enough of them holds.
        """
        usual = next(
            (ratio for name in references if (ratio := self._usual_ratio(name, now_s)) is not None),
            None,
        )
        if usual is None:
            return False
        limit_s = SLOW_FACTOR * usual * timing.baseline_s
        if is_new:
            limit_s = max(limit_s, COLD_SLOW_FACTOR * usual * timing.cold_s)
        return timing.taken_s > limit_s + SLOW_MIN_S

    def note_time(self, references: tuple[str, ...], timing: Timing, now_s: float) -> None:
        """Add a time of the old version to those that others are compared with."""
        ratio = timing.taken_s / max(1e-4, timing.baseline_s)
        for name in references:
            ratios = self._ratios.setdefault(name, deque(maxlen=REFERENCE_MAX_COUNT))
            ratios.append((now_s, ratio))

    def add(
        self, route: str, replica: str, is_new: bool, answers: int, bad: int, slow: int = 0
    ) -> None:
        """Count answers of a replica, failures and slow ones among them."""
        tally = self._tallies.setdefault(route, _Tally())
        if is_new:
            tally.new[replica] = tally.new.get(replica, 0) + answers
            if bad:
                tally.new_bad[replica] = tally.new_bad.get(replica, 0) + bad
            if slow:
                tally.new_slow[replica] = tally.new_slow.get(replica, 0) + slow
        else:
            tally.old += answers
            tally.old_bad += bad
            tally.old_slow += slow

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
