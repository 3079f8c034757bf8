"""Requests with a prompt part that crashes replicas are refused, and those beside them served."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from coriandershelf_rig.internal.gateway_bench import (
    ASK,
    CONTACT_S,
    PLAN,
    GatewayBench,
    RequestShape,
)
from coriandershelf_rig.internal.part_rules import (
    CrashingPart,
    FirstTry,
    crash_violation,
    neighbour_violation,
)
from coriandershelf_rig.internal.replica_rules import ArrivedRequest, ExcusedPeriod

PART = "bad"
SESSIONS_COUNT = 12
# Where the crashing part stands: first, between two shared parts, or right before the own part.
POSITIONS = {"first": 0, "middle": 1, "behind": 2}
SITES = {
    f"{vms_count}-vms-{position}": (vms_count, POSITIONS[position])
    for vms_count, position in (
        (1, "middle"), (8, "first"), (8, "middle"), (8, "behind"), (77, "middle"),
    )
}  # fmt: skip


def draw_shape(bad_share: Callable[[], float], position: int = 1, parts: tuple[str, ...] = (PART,)):
    """Return a source of requests; some of them hold a crashing part besides the shared ones."""
    numbers = iter(range(10**9))

    def draw(rng: random.Random) -> RequestShape:
        route = ASK if rng.random() < 0.7 else PLAN
        shared = [f"system-{route.name}", f"session-{rng.randrange(SESSIONS_COUNT)}"]
        if rng.random() < bad_share():
            shared.insert(position, rng.choice(parts))
        return RequestShape(route, (*shared, f"own-{next(numbers)}"))

    return draw


def make_bench(seed, vms_count, share, position=1, parts=(PART,), **kwargs):
    shares = {"bad": 0.0}
    shape = draw_shape(lambda: shares["bad"], position, parts)
    bench = GatewayBench(seed, vms_count, 9, draw_shape=shape, **kwargs)
    bench.crashing_parts = {part: CrashingPart(part) for part in parts}
    bench.load(40.0, 6.0)
    shares["bad"] = share
    return bench, shares


def violations(bench):
    lines = [
        crash_violation(part, bench.excused, CONTACT_S) for part in bench.crashing_parts.values()
    ]
    lines += [
        neighbour_violation(part, bench.first_tries, CONTACT_S)
        for part in bench.crashing_parts.values()
    ]
    return [line for line in lines if line is not None]


def judge_arrivals(times_s, excused=()):
    part = CrashingPart(PART, [1.0, 2.0, 3.0, 4.0, 5.0])
    part.arrivals += [ArrivedRequest(at_s, "vm-1") for at_s in times_s]
    return crash_violation(part, excused, 3.0)


def test_the_judge_counts_what_arrives_long_after_the_fifth_crash():
    assert judge_arrivals([8.1, 8.2, 8.3, 8.4])
    assert not judge_arrivals([7.9, 8.1, 8.2, 8.3])
    assert not judge_arrivals([8.1, 8.2, 8.3, 8.4], [ExcusedPeriod("vm-1", 8.0, 8.15)])


def test_the_judge_compares_first_tries_beside_the_part_with_those_before():
    part = CrashingPart(PART, [10.0, 11.0], asked_at_s=[9.0, 60.0])
    before = [FirstTry(0.1 * number, "vm-1", True) for number in range(40)]
    during = [FirstTry(20.0 + 0.1 * number, "vm-1", number % 3 == 0) for number in range(40)]
    assert neighbour_violation(part, before + during, 3.0)
    assert not neighbour_violation(part, before + during[:19], 3.0)
    assert not neighbour_violation(part, before + before, 3.0)


# Guards against replicas crashing one after the other under one part of prompts that are otherwise
# all different (BUDGET, incident inc1).
@pytest.mark.parametrize("vms_count, position", SITES.values(), ids=SITES)
def test_a_part_that_crashes_replicas_is_sent_to_no_more_of_them(vms_count, position):
    bench, _ = make_bench(31, vms_count, 0.05, position)
    bench.load(40.0, 25.0)
    assert not violations(bench), f"seed {bench.seed}: {violations(bench)}"


# Guards against the same while messages are lost, VMs restart, and other replicas crash.
@pytest.mark.parametrize("seed", range(4))
def test_losses_restarts_and_other_crashes_hide_no_crashing_part(seed):
    bench, _ = make_bench(seed, 8, 0.08, loss_share=0.3)
    for _ in range(8):
        bench.load(40.0, 3.0)
        vm_id = bench.rng.choice(sorted(bench.gateways))
        bench.excused.append(ExcusedPeriod(vm_id, bench.time.now_s, bench.time.now_s + CONTACT_S))
        bench.start_vm(vm_id)
        if bench.replicas:
            bench.crash_and_restart(bench.rng.choice(sorted(bench.replicas)))
    assert not violations(bench), f"seed {seed}: {violations(bench)}"


def test_two_crashing_parts_at_once_are_both_found():
    bench, _ = make_bench(7, 8, 0.08, parts=("bad-1", "bad-2"))
    bench.load(40.0, 25.0)
    assert not violations(bench), f"seed {bench.seed}: {violations(bench)}"
