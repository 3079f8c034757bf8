"""Roll-outs over all entry VMs in virtual time, judged by what callers and replicas see."""

from __future__ import annotations

import pytest
from gateway_driver import GatewayDriver
from msgspec.structs import replace
from rollout_site import (
    NEW,
    OLD,
    SERVICE,
    Quality,
    RolloutSite,
    run_rollout,
)

from coriandershelf_core.internal.gateway.events import (
    ReplicasRead,
    RolloutOrdered,
    RolloutStateRead,
)
from coriandershelf_core.internal.gateway.rollout import Phase, RolloutOrder, RolloutState
from coriandershelf_core.internal.gateway.settings import GatewaySettings

BAD = {
    "at once": Quality(failures=0.3),
    "always": Quality(failures=1.0),
    "later": Quality(failures=0.4, from_s=3.5),
    "under load": Quality(failures=0.5, under_load=2),
    "one route": Quality(failures=0.5, route="book"),
    "slow": Quality(slow_share=0.5, slow_factor=4.0),
    "slow streams": Quality(slow_share=0.6, slow_factor=4.0, route="plan"),
}


def assert_bounds(site: RolloutSite) -> None:
    """Judge the exposure, the time to stop, and that no stream crossed versions."""
    count, bound = site.exposure()
    assert count <= bound
    assert site.late_sends() == 0
    assert site.mixed_streams() == []


def assert_nothing_after_revert(site: RolloutSite) -> None:
    at_s = next(at_s for at_s, _, status in site.store.statuses if status == "reverted")
    late = [item for item in site.sent if item.version == NEW and item.caller_sent_s > at_s + 1.0]
    assert late == []


@pytest.mark.parametrize("kind", BAD)
def test_a_bad_version_is_reverted_within_the_bound(kind: str):
    """Fails if a bad version gets more than its share, or its verdict comes after the move."""
    site = run_rollout(3, BAD[kind])
    assert site.states() == ["in_progress", "reverted"]
    assert_bounds(site)
    assert_nothing_after_revert(site)


def test_a_good_version_gets_all_traffic_and_is_completed_in_time():
    """Fails if a good version is reverted, is late, or cuts requests at the old version."""
    site = run_rollout(4)
    assert site.states() == ["in_progress", "completed"]
    completed_at_s = site.store.statuses[-1][0]
    assert completed_at_s < site.order_at_s + 12.0
    assert {item.version for item in site.sent if item.caller_sent_s > completed_at_s} == {NEW}
    assert site.mixed_streams() == []
    assert set(site.outcomes()) <= {"200", "500", "stream"}


def test_a_good_version_is_completed_with_little_traffic():
    """Fails if the verdict needs more answers than a quiet service has."""
    site = run_rollout(5, per_s=1.5)
    assert site.states() == ["in_progress", "completed"]
    assert site.store.statuses[-1][0] < site.order_at_s + 12.0


def test_a_bad_version_is_found_with_little_traffic():
    """Fails if the slack is spent too slowly to prove anything."""
    site = run_rollout(5, Quality(failures=0.6), per_s=8.0)
    assert site.states() == ["in_progress", "reverted"]
    assert_bounds(site)


@pytest.mark.parametrize("kind", ["slow replica", "crashes", "grey failure"])
def test_trouble_that_is_not_the_versions_does_not_revert_it(kind: str):
    """Fails if a slow replica, reclaimed ones or a failing old version condemn the new one."""

    def prepare(site: RolloutSite) -> None:
        def slow_down() -> None:
            site.replicas["v2-1"].speed = site.replicas["old-1"].speed = 5.0

        def crash() -> None:
            for name in ("v2-1", "v2-4", "old-1", "old-4"):
                site.crash(name)

        def fail() -> None:
            site.quality[OLD] = Quality(failures=0.3)

        troubles = {"slow replica": slow_down, "crashes": crash, "grey failure": fail}
        site.time.at(5.0, troubles[kind])

    site = run_rollout(6, prepare=prepare)
    assert site.states() == ["in_progress", "completed"]


def test_the_bound_holds_over_vms_that_hear_nothing():
    """Fails if a VM without messages spends the others' fractions, or never stops by itself."""

    def prepare(site: RolloutSite) -> None:
        site.time.at(4.0, lambda: site.deaf.update(("vm-04", "vm-05")))

    site = run_rollout(7, Quality(failures=0.2, from_s=3.0), vms=6, prepare=prepare, per_s=90.0)
    assert site.states() == ["in_progress", "reverted"]
    assert_bounds(site)
    assert_nothing_after_revert(site)


def test_vms_cut_off_from_messages_and_store_send_the_target_nothing():
    """Fails if a VM goes on with a phase of which it has had no news for seconds."""
    site = RolloutSite(8, vms=4, quality=Quality(failures=0.2))
    site.time.at(1.0, site.place_order)
    site.time.at(2.5, lambda: site.deaf.update(site.gateways))
    site.time.at(2.5, lambda: setattr(site.store, "away", True))
    site.load(60.0, 13.0)
    cut_s = site.order_at_s + 1.5
    rollback_s = site.settings.rollback_s
    assert [s for s in site.sent if s.version == NEW and s.caller_sent_s > cut_s + rollback_s] == []
    assert_bounds(site)


@pytest.mark.parametrize("quality", [Quality(), Quality(failures=0.15)], ids=["good", "bad"])
@pytest.mark.parametrize("trouble", ["killed", "frozen", "store away"])
def test_the_next_holder_continues(trouble: str, quality: Quality):
    """Fails if a lost or frozen holder, or a store that is away, loses or repeats a verdict."""

    def prepare(site: RolloutSite) -> None:
        def begin() -> None:
            holder = max(site.leases, key=lambda name: site.leases[name].held_until_s)
            if trouble == "killed":
                site.kill_vm(holder)
                site.time.at(1.5, lambda: site.start_vm(holder))
            elif trouble == "frozen":
                site.freeze(holder, 5.0)
            else:
                site.store.away = True
                site.time.at(3.5, lambda: setattr(site.store, "away", False))

        site.time.at(4.5, begin)

    site = run_rollout(9, quality, prepare=prepare, duration_s=20.0)
    assert site.states() == ["in_progress", "reverted" if quality.is_bad else "completed"]
    numbers = [item.number for key, item in site.store.records if key.startswith("rollout/")]
    assert numbers == sorted(numbers)
    assert site.mixed_streams() == []
    if quality.is_bad:
        assert_bounds(site)


def test_a_vm_that_starts_in_the_middle_has_no_slack_and_learns_the_verdict():
    """Fails if each restart of a VM brings a new fraction of the slack."""

    def prepare(site: RolloutSite) -> None:
        for index in range(8):
            vm_id = f"vm-0{1 + index % 2}"
            site.time.at(3.0 + index, lambda vm_id=vm_id: site.kill_vm(vm_id))
            site.time.at(3.3 + index, lambda vm_id=vm_id: site.start_vm(vm_id))

    site = run_rollout(10, Quality(failures=0.12, from_s=2.0), prepare=prepare)
    assert site.states()[-1] == "reverted"
    assert_bounds(site)
    assert_nothing_after_revert(site)


def test_a_newer_order_replaces_a_running_one():
    """Fails if the first target is used on as if it were an old version."""

    def prepare(site: RolloutSite) -> None:
        site.time.at(5.0, lambda: site.place_order("v3", offset=8))

    site = run_rollout(11, Quality(failures=0.1), prepare=prepare, duration_s=14.0)
    assert [item[1:] for item in site.store.statuses] == [
        (NEW, "in_progress"), ("v3", "in_progress"), ("v3", "completed"),
    ]  # fmt: skip
    late = [s for s in site.sent if s.version == NEW and s.caller_sent_s > site.order_at_s + 1.0]
    assert late == []


def test_an_order_for_the_old_version_ends_a_running_roll_out():
    """Fails if the operator can't stop a roll-out, or if the old version becomes a canary."""

    def prepare(site: RolloutSite) -> None:
        def stop() -> None:
            site.new_count = 0
            site.place_order(OLD, offset=8)

        site.time.at(5.0, stop)

    site = run_rollout(11, prepare=prepare)
    assert [item[1:] for item in site.store.statuses] == [(NEW, "in_progress"), (OLD, "completed")]
    assert site.store.statuses[-1][0] - site.order_at_s < 1.0
    late = [s for s in site.sent if s.version == NEW and s.caller_sent_s > site.order_at_s + 1.0]
    assert late == []
    # Streams that the target began end with its replicas; every other request is served.
    after = [r.outcome for r in site.requests.values() if r.sent_s > site.order_at_s + 1.0]
    assert after and set(after) <= {"200", "500", "stream"}
    assert set(site.outcomes()) <= {"200", "500", "stream", "broken"}


def test_an_order_for_the_present_version_is_completed_at_once():
    """Fails if a roll-out without anything to move runs to its limit."""
    site = RolloutSite(12, new=0)
    site.time.at(2.0, lambda: site.place_order(OLD))
    site.load(20.0, 4.0)
    assert site.states() == ["completed"]
    assert site.store.statuses[0][0] - site.order_at_s < 1.0
    assert set(site.outcomes()) <= {"200", "500", "stream", ""}


def test_an_order_without_replicas_is_reverted_and_the_service_goes_on():
    """Fails if a roll-out without new replicas refuses callers or stays open."""
    site = run_rollout(13, new=0, per_s=20.0)
    assert site.states() == ["in_progress", "reverted"]
    assert site.store.statuses[-1][0] < site.order_at_s + 12.0
    assert set(site.outcomes()) <= {"200", "500", "stream"}


def test_without_an_order_all_versions_are_used():
    """Fails if replicas of another version are held back although nobody ordered a roll-out."""
    site = RolloutSite(14)
    for index in range(6):
        site.add_replica(f"new-{index}", NEW, index)
    site.load(40.0, 4.0)
    versions = [item.version for item in site.sent]
    assert 0.3 < versions.count(NEW) / len(versions) < 0.7
    assert all(
        not g.rollouts.news(200.0) and not g.rollouts.counts() for g in site.gateways.values()
    )


def test_a_vm_that_knows_only_the_order_leaves_the_target_alone():
    """Fails if a VM uses the target before it knows of any phase."""
    driver = GatewayDriver().begin(plains=0, engines=0)
    site = RolloutSite(15, old=2)
    old, other = (item.registration for item in site.replicas.values())
    new = replace(other, software_version=NEW)
    driver.post(ReplicasRead({old.replica_id: old, new.replica_id: new}))
    driver.post(RolloutOrdered(RolloutOrder(SERVICE, NEW, 12.0, 3, 100.0)))
    handles = [driver.ask("/ask/x") for _ in range(10)]
    assert {driver.attempts(handle)[0].replica_id for handle in handles} == {old.replica_id}
    assert driver.gateway.rollouts.needs_state(driver.now_s + 2.0)


def test_a_version_that_is_new_waits_until_its_order_would_be_known():
    """Fails if a VM that reads an order late uses the target's replicas without any bound."""
    driver = GatewayDriver().begin(plains=0, engines=0)
    site = RolloutSite(16, old=2)
    old, other = (item.registration for item in site.replicas.values())
    new = replace(other, software_version=NEW)
    driver.post(ReplicasRead({old.replica_id: old}))
    driver.run(0.1)
    driver.now_s += 1.0
    driver.post(ReplicasRead({new.replica_id: new}))
    early = [driver.ask("/ask/x") for _ in range(8)]
    assert {driver.attempts(handle)[0].replica_id for handle in early} == {old.replica_id}
    driver.now_s += 0.5
    driver.confirm_configuration()
    late = [driver.ask("/ask/x") for _ in range(8)]
    assert new.replica_id in {driver.attempts(handle)[0].replica_id for handle in late}


def test_where_no_roll_outs_are_bounded_a_new_version_is_used_at_once():
    """Fails if replicas of a release wait although the deployment has no roll-outs."""
    driver = GatewayDriver(settings=GatewaySettings(expects_rollouts=False))
    driver.begin(plains=0, engines=0)
    old, other = (item.registration for item in RolloutSite(16, old=2).replicas.values())
    new = replace(other, software_version=NEW)
    driver.post(ReplicasRead({old.replica_id: old}))
    driver.run(0.1)
    driver.now_s += 1.0
    driver.post(ReplicasRead({new.replica_id: new}))
    handles = [driver.ask("/ask/x") for _ in range(8)]
    assert new.replica_id in {driver.attempts(handle)[0].replica_id for handle in handles}


def begin_at(phase: Phase, share: float) -> tuple[GatewayDriver, RolloutState]:
    """Return a gateway with a replica of each version, in a phase of a roll-out, and its state."""
    driver = GatewayDriver().begin(plains=0, engines=0)
    old, other = (item.registration for item in RolloutSite(16, old=2).replicas.values())
    new = replace(other, software_version=NEW)
    driver.post(ReplicasRead({old.replica_id: old, new.replica_id: new}))
    unix_s = driver.now_s + driver.clock_offset_s
    driver.post(RolloutOrdered(RolloutOrder(SERVICE, NEW, 12.0, 3, 100.0)))
    state = RolloutState(SERVICE, NEW, 12.0, 3, 1, 1, phase, share, unix_s, unix_s)
    driver.post(RolloutStateRead(state, driver.now_s))
    return driver, state


def test_what_has_waited_for_capacity_goes_to_the_old_version_while_the_target_is_a_canary():
    """Fails if a full canary holds back what waits although the old version has capacity."""
    driver, state = begin_at(Phase.CANARY, 0.0)
    states = driver.gateway.pool.usable(SERVICE)

    def allowed_versions(has_waited: bool) -> set[str]:
        request.sent_count, request.has_waited = 0, has_waited
        allowed = driver.gateway.rollouts.allowed(request, states, driver.now_s)
        return {item.replica.software_version for item in allowed}

    canaries_count = 0
    for _ in range(30):
        # The bound of exposure grows with the requests.
        driver.run(0.05)
        driver.post(RolloutStateRead(state, driver.now_s))
        handle = driver.ask("/ask/x")
        request = driver.gateway.relay.active_requests[handle]
        if allowed_versions(has_waited=False) == {NEW}:
            canaries_count += 1
            assert allowed_versions(has_waited=True) == {OLD}
        driver.end(driver.attempts(handle)[0].attempt_id)
    assert canaries_count


@pytest.mark.parametrize("duration_s", [0.0, -1.0, float("nan"), float("inf")])
def test_a_malformed_state_is_ignored(duration_s: float):
    """Fails if a state of another VM without a usable duration ends the holder's process."""
    driver = GatewayDriver().begin()
    order = RolloutOrder(SERVICE, NEW, 12.0, 3, 100.0)
    driver.post(RolloutOrdered(order))
    (state,) = driver.gateway.propose_rollouts(1, driver.now_s)
    driver.post(RolloutStateRead(replace(state, duration_s=duration_s), driver.now_s))
    assert driver.gateway.rollouts.state_of(SERVICE) is None
    driver.post(RolloutStateRead(state, driver.now_s))
    assert driver.gateway.rollouts.state_of(SERVICE) == state


def test_what_waits_does_not_raise_the_share_of_the_target_at_each_look():
    """Fails if a request that waits for capacity earns the target a share of each look."""
    driver, _ = begin_at(Phase.MOVING, 0.25)
    handle = driver.ask("/ask/x")
    request = driver.gateway.relay.active_requests[handle]
    request.sent_count, request.has_waited = 0, True
    states = driver.gateway.pool.usable(SERVICE)
    for _ in range(20):
        (allowed,) = driver.gateway.rollouts.allowed(request, states, driver.now_s)
        assert allowed.replica.software_version == OLD
