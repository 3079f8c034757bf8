"""Runs one seed of the fault soak."""

from __future__ import annotations

import asyncio
import random
import re
import shutil
import tempfile
import time
from collections.abc import Callable, Collection
from pathlib import Path

from coriandershelf_platform.http_client import CallFailure, HttpClient
from coriandershelf_rig.internal.fault_soak.callers import REQUEST_KINDS, RequestRecord, SoakCaller
from coriandershelf_rig.internal.fault_soak.faults import FaultInjector
from coriandershelf_rig.internal.fault_soak.judge import Verdict, judge, judge_limits
from coriandershelf_rig.internal.fault_soak.plan import Fault, make_plan
from coriandershelf_rig.internal.fault_soak.site import SERVICES, SoakSite

CALLERS_PER_VM = 6
# A site must serve again within this time after all its VMs were killed.
RECOVERY_LIMIT_S = 12.0
# An entry VM has 8 s to stop; its process may take slightly longer to exit.
STOP_LIMIT_S = 9.5
# On a shared machine the limits only keep a run from lasting forever.
UNTIMED_FACTOR = 10.0
SETTLE_S = 1.0
RETRY_PERIOD_S = 0.3
VERSION_PATTERN = re.compile(r'name="configuration_version"\} ([0-9]+)')
FAILURE_PATTERN = re.compile(r'"event":"(invariant broken|task failed)"|Traceback')


async def run_seed(
    seed: int,
    length_s: float,
    vm_count: int,
    echo: Callable[[str], None],
    check_times: bool = True,
    keep_folder: Path | None = None,
    kinds: Collection[str] = (),
    reportless_count: int = 1,
) -> Verdict:
    """Run a seed's plan under load and return the result.

    :param echo: called with a line of text as each fault begins.
    :param check_times: whether a VM must respond, stop and recover in time.
    :param keep_folder: folder that receives the VMs' logs if a guarantee was violated.
    :param kinds: the kinds of fault that are injected, all of them if empty.
    :param reportless_count: how many replicas of each service do not state their start.
    """
    with tempfile.TemporaryDirectory(prefix="fault-soak-") as folder:
        site = SoakSite(Path(folder), vm_count, reportless_count)
        await site.start()
        try:
            verdict = await _run_plan(site, seed, length_s, echo, check_times, kinds)
        finally:
            await site.stop()
        if verdict.violations and keep_folder is not None:
            shutil.copytree(folder, keep_folder / f"seed-{seed}", dirs_exist_ok=True)
        return verdict


async def _run_plan(
    site: SoakSite,
    seed: int,
    length_s: float,
    echo: Callable[[str], None],
    check_times: bool,
    kinds: Collection[str],
) -> Verdict:
    limit_factor = 1.0 if check_times else UNTIMED_FACTOR
    records: list[RequestRecord] = []
    callers = [
        SoakCaller(number, number % site.vm_count, site.front_ports, seed, records)
        for number in range(site.vm_count * CALLERS_PER_VM)
    ]
    for caller in callers:
        caller.api_keys = site.api_keys
    unserved = await _await_service(site, callers, RECOVERY_LIMIT_S * UNTIMED_FACTOR)
    if unserved:
        return Verdict({}, [f"not served at the start: {unserved}"])
    target_counts = {
        "vm": site.vm_count, "store-way": site.vm_count, "replica": len(site.replicas),
        "replica-way": len(site.replicas), "engine": SERVICES["engine"], "site": 1,
        "process": len(site.process_replicas),
    }  # fmt: skip
    plan = make_plan(seed, length_s, target_counts, kinds)
    site.store.late_rng = random.Random(f"{seed}/late")
    until_s = time.monotonic() + length_s
    injector = FaultInjector(site, STOP_LIMIT_S * limit_factor, until_s)
    load_tasks = [asyncio.create_task(caller.run(until_s)) for caller in callers]
    await _inject_faults(plan, injector, echo)
    await asyncio.gather(*load_tasks)
    unserved = await _await_service(site, callers, RECOVERY_LIMIT_S * limit_factor)
    outdated = await _await_version(site, RECOVERY_LIMIT_S * limit_factor)
    await asyncio.sleep(SETTLE_S)
    for replica in site.process_replicas:
        replica.read_executions()
    verdict = judge(
        records,
        site.executions.started_at_s,
        injector.revoked_at_s,
        injector.disturbances,
        check_times,
    )
    verdict.violations += injector.violations
    verdict.violations += judge_limits(
        site.replicas, site.vm_count, injector.disturbances, injector.replica_disturbances
    )
    if unserved:
        verdict.violations.append(
            f"not served {RECOVERY_LIMIT_S} s after the last fault: {unserved}"
        )
    if outdated:
        verdict.violations.append(
            f"version {site.version} is not in force {RECOVERY_LIMIT_S} s after the last fault: "
            f"{outdated}"
        )
    verdict.violations += _logged_failures(site)
    for kind, count in injector.counts.items():
        verdict.counts[f"fault {kind}"] = count
    for form, count in (injector.restarts.counts | injector.crashes.counts).items():
        verdict.counts[f"replicas restarted {form}"] = count
    for sender, count in site.registrations.late_counts.items():
        verdict.counts[f"late registrations {sender}"] = count
    for form, count in site.executions.unended_count.items():
        verdict.counts[f"killed in {form}"] = count
    return verdict


async def _inject_faults(
    plan: list[Fault], injector: FaultInjector, echo: Callable[[str], None]
) -> None:
    started_s = time.monotonic()
    tasks = []
    for fault in plan:
        await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
        echo(str(fault))
        tasks.append(asyncio.create_task(injector.inject(fault)))
    await asyncio.gather(*tasks)


async def _await_service(
    site: SoakSite, callers: list[SoakCaller], limit_s: float
) -> dict[str, str]:
    """Wait until every VM serves every kind of request.

    :return: outcome of the last try for each VM and kind that is not served by the time limit.
    """
    until_s = time.monotonic() + limit_s
    unserved = {(number, kind): "" for number in range(site.vm_count) for kind in REQUEST_KINDS}
    while unserved and time.monotonic() < until_s:
        asked = sorted(unserved)
        records = await asyncio.gather(*(callers[number].send_once(kind) for number, kind in asked))
        for (number, kind), record in zip(asked, records, strict=True):
            if record is not None and record.status == 200 and record.is_correct:
                del unserved[number, kind]
            else:
                unserved[number, kind] = "no connection" if record is None else str(record.status)
        if unserved:
            await asyncio.sleep(RETRY_PERIOD_S)
    return {
        f"VM {number} {kind}": last_outcome for (number, kind), last_outcome in unserved.items()
    }


async def _await_version(site: SoakSite, limit_s: float) -> dict[str, str]:
    """Wait until the newest configuration is in force at every VM.

    :return: the version of each VM where it is not by the time limit.
    """
    until_s = time.monotonic() + limit_s
    while True:
        versions = {
            f"VM {number}": await _version_at(port)
            for number, port in enumerate(site.metrics_ports)
        }
        outdated = {vm: text for vm, text in versions.items() if text != str(site.version)}
        if not outdated or time.monotonic() >= until_s:
            return outdated
        await asyncio.sleep(RETRY_PERIOD_S)


async def _version_at(metrics_port: int) -> str:
    client = HttpClient(lambda: f"127.0.0.1:{metrics_port}", time.monotonic, False)
    response = await client.call("GET", "/metrics")
    if isinstance(response, CallFailure):
        return response.value
    found = VERSION_PATTERN.search(response.body.decode())
    return "unknown" if found is None else found[1]


def _logged_failures(site: SoakSite) -> list[str]:
    failures = []
    for number in range(site.vm_count):
        for line in site.log_of(number).splitlines():
            if FAILURE_PATTERN.search(line):
                failures.append(f"VM {number} logged: {line[:300]}")
    return failures


def describe(seed: int, verdict: Verdict) -> list[str]:
    """Return a verdict as lines of text."""
    counts = ", ".join(f"{name} {count}" for name, count in sorted(verdict.counts.items()))
    lines = [f"seed {seed}: {len(verdict.violations)} broken; {counts}"]
    return lines + [f"seed {seed}: broken: {line}" for line in verdict.violations]
