"""At-most-once execution of bookings under random faults.

Counts bookings that ran twice or whose reported outcome contradicts what the services executed.
"""

from __future__ import annotations

import random
from functools import partial

import click

from coriandershelf_rig.internal.report import Report
from coriandershelf_rig.internal.soak import SoakResult, describe, run_episode
from coriandershelf_rig.internal.soak_bench import SoakBench
from coriandershelf_rig.internal.soak_plan import VM_COUNT, Book

NAME = "at-most-once"
TARGET = 0.0
EPISODE_COUNT = 12
STEADY_S = 4.0
STEADY_RATES_PER_S = (10.0, 100.0, 400.0)
# The baseline: every entry VM executes each booking that it receives.
BASELINE_DISABLED = frozenset({"claims-first-wins", "tickets-one-owner"})


def run_episodes(seed: int, disabled: frozenset[str]) -> SoakResult:
    """Run the experiment's episodes."""
    result = SoakResult(seed)
    for number in range(EPISODE_COUNT):
        result.add(run_episode(seed, number, disabled))
    return result


def violation_count(result: SoakResult) -> int:
    """Return the number of violated guarantees, as judged by the stand-ins."""
    return sum(len(episode.violations) for episode in result.broken_episodes)


def appends_per_claim(seed: int, bookings_per_s: float) -> float:
    """Return the log appends per booking (claim and result) at a steady request rate."""
    bench = SoakBench(seed)
    bench.run(2.0)
    before = bench.log.accepted_append_count
    booking_count = int(bookings_per_s * STEADY_S)
    rng = random.Random(seed)
    for number in range(booking_count):
        book = Book(0.0, rng.randrange(VM_COUNT), f"key-{number}", 0, 30.0)
        bench.at(rng.uniform(0.0, STEADY_S), partial(bench.apply, book))
    bench.run(STEADY_S + 2.0)
    assert len(bench.executions) == booking_count, "every booking runs once without a fault"
    return (bench.log.accepted_append_count - before) / booking_count


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Measure violated guarantees per booking.

    :param plot: ignored; there is nothing to plot.
    """
    result = run_episodes(seed, disabled)
    baseline_result = run_episodes(seed, BASELINE_DISABLED | disabled)
    if verbose:
        for line in describe(result):
            click.echo(line)
        for episode in result.broken_episodes:
            click.echo(f"episode {episode.number}: {'; '.join(episode.violations)}")
    return Report(
        experiment=NAME,
        seed=seed,
        measure="broken promises per booking sent",
        baseline=violation_count(baseline_result) / baseline_result.bookings,
        candidate=violation_count(result) / result.bookings,
        target=TARGET,
        violations=violation_count(result),
        note=_note(seed, result),
    )


def _note(seed: int, result: SoakResult) -> str:
    appends_text = ", ".join(
        f"{appends_per_claim(seed, rate):.2f} at {rate:.0f}/s" for rate in STEADY_RATES_PER_S
    )
    return (
        f"{result.bookings} bookings, {result.executions} executions; "
        f"appends per booking without faults: {appends_text}"
    )
