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
from coriandershelf_rig.internal.day_reports import compare, plot_seconds, read_reports
from coriandershelf_rig.internal.demo import run_demo
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, inventory_yaml, rules_yaml
from coriandershelf_rig.internal.engine_model import EngineShape
from coriandershelf_rig.internal.fault_soak.plan import TARGET_OF_FAULT
from coriandershelf_rig.internal.fault_soak.run import describe, run_seed
from coriandershelf_rig.internal.faults import FAULTS, plan_windows, run_faults
from coriandershelf_rig.internal.load import Mix, run_load
from coriandershelf_rig.internal.reference import reference_page
from coriandershelf_rig.internal.registry import find_modules
from coriandershelf_rig.internal.site_day.run import play_seeds
from coriandershelf_rig.internal.site_day.site_file import FileError, read_site
from coriandershelf_rig.internal.soak_command import soak_command
from coriandershelf_rig.internal.standin_engine import serve_engine
from coriandershelf_rig.internal.standin_plain import serve_plain
from coriandershelf_rig.internal.standin_platform import serve_platform
from coriandershelf_rig.internal.start_cost import compare_starts

EXIT_FAILURE = 1
EXIT_WRONG_FILE = 2
deployment_option = click.option(
    "--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="consorcio"
)
seed_option = click.option("--seed", type=int, default=1, show_default=True)


@click.group()
def main() -> None:
    """Test rig: stand-ins, load generator and experiments; not for production."""


@main.command()
@deployment_option
@seed_option
def up(deployment: str, seed: int) -> None:
    """Start a deployment, print its addresses and keys as one JSON line, run until SIGINT."""
    asyncio.run(_up(deployment, seed))


async def _up(deployment: str, seed: int) -> None:
    async with Cluster(DEPLOYMENTS[deployment](), seed) as cluster:
        click.echo(json.dumps(cluster.description()))
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, stop_requested.set)
        await stop_requested.wait()


@main.command()
@click.option("--target", required=True, help="File with the JSON line that `up` printed, or -.")
@click.option("--rate", type=float, default=10.0, show_default=True, help="Requests per second.")
@click.option("--duration", type=float, default=10.0, show_default=True, help="Seconds.")
@click.option("--mix", default="{}", help='Shares as JSON, e.g. {"short": 1, "long": 0}.')
@seed_option
def load(target: str, rate: float, duration: float, mix: str, seed: int) -> None:
    """Send a mix of requests at a fixed rate and print a JSON report with percentiles."""
    text = sys.stdin.readline() if target == "-" else Path(target).read_text()
    shares = Mix(**json.loads(mix))
    result = asyncio.run(run_load(json.loads(text), rate, duration, seed, shares, progress=True))
    click.echo(json.dumps(result.to_document()))
    sys.exit(EXIT_FAILURE if result.wrong_count else 0)


@main.command()
@seed_option
def demo(seed: int) -> None:
    """Serve a request mix while one zone's upstreams are reclaimed; print a table and a verdict."""
    sys.exit(0 if asyncio.run(run_demo(seed)) else EXIT_FAILURE)


@main.command()
@click.argument("name")
@seed_option
@click.option("--json", "as_json", is_flag=True, help="Print only the JSON line.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a plot of the latencies.")
@click.option("--disable", default="", help="Mechanisms to disable, comma-separated.")
def experiment(name: str, seed: int, as_json: bool, plot: str | None, disable: str) -> None:
    """Run one experiment against its baseline and print a JSON line at the end."""
    modules = find_modules(experiments)
    if name not in modules:
        raise click.BadParameter(f"choose from {', '.join(sorted(modules))}", param_hint="NAME")
    disabled = frozenset(filter(None, disable.split(",")))
    report = modules[name].run(seed, disabled=disabled, verbose=not as_json, plot=plot)
    click.echo(report.to_json())
    sys.exit(EXIT_FAILURE if report.violations else 0)


@main.command()
@click.argument("name")
@seed_option
def slope(name: str, seed: int) -> None:
    """Measure how one cost in docs/CAPACITY.md grows with size."""
    modules = find_modules(slopes)
    if name not in modules:
        raise click.BadParameter(f"choose from {', '.join(sorted(modules))}", param_hint="NAME")
    click.echo(modules[name].run(seed))


@main.command()
@click.argument("python_paths", nargs=-1, required=True, metavar="PATH...")
@click.option("--runs", type=click.IntRange(min=2), default=24, show_default=True)
def start_cost(python_paths: tuple[str, ...], runs: int) -> None:
    """Measure the processor time of a start until it listens, with each PATH as PYTHONPATH."""
    for line in compare_starts(python_paths, runs):
        click.echo(line)


@main.command()
@seed_option
@click.option("--steps", type=int, default=100_000, show_default=True, help="Events to apply.")
@click.option("--episode", type=int, help="Run only the episode with this number.")
@click.option(
    "--only", default="", help="Indexes of the episode's operations to run, comma-separated."
)
@click.option("--disable", default="", help="Mechanisms to disable, comma-separated.")
@click.option("--workers", type=int, default=1, show_default=True, help="Worker processes.")
def soak(seed: int, steps: int, episode: int | None, only: str, disable: str, workers: int) -> None:
    """Run bookings under random faults and exit with 1 if an invariant was violated."""
    disabled = frozenset(filter(None, disable.split(",")))
    indices = [int(part) for part in only.split(",") if part]
    violated = soak_command(seed, steps, episode, indices, disabled, workers)
    sys.exit(EXIT_FAILURE if violated else 0)


@main.command()
@seed_option
@click.option("--alone/--no-alone", default=True, help="Run one window per fault.")
@click.option("--pairs/--no-pairs", default=True, help="Run one window per pair of faults.")
@click.option("--only", default="", help="Faults to inject, comma-separated; default: all.")
@click.option("--disable", default="", help="Mechanisms to disable, comma-separated.")
@click.option("--json", "as_json", is_flag=True, help="Print only the JSON line.")
def faults(seed: int, alone: bool, pairs: bool, only: str, disable: str, as_json: bool) -> None:
    """Inject faults into real processes under load and check the results with the stand-ins."""
    names = list(filter(None, only.split(","))) or list(FAULTS)
    unknown = [name for name in names if name not in FAULTS]
    if unknown:
        raise click.BadParameter(f"choose from {', '.join(FAULTS)}", param_hint="--only")
    windows = plan_windows(names, alone, pairs)
    print_progress = (lambda line: None) if as_json else click.echo
    report = asyncio.run(run_faults(seed, windows, disable=disable, progress=print_progress))
    click.echo(json.dumps(report.to_document()))
    sys.exit(EXIT_FAILURE if report.violations else 0)


@main.command("compare-days")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--plot", help="File for a plot of --day by seconds.")
@click.option("--day", help="The day to plot.")
def compare_days(folders: tuple[Path, ...], plot: str | None, day: str | None) -> None:
    """Compare states of the code by folders of the bench's reports, the first as the base."""
    try:
        states = {folder.name: read_reports(folder) for folder in folders}
        click.echo(compare(states))
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    if plot is not None:
        played = {name: reports[day] for name, reports in states.items() if day in reports}
        if day is None or not played:
            raise click.UsageError("--plot needs a --day that was played")
        click.echo(plot_seconds(plot, day, played))


@main.command("fault-soak")
@seed_option
@click.option(
    "--seeds", type=int, default=1, show_default=True, help="Number of consecutive seeds."
)
@click.option("--minutes", type=float, default=0.5, show_default=True, help="Duration per seed.")
@click.option("--vms", type=click.IntRange(min=1), default=3, show_default=True)
@click.option("--times/--no-times", default=True, help="Also check times.")
@click.option("--quiet", is_flag=True, help="Do not print each fault as it starts.")
@click.option("--keep", type=click.Path(file_okay=False), help="Folder for logs of failed runs.")
@click.option(
    "--kind",
    "kinds",
    type=click.Choice(sorted(TARGET_OF_FAULT)),
    multiple=True,
    help="Only faults of this kind; may be repeated.",
)
def fault_soak(
    seed: int,
    seeds: int,
    minutes: float,
    vms: int,
    times: bool,
    quiet: bool,
    keep: str | None,
    kinds: tuple[str, ...],
) -> None:
    """Inject random faults between real entry VMs and the platform; callers check the results."""
    print_fault = (lambda line: None) if quiet else click.echo
    violation_count = 0
    for current_seed in range(seed, seed + seeds):
        folder = Path(keep) if keep is not None else None
        verdict = asyncio.run(
            run_seed(current_seed, minutes * 60.0, vms, print_fault, times, folder, kinds)
        )
        violation_count += len(verdict.violations)
        for line in describe(current_seed, verdict):
            click.echo(line)
    sys.exit(EXIT_FAILURE if violation_count else 0)


@main.command("site-day")
@click.option("--site", "site_file", required=True, type=click.Path(path_type=Path))
@click.option("--day", required=True, help="Day of the site file, day file, or drawn.")
@seed_option
@click.option(
    "--seeds", type=int, default=1, show_default=True, help="Number of consecutive seeds."
)
@click.option(
    "--share", type=float, default=1.0, show_default=True, help="Share of the file's rates."
)
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Folder for logs.")
@click.option("--quiet", is_flag=True, help="Do not print each entry as it starts.")
def site_day(
    site_file: Path, day: str, seed: int, seeds: int, share: float, keep: Path | None, quiet: bool
) -> None:
    """Play a day of a users' site with entry VMs as real processes, and judge it from outside.

    Exits with 1 if a rule was broken, with 2 if a file is wrong, with 3 if a run is void.

    \b
    Example:
      python -m coriandershelf_rig site-day --site SITE.toml --day trouble-1 --seed 7
    """
    try:
        sites = {number: read_site(site_file, day, number) for number in range(seed, seed + seeds)}
    except FileError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(EXIT_WRONG_FILE)
    sys.exit(play_seeds(sites, share, keep, quiet))


@main.command()
@click.argument("folder", type=click.Path(file_okay=False))
def examples(folder: str) -> None:
    """Write the users' deployments as inventory and rules files."""
    for name, make_deployment in DEPLOYMENTS.items():
        target = Path(folder) / name
        target.mkdir(parents=True, exist_ok=True)
        (target / "inventory.yaml").write_text(inventory_yaml(make_deployment(), {}))
        (target / "rules.yaml").write_text(rules_yaml(make_deployment()))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def reference(file: str) -> None:
    """Write the reference page of settings, reasons and counters."""
    Path(file).write_text(reference_page())


@main.command("standin-engine", hidden=True)
@click.option("--port", type=int, required=True)
@click.option("--shape", default="{}")
@click.option("--checks-fencing/--ignores-fencing", default=True)
def standin_engine(port: int, shape: str, checks_fencing: bool) -> None:
    """Serve the stand-in of a model engine."""
    asyncio.run(serve_engine(port, EngineShape(**json.loads(shape)), checks_fencing))


@main.command("standin-plain", hidden=True)
@click.option("--port", type=int, required=True)
def standin_plain(port: int) -> None:
    """Serve the stand-in of a plain service."""
    asyncio.run(serve_plain(port))


@main.command("standin-platform", hidden=True)
@click.option("--port", type=int, required=True)
@click.option("--lag-s", type=float, default=1.0)
@seed_option
def standin_platform(port: int, lag_s: float, seed: int) -> None:
    """Serve the stand-in of the platform."""
    asyncio.run(serve_platform(port, seed, lag_s))
