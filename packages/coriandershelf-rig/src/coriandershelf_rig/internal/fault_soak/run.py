"""Runs one seed of the fault soak."""

from __future__ import annotations

import asyncio
import re
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from coriandershelf_rig.internal.fault_soak.callers import KINDS, Record, SoakCaller
from coriandershelf_rig.internal.fault_soak.faults import FaultDriver
from coriandershelf_rig.internal.fault_soak.judge import Verdict, judge
from coriandershelf_rig.internal.fault_soak.plan import Fault, make_plan
from coriandershelf_rig.internal.fault_soak.site import SoakSite

CALLERS_PER_VM = 4
# A site whose VMs were all killed serves again within this.
RECOVER_S = 12.0
# An entry VM has 8 s to stop; its process may take some more to end.
STOP_LIMIT_S = 9.5
# On a machine that others use, too, the limits only keep a run from lasting for ever.
UNTIMED_FACTOR = 10.0
SETTLE_S = 1.0
TRY_S = 0.3
BAD_LINE = re.compile(r'"event":"(invariant broken|task failed)"|Traceback')


async def run_seed(
    seed: int,
    length_s: float,
    vms_count: int,
    note: Callable[[str], None],
    judge_times: bool = True,
    keep_folder: Path | None = None,
) -> Verdict:
    """Play a seed's plan under load and return what was found.

    :param keep_folder: where the VMs' logs of a run that broke something go.
    :param judge_times: whether a VM must answer, stop and recover in time.
    """
    with tempfile.TemporaryDirectory(prefix="fault-soak-") as folder:
        site = SoakSite(Path(folder), vms_count)
        await site.start()
        try:
            verdict = await _play(site, seed, length_s, note, judge_times)
        finally:
            await site.stop()
        if verdict.broken and keep_folder is not None:
            shutil.copytree(folder, keep_folder / f"seed-{seed}", dirs_exist_ok=True)
        return verdict


async def _play(
    site: SoakSite,
    seed: int,
    length_s: float,
    note: Callable[[str], None],
    judge_times: bool,
) -> Verdict:
    limit_factor = 1.0 if judge_times else UNTIMED_FACTOR
    driver = FaultDriver(site, STOP_LIMIT_S * limit_factor)
    records: list[Record] = []
    callers = [
        SoakCaller(number, number % site.vms_count, port, seed, records)
        for number, port in enumerate(site.ports * CALLERS_PER_VM)
    ]
    for caller in callers:
        caller.keys = site.keys
    missing = await _missing(site, callers, RECOVER_S * UNTIMED_FACTOR)
    if missing:
        return Verdict({}, [f"not served at the start: {missing}"])
    targets = {
        "vm": site.vms_count, "store-way": site.vms_count, "replica": len(site.replicas),
        "replica-way": len(site.replicas), "site": 1,
    }  # fmt: skip
    plan = make_plan(seed, length_s, targets)
    until_s = time.monotonic() + length_s
    load = [asyncio.create_task(caller.run(until_s)) for caller in callers]
    await _apply(plan, driver, note)
    await asyncio.gather(*load)
    missing = await _missing(site, callers, RECOVER_S * limit_factor)
    await asyncio.sleep(SETTLE_S)
    verdict = judge(records, site.runs.begun, driver.revoked_at_s, driver.disturbances, judge_times)
    verdict.broken += driver.broken
    if missing:
        verdict.broken.append(f"not served {RECOVER_S} s after the last fault: {missing}")
    verdict.broken += _bad_lines(site)
    for kind, count in driver.counts.items():
        verdict.counts[f"fault {kind}"] = count
    return verdict


async def _apply(plan: list[Fault], driver: FaultDriver, note: Callable[[str], None]) -> None:
    began_s = time.monotonic()
    tasks = []
    for fault in plan:
        await asyncio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
        note(str(fault))
        tasks.append(asyncio.create_task(driver.apply(fault)))
    await asyncio.gather(*tasks)


async def _missing(site: SoakSite, callers: list[SoakCaller], limit_s: float) -> dict[str, str]:
    """Wait until every VM serves every kind of request; return those that it does not serve.

    :return: for each VM and kind, how its last try ended.
    """
    until_s = time.monotonic() + limit_s
    missing = {(number, kind): "" for number in range(site.vms_count) for kind in KINDS}
    while missing and time.monotonic() < until_s:
        for number, kind in sorted(missing):
            record = await callers[number].ask_once(kind)
            if record is not None and record.status == 200 and record.is_right:
                del missing[number, kind]
            else:
                missing[number, kind] = "no connection" if record is None else str(record.status)
        if missing:
            await asyncio.sleep(TRY_S)
    return {f"VM {number} {kind}": last for (number, kind), last in missing.items()}


def _bad_lines(site: SoakSite) -> list[str]:
    found = []
    for number in range(site.vms_count):
        for line in site.log_of(number).splitlines():
            if BAD_LINE.search(line):
                found.append(f"VM {number} wrote: {line[:300]}")
    return found


def describe(seed: int, verdict: Verdict) -> list[str]:
    """Return a verdict as lines."""
    counts = ", ".join(f"{name} {count}" for name, count in sorted(verdict.counts.items()))
    lines = [f"seed {seed}: {len(verdict.broken)} broken; {counts}"]
    return lines + [f"seed {seed}: broken: {line}" for line in verdict.broken]
