"""Randomised soak runs: episodes of bookings and faults, checked by the stand-in services."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from itertools import count, islice
from multiprocessing import Pool

from coriandershelf_rig.internal.soak_bench import SoakBench
from coriandershelf_rig.internal.soak_judge import judge
from coriandershelf_rig.internal.soak_plan import EPISODE_S, Operation, make_plan

SHRINK_RUNS_MAX_COUNT = 400
VIOLATIONS_MAX_COUNT = 5
BATCH_EPISODES_PER_WORKER = 4


@dataclass(slots=True)
class Episode:
    """The counts and invariant violations of one episode."""

    number: int
    violations: list[str]
    steps: Counter[str]
    faults: Counter[str]
    counters: Counter[str]
    bookings: int = 0
    executions: int = 0


@dataclass(slots=True)
class SoakResult:
    """The totals over many episodes."""

    seed: int
    episodes: int = 0
    bookings: int = 0
    executions: int = 0
    steps: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    counters: Counter[str] = field(default_factory=Counter)
    broken_episodes: list[Episode] = field(default_factory=list)

    @property
    def step_count(self) -> int:
        """Return how many events were applied to cores, without ticks and other periodic events."""
        return self.steps.total()

    def add(self, episode: Episode) -> None:
        """Add one episode to the totals."""
        self.episodes += 1
        self.bookings += episode.bookings
        self.executions += episode.executions
        self.steps += episode.steps
        self.faults += episode.faults
        self.counters += episode.counters
        if episode.violations:
            self.broken_episodes.append(episode)


def run_operations(
    seed: int, number: int, operations: list[Operation], disabled: frozenset[str] = frozenset()
) -> Episode:
    """Run one episode's operations and check its invariants."""
    bench = SoakBench(seed * 1_000_003 + number, disabled)
    for operation in operations:
        bench.at(operation.at_s, lambda item=operation: bench.apply(item))  # type: ignore[misc]
    try:
        bench.run(EPISODE_S + 1.0)
        violations = judge(bench)
    except AssertionError as error:
        violations = [f"invariant broken at {bench.now_s:.3f}: {error}"]
    return Episode(
        number,
        violations,
        bench.steps,
        bench.faults,
        Counter(bench.counters),
        len(bench.calls),
        len(bench.executions),
    )


def run_episode(seed: int, number: int, disabled: frozenset[str] = frozenset()) -> Episode:
    """Run the episode of a given number."""
    return run_operations(seed, number, make_plan(seed, number), disabled)


def run_soak(
    seed: int,
    steps: int,
    disabled: frozenset[str] = frozenset(),
    progress: Callable[[SoakResult], None] = lambda result: None,
    workers: int = 1,
) -> SoakResult:
    """Run episodes until ``steps`` are done or ``VIOLATIONS_MAX_COUNT`` episodes are broken.

    The result does not depend on the number of workers: episodes are added in their order.
    """
    result = SoakResult(seed)
    run = partial(run_episode, seed, disabled=disabled)
    with ExitStack() as stack:
        pool = stack.enter_context(Pool(workers)) if workers > 1 else None
        numbers = count()
        while True:
            batch = list(islice(numbers, workers * BATCH_EPISODES_PER_WORKER))
            episodes = pool.imap(run, batch) if pool is not None else map(run, batch)
            if _add_episodes(result, episodes, steps, progress):
                return result


def _add_episodes(
    result: SoakResult,
    episodes: Iterable[Episode],
    steps: int,
    progress: Callable[[SoakResult], None],
) -> bool:
    """Add episodes in order; return whether the run is complete."""
    for episode in episodes:
        result.add(episode)
        progress(result)
        if result.step_count >= steps or len(result.broken_episodes) >= VIOLATIONS_MAX_COUNT:
            return True
    return False


def shrink(
    seed: int,
    number: int,
    disabled: frozenset[str] = frozenset(),
    runs_max_count: int = SHRINK_RUNS_MAX_COUNT,
) -> tuple[list[int], list[Operation], list[str]]:
    """Remove operations from an episode while it still breaks an invariant.

    Removes ever smaller chunks, as delta debugging does, in at most ``runs_max_count`` runs.

    :return: the indices of the remaining operations, the operations, and their violations.
    """
    operations = make_plan(seed, number)
    kept = list(range(len(operations)))
    violations = run_operations(seed, number, operations, disabled).violations
    runs = 0
    chunk = len(kept) // 2
    while chunk and runs < runs_max_count:
        start = 0
        while start < len(kept) and runs < runs_max_count:
            trial = kept[:start] + kept[start + chunk :]
            runs += 1
            found = run_operations(
                seed, number, [operations[i] for i in trial], disabled
            ).violations
            if found:
                kept, violations = trial, found
            else:
                start += chunk
        chunk //= 2
    return kept, [operations[index] for index in kept], violations


def describe(result: SoakResult) -> list[str]:
    """Return the lines that summarise a soak's result."""
    return [
        f"seed {result.seed}, {result.episodes} episodes, {result.step_count} steps",
        f"bookings {result.bookings}, executions {result.executions}",
        "steps by kind: " + _format_counts(result.steps),
        "faults by kind: " + _format_counts(result.faults),
        f"violations {len(result.broken_episodes)}",
    ]


def replay_command(seed: int, number: int, kept: list[int], disabled: frozenset[str]) -> str:
    """Return the command that replays a shrunk episode."""
    indices = ",".join(str(index) for index in kept)
    flag = f" --disable {','.join(sorted(disabled))}" if disabled else ""
    return (
        f"python -m coriandershelf_rig soak --seed {seed} --episode {number} --only {indices}{flag}"
    )


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())
