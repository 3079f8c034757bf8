"""The ``soak`` command: runs episodes, prints the result and shrinks the first broken episode."""

from __future__ import annotations

import click

from coriandershelf_rig.internal.soak import (
    SoakResult,
    describe,
    replay_command,
    run_operations,
    run_soak,
    shrink,
)
from coriandershelf_rig.internal.soak_plan import make_plan

PROGRESS_EPISODES = 100


def soak_command(
    seed: int,
    steps: int,
    episode: int | None,
    only: list[int],
    disabled: frozenset[str],
    workers: int,
) -> bool:
    """Run a soak or replay one episode; return whether an invariant was broken."""
    if episode is not None:
        return _replay(seed, episode, only, disabled)
    result = run_soak(seed, steps, disabled, _show_progress, workers)
    for line in describe(result):
        click.echo(line)
    for broken in result.broken_episodes:
        click.echo(f"episode {broken.number}: {'; '.join(broken.violations)}")
    if result.broken_episodes:
        number = result.broken_episodes[0].number
        kept, operations, found = shrink(seed, number, disabled)
        click.echo(f"fewest operations found that break episode {number}: {'; '.join(found)}")
        for operation in operations:
            click.echo(f"  {operation}")
        click.echo(f"replay: {replay_command(seed, number, kept, disabled)}")
    return bool(result.broken_episodes)


def _show_progress(result: SoakResult) -> None:
    if result.episodes % PROGRESS_EPISODES == 0:
        broken = len(result.broken_episodes)
        click.echo(f"{result.episodes} episodes, {result.step_count} steps, broken {broken}")


def _replay(seed: int, episode: int, only: list[int], disabled: frozenset[str]) -> bool:
    operations = make_plan(seed, episode)
    chosen = [operations[index] for index in only] if only else operations
    replayed = run_operations(seed, episode, chosen, disabled)
    for operation in chosen:
        click.echo(f"  {operation}")
    for line in replayed.violations:
        click.echo(f"broken: {line}")
    click.echo(f"violations {len(replayed.violations)}")
    return bool(replayed.violations)
