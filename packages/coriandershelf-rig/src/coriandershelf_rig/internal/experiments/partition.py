"""A zone is partitioned from the other zones and the platform, then reconnected.

During the partition its entry VMs must keep serving their own callers' chats on their own
upstreams, even though one of them reads a VM list that reports the whole zone as gone. After the
partition heals, every entry VM must agree on configuration and leaving upstreams within seconds.
"""

from __future__ import annotations

from dataclasses import replace

import click

from coriandershelf_core.internal.vocabulary.events import VmListRead, VmState
from coriandershelf_rig.internal.bench import Bench, Call, is_whole
from coriandershelf_rig.internal.deployments import consorcio
from coriandershelf_rig.internal.report import Report

NAME = "partition"
ENTRY_COUNT = 6
CUT_ZONE = "vc-c"
OTHER_LEAVING = "route-1"
WARM_UP_S = 3.0
CUT_DURATION_S = 20.0
CONVERGE_TARGET_S = 10.0
CALL_PERIOD_S = 0.05
CALL_TOKENS = 60
SETTLE_S = 5.0
POLL_PERIOD_S = 0.1
LIST_PERIOD_S = 0.5
SERVED_TARGET_SHARE = 0.999


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Partition the zone, serve calls, heal the partition and check the result."""
    deployment = consorcio()
    small_deployment = replace(deployment, entries=deployment.entries[:ENTRY_COUNT])
    bench = Bench(small_deployment, seed, disabled=disabled)
    bench.run(WARM_UP_S)
    cut_vms = {vm_id for vm_id, entry in bench.entries.items() if entry.zone == CUT_ZONE}
    cut_vms |= {name for name, upstream in bench.upstreams.items() if upstream.zone == CUT_ZONE}
    cut_entries = [vm_id for vm_id in bench.entries if vm_id in cut_vms]
    misinformed_vm = cut_entries[0]

    def cut(source: str, target: str) -> bool:
        return (source in cut_vms) != (target in cut_vms)

    bench.is_cut = cut
    _feed_wrong_list(bench, misinformed_vm, cut_vms)
    bench.publish("during-the-cut", 1)
    bench.announce_reclaim(OTHER_LEAVING, CUT_DURATION_S * 2)
    calls = _send_calls(bench, cut_entries)
    bench.run(CUT_DURATION_S)
    bench.is_cut = lambda source, target: False
    converged_s = _wait_convergence(bench)
    bench.run(SETTLE_S)
    served = sum(is_whole(call, bench.shapes[call.request.request_id]) for call in calls)
    share = served / len(calls)
    is_late = int(converged_s > CONVERGE_TARGET_S)
    is_below_target = int(share < SERVED_TARGET_SHARE)
    if verbose:
        click.echo(f"calls of the cut zone {len(calls)}, served {served}")
        click.echo(f"converged {converged_s:.1f} s after healing")
    return Report(
        experiment=NAME,
        seed=seed,
        measure="share of the cut zone's own calls served",
        baseline=None,
        candidate=share,
        target=SERVED_TARGET_SHARE,
        violations=is_late + is_below_target,
        note=f"converged {converged_s:.1f} s after healing, target {CONVERGE_TARGET_S:.0f}",
    )


def _feed_wrong_list(bench: Bench, vm_id: str, gone: set[str]) -> None:
    """Feed one VM of the cut zone a list that reports its whole zone as gone."""
    wrong_list = VmListRead(
        tuple(
            replace(status, state=VmState.GONE) if status.vm_id in gone else status
            for status in bench.vms.values()
        )
    )
    for index in range(int(CUT_DURATION_S / LIST_PERIOD_S)):
        bench.at(index * LIST_PERIOD_S, lambda: bench.feed(vm_id, wrong_list))


def _send_calls(bench: Bench, cut_entries: list[str]) -> list[Call]:
    calls: list[Call] = []
    customers = bench.deployment.customers

    def send(index: int) -> None:
        customer = customers[index % len(customers)].name
        request = bench.chat(customer, max_tokens=CALL_TOKENS)
        calls.append(bench.send(cut_entries[index % len(cut_entries)], request))

    for index in range(int(CUT_DURATION_S / CALL_PERIOD_S)):
        bench.at(index * CALL_PERIOD_S, lambda i=index: send(i))  # type: ignore[misc]
    return calls


def _has_converged(bench: Bench) -> bool:
    for entry in bench.entries.values():
        core = entry.core
        if core.configuration.version_in_force != 2:
            return False
        if core.membership.state_of(OTHER_LEAVING) is not VmState.LEAVING:
            return False
        if any(core.membership.state_of(name) is VmState.GONE for name in bench.entries):
            return False
    return True


def _wait_convergence(bench: Bench) -> float:
    """Return the time until all entry VMs agree, or more than the target if they do not."""
    waited_s = 0.0
    while waited_s <= CONVERGE_TARGET_S and not _has_converged(bench):
        bench.run(POLL_PERIOD_S)
        waited_s += POLL_PERIOD_S
    return waited_s
