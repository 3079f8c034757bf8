"""Long randomised runs: episodes of bookings and faults, judged by the stand-ins."""

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
BATCH_PER_WORKER = 4


@dataclass(slots=True)
class Episode:
    """What one episode did and broke."""

    number: int
    broken: list[str]
    steps: Counter[str]
    faults: Counter[str]
    counters: Counter[str]
    bookings: int = 0
    executions: int = 0


@dataclass(slots=True)
class SoakResult:
    """The sum of many episodes."""

    seed: int
    episodes: int = 0
    bookings: int = 0
    executions: int = 0
    steps: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    counters: Counter[str] = field(default_factory=Counter)
    broken: list[Episode] = field(default_factory=list)

    @property
    def step_count(self) -> int:
        """Return the events applied to cores, but for ticks and the like."""
        return self.steps.total()

    def add(self, episode: Episode) -> None:
        """Add one episode."""
        self.episodes += 1
        self.bookings += episode.bookings
        self.executions += episode.executions
        self.steps += episode.steps
        self.faults += episode.faults
        self.counters += episode.counters
        if episode.broken:
            self.broken.append(episode)


def run_operations(
    seed: int, number: int, operations: list[Operation], disabled: frozenset[str] = frozenset()
) -> Episode:
    """Run one episode's operations and judge it."""
    bench = SoakBench(seed * 1_000_003 + number, disabled)
    for operation in operations:
        bench.at(operation.at_s, lambda item=operation: bench.apply(item))  # type: ignore[misc]
    try:
        bench.run(EPISODE_S + 1.0)
        broken = judge(bench)
    except AssertionError as error:
        broken = [f"invariant broken at {bench.now_s:.3f}: {error}"]
    return Episode(
        number,
        broken,
        bench.steps,
        bench.faults,
        Counter(bench.counters),
        len(bench.calls),
        len(bench.executions),
    )


def run_episode(seed: int, number: int, disabled: frozenset[str] = frozenset()) -> Episode:
    """Run one episode by its number."""
    return run_operations(seed, number, make_plan(seed, number), disabled)


def run_soak(
    seed: int,
    steps: int,
    disabled: frozenset[str] = frozenset(),
    progress: Callable[[SoakResult], None] = lambda result: None,
    workers: int = 1,
) -> SoakResult:
    """Run episodes until enough steps were done or enough was broken.

    The result is the same for any count of workers, since episodes are added in their order.
    """
    result = SoakResult(seed)
    run = partial(run_episode, seed, disabled=disabled)
    with ExitStack() as stack:
        pool = stack.enter_context(Pool(workers)) if workers > 1 else None
        numbers = count()
        while True:
            batch = list(islice(numbers, workers * BATCH_PER_WORKER))
            episodes = pool.imap(run, batch) if pool is not None else map(run, batch)
            if _add_all(result, episodes, steps, progress):
                return result


def _add_all(
    result: SoakResult,
    episodes: Iterable[Episode],
    steps: int,
    progress: Callable[[SoakResult], None],
) -> bool:
    """Add episodes in order; true once there are enough."""
    for episode in episodes:
        result.add(episode)
        progress(result)
        if result.step_count >= steps or len(result.broken) >= VIOLATIONS_MAX_COUNT:
            return True
    return False


def shrink(
    seed: int,
    number: int,
    disabled: frozenset[str] = frozenset(),
    runs_max_count: int = SHRINK_RUNS_MAX_COUNT,
) -> tuple[list[int], list[Operation], list[str]]:
    """Return the fewest operations found that still break an episode, by index and as such."""
    operations = make_plan(seed, number)
    kept = list(range(len(operations)))
    broken = run_operations(seed, number, operations, disabled).broken
    runs = 0
    chunk = len(kept) // 2
    while chunk and runs < runs_max_count:
        start = 0
        while start < len(kept) and runs < runs_max_count:
            trial = kept[:start] + kept[start + chunk :]
            runs += 1
            found = run_operations(seed, number, [operations[i] for i in trial], disabled).broken
            if found:
                kept, broken = trial, found
            else:
                start += chunk
        chunk //= 2
    return kept, [operations[index] for index in kept], broken


def describe(result: SoakResult) -> list[str]:
    """Return the lines that tell a soak's outcome."""
    return [
        f"seed {result.seed}, {result.episodes} episodes, {result.step_count} steps",
        f"bookings {result.bookings}, executions {result.executions}",
        "steps by kind: " + _by_kind(result.steps),
        "faults by kind: " + _by_kind(result.faults),
        f"violations {len(result.broken)}",
    ]


def replay_line(seed: int, number: int, kept: list[int], disabled: frozenset[str]) -> str:
    """Return the command that runs a shrunk episode again."""
    only = ",".join(str(index) for index in kept)
    without = f" --disable {','.join(sorted(disabled))}" if disabled else ""
    return (
        f"python -m coriandershelf_rig soak --seed {seed} --episode {number} --only {only}{without}"
    )


def _by_kind(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())
