"""Handling of failed attempts: no request runs twice or is wrongly reported as not run."""

from __future__ import annotations

import pytest
from gateway_driver import PLAN, GatewayDriver, make_deployment
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import (
    STATUS_OF,
    AbortStream,
    CancelAttempt,
    EndStream,
    ForwardEvents,
    Refusal,
    SendResponse,
    StartStream,
    Stopped,
)
from coriandershelf_core.internal.gateway.crash_suspects import PROVEN_EVENTS_COUNT
from coriandershelf_core.internal.gateway.deployment import Customer
from coriandershelf_core.internal.gateway.events import (
    CallerLeft,
    DeploymentRead,
    ReplicasRead,
    StopAsked,
)
from coriandershelf_core.internal.gateway.poison_requests import CRASHES_MAX_COUNT
from coriandershelf_core.internal.gateway.relay import (
    CONNECT_RETRIES_MAX_COUNT,
    RESUMED_CONNECT_RETRIES_MAX_COUNT,
)
from coriandershelf_core.internal.gateway.request import PromptPart
from coriandershelf_core.internal.vocabulary.outcome import NOT_RUN_STATUSES


def test_an_answer_is_passed_on_as_the_replica_made_it():
    driver = GatewayDriver().begin()
    handle = driver.ask("/book/1")
    (attempt,) = driver.attempts(handle)
    driver.answer(attempt.attempt_id, 500)
    assert SendResponse(handle, 500, (), b"body") in driver.actions
    assert not driver.gateway.relay.active_requests


def test_a_booking_that_may_have_run_is_never_sent_again_and_never_called_not_run():
    driver = GatewayDriver().begin()
    handle = driver.ask("/book/1")
    (attempt,) = driver.attempts(handle)
    driver.fail(attempt.attempt_id)
    assert len(driver.attempts(handle)) == 1
    (refusal,) = driver.refusals(handle)
    assert STATUS_OF[refusal.refusal] not in NOT_RUN_STATUSES
    assert refusal.retry_after_s is None


# Guards against a booking that ran, whose replica answers 503 without stating that it did not: the
# caller takes the status for a promise and books again.
@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES - {421}))
@pytest.mark.parametrize("path", ["/book/1", "/ask/1", "/read/1"])
def test_a_request_that_may_have_run_is_never_answered_with_a_status_that_denies_it(status, path):
    driver = GatewayDriver().begin()
    handle = driver.ask(path)
    answered: set[int] = set()
    while len(driver.attempts(handle)) > len(answered):
        attempt = driver.attempts(handle)[-1]
        answered.add(attempt.attempt_id)
        driver.answer(attempt.attempt_id, status)
    assert not [action for action in driver.actions if isinstance(action, SendResponse)]
    (refusal,) = driver.refusals(handle)
    assert STATUS_OF[refusal.refusal] not in NOT_RUN_STATUSES
    assert len(answered) == (2 if path == "/read/1" else 1)


def test_a_booking_that_could_not_be_sent_goes_to_another_replica():
    driver = GatewayDriver().begin()
    handle = driver.ask("/book/1")
    (first,) = driver.attempts(handle)
    driver.fail(first.attempt_id, sent=False)
    _, second = driver.attempts(handle)
    assert second.replica_id != first.replica_id


def test_a_booking_that_a_replica_refused_is_told_not_run_with_a_time_to_come_back():
    driver = GatewayDriver().begin()
    handle = driver.ask("/book/1", time_left_s=0.9)
    (attempt,) = driver.attempts(handle)
    driver.answer(attempt.attempt_id, 503, not_run=True)
    (refusal,) = driver.refusals(handle)
    assert STATUS_OF[refusal.refusal] == 503
    assert refusal.retry_after_s is not None and refusal.retry_after_s <= 0.3


def test_a_lookup_is_tried_elsewhere_within_its_attempts():
    driver = GatewayDriver().begin()
    handle = driver.ask("/read/1")
    (first,) = driver.attempts(handle)
    driver.fail(first.attempt_id)
    _, second = driver.attempts(handle)
    assert second.replica_id != first.replica_id
    driver.answer(second.attempt_id, 500)
    assert len(driver.attempts(handle)) == 2
    assert SendResponse(handle, 500, (), b"body") in driver.actions


def test_a_silent_lookup_is_cancelled_before_it_is_sent_elsewhere():
    driver = GatewayDriver().begin()
    handle = driver.ask("/read/1")
    (first,) = driver.attempts(handle)
    done = driver.run(0.6)
    cancel = done.index(CancelAttempt(first.attempt_id))
    again = next(i for i, a in enumerate(done) if a in driver.attempts(handle))
    assert cancel < again


def test_a_stream_is_resumed_within_one_answer_after_its_last_whole_event():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    (first,) = driver.attempts(handle)
    driver.open(first.attempt_id)
    driver.read(first.attempt_id, 1)
    driver.read(first.attempt_id, 2)
    driver.fail(first.attempt_id)
    _, second = driver.attempts(handle)
    assert second.last_event_id == 2
    driver.open(second.attempt_id)
    driver.read(second.attempt_id, 3)
    driver.end(second.attempt_id)
    heads = [a for a in driver.actions if isinstance(a, StartStream)]
    events = [a.payload for a in driver.actions if isinstance(a, ForwardEvents)]
    assert len(heads) == 1
    assert [payload.split(b"\n")[0] for payload in events] == [b"id: 1", b"id: 2", b"id: 3"]
    assert EndStream(handle) in driver.actions


def test_a_stream_without_events_starts_again_from_its_beginning():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    (first,) = driver.attempts(handle)
    driver.open(first.attempt_id)
    driver.fail(first.attempt_id)
    _, second = driver.attempts(handle)
    assert second.last_event_id is None


def test_a_stream_that_may_not_be_resumed_breaks_rather_than_look_complete():
    driver = GatewayDriver().begin()
    handle = driver.ask("/ask/1")
    (first,) = driver.attempts(handle)
    driver.open(first.attempt_id)
    driver.read(first.attempt_id, 1)
    driver.fail(first.attempt_id)
    assert len(driver.attempts(handle)) == 1
    assert AbortStream(handle) in driver.actions
    assert EndStream(handle) not in driver.actions


def test_a_caller_that_leaves_frees_its_replica_at_once():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    (attempt,) = driver.attempts(handle)
    assert CancelAttempt(attempt.attempt_id) in driver.post(CallerLeft(handle))
    assert not driver.gateway.relay.attempts.by_id


def test_a_request_at_its_time_limit_is_answered_within_half_a_second():
    driver = GatewayDriver().begin()
    handle = driver.ask("/book/1", time_left_s=1.0)
    driver.run(1.4)
    (refusal,) = driver.refusals(handle)
    assert refusal.refusal is Refusal.TIMEOUT


def test_the_replica_is_told_the_time_that_is_left_also_the_second_time():
    driver = GatewayDriver().begin()
    handle = driver.ask("/read/1", time_left_s=0.9)
    driver.run(0.3)
    (first,) = driver.attempts(handle)
    driver.fail(first.attempt_id)
    _, second = driver.attempts(handle)
    assert first.time_left_s <= 0.9
    assert second.time_left_s <= 0.61


def test_a_request_that_broke_three_replicas_is_sent_to_no_other():
    driver = GatewayDriver().begin()
    for _ in range(3):
        handle = driver.ask("/plan/1", fingerprint=7, time_left_s=15.0)
        while driver.gateway.relay.active_requests:
            attempt = driver.attempts(handle)[-1]
            driver.fail(attempt.attempt_id)
            driver.run(10.0)
    sent = len([a for h in range(1, driver.last_handle + 1) for a in driver.attempts(h)])
    assert sent == 3
    handle = driver.ask("/plan/1", fingerprint=7)
    assert driver.refusals(handle)[0].refusal is Refusal.POISON


# Guards against a caller that is refused its stream, as one whose prompt crashes replicas, after
# replicas that had run it for a while crashed for another reason.
def test_a_stream_that_ran_for_a_while_is_no_suspect_when_its_replica_crashes():
    driver = GatewayDriver().begin(engines=8)
    shared = (PromptPart("session", 200), PromptPart("own", 20))
    changes: dict[str, object] = {}
    event_id = 0
    for crashes_count in range(0, 2 * CRASHES_MAX_COUNT, PLAN.attempts_max_count):
        handle = driver.ask("/plan/1", fingerprint=7, time_left_s=15.0, parts=shared, **changes)
        assert not driver.refusals(handle), f"after {crashes_count} crashes"
        for number in range(PLAN.attempts_max_count):
            attempt = driver.attempts(handle)[number]
            driver.open(attempt.attempt_id)
            for _ in range(PROVEN_EVENTS_COUNT):
                event_id += 1
                driver.read(attempt.attempt_id, event_id)
            driver.run(0.2)
            driver.fail(attempt.attempt_id)
        assert AbortStream(handle) in driver.actions
        changes = {"last_event_id": event_id, "resumes_id": "id-1"}


# Guards against the opposite: a prompt that crashes each replica after its first events.
def test_a_stream_that_crashes_replicas_after_its_first_events_is_refused():
    driver = GatewayDriver().begin(engines=8)
    for _ in range(2):
        handle = driver.ask("/plan/1", fingerprint=7, time_left_s=15.0)
        while driver.gateway.relay.active_requests:
            attempt = driver.attempts(handle)[-1]
            driver.open(attempt.attempt_id)
            for event_id in range(1, PROVEN_EVENTS_COUNT):
                driver.read(attempt.attempt_id, event_id)
            driver.fail(attempt.attempt_id)
            driver.run(0.2)
    handle = driver.ask("/plan/1", fingerprint=7)
    assert driver.refusals(handle)[0].refusal is Refusal.POISON


def test_a_reclaimed_replica_does_not_make_its_requests_suspects():
    driver = GatewayDriver().begin()
    for _ in range(3):
        handle = driver.ask("/plan/1", fingerprint=7, time_left_s=15.0)
        (attempt,) = driver.attempts(handle)
        driver.post(ReplicasRead({attempt.replica_id: None}))
        driver.fail(attempt.attempt_id)
        driver.post(CallerLeft(handle))
        driver.begin()
    assert not driver.gateway.poison_requests.is_poison(7)


def test_keyed_requests_are_refused_when_the_knowledge_of_keys_is_too_old():
    driver = GatewayDriver().begin()
    driver.run(driver.settings.keys_age_max_s + 0.1, confirmed=False)
    handle = driver.ask("/book/1")
    assert driver.refusals(handle)[0].refusal is Refusal.STALE_KEYS


@pytest.mark.parametrize(
    ("age_s", "path", "key", "status"),
    [
        (0.0, "/none/1", "key-1", 404),
        (0.0, "/book/1", "other", 401),
        (4.0, "/none/1", "key-1", 503),
        (4.0, "/book/1", "other", 503),
    ],
)
def test_only_a_fresh_configuration_denies(age_s, path, key, status):
    driver = GatewayDriver().begin()
    driver.run(age_s, confirmed=False)
    handle = driver.ask(path, key=key)
    assert STATUS_OF[driver.refusals(handle)[0].refusal] == status


def test_a_vm_without_configuration_answers_not_run():
    driver = GatewayDriver()
    handle = driver.ask("/book/1")
    assert driver.refusals(handle)[0].refusal is Refusal.NO_CONFIGURATION
    assert not driver.gateway.ready


def test_an_older_configuration_never_comes_back():
    driver = GatewayDriver().begin(make_deployment(5))
    driver.begin(make_deployment(4, routes=()))
    assert driver.gateway.deployment is not None
    assert driver.gateway.deployment.version == 5
    assert driver.attempts(driver.ask("/book/1"))


def test_a_cap_in_tokens_holds_over_a_window_and_lets_the_largest_request_pass():
    customer = Customer("customer-1", ("key-1",), None, 1000.0, 1000.0, True, 10)
    driver = GatewayDriver().begin(make_deployment(customers=(customer,)))
    driver.run(2.0)
    handle = driver.ask("/ask/1", prompt_tokens=5000, output_tokens=0)
    assert driver.attempts(handle)
    refused = driver.ask("/ask/1", prompt_tokens=10, output_tokens=0)
    assert driver.refusals(refused)[0].refusal is Refusal.CAP


def test_a_stopping_vm_finishes_what_it_has_and_takes_streams_no_more():
    driver = GatewayDriver().begin()
    early = driver.ask("/plan/1", time_left_s=15.0)
    (attempt,) = driver.attempts(early)
    driver.open(attempt.attempt_id)
    driver.post(StopAsked())
    assert not driver.gateway.ready
    for event_id in (1, 2, 3, 4):
        driver.read(attempt.attempt_id, event_id)
        driver.run(0.8)
    late = driver.ask("/plan/1")
    assert driver.refusals(late)[0].refusal is Refusal.STOPPING
    driver.end(attempt.attempt_id)
    assert EndStream(early) in driver.actions


def test_a_replicas_error_is_passed_on_where_the_repeat_finds_no_room():
    driver = GatewayDriver().begin(plains=1)
    handle = driver.ask("/read/1")
    (first,) = driver.attempts(handle)
    driver.answer(first.attempt_id, 500)
    assert SendResponse(handle, 500, (), b"body") in driver.actions
    assert not driver.refusals(handle)
    assert not driver.gateway.relay.active_requests


def test_more_attempts_in_the_configuration_do_not_make_a_booking_repeatable():
    routes = tuple(replace(route, attempts_max_count=3) for route in make_deployment().routes)
    driver = GatewayDriver().begin(make_deployment(routes=routes))
    handle = driver.ask("/book/1")
    (attempt,) = driver.attempts(handle)
    driver.fail(attempt.attempt_id)
    assert len(driver.attempts(handle)) == 1
    assert STATUS_OF[driver.refusals(handle)[0].refusal] not in NOT_RUN_STATUSES


def test_a_lookup_that_may_have_run_once_is_not_called_not_run_when_its_repeat_is_refused():
    driver = GatewayDriver().begin()
    handle = driver.ask("/read/1")
    (first,) = driver.attempts(handle)
    driver.fail(first.attempt_id)
    _, second = driver.attempts(handle)
    driver.answer(second.attempt_id, 503, not_run=True)
    assert STATUS_OF[driver.refusals(handle)[0].refusal] not in NOT_RUN_STATUSES


def test_a_stopping_vm_ends_only_once_nothing_is_in_flight():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    (attempt,) = driver.attempts(handle)
    driver.open(attempt.attempt_id)
    driver.post(StopAsked())
    for event_id in range(1, 7):
        driver.read(attempt.attempt_id, event_id)
        driver.run(0.8)
    assert Stopped() not in driver.actions
    driver.end(attempt.attempt_id)
    driver.run(0.1)
    assert Stopped() in driver.actions


def test_a_replica_whose_address_serves_another_gets_nothing_more():
    driver = GatewayDriver().begin()
    handle = driver.ask("/read/1")
    first, *_ = driver.attempts(handle)
    driver.answer(first.attempt_id, 421)
    later = [driver.attempts(driver.ask("/read/1"))[0].replica_id for _ in range(12)]
    assert first.replica_id not in later


def test_a_vm_that_has_not_read_the_registry_is_not_ready_and_answers_not_run():
    driver = GatewayDriver()
    driver.post(DeploymentRead(make_deployment()))
    driver.confirm_configuration()
    assert not driver.gateway.ready
    (refusal,) = driver.refusals(driver.ask("/read/1"))
    assert refusal.refusal is Refusal.NO_CONFIGURATION


@pytest.mark.parametrize(("timed_out", "given_back"), [(True, False), (False, True)])
def test_only_what_did_not_run_is_given_back_to_the_customers_cap(timed_out, given_back):
    capped = Customer("customer-1", ("key-1",), None, 1.0, 1000.0, True)
    driver = GatewayDriver().begin(make_deployment(customers=(capped,)))
    handle = driver.ask("/book/1", time_left_s=1.0)
    (attempt,) = driver.attempts(handle)
    spent = driver.gateway.caps.spent()["customer-1"]
    assert spent > 0.0
    if timed_out:
        driver.run(1.5)
    else:
        driver.answer(attempt.attempt_id, 503, not_run=True)
    assert driver.refusals(handle)
    assert driver.gateway.caps.spent().get("customer-1", 0.0) == (0.0 if given_back else spent)


def test_a_request_stops_trying_replicas_that_cannot_be_connected_and_ends_as_not_run():
    driver = GatewayDriver().begin(plains=20)
    handle = driver.ask("/book/1", time_left_s=1.0)
    while not driver.refusals(handle):
        *_, attempt = driver.attempts(handle)
        driver.fail(attempt.attempt_id, sent=False)
    assert len(driver.attempts(handle)) == CONNECT_RETRIES_MAX_COUNT + 1
    (refusal,) = driver.refusals(handle)
    assert refusal.refusal is Refusal.REPLICA_REFUSED
    assert refusal.retry_after_s is not None


# Guards against a caller that holds events and is turned away because many replicas have ended
# together with the one that ran its stream (LOST): its tries cost it next to nothing.
@pytest.mark.parametrize("try_s, tries_count", [(0.002, 12), (0.1, CONNECT_RETRIES_MAX_COUNT + 1)])
def test_a_stream_that_is_taken_up_looks_on_while_that_is_quick(try_s, tries_count):
    driver = GatewayDriver().begin(engines=16)
    handle = driver.ask("/plan/1", time_left_s=15.0, last_event_id=5, resumes_id="id-0")
    while len(driver.attempts(handle)) < 12 and not driver.refusals(handle):
        driver.now_s += try_s
        driver.fail(driver.attempts(handle)[-1].attempt_id, sent=False)
    assert len(driver.attempts(handle)) == tries_count
    assert bool(driver.refusals(handle)) is (tries_count < 12)


def test_a_stream_that_is_taken_up_is_refused_after_so_many_tries():
    driver = GatewayDriver().begin(engines=60)
    handle = driver.ask("/plan/1", time_left_s=15.0, last_event_id=5, resumes_id="id-0")
    while not driver.refusals(handle):
        driver.fail(driver.attempts(handle)[-1].attempt_id, sent=False)
    assert len(driver.attempts(handle)) == RESUMED_CONNECT_RETRIES_MAX_COUNT + 1


def test_a_request_near_its_deadline_is_not_tried_at_another_replica():
    driver = GatewayDriver().begin(plains=20)
    handle = driver.ask("/book/1", time_left_s=1.0)
    (attempt,) = driver.attempts(handle)
    driver.now_s += 0.97
    driver.fail(attempt.attempt_id, sent=False)
    assert len(driver.attempts(handle)) == 1
    assert driver.refusals(handle)
