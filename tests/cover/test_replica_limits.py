"""Request limits that replicas state hold over the requests of all entry VMs together."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.request_limits import (
    KEPT_S,
    LimitDigest,
    RequestLimit,
)
from coriandershelf_rig.internal.gateway_bench import CONTACT_S, GatewayBench
from coriandershelf_rig.internal.replica_rules import (
    ArrivedRequest,
    ExcusedPeriod,
    LimitedPeriod,
    limit_violation,
)

# Number of entry VMs, stated limit, and a load of all callers that exceeds it. Windows begin a
# second before the limit is stated, so that second alone must not exceed what is allowed.
SITES = {
    f"{vms_count}-vms-limit-{per_s:g}": (vms_count, per_s, load_per_s)
    for per_s, load_per_s in ((0.0, 12.0), (1.0, 36.0), (3.4, 54.0), (8.0, 120.0))
    for vms_count in ((1, 8, 77) if per_s == 3.4 else (1, 8))
}


def judge(arrivals: list[ArrivedRequest], **changes: object) -> str | None:
    fields = {"informed_at_s": {"vm-1": 10.0, "vm-2": 14.0}, **changes}
    period = LimitedPeriod("replica-1", 1.0, 10.0, **fields)
    return limit_violation(period, arrivals, [], 3.0)


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
    assert limit_violation(period, arrivals, [], 3.0)
    assert not limit_violation(period, arrivals, [ExcusedPeriod("vm-1", 12.0, 15.0)], 3.0)


# Guards against requests beyond a limit that a replica stated (LIMIT, incident inc1).
@pytest.mark.parametrize("vms_count, per_s, load_per_s", SITES.values(), ids=SITES)
def test_replicas_get_no_more_requests_from_all_vms_than_they_state(vms_count, per_s, load_per_s):
    bench = GatewayBench(seed=11, vms_count=vms_count, replicas_count=6)
    bench.load(load_per_s, 3.0)
    for replica_id in ("replica-0", "replica-1"):
        bench.state_limit(replica_id, per_s)
    bench.load(load_per_s, 12.0)
    assert not bench.violations(), f"seed {bench.seed}: {bench.violations()}"


def test_a_replica_with_a_limit_is_still_used_and_fully_so_once_the_limit_has_ended():
    bench = GatewayBench(seed=12, vms_count=8, replicas_count=3)
    for replica_id in bench.replicas:
        bench.state_limit(replica_id, 5.0)
    bench.load(60.0, 8.0)
    limited = [len(replica.arrivals) for replica in bench.replicas.values()]
    assert min(limited) >= 0.6 * 5.0 * 8.0, f"seed {bench.seed}: {limited}"
    for replica_id in bench.replicas:
        bench.state_limit(replica_id, None)
    bench.load(60.0, 3.0)
    refusals_count = bench.refusals_count
    bench.load(60.0, 5.0)
    assert bench.refusals_count == refusals_count, f"seed {bench.seed}"


# Guards against requests beyond a stated limit while messages between VMs are lost and VMs restart.
@pytest.mark.parametrize("seed", range(4))
def test_lost_messages_and_restarts_of_vms_break_no_limit(seed):
    bench = GatewayBench(seed, vms_count=8, replicas_count=6, loss_share=0.3)
    bench.load(54.0, 3.0)
    for replica_id in ("replica-0", "replica-1"):
        bench.state_limit(replica_id, bench.rng.choice((2.0, 3.4, 6.0)))
    for _ in range(4):
        bench.load(54.0, 3.0)
        vm_id = bench.rng.choice(sorted(bench.gateways))
        bench.excused.append(ExcusedPeriod(vm_id, bench.time.now_s, bench.time.now_s + CONTACT_S))
        bench.start_vm(vm_id)
    assert not bench.violations(), f"seed {bench.seed}: {bench.violations()}"


@given(st.floats(0.0, 60.0), st.integers(1, 80))
@example(0.375, 1)
@settings(max_examples=40)
def test_vms_that_hear_nothing_of_each_other_keep_to_the_limit_together(per_s, vms_count):
    ids = tuple(f"vm-{number}" for number in range(vms_count))
    limits = {vm_id: RequestLimit("replica-1") for vm_id in ids}
    arrivals = []
    for limit in limits.values():
        limit.on_response(per_s, 0.0, True, 0.0)
    for step in range(200):
        now_s = 0.05 * step
        for vm_id, limit in limits.items():
            while limit.accepts(EntryVms(vm_id, ids), now_s):
                limit.on_sent(now_s)
                arrivals.append(ArrivedRequest(now_s, vm_id))
    period = LimitedPeriod("replica-1", per_s, -3.0, informed_at_s=dict.fromkeys(ids, -3.0))
    assert limit_violation(period, arrivals, [], 3.0) is None
    # The limit is used, too.
    assert len(arrivals) >= 0.9 * per_s * 10.0


def test_requests_that_peers_sent_count_against_the_limit():
    limit, alone = make_limit(2.0, 10.0), EntryVms("vm-1", ("vm-1",))
    limit.peers_sent_count = 8
    assert not limit.accepts(alone, 10.0)
    limit.peers_sent_count = 7
    assert limit.accepts(alone, 10.0)


def make_limit(per_s: float, now_s: float) -> RequestLimit:
    limit = RequestLimit("replica-1")
    assert limit.on_response(per_s, now_s, True, now_s)
    return limit


def test_a_response_to_a_request_sent_before_the_limit_was_known_does_not_end_it():
    limit = make_limit(2.0, 10.0)
    assert not limit.on_response(None, 9.9, True, 10.5)
    assert not limit.on_response(None, 10.4, False, 10.6)
    assert limit.per_s == 2.0
    assert limit.on_response(None, 10.4, True, 10.7)
    assert limit.per_s is None


def test_the_newer_of_two_statements_holds_whoever_received_it():
    limit = make_limit(2.0, 10.0)
    assert not limit.on_digest(LimitDigest(1, 9.0, 1500, 0), 11.0)
    assert limit.on_digest(LimitDigest(1, 9.0, 500, 0), 11.0)
    assert limit.on_digest(LimitDigest(1, None, 200, 0), 11.0)
    assert limit.accepts(EntryVms("vm-1", ("vm-1", "vm-2")), 11.0)


def test_a_request_that_could_not_be_sent_does_not_count():
    limit, alone = make_limit(1.0, 10.0), EntryVms("vm-1", ("vm-1",))
    limit.on_sent(10.0)
    assert not limit.accepts(alone, 10.0)
    limit.on_unsent()
    assert limit.accepts(alone, 10.0)


def test_a_limit_that_nothing_confirms_is_dropped_in_the_end():
    limit, other = make_limit(1.0, 10.0), EntryVms("vm-1", ("vm-2",))
    assert not limit.accepts(other, 10.0 + KEPT_S)
    assert limit.accepts(other, 10.1 + KEPT_S)
    assert limit.digest(1, 10.1 + KEPT_S) is None


def test_requests_sent_before_the_limit_was_known_count_against_it():
    limit, alone = RequestLimit("replica-1"), EntryVms("vm-1", ("vm-1",))
    for number in range(8):
        limit.on_sent(9.0 + 0.1 * number)
    limit.on_response(1.0, 9.9, True, 10.0)
    assert not limit.accepts(alone, 12.0)
    assert limit.accepts(alone, 13.8)
