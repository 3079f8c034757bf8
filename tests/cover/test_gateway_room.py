"""Load tracking: many entry VMs share few slots, and one VM per replica tracks its load.

Test names call a tracked load an account, its VM an accountant and a reported slowdown a pace.
"""

from __future__ import annotations

import random

import msgspec
import pytest
from gateway_driver import ENGINE, GatewayDriver, make_deployment
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import ScheduleTick, SendDigest, SendLoadMessage
from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.events import (
    CallerLeft,
    DigestArrived,
    EntryVmsRead,
    RoomMessageArrived,
)
from coriandershelf_core.internal.gateway.load_queries import REPLY_TIMEOUT_S
from coriandershelf_core.internal.gateway.load_tracking import (
    PREFILL_TOKEN_S,
    SAMPLES_MIN_COUNT,
    TAKEOVER_GRACE_S,
    UNREACHABLE_S,
    AttemptStep,
    AttemptUpdate,
    LoadQuery,
    LoadReply,
    LoadTracker,
    TrackerAssignment,
)

VMS_COUNT = 16
ENGINES_COUNT = 6
# 85 peers with a digest period of 0.85 s on a 5 Mbit/s link, of which digests may use a twentieth.
MINIMAL_DIGEST_MAX_BYTES = 312


def make_update(step: AttemptStep, attempt: int = 1, vm_id: str = "vm-2") -> AttemptUpdate:
    return AttemptUpdate(vm_id, 1, "engine-0", attempt, step, 4000, 10.0)


class Site:
    """Several gateways connected by a network without delay.

    :ivar dropped: VMs to which messages on replica load are dropped.
    """

    def __init__(self) -> None:
        self.drivers = {
            f"vm-{number:02}": GatewayDriver(vm_id=f"vm-{number:02}", seed=number)
            for number in range(VMS_COUNT)
        }
        service = Service(ENGINE, 100, engine_slots_count=8)
        plain = make_deployment().services["plain"]
        deployment = make_deployment(services={ENGINE: service, "plain": plain})
        addresses = {name: f"{name}:7500" for name in self.drivers}
        self.dropped: set[str] = set()
        for driver in self.drivers.values():
            driver.begin(deployment, engines=ENGINES_COUNT)
            driver.post(EntryVmsRead(addresses))
        self.run(3.0)

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / 0.05)):
            for driver in self.drivers.values():
                driver.run(0.04)
            self.deliver()

    def deliver(self) -> None:
        """Deliver all pending messages, including replies to them."""
        progressed = True
        while progressed:
            progressed = False
            for driver in self.drivers.values():
                actions, driver.cursor = driver.actions[driver.cursor :], len(driver.actions)
                for action in actions:
                    progressed |= self._dispatch(action)

    def _dispatch(self, action: object) -> bool:
        match action:
            case SendDigest(addresses, digest):
                for address in addresses:
                    self.receiver(address).post(DigestArrived(digest))
            case SendLoadMessage(address, message):
                if address.removesuffix(":7500") in self.dropped:
                    return False
                self.receiver(address).post(RoomMessageArrived(message))
            case _:
                return False
        return True

    def receiver(self, address: str) -> GatewayDriver:
        return self.drivers[address.removesuffix(":7500")]

    def in_flight_by_replica(self) -> dict[str, int]:
        """Return the number of attempts in flight by replica."""
        loads = {f"engine-{number}": 0 for number in range(ENGINES_COUNT)}
        for driver in self.drivers.values():
            for attempt in driver.gateway.relay.attempts.by_id.values():
                loads[attempt.state.replica.replica_id] += 1
        return loads


def test_many_vms_that_send_at_one_moment_fill_no_replica_beyond_its_slots():
    site = Site()
    for driver in site.drivers.values():
        for number in range(3):
            driver.ask(f"/ask/{number}")
        site.deliver()
    assert sum(site.in_flight_by_replica().values()) == 3 * VMS_COUNT
    assert max(site.in_flight_by_replica().values()) <= 8 + 2


def test_the_load_is_evener_than_by_digests_alone():
    queried, digests_only = Site(), Site()
    for driver in digests_only.drivers.values():
        driver.gateway.load_queries.enabled = False
    for site in (queried, digests_only):
        for driver in site.drivers.values():
            driver.ask("/ask/1")
            driver.ask("/ask/2")
            site.deliver()
    spread = [
        max(site.in_flight_by_replica().values()) - min(site.in_flight_by_replica().values())
        for site in (queried, digests_only)
    ]
    assert spread[0] < spread[1]


def test_a_session_goes_where_another_vm_sent_it():
    site = Site()
    first, second = site.drivers["vm-03"], site.drivers["vm-11"]
    handle = first.ask("/plan/1")
    parts = first.gateway.relay.active_requests[handle].arrival.parts
    site.deliver()
    (attempt,) = first.attempts(handle)
    other = second.ask("/plan/1", parts=parts)
    site.deliver()
    assert second.attempts(other)[0].replica_id == attempt.replica_id


def test_without_an_answer_a_request_goes_on_after_a_few_milliseconds():
    site = Site()
    driver = site.drivers["vm-05"]
    site.dropped = set(site.drivers) - {"vm-05"}
    handle = driver.ask("/ask/1")
    assert any(isinstance(action, ScheduleTick) for action in driver.actions)
    assert not driver.attempts(handle)
    driver.run(REPLY_TIMEOUT_S)
    assert len(driver.attempts(handle)) == 1
    again = driver.ask("/ask/2")
    assert len(driver.attempts(again)) == 1, "an unresponsive VM was queried again at once"


def test_a_caller_that_left_while_its_vm_asked_is_sent_nowhere():
    site = Site()
    driver = site.drivers["vm-05"]
    handle = driver.ask("/ask/1")
    driver.post(CallerLeft(handle))
    site.deliver()
    driver.run(1.0)
    assert not driver.attempts(handle)


def test_a_replica_that_one_vm_cannot_reach_is_passed_over_by_the_others():
    site = Site()
    first = site.drivers["vm-01"]
    handle = first.ask("/ask/1")
    site.deliver()
    (attempt,) = first.attempts(handle)
    first.fail(attempt.attempt_id, sent=False)
    site.deliver()
    for name, driver in site.drivers.items():
        if name != "vm-01":
            other = driver.ask("/ask/1")
            site.deliver()
            assert driver.attempts(other)[0].replica_id != attempt.replica_id, name


def test_every_vm_finds_the_same_accountant_in_the_replicas_own_zone():
    vms = {zone: tuple(f"{zone}-{number}" for number in range(9)) for zone in "abc"}
    first, second = TrackerAssignment(), TrackerAssignment()
    first.set_vms(vms)
    second.set_vms({zone: vms[zone] for zone in "cba"})
    tracker_ids = [first.tracker_of(f"r-{number}", "b") for number in range(40)]
    assert tracker_ids == [second.tracker_of(f"r-{number}", "b") for number in range(40)]
    assert all(tracker_id is not None and tracker_id.startswith("b-") for tracker_id in tracker_ids)
    assert len(set(tracker_ids)) > 4
    assert first.tracker_of("r-41", "nowhere") == second.tracker_of("r-41", "nowhere") is not None
    assert TrackerAssignment().tracker_of("r-1", "a") is None


def test_an_account_counts_what_runs_and_what_is_still_to_be_read():
    tracker = LoadTracker()
    tracker.on_update(make_update(AttemptStep.STARTED), 0.0)
    tracker.on_update(make_update(AttemptStep.STARTED, attempt=2), 0.0)
    tracker.on_update(make_update(AttemptStep.FIRST_EVENT), 0.1)
    load = tracker.load("engine-0", (), (0, 0), 0.1)
    assert (load.running_count, load.waiting_tokens) == (2, 4000)
    tracker.on_update(make_update(AttemptStep.ENDED, attempt=2), 0.3)
    assert tracker.load("engine-0", (), (0, 0), 0.4).running_count == 1


def test_work_of_a_vm_that_died_leaves_the_account():
    tracker = LoadTracker()
    tracker.on_update(make_update(AttemptStep.STARTED), 0.0)
    tracker.on_tick({"engine-0"}, {("vm-2", 1)}, 1.0)
    assert tracker.load("engine-0", (), (0, 0), 1.0).running_count == 1
    tracker.on_tick({"engine-0"}, {("vm-2", 2)}, 2.0)
    assert tracker.load("engine-0", (), (0, 0), 2.0).running_count == 0


def test_work_whose_end_was_lost_leaves_the_account_after_its_time_limit():
    tracker = LoadTracker()
    tracker.on_update(make_update(AttemptStep.STARTED), 0.0)
    tracker.on_tick({"engine-0"}, {("vm-2", 1)}, 10.1)
    assert tracker.load("engine-0", (), (0, 0), 10.1).running_count == 0


def test_a_young_account_is_filled_up_by_what_digests_tell():
    tracker = LoadTracker()
    load = tracker.load("engine-0", (), (5, 9000), 0.0)
    assert (load.running_count, load.waiting_tokens) == (5, 9000)
    assert tracker.load("engine-0", (), (5, 9000), TAKEOVER_GRACE_S).running_count == 0


def test_an_unreachable_replica_is_shown_as_shut_out_for_a_while_or_until_it_answers():
    tracker = LoadTracker()
    tracker.on_update(make_update(AttemptStep.UNREACHABLE), 0.0)
    assert tracker.load("engine-0", (), (0, 0), 0.5).shut_out
    assert not tracker.load("engine-0", (), (0, 0), UNREACHABLE_S).shut_out
    tracker.on_update(make_update(AttemptStep.UNREACHABLE), 5.0)
    tracker.on_update(make_update(AttemptStep.FIRST_EVENT, attempt=7), 5.1)
    assert not tracker.load("engine-0", (), (0, 0), 5.2).shut_out


def test_an_account_keeps_nothing_of_replicas_that_left():
    tracker = LoadTracker()
    tracker.on_update(make_update(AttemptStep.STARTED), 0.0)
    tracker.on_tick(set(), {("vm-2", 1)}, 1.0)
    assert not tracker._replicas


def test_late_foreign_and_repeated_answers_change_nothing():
    site = Site()
    driver = site.drivers["vm-05"]
    handle = driver.ask("/ask/1")
    queries = [a.message for a in driver.actions if isinstance(a, SendLoadMessage)]
    queries = [message for message in queries if isinstance(message, LoadQuery)]
    site.deliver()
    before = len(driver.attempts(handle))
    rng = random.Random(5)
    for query in queries:
        reply = LoadReply("vm-99", query.ask_id + rng.randrange(3), ())
        driver.post(RoomMessageArrived(reply))
        driver.post(RoomMessageArrived(replace(reply, vm_id="vm-01")))
    assert len(driver.attempts(handle)) == before == 1


def test_digests_of_large_sites_leave_out_replicas_and_stay_small():
    site = Site()
    driver = site.drivers["vm-05"]
    for _ in range(20):
        driver.ask("/ask/1")
        site.deliver()
    sent = [action for action in driver.run(2.0) if isinstance(action, SendDigest)]
    minimal = [action.digest for action in sent if not action.digest.complete]
    assert minimal
    assert not any(action.digest.replicas for action in sent)
    assert (
        max(len(msgspec.msgpack.encode(digest)) for digest in minimal) <= MINIMAL_DIGEST_MAX_BYTES
    )
    assert any(
        digest.digest.work[ENGINE].running_count > 0 for digest in sent if digest.digest.work
    )


def test_the_pace_that_one_vm_heard_reaches_the_next_that_asks():
    tracker = LoadTracker()
    tracker.on_update(replace(make_update(AttemptStep.FIRST_EVENT), pace=2.5), 1.0)
    load = tracker.load("engine-0", (), (0, 0), 1.2)
    assert load.pace == 2.5
    assert load.pace_age_s == pytest.approx(0.2)


def test_a_replicas_speed_is_learnt_from_all_vms_times_and_told_once_some_are_known():
    tracker = LoadTracker()
    for number in range(SAMPLES_MIN_COUNT):
        assert tracker.load("engine-0", (), (0, 0), 1.0).slowness is None
        update = replace(make_update(AttemptStep.FIRST_EVENT, number, f"vm-{number}"), slowness=1.7)
        tracker.on_update(update, 1.0)
    assert tracker.load("engine-0", (), (0, 0), 1.0).slowness == pytest.approx(1.7)


def test_a_time_spent_behind_other_prompts_tells_nothing_of_a_replicas_speed():
    driver = GatewayDriver().begin()
    handle = driver.ask("/ask/1")
    (attempt,) = driver.attempts(handle)
    state = driver.gateway.relay.attempts.by_id[attempt.attempt_id]
    assert not state.was_queued
    others = [driver.ask(f"/ask/{number}") for number in range(6)]
    last = driver.attempts(others[-1])[0]
    assert driver.gateway.relay.attempts.by_id[last.attempt_id].was_queued


def test_a_prompt_that_is_being_read_counts_less_and_less_and_the_next_one_in_full():
    tracker = LoadTracker()
    tracker.on_update(make_update(AttemptStep.STARTED), 0.0)
    tracker.on_update(make_update(AttemptStep.STARTED, attempt=2), 0.0)
    halfway_s = 2000 * PREFILL_TOKEN_S
    assert tracker.load("engine-0", (), (0, 0), halfway_s).waiting_tokens == pytest.approx(6000, 1)
    assert tracker.load("engine-0", (), (0, 0), 1.0).waiting_tokens == 4000
    tracker.on_update(make_update(AttemptStep.FIRST_EVENT), 1.0)
    assert tracker.load("engine-0", (), (0, 0), 1.0).waiting_tokens == 4000
    assert tracker.load("engine-0", (), (0, 0), 2.0).waiting_tokens == 0
