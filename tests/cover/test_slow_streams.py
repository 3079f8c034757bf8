"""Slow but healthy streams are not cut; stalled ones end, whatever bytes they still send."""

from __future__ import annotations

import asyncio

import pytest
from gateway_driver import ASK, PLAN, GatewayDriver, make_deployment
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import (
    AbortStream,
    CancelAttempt,
    EndStream,
    ForwardEvents,
    StartAttempt,
)
from coriandershelf_core.internal.gateway.events import StreamPaused, StreamRead
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.replica_client import ConnectionPool, ForwardedRequest, run_attempt
from coriandershelf_platform.sse import EventCutter
from coriandershelf_rig.internal.standin_replica import Replica, chunk, receipt_head


def begin_stream(driver: GatewayDriver, path: str = "/plan/1") -> tuple[int, int]:
    """Send a request and read its first event; return its handle and attempt."""
    handle = driver.ask(path, time_left_s=15.0)
    (attempt,) = driver.attempts(handle)
    driver.open(attempt.attempt_id)
    driver.read(attempt.attempt_id, 1)
    return handle, attempt.attempt_id


def failures(driver: GatewayDriver) -> float:
    return sum(state.failures for state in driver.gateway.pool)


# Guards against a healthy stream that is moved or counted as failed for pauses that the route
# allows, and for a second of silence.
@pytest.mark.parametrize("pause_s", [0.5, 1.2])
def test_a_stream_whose_events_are_far_apart_is_left_alone(pause_s):
    driver = GatewayDriver().begin()
    handle, attempt_id = begin_stream(driver)
    for number in range(2, 8):
        driver.run(pause_s)
        driver.read(attempt_id, number)
    driver.end(attempt_id)
    assert len(driver.attempts(handle)) == 1 and EndStream(handle) in driver.actions
    assert failures(driver) == 0.0


# Guards against streams cut after 1.5 s on a route that states no objective between events.
def test_a_route_without_an_objective_between_events_allows_longer_pauses():
    plan = replace(PLAN, gap_objective_s=0.0)
    driver = GatewayDriver().begin(make_deployment(routes=(plan,)))
    handle, attempt_id = begin_stream(driver)
    driver.run(2.5)
    assert CancelAttempt(attempt_id) not in driver.actions
    driver.run(2.0)
    assert len(driver.attempts(handle)) == 2


# Guards against a healthy replica that is given up because its caller reads slowly: nothing was
# read from it meanwhile, which looked like silence.
def test_a_slow_caller_does_not_make_its_replica_silent():
    driver = GatewayDriver().begin()
    handle, attempt_id = begin_stream(driver)
    driver.post(StreamPaused(attempt_id, paused=True))
    driver.run(5.0)
    driver.post(StreamPaused(attempt_id, paused=False))
    driver.run(1.0)
    assert len(driver.attempts(handle)) == 1 and failures(driver) == 0.0
    driver.run(1.0)
    assert len(driver.attempts(handle)) == 2


def test_a_caller_that_never_reads_holds_its_stream_until_the_time_limit_only():
    driver = GatewayDriver().begin()
    handle, attempt_id = begin_stream(driver)
    driver.post(StreamPaused(attempt_id, paused=True))
    driver.run(15.5)
    assert AbortStream(handle) in driver.actions and failures(driver) == 0.0


# Guards against a stalled stream that stays alive by comments: they counted as events.
def test_comments_are_forwarded_but_do_not_make_a_stalled_stream_look_alive():
    driver = GatewayDriver().begin()
    handle, attempt_id = begin_stream(driver)
    for _ in range(8):
        driver.run(0.25)
        driver.post(StreamRead(attempt_id, b": ping\n\n", 0, None))
    first, second = driver.attempts(handle)
    assert second.replica_id != first.replica_id and second.last_event_id == 1
    assert ForwardEvents(handle, b": ping\n\n") in driver.actions


# Guards against a stalled replica that no one counts where the route allows no second attempt.
def test_a_stalled_stream_ends_at_the_routes_limit_and_counts_as_its_replicas_failure():
    driver = GatewayDriver().begin()
    handle, attempt_id = begin_stream(driver, "/ask/1")
    while AbortStream(handle) not in driver.actions:
        driver.run(0.25)
        driver.post(StreamRead(attempt_id, b": ping\n\n", 0, None))
    assert driver.now_s <= 100.0 + ASK.timeout_s + 0.5
    assert failures(driver) > 0.0 and len(driver.attempts(handle)) == 1


# Guards against a stream that starts again from its beginning within one response: its events have
# no ids, so a second attempt would send those again that the caller has.
def test_a_silent_stream_whose_events_have_no_ids_is_not_sent_again():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    (attempt,) = driver.attempts(handle)
    driver.open(attempt.attempt_id)
    driver.post(StreamRead(attempt.attempt_id, b"data: x\n\n", 1, None))
    driver.run(16.0)
    assert len(driver.attempts(handle)) == 1 and AbortStream(handle) in driver.actions


@pytest.mark.parametrize(
    ("data", "count"),
    [
        (b": ping\n\n", 0), (b"\n\n\n\n", 0), (b"retry: 9\n\n", 0), (b"data: x\n\n", 1),
        (b": ping\n\nid: 1\ndata: x\n\n", 2), (b"event: a\ndata: x\n\n", 1),
    ],
)  # fmt: skip
def test_only_blocks_with_content_are_events(data, count):
    events = EventCutter().feed(data)
    assert events is not None and (events.payload, events.count) == (data, count)


# Guards against a pause that is not reported, or reported for a caller that reads at once.
@pytest.mark.parametrize("slow", [False, True])
def test_an_attempt_reports_that_its_caller_is_slow(slow):
    async def script(request, connection) -> None:
        head = receipt_head(request, Transfer_Encoding="chunked") + b"\r\n"
        await connection.send(head + chunk(b"id: 1\ndata: x\n\n") + b"0\r\n\r\n")

    async def scenario() -> None:
        replica = await Replica(script).start()
        pool = ConnectionPool(steady_s, lambda: None)
        action = StartAttempt(1, 1, "r-1", replica.address, 5.0, None, None, True, False)
        request = ForwardedRequest(
            "POST", "/x", (("Host", "x"), ("X-Request-Id", "id-1")), b"", "id-1"
        )
        posted: list[object] = []
        written = asyncio.sleep(0.01) if slow else None
        await run_attempt(action, request, pool, posted.append, lambda handle: written)
        pauses = [event.paused for event in posted if isinstance(event, StreamPaused)]
        assert pauses == ([True, False] if slow else [])
        pool.close()
        await replica.stop()

    asyncio.run(scenario())
