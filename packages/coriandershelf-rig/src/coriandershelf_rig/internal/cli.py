"""Command line of the rig: ``python -m coriandershelf_rig``."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

import click

from coriandershelf_rig.internal import experiments, slopes
from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.demo import run_demo
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, inventory_yaml, rules_yaml
from coriandershelf_rig.internal.engine_model import EngineShape
from coriandershelf_rig.internal.fault_soak.run import describe, run_seed
from coriandershelf_rig.internal.faults import FAULTS, plan_windows, run_faults
from coriandershelf_rig.internal.load import Mix, run_load
from coriandershelf_rig.internal.reference import reference_page
from coriandershelf_rig.internal.registry import find_modules
from coriandershelf_rig.internal.soak_command import soak_command
from coriandershelf_rig.internal.standin_engine import serve_engine
from coriandershelf_rig.internal.standin_plain import serve_plain
from coriandershelf_rig.internal.standin_platform import serve_platform

EXIT_BROKEN = 1
deployment_option = click.option(
    "--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="consorcio"
)
seed_option = click.option("--seed", type=int, default=1, show_default=True)


@click.group()
def main() -> None:
    """Stand-ins, load and experiments; never used in production."""


@main.command()
@deployment_option
@seed_option
def up(deployment: str, seed: int) -> None:
    """Start a deployment, print its addresses and keys as one JSON line, stay until SIGINT."""
    asyncio.run(_up(deployment, seed))


async def _up(deployment: str, seed: int) -> None:
    async with Cluster(DEPLOYMENTS[deployment](), seed) as cluster:
        click.echo(json.dumps(cluster.description()))
        ended = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, ended.set)
        await ended.wait()


@main.command()
@click.option("--target", required=True, help="File with the JSON line that `up` printed, or -.")
@click.option("--rate", type=float, default=10.0, show_default=True, help="Requests a second.")
@click.option("--duration", type=float, default=10.0, show_default=True, help="Seconds.")
@click.option("--mix", default="{}", help='Shares as JSON, e.g. {"short": 1, "long": 0}.')
@seed_option
def load(target: str, rate: float, duration: float, mix: str, seed: int) -> None:
    """Send a mix of requests at a rate and print a JSON report with percentiles."""
    text = sys.stdin.readline() if target == "-" else Path(target).read_text()
    shares = Mix(**json.loads(mix))
    result = asyncio.run(run_load(json.loads(text), rate, duration, seed, shares, progress=True))
    click.echo(json.dumps(result.to_document()))
    sys.exit(EXIT_BROKEN if result.wrong else 0)


@main.command()
@seed_option
def demo(seed: int) -> None:
    """Serve a mix while one zone's upstreams are reclaimed; print a table and a verdict."""
    sys.exit(0 if asyncio.run(run_demo(seed)) else EXIT_BROKEN)


@main.command()
@click.argument("name")
@seed_option
@click.option("--json", "as_json", is_flag=True, help="Print only the JSON line.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a plot of the latencies.")
@click.option("--disable", default="", help="Mechanisms to take out, comma-separated.")
def experiment(name: str, seed: int, as_json: bool, plot: str | None, disable: str) -> None:
    """Run one named measurement, ours and the plain way, and end with one JSON line."""
    found = find_modules(experiments)
    if name not in found:
        raise click.BadParameter(f"choose from {', '.join(sorted(found))}", param_hint="NAME")
    disabled = frozenset(filter(None, disable.split(",")))
    report = found[name].run(seed, disabled=disabled, verbose=not as_json, plot=plot)
    click.echo(report.to_json())
    sys.exit(EXIT_BROKEN if report.violations else 0)


@main.command()
@click.argument("name")
@seed_option
def slope(name: str, seed: int) -> None:
    """Measure one slope of docs/CAPACITY.md at several sizes."""
    found = find_modules(slopes)
    if name not in found:
        raise click.BadParameter(f"choose from {', '.join(sorted(found))}", param_hint="NAME")
    click.echo(found[name].run(seed))


@main.command()
@seed_option
@click.option("--steps", type=int, default=100_000, show_default=True, help="Events to apply.")
@click.option("--episode", type=int, help="Run only the episode of this number.")
@click.option("--only", default="", help="Operations of that episode by index, comma-separated.")
@click.option("--disable", default="", help="Mechanisms to take out, comma-separated.")
@click.option("--workers", type=int, default=1, show_default=True, help="Processes that run.")
def soak(seed: int, steps: int, episode: int | None, only: str, disable: str, workers: int) -> None:
    """Run bookings under random faults and exit with 1 if an invariant broke."""
    disabled = frozenset(filter(None, disable.split(",")))
    indices = [int(part) for part in only.split(",") if part]
    broken = soak_command(seed, steps, episode, indices, disabled, workers)
    sys.exit(EXIT_BROKEN if broken else 0)


@main.command()
@seed_option
@click.option("--alone/--no-alone", default=True, help="One window for each fault.")
@click.option("--pairs/--no-pairs", default=True, help="One window for each pair of faults.")
@click.option("--only", default="", help="Faults to inject, comma-separated; default: all.")
@click.option("--disable", default="", help="Mechanisms to take out, comma-separated.")
@click.option("--json", "as_json", is_flag=True, help="Print only the JSON line.")
def faults(seed: int, alone: bool, pairs: bool, only: str, disable: str, as_json: bool) -> None:
    """Kill, freeze, cut and silence real processes under load; the stand-ins judge."""
    names = list(filter(None, only.split(","))) or list(FAULTS)
    unknown = [name for name in names if name not in FAULTS]
    if unknown:
        raise click.BadParameter(f"choose from {', '.join(FAULTS)}", param_hint="--only")
    windows = plan_windows(names, alone, pairs)
    note = (lambda line: None) if as_json else click.echo
    report = asyncio.run(run_faults(seed, windows, disable=disable, note=note))
    click.echo(json.dumps(report.to_document()))
    sys.exit(EXIT_BROKEN if report.violations else 0)


@main.command("fault-soak")
@seed_option
@click.option("--seeds", type=int, default=1, show_default=True, help="Seeds, one after another.")
@click.option("--minutes", type=float, default=0.5, show_default=True, help="For each seed.")
@click.option("--vms", type=click.IntRange(min=1), default=3, show_default=True)
@click.option("--times/--no-times", default=True, help="Judge times, too.")
@click.option("--quiet", is_flag=True, help="Do not print each fault as it begins.")
@click.option("--keep", type=click.Path(file_okay=False), help="Folder for logs of broken runs.")
def fault_soak(
    seed: int, seeds: int, minutes: float, vms: int, times: bool, quiet: bool, keep: str | None
) -> None:
    """Bring about random faults on real entry VMs at the platform's border; callers judge."""
    note = (lambda line: None) if quiet else click.echo
    broken = 0
    for number in range(seed, seed + seeds):
        folder = Path(keep) if keep is not None else None
        verdict = asyncio.run(run_seed(number, minutes * 60.0, vms, note, times, folder))
        broken += len(verdict.broken)
        for line in describe(number, verdict):
            click.echo(line)
    sys.exit(EXIT_BROKEN if broken else 0)


@main.command()
@click.argument("folder", type=click.Path(file_okay=False))
def examples(folder: str) -> None:
    """Write both users' deployments as inventory and rules files."""
    for name, make in DEPLOYMENTS.items():
        target = Path(folder) / name
        target.mkdir(parents=True, exist_ok=True)
        (target / "inventory.yaml").write_text(inventory_yaml(make(), {}))
        (target / "rules.yaml").write_text(rules_yaml(make()))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def reference(file: str) -> None:
    """Write the reference of settings, reasons and counters."""
    Path(file).write_text(reference_page())


@main.command("standin-engine", hidden=True)
@click.option("--port", type=int, required=True)
@click.option("--shape", default="{}")
@click.option("--checks-fencing/--ignores-fencing", default=True)
def standin_engine(port: int, shape: str, checks_fencing: bool) -> None:
    """Serve a model engine's stand-in."""
    asyncio.run(serve_engine(port, EngineShape(**json.loads(shape)), checks_fencing))


@main.command("standin-plain", hidden=True)
@click.option("--port", type=int, required=True)
def standin_plain(port: int) -> None:
    """Serve a plain service's stand-in."""
    asyncio.run(serve_plain(port))


@main.command("standin-platform", hidden=True)
@click.option("--port", type=int, required=True)
@click.option("--lag-s", type=float, default=1.0)
@seed_option
def standin_platform(port: int, lag_s: float, seed: int) -> None:
    """Serve the platform's stand-in."""
    asyncio.run(serve_platform(port, seed, lag_s))
