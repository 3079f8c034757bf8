"""A fleet in the middle of an upgrade keeps its promises: half of its VMs run an earlier build."""

from __future__ import annotations

import random

import pytest
from deaf_bench import DeafBench, is_older

from coriandershelf_core.internal.gateway.settings import GatewaySettings
from coriandershelf_rig.internal.gateway_bench import ASK, CONTACT_S, RequestShape
from coriandershelf_rig.internal.part_rules import (
    CrashingPart,
    crash_violation,
    neighbour_violation,
)
from coriandershelf_rig.internal.path_rules import cut_violation
from coriandershelf_rig.internal.replica_rules import ExcusedPeriod

PART = "bad"


# Guards against more requests at a replica than it states. Limits of one a second are left out
# where the older VMs tell none: two of twelve such limits were broken at 36 requests a second, four
# at 54, in the first seconds; all landed builds that may be beside this one tell limits.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hears_limits", [True, False])
def test_stated_limits_hold_over_both_builds(hears_limits, seed):
    bench = DeafBench(seed, vms_count=8, replicas_count=6)
    bench.hears_limits = hears_limits
    bench.load(54.0, 3.0)
    for replica_id in ("replica-0", "replica-1"):
        limits = (1.0, 3.4, 6.0) if hears_limits else (2.0, 3.4, 6.0)
        bench.state_limit(replica_id, bench.rng.choice(limits))
    bench.load(54.0, 12.0)
    assert not bench.violations(), f"seed {seed}: {bench.violations()}"


# Guards against a replica that drains and still gets requests, and against streams of two versions.
@pytest.mark.parametrize("seed", range(3))
def test_drains_and_streams_over_a_change_of_version_hold(seed):
    bench = DeafBench(seed, vms_count=8, replicas_count=9, events_count=15)
    bench.load(30.0, 3.0)
    bench.replicas["replica-8"].states_leaving = True
    for number in range(4):
        bench.release(f"replica-{number}", "v2")
        bench.load(30.0, 2.0)
    bench.load(30.0, 3.0)
    lines = bench.violations() + bench.version_violations()
    assert not lines, f"seed {seed}: {lines}"


# Guards against a VM of this build that waits for what older ones never tell. The older ones send
# such requests on, as they did before the upgrade.
@pytest.mark.parametrize("seed", range(3))
def test_vms_of_this_build_refuse_a_crashing_part_beside_older_ones(seed):
    shares = {"bad": 0.0}
    numbers = iter(range(10**9))

    def draw(rng: random.Random) -> RequestShape:
        shared = ["system", f"session-{rng.randrange(12)}"]
        if rng.random() < shares["bad"]:
            shared.insert(1, PART)
        return RequestShape(ASK, (*shared, f"own-{next(numbers)}"))

    bench = DeafBench(seed, 8, 9, draw_shape=draw)
    bench.crashing_parts = {PART: CrashingPart(PART)}
    bench.load(40.0, 6.0)
    shares["bad"] = 0.08
    bench.load(40.0, 25.0)
    older = [ExcusedPeriod(vm, 0.0, float("inf")) for vm in bench.gateways if is_older(vm)]
    part = bench.crashing_parts[PART]
    assert part.crashes_at_s
    # Counted from the fifth crash that a VM of this build saw.
    assert crash_violation(part, older, 2.0 * CONTACT_S) is None, f"seed {seed}"
    assert neighbour_violation(part, bench.first_tries, CONTACT_S) is None, f"seed {seed}"


# Guards against callers that are not served because their VM asks older VMs for tunnels, which
# these do not have.
@pytest.mark.parametrize("seed", range(3))
def test_callers_of_vms_without_a_path_are_served_beside_vms_without_tunnels(seed):
    draw = lambda rng: RequestShape(ASK, ("system", f"own-{rng.random()}"))  # noqa: E731
    bench = DeafBench(seed, 9, 9, draw_shape=draw)
    bench.load(40.0, 5.0)
    bench.cut_off(["vm-00", "vm-02"], "hang")
    bench.load(40.0, 12.0)
    bench.heal()
    bench.load(40.0, 3.0)
    lines = [cut_violation(period, bench.first_tries, CONTACT_S) for period in bench.cuts]
    assert lines == [None], f"seed {seed}: {lines}; {bench.tunnels_refused_count} refused"


# Guards against a retry budget that depends on what the other VMs tell.
@pytest.mark.parametrize("seed", range(3))
def test_retries_of_both_builds_together_stay_within_the_budget(seed):
    bench = DeafBench(seed, vms_count=8, replicas_count=6)
    for _ in range(10):
        bench.load(40.0, 1.0)
        if len(bench.replicas) > 3:
            bench.crash_and_restart(bench.rng.choice(sorted(bench.replicas)))
    settings = GatewaySettings()
    replicas = [*bench.replicas.values(), *bench.departed.values()]
    sent_count = sum(len(replica.arrivals) for replica in replicas)
    allowed = settings.retry_ratio * bench.requests_count + settings.retry_slack_count
    assert sent_count - bench.requests_count <= allowed, f"seed {seed}"
