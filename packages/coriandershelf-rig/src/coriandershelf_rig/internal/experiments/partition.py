"""A zone is cut from the others and the platform, and heals.

Its entry VMs must go on serving their own callers' chats on their own upstreams, also where one of
them still sees a list that calls the whole zone gone. After healing, every entry VM must agree on
configuration and leaving upstreams within seconds.
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
CUT_FOR_S = 20.0
CONVERGE_TARGET_S = 10.0
CALL_PERIOD_S = 0.05
CALL_TOKENS = 60
SETTLE_S = 5.0
WATCH_S = 0.1
LIST_PERIOD_S = 0.5
TARGET_SHARE = 0.999


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Cut, serve, heal and judge."""
    deployment = consorcio()
    small = replace(deployment, entries=deployment.entries[:ENTRY_COUNT])
    bench = Bench(small, seed, disabled=disabled)
    bench.run(WARM_UP_S)
    inside = {vm_id for vm_id, entry in bench.entries.items() if entry.zone == CUT_ZONE}
    inside |= {name for name, up in bench.upstreams.items() if up.zone == CUT_ZONE}
    entries = [vm_id for vm_id in bench.entries if vm_id in inside]
    one_listed = entries[0]

    def cut(source: str, target: str) -> bool:
        return (source in inside) != (target in inside)

    bench.cut = cut
    _feed_wrong_list(bench, one_listed, inside)
    bench.publish("during-the-cut", 1)
    bench.announce(OTHER_LEAVING, CUT_FOR_S * 2)
    calls = _send_calls(bench, entries)
    bench.run(CUT_FOR_S)
    bench.cut = lambda source, target: False
    converged_s = _wait_convergence(bench)
    bench.run(SETTLE_S)
    served = sum(is_whole(call, bench.shapes[call.request.request_id]) for call in calls)
    share = served / len(calls)
    late = int(converged_s > CONVERGE_TARGET_S)
    too_few = int(share < TARGET_SHARE)
    if verbose:
        click.echo(f"calls of the cut zone {len(calls)}, served {served}")
        click.echo(f"converged {converged_s:.1f} s after healing")
    return Report(
        experiment=NAME,
        seed=seed,
        measure="share of the cut zone's own calls served",
        baseline=None,
        candidate=share,
        target=TARGET_SHARE,
        violations=late + too_few,
        note=f"converged {converged_s:.1f} s after healing, target {CONVERGE_TARGET_S:.0f}",
    )


def _feed_wrong_list(bench: Bench, vm_id: str, gone: set[str]) -> None:
    """Let one VM of the cut zone read a list that calls its whole zone gone."""
    wrong = VmListRead(
        tuple(
            replace(status, state=VmState.GONE) if status.vm_id in gone else status
            for status in bench.vms.values()
        )
    )
    for index in range(int(CUT_FOR_S / LIST_PERIOD_S)):
        bench.at(index * LIST_PERIOD_S, lambda: bench.feed(vm_id, wrong))


def _send_calls(bench: Bench, entries: list[str]) -> list[Call]:
    calls: list[Call] = []
    customers = bench.deployment.customers

    def send(index: int) -> None:
        customer = customers[index % len(customers)].name
        request = bench.chat(customer, max_tokens=CALL_TOKENS)
        calls.append(bench.send(entries[index % len(entries)], request))

    for index in range(int(CUT_FOR_S / CALL_PERIOD_S)):
        bench.at(index * CALL_PERIOD_S, lambda i=index: send(i))  # type: ignore[misc]
    return calls


def _agrees(bench: Bench) -> bool:
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
    """Return the time until every entry VM agrees; more than the target where they do not."""
    waited_s = 0.0
    while waited_s <= CONVERGE_TARGET_S and not _agrees(bench):
        bench.run(WATCH_S)
        waited_s += WATCH_S
    return waited_s
