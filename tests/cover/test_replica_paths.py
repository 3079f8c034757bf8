"""Callers of an entry VM without a path to the replicas are served through other VMs."""

from __future__ import annotations

import pytest

from coriandershelf_rig.internal.gateway_bench import ASK, CONTACT_S, GatewayBench, RequestShape
from coriandershelf_rig.internal.part_rules import FirstTry
from coriandershelf_rig.internal.path_rules import CutPeriod, cut_violation

# Number of entry VMs, of those without a path, and what becomes of their connections.
SITES = {
    f"{cut_count}-of-{vms_count}-{how}": (vms_count, cut_count, how)
    for vms_count, cut_count, how in (
        (8, 2, "hang"), (8, 5, "hang"), (8, 5, "reset"), (8, 5, "live"), (9, 8, "hang"),
        (40, 14, "hang"),
    )
}  # fmt: skip


def tries(vm, begun_count, count):
    return [FirstTry(10.0 + 0.1 * number, vm, number < begun_count) for number in range(count)]


def test_the_judge_compares_first_tries_at_cut_vms_with_the_others():
    period = CutPeriod(frozenset({"vm-1"}), 5.0)
    others = tries("vm-2", 60, 60)
    assert cut_violation(period, tries("vm-1", 30, 60) + others, CONTACT_S)
    assert not cut_violation(period, tries("vm-1", 45, 60) + others, CONTACT_S)
    assert not cut_violation(period, tries("vm-1", 0, 10) + others, CONTACT_S)
    assert not cut_violation(period, tries("vm-1", 0, 60) + tries("vm-2", 0, 60), CONTACT_S)


# Guards against callers that are not served because their VM lost its path to the replicas while
# other VMs have one (RECOVER, incident second1).
@pytest.mark.parametrize("vms_count, cut_count, how", SITES.values(), ids=SITES)
def test_callers_of_vms_without_a_path_to_replicas_are_served(vms_count, cut_count, how):
    draw = lambda rng: RequestShape(ASK, ("system", f"own-{rng.random()}"))  # noqa: E731
    bench = GatewayBench(5, vms_count, 9, draw_shape=draw)
    bench.load(40.0, 5.0)
    for _ in range(2):
        bench.cut_off(bench.rng.sample(sorted(bench.gateways), cut_count), how)
        bench.load(40.0, 10.0)
        bench.heal()
        bench.load(40.0, 5.0)
    lines = [cut_violation(period, bench.first_tries, CONTACT_S) for period in bench.cuts]
    assert lines == [None, None], f"seed {bench.seed}: {lines}"
