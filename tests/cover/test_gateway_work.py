"""Arrival rates and the share of late work, summed over the entry VMs."""

from __future__ import annotations

import pytest
from gateway_driver import ASK, ENGINE, PLAN, GatewayDriver, make_replicas

from coriandershelf_core.internal.gateway.arrival_rates import WINDOW_S, ArrivalRates
from coriandershelf_core.internal.gateway.digest import Digest, ServiceRates
from coriandershelf_core.internal.gateway.events import DigestArrived, ReplicasRead


def make_digest(vm_id: str, work: ServiceRates) -> Digest:
    return Digest(vm_id, f"{vm_id}:1", "zone", 1, 1, 0.0, work={ENGINE: work}, complete=True)


def test_arrivals_are_a_rate_over_the_window_and_leave_it():
    rates = ArrivalRates()
    for step in range(50):
        rates.add_arrival(ENGINE, 100, step * 0.1)
    assert rates.own_rates(4.95, {})[ENGINE].tokens_per_s == pytest.approx(1000.0, rel=0.05)
    assert rates.own_rates(4.95 + WINDOW_S, {})[ENGINE].tokens_per_s == 0.0


def test_a_load_that_has_just_begun_shows_at_once():
    rates = ArrivalRates()
    for step in range(10):
        rates.add_arrival(ENGINE, 100, 10.0 + step * 0.1)
    assert rates.own_rates(11.0, {})[ENGINE].tokens_per_s >= 600.0


def test_the_total_is_of_the_vms_heard_of_lately():
    rates = ArrivalRates()
    rates.on_digest(make_digest("vm-2", ServiceRates(1.0, 300.0, 30.0, 4)))
    rates.on_digest(make_digest("vm-3", ServiceRates(1.0, 500.0, 0.0, 3)))
    assert rates.total(ENGINE, ["vm-2", "vm-3"], 1.0, {}) == ServiceRates(2.0, 800.0, 30.0, 7)
    assert rates.total(ENGINE, ["vm-3"], 1.0, {}) == ServiceRates(1.0, 500.0, 0.0, 3)


def test_a_first_event_after_the_objective_counts_as_late_once():
    driver = GatewayDriver().begin()
    handle = driver.ask("/ask/1")
    (attempt,) = driver.attempts(handle)
    driver.open(attempt.attempt_id)
    driver.now_s += ASK.objective_s + 0.1
    driver.read(attempt.attempt_id, 1)
    driver.now_s += ASK.gap_objective_s + 0.1
    driver.read(attempt.attempt_id, 2)
    assert driver.gateway.service_load(ENGINE, driver.now_s).late_share == 1.0


def test_a_pause_beyond_the_objective_counts_as_late():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    (attempt,) = driver.attempts(handle)
    driver.open(attempt.attempt_id)
    driver.read(attempt.attempt_id, 1)
    assert driver.gateway.service_load(ENGINE, driver.now_s).late_share == 0.0
    driver.now_s += PLAN.gap_objective_s + 0.1
    driver.read(attempt.attempt_id, 2)
    assert driver.gateway.service_load(ENGINE, driver.now_s).late_share == 1.0


def test_a_request_without_a_replica_counts_as_late():
    driver = GatewayDriver().begin()
    driver.ask("/ask/1")
    driver.post(ReplicasRead(make_replicas(engines=0), complete=True))
    driver.ask("/ask/2")
    assert driver.gateway.service_load(ENGINE, driver.now_s).late_share == pytest.approx(
        0.5, abs=0.01
    )


def test_the_others_lateness_reaches_the_holder_of_the_duties():
    driver = GatewayDriver().begin()
    driver.post(DigestArrived(make_digest("vm-2", ServiceRates(10.0, 1000.0, 250.0))))
    assert driver.gateway.service_load(ENGINE, driver.now_s).late_share == pytest.approx(0.25)
