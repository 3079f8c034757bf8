"""Request limits that replicas state hold over the requests of all entry VMs together."""

from __future__ import annotations

import pytest

from coriandershelf_rig.internal.gateway_bench import GatewayBench
from coriandershelf_rig.internal.replica_rules import (
    ArrivedRequest,
    ExcusedPeriod,
    LimitedPeriod,
    limit_violations,
)

# Number of entry VMs, stated limit, and a load of all callers that exceeds it. Windows begin a
# second before the limit is stated, so that second alone must not exceed what is allowed.
SITES = {
    f"{vms_count}-vms-limit-{per_s:g}": (vms_count, per_s, load_per_s)
    for per_s, load_per_s in ((0.0, 12.0), (1.0, 36.0), (3.4, 54.0), (8.0, 120.0))
    for vms_count in ((1, 8, 77) if per_s == 3.4 else (1, 8))
}


def judge(arrivals: list[ArrivedRequest], **changes: object) -> list[str]:
    fields = {"informed_at_s": {"vm-1": 10.0, "vm-2": 14.0}, **changes}
    period = LimitedPeriod("replica-1", 1.0, 10.0, **fields)
    return limit_violations(period, arrivals, [], 3.0)


def arrivals_of(vm: str, times_s: list[float]) -> list[ArrivedRequest]:
    return [ArrivedRequest(at_s, vm) for at_s in times_s]


def test_the_judge_sees_more_requests_than_a_window_allows():
    spread = [13.0 + 0.3 * number for number in range(12)]
    assert judge(arrivals_of("vm-1", spread))
    assert not judge(arrivals_of("vm-1", spread[:11]))


def test_the_judge_allows_what_came_early_or_from_vms_that_were_not_informed():
    times_s = [10.0 + 0.2 * number for number in range(15)]
    assert not judge(arrivals_of("vm-1", times_s))
    assert not judge(arrivals_of("vm-2", [at_s + 1.5 for at_s in times_s]))
    assert judge(arrivals_of("vm-2", [at_s + 5.0 for at_s in times_s]))
    assert not judge(arrivals_of("vm-1", [at_s + 5.0 for at_s in times_s]), to_s=12.0)


def test_the_judge_excuses_a_vm_that_was_restarted_within_the_window():
    arrivals = arrivals_of("vm-1", [13.0 + 0.2 * number for number in range(15)])
    period = LimitedPeriod("replica-1", 1.0, 10.0, informed_at_s={"vm-1": 10.0})
    assert limit_violations(period, arrivals, [], 3.0)
    assert not limit_violations(period, arrivals, [ExcusedPeriod("vm-1", 12.0, 15.0)], 3.0)


# Guards against requests beyond a limit that a replica stated (LIMIT, incident inc1).
@pytest.mark.parametrize("vms_count, per_s, load_per_s", SITES.values(), ids=SITES)
def test_replicas_get_no_more_requests_from_all_vms_than_they_state(vms_count, per_s, load_per_s):
    bench = GatewayBench(seed=11, vms_count=vms_count, replicas_count=6)
    bench.load(load_per_s, 3.0)
    for replica_id in ("replica-0", "replica-1"):
        bench.state_limit(replica_id, per_s)
    bench.load(load_per_s, 12.0)
    assert not bench.violations(), f"seed {bench.seed}: {bench.violations()[:3]}"
