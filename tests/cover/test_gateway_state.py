"""Routes, replica registry, clock estimate, retry budget, digests and usage counts."""

from __future__ import annotations

import pytest
from gateway_driver import ENGINE, GatewayDriver, make_replicas
from hypothesis import given
from hypothesis import strategies as st

from coriandershelf_core.internal.gateway.actions import SendDigest
from coriandershelf_core.internal.gateway.clock_estimate import ClockEstimate
from coriandershelf_core.internal.gateway.deployment import Backend, Replica, Route, RouteKind
from coriandershelf_core.internal.gateway.digest import Digest, ReplicaDigest
from coriandershelf_core.internal.gateway.duty_lease import LeaseRecord
from coriandershelf_core.internal.gateway.events import (
    DigestArrived,
    EntryVmsRead,
    ReplicasRead,
    ReportedLoad,
)
from coriandershelf_core.internal.gateway.pool import REREGISTRATION_GRACE_S, Pool
from coriandershelf_core.internal.gateway.retry_allowance import RetryAllowance
from coriandershelf_core.internal.gateway.route_table import RouteTable, pick_service
from coriandershelf_core.internal.gateway.usage_counts import SourceCounts, UsageCounts

SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=3)


def make_route(prefix: str) -> Route:
    return Route(prefix, "h", prefix, RouteKind.IDEMPOTENT, 1.0, 1.0, 1, 0, (Backend("s", 1.0),))


@given(st.lists(SEGMENTS, min_size=1, max_size=8), SEGMENTS, st.sampled_from(["", "x", "x?/a/b/"]))
def test_the_longest_prefix_of_the_path_wins(prefixes, path_segments, tail):
    texts = {"/" + "".join(f"{part}/" for part in segments) for segments in prefixes}
    path = "/" + "".join(f"{part}/" for part in path_segments) + tail
    found = RouteTable(tuple(make_route(text) for text in texts)).find("h", path)
    plain = path.partition("?")[0]
    wanted = max((text for text in texts if plain.startswith(text)), key=len, default=None)
    assert (found.path_prefix if found else None) == wanted


def test_a_split_route_keeps_to_its_weights():
    route = Route(
        "r", "h", "/", RouteKind.IDEMPOTENT, 1.0, 1.0, 1, 0,
        (Backend("a", 90.0), Backend("b", 10.0)),
    )  # fmt: skip
    picked = [pick_service(route, f"id-{number}") for number in range(4000)]
    assert 0.08 < picked.count("b") / len(picked) < 0.12


def test_an_entry_that_vanished_in_an_outage_stays_until_it_had_time_to_return():
    pool = Pool()
    pool.apply(make_replicas(engines=2, plains=0), True, False, 0.0)
    pool.apply({"engine-0": None}, False, True, 10.0)
    assert len(pool.usable(ENGINE)) == 2
    pool.expire(10.0 + REREGISTRATION_GRACE_S - 0.1)
    assert len(pool.usable(ENGINE)) == 2
    left = pool.expire(10.01 + REREGISTRATION_GRACE_S)
    assert [state.replica.replica_id for state in left] == ["engine-0"]


def test_an_entry_that_is_removed_in_quiet_times_gets_no_more_work_at_once():
    pool = Pool()
    pool.apply(make_replicas(engines=2, plains=0), True, False, 0.0)
    pool.apply({"engine-0": None}, False, False, 10.0)
    assert [state.replica.replica_id for state in pool.usable(ENGINE)] == ["engine-1"]


def test_an_id_that_starts_again_is_another_replica():
    pool = Pool()
    first = Replica("r", "s", "10.0.0.1:80", "z", 4, started_at_ms=1)
    pool.apply({"r": first}, True, False, 0.0)
    old = pool.get("r")
    assert old is not None
    old.start(1, 500, 0.0)
    pool.apply({"r": Replica("r", "s", "10.0.0.1:80", "z", 4, started_at_ms=2)}, False, False, 1.0)
    new = pool.get("r")
    assert new is not None and new is not old
    assert new.running_count == 0


def test_a_leaving_replica_gets_no_new_request():
    driver = GatewayDriver().begin(engines=2, plains=1)
    replicas = make_replicas(engines=2, plains=0)
    for name, replica in replicas.items():
        assert replica is not None
        leaving = Replica(name, ENGINE, replica.address, replica.zone, 8, leaving=True)
        driver.post(ReplicasRead({name: leaving}))
    handle = driver.ask("/ask/1")
    assert not driver.attempts(handle)
    assert driver.refusals(handle)


@pytest.mark.parametrize("jump_s", [-900.0, 3.0, 2400.0])
def test_true_time_keeps_right_while_fewer_than_half_of_the_clocks_jump(jump_s):
    clock_estimate = ClockEstimate(1000.0)
    for step in range(100):
        now_s = step * 0.1
        for peer in range(6):
            jumped = peer < 2
            clock_estimate.on_clock(
                f"vm-{peer}", now_s + 1000.0 + (jump_s if jumped else 0.0), now_s
            )
        clock_estimate.update(now_s + 1000.0 + jump_s, now_s)
    assert clock_estimate.time_of_day_s(50.0) == pytest.approx(1050.0, abs=0.01)


def test_true_time_of_a_vm_alone_does_not_follow_its_clock():
    clock_estimate = ClockEstimate(1000.0)
    clock_estimate.update(2400.0, 10.0)
    assert clock_estimate.time_of_day_s(10.0) == 1010.0


@given(
    st.integers(1, 9),
    st.lists(st.tuples(st.integers(0, 8), st.booleans()), min_size=1, max_size=400),
)
def test_repeats_of_all_vms_keep_within_the_budget_in_every_window(vms, steps):
    ratio, slack, window_s = 0.2, 20.0, 10.0
    allowances = [RetryAllowance(ratio, slack, window_s) for _ in range(vms)]
    requests, repeats = [], []
    for step, (vm, repeat) in enumerate(steps):
        now_s = step * 0.11
        allowance = allowances[vm % vms]
        if not repeat:
            allowance.note_request("s", now_s)
            requests.append(now_s)
        elif allowance.take("s", vms, now_s):
            repeats.append(now_s)
        inside = [at_s for at_s in repeats if at_s > now_s - window_s]
        asked = [at_s for at_s in requests if at_s > now_s - window_s]
        assert len(inside) <= ratio * len(asked) + slack


def test_usage_of_all_vms_is_summed_by_window():
    counts = UsageCounts(5.0)
    counts.count_started("a", 12.0)
    counts.count_started("a", 16.0)
    counts.on_digest(Digest("vm", "", "z", 1, 1, 0.0, begun={2: {"a": 2, "b": 1}}))
    counts.on_digest(Digest("vm", "", "z", 1, 2, 0.0, begun={2: {"a": 3, "b": 1}}))
    counts.on_digest(Digest("vm", "", "z", 2, 1, 0.0, begun={2: {"a": 1}}))
    assert counts.total(2, ["a", "b", "c"]) == {"a": 5, "b": 1, "c": 0}
    counts.expire(500.0)
    assert counts.total(2, ["a"]) == {"a": 0}


def test_usage_survives_the_loss_of_all_vms_in_the_leases_record():
    holder = UsageCounts(5.0)
    for _ in range(4):
        holder.count_started("a", 12.0)
    holder.on_digest(Digest("vm-2", "", "z", 1, 1, 0.0, begun={2: {"a": 2, "b": 1}}))
    record = LeaseRecord("vm-1", 1, 4, (), holder.sources("vm-1", 1))
    kept = LeaseRecord.decode(record.encode())
    assert kept == record
    restarted = UsageCounts(5.0)
    restarted.count_started("a", 14.0)
    for source in kept.counts:
        restarted.merge(source, "vm-1", 2)
    assert restarted.total(2, ["a", "b"]) == {"a": 7, "b": 1}


def test_kept_counts_neither_double_nor_lower_those_of_live_vms():
    counts = UsageCounts(5.0)
    counts.count_started("a", 12.0)
    counts.on_digest(Digest("vm-2", "", "z", 1, 3, 0.0, begun={2: {"a": 5}}))
    counts.merge(SourceCounts("vm-2", 1, {2: {"a": 3, "b": 2}}), "vm-1", 1)
    counts.merge(SourceCounts("vm-1", 1, {2: {"a": 1}}), "vm-1", 1)
    assert counts.total(2, ["a", "b"]) == {"a": 6, "b": 2}


def test_a_lease_record_without_counts_is_read():
    value = b'{"vm_id": "vm-1", "incarnation": 1, "number": 4, "reports": []}'
    assert LeaseRecord.decode(value) == LeaseRecord("vm-1", 1, 4)


def test_counts_of_other_vms_at_a_replica_are_forgotten_with_their_silence():
    driver = GatewayDriver().begin()
    digest = Digest(
        "vm-2", "vm-2:1", "z", 1, 1, driver.now_s, replicas={"engine-0": ReplicaDigest(5, 900)}
    )
    driver.post(DigestArrived(digest))
    driver.run(0.1)
    state = driver.gateway.pool.get("engine-0")
    assert state is not None and (state.running_count, state.waiting_tokens) == (5, 900)
    driver.run(3.0)
    assert state.running_count == 0


def test_a_vm_tells_those_that_registered_before_it():
    driver = GatewayDriver().begin()
    driver.post(EntryVmsRead({"vm-1": "own", "vm-2": "other:7500"}))
    sent = [action for action in driver.run(0.3) if isinstance(action, SendDigest)]
    assert sent and sent[0].addresses == ("other:7500",)


def test_a_slow_replica_is_known_from_what_other_vms_tell():
    pool = Pool()
    pool.apply(make_replicas(engines=2, plains=0), True, False, 0.0)
    state = pool.get("engine-0")
    assert state is not None
    state.on_peer_digests(
        [ReplicaDigest(1, 0, 200), ReplicaDigest(0, 0, 0), ReplicaDigest(0, 0, 220)], 0.0
    )
    assert state.latency_ratio == pytest.approx(2.1)
    for _ in range(20):
        state.on_latency(0.1, 0.1, 1.0, True)
    assert 1.0 < state.latency_ratio < 1.4
    assert state.own_digest(2.0).slowness_percent == 100


@pytest.mark.parametrize("vms", [8, 86, 400])
def test_what_a_vm_sends_a_second_stays_bounded_as_vms_are_added(vms):
    driver = GatewayDriver().begin()
    for number in range(2, vms + 1):
        zone = f"zone-{number % 4}"
        driver.post(DigestArrived(Digest(f"vm-{number}", f"a{number}", zone, 1, 1, 0.0)))
    sent = [action for action in driver.run(3.0) if isinstance(action, SendDigest)]
    assert sum(len(action.addresses) for action in sent) / 3.0 <= 200.0


def receivers_of_usage(peers_count: int) -> set[str]:
    driver = GatewayDriver(vm_id="vm-99").begin()
    for number in range(1, peers_count + 1):
        name = f"vm-{number:02}"
        driver.post(DigestArrived(Digest(name, f"a{number}", "zone-0", 1, 1, 0.0)))
    driver.gateway.usage.count_started("customer-1", driver.now_s + driver.clock_offset_s)
    sent = [action for action in driver.run(1.0) if isinstance(action, SendDigest)]
    return {address for action in sent if action.digest.begun for address in action.addresses}


def test_usage_is_told_to_those_that_may_have_to_report_it():
    assert receivers_of_usage(20) == {"a1", "a2", "a3"}


# Guards against a report without the counts of a VM that restarted: the VM that took over the
# duties was none of the three that were told them, since those restarted as well or were cut off.
def test_with_few_vms_usage_is_told_to_all():
    assert receivers_of_usage(8) == {f"a{number}" for number in range(1, 9)}


def test_the_freshest_pace_of_a_replica_counts_and_fades():
    pool = Pool()
    pool.apply(make_replicas(engines=1, plains=0), True, False, 0.0)
    state = pool.get("engine-0")
    assert state is not None
    state.on_load(ReportedLoad(1, 0, 8, 1.0), 9.7)
    digests = [ReplicaDigest(0, 0, 0, 250, 100), ReplicaDigest(0, 0, 0, 130, 500)]
    state.on_peer_digests(digests, 10.0)
    assert state.current_slowdown(9.9) == pytest.approx(2.5)
    assert state.current_slowdown(14.0) == pytest.approx(1.0, abs=0.01)
    assert state.own_digest(10.0).pace_percent == 100


def test_a_leave_that_another_vm_read_binds_a_vm_whose_own_read_is_silent():
    driver = GatewayDriver().begin(engines=1, plains=1)
    replica = make_replicas(engines=1)["engine-0"]
    assert replica is not None
    left = {"engine-0": replica.started_at_ms}
    driver.post(DigestArrived(Digest("vm-2", "a", "z", 1, 1, 0.0, left=left)))
    assert not driver.attempts(driver.ask("/ask/1"))


def test_a_leave_of_an_earlier_start_does_not_bind_the_replica_that_started_again():
    driver = GatewayDriver().begin(engines=1, plains=1)
    left = {"engine-0": -5}
    driver.post(DigestArrived(Digest("vm-2", "a", "z", 1, 1, 0.0, left=left)))
    assert driver.attempts(driver.ask("/ask/1"))


def test_leaves_are_told_for_a_while_but_not_those_of_an_outage():
    pool = Pool()
    pool.apply(make_replicas(engines=3, plains=0), True, False, 0.0)
    pool.apply({"engine-0": None}, False, False, 10.0)
    pool.apply({"engine-1": None}, False, True, 10.0)
    assert set(pool.recently_left(10.5)) == {"engine-0"}
    assert pool.recently_left(20.0) == {}


def test_load_is_not_underestimated_in_the_first_seconds():
    driver = GatewayDriver().begin()
    for _ in range(20):
        driver.ask("/ask/1", prompt_tokens=1000)
        driver.run(0.1)
    assert driver.gateway.service_load(ENGINE, driver.now_s).tokens_per_s >= 8_000.0


@pytest.mark.parametrize("vms", [1, 3, 9])
def test_a_flood_of_repeats_is_held_to_the_budget_over_all_vms(vms: int):
    ratio, slack, window_s = 0.2, 20.0, 10.0
    allowances = [RetryAllowance(ratio, slack, window_s) for _ in range(vms)]
    taken = [
        allowance.take("s", vms, step * 0.01) for step in range(900) for allowance in allowances
    ]
    assert 0 < sum(taken) <= slack
