"""Plays a day of a site with one seed."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from coriandershelf_rig.internal.site_day.child import read_records
from coriandershelf_rig.internal.site_day.faults import FaultPlayer
from coriandershelf_rig.internal.site_day.judge import Break, DayVerdict, judge_day
from coriandershelf_rig.internal.site_day.site import SiteProcesses
from coriandershelf_rig.internal.site_day.site_file import Site

READY_LIMIT_S = 40.0
LEAD_S = 2.0
TAIL_S = 22.0
LATE_SHARE_MAX = 0.01
BREAKS_SHOWN_COUNT = 5
LINES_SHOWN_COUNT = 60


@dataclass
class DayResult:
    """Result of a day.

    :param late_share: the largest share of its time for which a stand-in's loop was late.
    :param traces: what is known of each request on which a rule is broken.
    """

    seed: int
    verdict: DayVerdict
    late_share: float
    latest: str
    not_played: dict[str, str]
    traces: list[str] = field(default_factory=list)
    problem: str = ""

    @property
    def is_void(self) -> bool:
        """Return whether the stand-ins ran too late for the result to count."""
        return bool(self.problem) or self.late_share > LATE_SHARE_MAX

    def describe(self) -> list[str]:
        """Return the result as lines of text."""
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.verdict.counts.items()))
        void = f" VOID ({self.problem or 'stand-ins ran late'})" if self.is_void else ""
        broken = ", ".join(self.verdict.broken) or "none"
        lines = [
            f"seed {self.seed}:{void} rules broken: {broken}; {counts}",
            f"seed {self.seed}: stand-ins over 50 ms late for {self.late_share:.2%} of the time "
            f"({self.latest})",
        ]
        for entry, reason in self.not_played.items():
            lines.append(f"seed {self.seed}: not played: {reason} of {entry}")
        return lines + self.traces


EXIT_BROKEN = 1
EXIT_VOID = 3


def play_seeds(sites: Mapping[int, Site], share: float, keep: Path | None, quiet: bool) -> int:
    """Play days by their seeds, print the results and return the exit code.

    :param keep: folder for the logs; those of a run that breaks a rule are kept in any case.
    """
    exit_code = 0
    for seed, site in sites.items():
        if keep is not None:
            folder = keep / f"{site.name}-{site.day}-{seed}"
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir(parents=True)
        else:
            folder = Path(tempfile.mkdtemp(prefix=f"site-day-{seed}-"))
        echo = (lambda line: None) if quiet else click.echo
        result = asyncio.run(play_day(site, seed, folder, echo, share))
        for line in result.describe():
            click.echo(line)
        if share != 1.0:
            click.echo(f"seed {seed}: callers sent at {share:g} of the file's rates")
        if result.verdict.breaks or keep is not None:
            click.echo(f"seed {seed}: logs are in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
        if result.verdict.broken:
            exit_code = EXIT_BROKEN
        elif result.is_void and not exit_code:
            exit_code = EXIT_VOID
    return exit_code


async def play_day(
    site: Site, seed: int, folder: Path, echo: Callable[[str], None], share: float = 1.0
) -> DayResult:
    """Play a day.

    :param folder: receives logs and records.
    :param share: share of the file's rates at which callers send.
    """
    processes = SiteProcesses(folder, site, seed, share)
    player = FaultPlayer(processes, seed, echo)
    problem = ""
    try:
        await processes.start()
        if not await processes.await_ready(READY_LIMIT_S):
            problem = "the entry VMs were not ready"
        else:
            start_at_s = time.time() + LEAD_S
            processes.start_callers(start_at_s)
            await player.play(site.entries, start_at_s)
            await _await_callers(processes, folder, start_at_s + site.length_s + TAIL_S)
            if ended := processes.ended_stand_ins():
                problem = f"ended by themselves: {', '.join(ended)}"
    finally:
        processes.stop()
    return _judge(site, seed, folder, player, processes.start_at_s, problem)


async def _await_callers(processes: SiteProcesses, folder: Path, until_s: float) -> None:
    names = [f"callers-{load.zone}" for load in processes.site.loads]
    while time.time() < until_s and any(processes.processes.is_running(name) for name in names):
        await asyncio.sleep(0.2)


def _judge(
    site: Site, seed: int, folder: Path, player: FaultPlayer, start_at_s: float, problem: str
) -> DayResult:
    requests: list[dict[str, Any]] = []
    runs: list[dict[str, Any]] = []
    ends: list[dict[str, Any]] = []
    late_share, latest = 0.0, "none"
    for path in sorted(folder.glob("*.records")):
        records = read_records(path)
        loops = [item for item in records if item["kind"] == "loop"]
        total_s = sum(item["total_s"] for item in loops)
        # A process that ran for a moment says little.
        if total_s > 5.0 and path.stem.partition("-")[0] in ("callers", "store", "replica"):
            share = sum(item["late_s"] for item in loops) / total_s
            if share > late_share:
                late_share, latest = share, path.stem
        requests += [item for item in records if item["kind"] == "request"]
        runs += [item | {"at": path.stem} for item in records if item["kind"] == "run"]
        ends += [item | {"at": path.stem} for item in records if item["kind"] == "end"]
    verdict = judge_day(requests, runs, site.kinds)
    result = DayResult(seed, verdict, late_share, latest, player.not_played, problem=problem)
    for item in verdict.breaks[:BREAKS_SHOWN_COUNT]:
        result.traces += _trace(item, seed, folder, player, start_at_s, runs + ends)
    if player.late_stops:
        verdict.counts["VMs that stopped late"] = len(player.late_stops)
    return result


def _trace(
    found: Break,
    seed: int,
    folder: Path,
    player: FaultPlayer,
    start_at_s: float,
    runs: list[dict[str, Any]],
) -> list[str]:
    """Return the lines that show how a rule was broken."""
    request = found.request
    from_s, to_s = request["tries"][0]["sent_at_s"], request["at_s"]
    in_force = [
        name for name, began_s, ended_s in player.played if began_s <= to_s and ended_s >= from_s
    ]
    lines = [
        f"BREAK {found.rule}: {found.text}",
        f"  seed {seed}, {from_s - start_at_s:.2f} to {to_s - start_at_s:.2f} s, "
        f"{request['name']}, faults in force: {'; '.join(in_force) or 'none'}",
        f"  events: {request['events']}",
    ]
    lines += [f"  try: {item}" for item in request["tries"]]
    ids = set(found.try_ids)
    for run in sorted(runs, key=lambda item: item["at_s"]):
        if run["request"] in ids:
            shown = {name: value for name, value in run.items() if name != "at_s"}
            lines.append(f"  replica: {run['at_s'] - start_at_s:.3f} {shown}")
    logged = []
    for path in sorted(folder.glob("vm-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if any(f'"{item}"' in line for item in ids):
                logged.append(f"  {path.stem}: {line}")
    return lines + logged[:LINES_SHOWN_COUNT]
