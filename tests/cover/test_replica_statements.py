"""Replicas that state that they leave, or that they want a pause, get what they ask for."""

from __future__ import annotations

from dataclasses import replace

import pytest
from gateway_driver import GatewayDriver, make_replicas
from msgspec import structs

from coriandershelf_core.internal.gateway.actions import (
    IncrementCounter,
    LogLine,
    SendDigest,
    StartAttempt,
)
from coriandershelf_core.internal.gateway.events import (
    DigestArrived,
    EntryVmsRead,
    MalformedHeader,
    ReplicasRead,
    ResponseHeadRead,
)
from coriandershelf_core.internal.gateway.relay import PAUSE_MAX_S
from coriandershelf_rig.internal.gateway_bench import GatewayBench
from coriandershelf_rig.internal.replica_rules import (
    ArrivedRequest,
    StatedPause,
    leaving_violation,
    pause_violation,
)


def test_the_judge_sees_requests_to_a_replica_that_had_stated_to_leave():
    arrivals = [ArrivedRequest(10.0, "vm-1"), ArrivedRequest(13.0, "vm-2")]
    assert leaving_violation("r", arrivals, {"vm-2": 10.9}, 2.0)
    assert not leaving_violation("r", arrivals, {"vm-2": 11.1}, 2.0)
    assert not leaving_violation("r", arrivals, {"vm-3": 1.0}, 2.0)


def test_the_judge_sees_more_than_two_requests_in_a_pause():
    pause = StatedPause("r", "vm-1", 10.0, 3.0)
    arrivals = [ArrivedRequest(10.6 + 0.5 * number, "vm-1") for number in range(3)]
    assert pause_violation(pause, arrivals)
    assert not pause_violation(pause, arrivals[:2])
    assert not pause_violation(pause, [ArrivedRequest(10.1, "vm-1"), *arrivals[:2]])
    assert not pause_violation(pause, [replace(item, vm="vm-2") for item in arrivals])
    assert not pause_violation(replace(pause, pause_s=1.0), arrivals)


# Guards against new requests to a replica that states in its responses that it leaves, also while
# its registration says that it is ready (DRAIN).
@pytest.mark.parametrize("vms_count", [1, 8, 40])
def test_a_replica_that_states_to_leave_gets_nothing_new(vms_count):
    bench = GatewayBench(31, vms_count, replicas_count=6)
    bench.load(60.0, 2.0)
    for replica_id in ("replica-0", "replica-1"):
        bench.replicas[replica_id].states_leaving = True
    bench.load(60.0, 2.5)
    for vm_id in bench.gateways:
        bench.register_all(vm_id)
    bench.load(60.0, 4.0)
    assert bench.replicas["replica-0"].informed_at_s
    assert not bench.violations(), f"seed {bench.seed}: {bench.violations()}"


# Guards against requests to a replica that refused one and asked for a pause (BUDGET).
@pytest.mark.parametrize("vms_count", [1, 8, 40])
def test_a_replica_that_asks_for_a_pause_gets_it(vms_count):
    bench = GatewayBench(32, vms_count, replicas_count=4)
    bench.load(60.0, 2.0)
    for replica_id in ("replica-0", "replica-1"):
        bench.replicas[replica_id].pause_s = 3.0
    bench.load(60.0, 6.0)
    assert bench.replicas["replica-0"].pauses
    assert not bench.violations(), f"seed {bench.seed}: {bench.violations()}"
    bench.replicas["replica-0"].pause_s = bench.replicas["replica-1"].pause_s = None
    bench.load(60.0, 4.0)
    arrived_since = [item for item in bench.replicas["replica-0"].arrivals if item.at_s > 111.0]
    assert arrived_since


def state(driver: GatewayDriver, **fields: object) -> str:
    """Let the replica of a new request state something in a response; return its id."""
    (attempt,) = driver.attempts(driver.ask("/plan/1"))
    driver.post(ResponseHeadRead(attempt.attempt_id, True, **fields))
    return attempt.replica_id


def replicas_used(driver: GatewayDriver, requests_count: int = 12) -> set[str]:
    handles = [driver.ask("/plan/1") for _ in range(requests_count)]
    return {attempt.replica_id for handle in handles for attempt in driver.attempts(handle)}


def test_a_stated_leaving_is_final_for_one_start_of_the_replica():
    driver = GatewayDriver().begin()
    name = state(driver, leaving=True)
    assert name not in replicas_used(driver)
    registered = make_replicas()[name]
    driver.post(ReplicasRead({name: registered}))
    assert name not in replicas_used(driver)
    driver.post(ReplicasRead({name: structs.replace(registered, started_at_ms=2)}))
    assert name in replicas_used(driver, 40)


def test_a_stated_leaving_is_told_to_the_other_vms():
    first, second = GatewayDriver().begin(), GatewayDriver(vm_id="vm-2").begin()
    first.post(EntryVmsRead({"vm-2": "vm-2:7500"}))
    name = state(first, leaving=True)
    digests = [item.digest for item in first.run(0.2) if isinstance(item, SendDigest)]
    second.post(DigestArrived(digests[-1]))
    assert name not in replicas_used(second)
    second.post(ReplicasRead({name: make_replicas()[name]}))
    assert name not in replicas_used(second)


def test_a_later_shorter_refusal_does_not_end_a_pause():
    driver = GatewayDriver().begin()
    (attempt,) = driver.attempts(driver.ask("/plan/1"))
    driver.post(ResponseHeadRead(attempt.attempt_id, False, pause_s=5.0))
    driver.answer(attempt.attempt_id, 503, not_run=True)
    driver.run(4.5)
    assert attempt.replica_id not in replicas_used(driver, 40)
    # Of the requests without capacity, those that fit wait until the pause ends.
    started = {item.replica_id for item in driver.run(0.6) if isinstance(item, StartAttempt)}
    assert started == {attempt.replica_id}
    assert IncrementCounter("pauses") in driver.actions


def test_an_absurd_pause_ends_in_time_and_one_that_cannot_be_read_is_logged():
    driver = GatewayDriver().begin()
    name = state(driver, pause_s=1e9)
    driver.run(PAUSE_MAX_S + 0.1)
    assert name in replicas_used(driver, 40)
    driver = GatewayDriver().begin()
    assert state(driver, pause_s=MalformedHeader("Wed, 21 Oct")) in replicas_used(driver, 40)
    events = [item.event for item in driver.actions if isinstance(item, LogLine)]
    assert "pause not understood" in events
