"""Every refusal, retry and change of known state has its counter and log line."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from gateway_driver import ENGINE, GatewayDriver, make_deployment, make_replicas
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import (
    Action,
    IncrementCounter,
    LogLine,
    Refusal,
    RejectRequest,
    RetryReason,
)
from coriandershelf_core.internal.gateway.deployment import Customer, Replica
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import (
    AttemptFailed,
    DigestArrived,
    FailureCause,
    ReplicasRead,
    StartStated,
    StopAsked,
)
from coriandershelf_core.internal.gateway.replica_starts import NoStart
from coriandershelf_core.internal.gateway.response_ends import CONFIRMED_WITHIN_S


def start(driver: GatewayDriver, path: str, **changes: object) -> int:
    """Post a request; return the id of its attempt."""
    return driver.attempts(driver.ask(path, **changes))[0].attempt_id


def no_configuration(driver: GatewayDriver) -> None:
    GatewayDriver.ask(driver, "/read/1")


def stale_keys(driver: GatewayDriver) -> None:
    driver.begin().run(6.0, confirmed=False)
    driver.ask("/read/1")


def no_room(driver: GatewayDriver) -> None:
    driver.begin(plains=1)
    for _ in range(20):
        driver.ask("/read/1")


def replica_refused(driver: GatewayDriver) -> None:
    driver.begin()
    driver.answer(start(driver, "/book/1"), 503, not_run=True)


def poison(driver: GatewayDriver) -> None:
    driver.begin(engines=5)
    for _ in range(3):
        driver.fail(start(driver, "/ask/1", fingerprint=99))
    driver.ask("/ask/1", fingerprint=99)


def stopping(driver: GatewayDriver) -> None:
    driver.begin().post(StopAsked())
    start(driver, "/plan/1", time_left_s=15.0)
    driver.run(4.0)
    driver.ask("/read/1")


def timeout(driver: GatewayDriver) -> None:
    start(driver.begin(), "/book/1", time_left_s=0.5)
    driver.run(1.0)


def unknown_outcome(driver: GatewayDriver) -> None:
    driver.fail(start(driver.begin(), "/book/1"))


def cap(driver: GatewayDriver) -> None:
    capped = Customer("customer-1", ("key-1",), None, 1.0, 10.0, True)
    driver.begin(make_deployment(customers=(capped,)))
    driver.ask("/read/1")
    driver.ask("/read/1")


def unlike_versions(driver: GatewayDriver) -> None:
    replicas = make_replicas(engines=2, plains=0)
    replicas["engine-0"] = replace(replicas["engine-0"], software_version="v2")
    driver.begin(engines=0).post(ReplicasRead(replicas))


def no_version(driver: GatewayDriver) -> None:
    unlike_versions(driver)
    driver.prove_registry()
    attempt = start(driver, "/plan/1")
    driver.open(attempt)
    driver.read(attempt, 1)
    driver.post(ReplicasRead({driver.attempts(1)[0].replica_id: None}))
    driver.ask("/plan/1", last_event_id=1, resumes_id="id-1")


def unknown_version(driver: GatewayDriver) -> None:
    unlike_versions(driver)
    driver.ask("/plan/1", last_event_id=1, resumes_id="gone")
    driver.run(0.1)


REFUSALS: dict[Refusal, Callable[[GatewayDriver], object]] = {
    Refusal.NO_CONFIGURATION: no_configuration,
    Refusal.STALE_KEYS: stale_keys,
    Refusal.NO_ROUTE: lambda driver: driver.begin().ask("/nowhere"),
    Refusal.UNKNOWN_KEY: lambda driver: driver.begin().ask("/read/1", key="other"),
    Refusal.BODY_TOO_LARGE: lambda driver: driver.begin().ask("/read/1", body_bytes=1 << 30),
    Refusal.HEADER_TOO_LARGE: lambda driver: driver.begin().ask("/read/1", header_bytes=1 << 20),
    Refusal.NO_MEMORY: lambda driver: driver.begin().ask("/read/1", body_kept=False),
    Refusal.CAP: cap,
    Refusal.NO_REPLICA: lambda driver: driver.begin(plains=0).ask("/read/1"),
    Refusal.NO_ROOM: no_room,
    Refusal.REPLICA_REFUSED: replica_refused,
    Refusal.NO_VERSION: no_version,
    Refusal.UNKNOWN_VERSION: unknown_version,
    Refusal.POISON: poison,
    Refusal.STOPPING: stopping,
    Refusal.TIMEOUT: timeout,
    Refusal.UNKNOWN_OUTCOME: unknown_outcome,
}


@pytest.mark.parametrize("refusal", list(Refusal))
def test_a_refusal_has_its_counter_and_its_line(refusal: Refusal):
    driver = GatewayDriver()
    REFUSALS[refusal](driver)
    refused = [item for item in driver.actions if isinstance(item, RejectRequest)]
    assert refusal in {item.refusal for item in refused}
    assert IncrementCounter("refusals", refusal.value) in driver.actions
    lines = [
        item for item in driver.actions if isinstance(item, LogLine) and item.event == "refused"
    ]
    assert len(lines) == len(refused)
    fields = [dict(item.fields) for item in lines]
    assert any(item["reason"] == refusal.value and item["request_id"] for item in fields)


def resumed(driver: GatewayDriver) -> None:
    attempt = start(driver, "/plan/1", time_left_s=15.0)
    driver.open(attempt)
    driver.read(attempt, 1)
    driver.fail(attempt)


def left(driver: GatewayDriver) -> None:
    attempt = driver.attempts(driver.ask("/plan/1", time_left_s=15.0))[0]
    driver.post(ReplicasRead({attempt.replica_id: None}))
    driver.fail(attempt.attempt_id)


def other_start(driver: GatewayDriver) -> None:
    attempt = start(driver, "/plan/1", last_event_id=1, time_left_s=15.0)
    driver.post(AttemptFailed(attempt, FailureCause.OTHER_START, sent=False, start=5))


def unconfirmed(driver: GatewayDriver) -> None:
    driver.answer(start(driver, "/read/1"), is_close_delimited=True)
    driver.run(CONFIRMED_WITHIN_S + 0.1)


def silent(driver: GatewayDriver) -> None:
    start(driver, "/read/1")
    driver.run(0.9)


RETRIES: dict[RetryReason, Callable[[GatewayDriver], object]] = {
    RetryReason.CONNECT: lambda driver: driver.fail(start(driver, "/book/1"), sent=False),
    RetryReason.MISDIRECTED: lambda driver: driver.answer(start(driver, "/read/1"), 421),
    RetryReason.NOT_RUN: lambda driver: driver.answer(start(driver, "/read/1"), 503, not_run=True),
    RetryReason.FAILED: lambda driver: driver.fail(start(driver, "/read/1")),
    RetryReason.SERVER_ERROR: lambda driver: driver.answer(start(driver, "/read/1"), 500),
    RetryReason.SILENT: silent,
    RetryReason.RESUMED: resumed,
    RetryReason.LEFT: left,
    RetryReason.OTHER_START: other_start,
    RetryReason.UNCONFIRMED: unconfirmed,
}


@pytest.mark.parametrize("reason", list(RetryReason))
def test_a_repeat_has_its_counter_and_its_line(reason: RetryReason):
    driver = GatewayDriver().begin()
    RETRIES[reason](driver)
    assert IncrementCounter("retries", reason.value) in driver.actions
    lines = [
        item for item in driver.actions if isinstance(item, LogLine) and item.event == "sent again"
    ]
    assert [dict(item.fields)["reason"] for item in lines] == [reason.value]
    fields = dict(lines[0].fields)
    assert fields["request_id"] and fields["replica"] and fields["trouble"] is not None


def events_of(actions: list[Action]) -> list[str]:
    return [item.event for item in actions if isinstance(item, LogLine)]


def test_each_change_of_what_a_vm_believes_has_its_line():
    driver = GatewayDriver().begin()
    assert {"configuration in force", "replica registered"} <= set(events_of(driver.actions))
    gone = driver.post(ReplicasRead({f"{ENGINE}-0": None}))
    assert events_of(gone) == ["replica gone from the registry"]
    back = driver.post(ReplicasRead({f"{ENGINE}-0": make_replicas()[f"{ENGINE}-0"]}))
    assert events_of(back) == ["replica registered"]
    digest = Digest("vm-2", "vm-2:1", "zone", 1, 1, 0.0, left={f"{ENGINE}-0": 0})
    marked = driver.post(DigestArrived(digest))
    assert "replica leaves, as another VM read" in events_of(marked)
    assert "replica unreachable" in events_of(driver.fail(start(driver, "/read/1"), sent=False))
    shut_out = [driver.fail(start(driver, "/book/1")) for _ in range(12)]
    assert any("replica shut out" in events_of(actions) for actions in shut_out)
    assert "stop asked" in events_of(driver.post(StopAsked()))


def test_a_registry_entry_is_logged_with_what_is_believed_of_it():
    driver = GatewayDriver().begin()
    replica = Replica("new", ENGINE, "10.0.9.1:80", "zone-1", 8, True, True)
    (line,) = [
        item for item in driver.post(ReplicasRead({"new": replica})) if isinstance(item, LogLine)
    ]
    fields = dict(line.fields)
    assert (fields["replica"], fields["leaving"], fields["reclaimable"]) == ("new", 1, 1)


def test_a_stated_start_and_what_it_makes_known_have_their_lines():
    driver = GatewayDriver().begin(engines=1)
    attempt = start(driver, "/plan/1", time_left_s=15.0)
    assert "replica states another start" in events_of(driver.read_head(attempt, 5))
    driver.open(attempt)
    assert "stream began" in events_of(driver.read(attempt, 1))
    registered = replace(make_replicas(engines=1)[f"{ENGINE}-0"], started_at_ms=5)
    driver.post(ReplicasRead({f"{ENGINE}-0": registered}))
    assert "origin known" in events_of(driver.run(0.2))


def test_a_start_that_is_stated_while_a_stream_runs_has_its_line():
    driver = GatewayDriver().begin(engines=1)
    born = make_replicas(engines=1)[f"{ENGINE}-0"].started_at_ms
    attempt = start(driver, "/plan/1", time_left_s=15.0)
    driver.read_head(attempt, NoStart.NO_ANSWER)
    driver.open(attempt)
    assert "stream began" in events_of(driver.read(attempt, 1))
    assert not events_of(driver.post(StartStated(attempt, NoStart.NO_ANSWER)))
    lines = [item for item in driver.post(StartStated(attempt, born)) if isinstance(item, LogLine)]
    (fields,) = [dict(item.fields) for item in lines if item.event == "start of stream stated"]
    assert (fields["start"], fields["version"]) == (born, "")
    # Neither a second answer nor one to an attempt that has ended changes anything.
    assert not events_of(driver.post(StartStated(attempt, born)))
    assert not events_of(driver.post(StartStated(99, born)))
