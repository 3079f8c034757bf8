"""Replicas are asked on a connection which start of them answers, over loopback."""

from __future__ import annotations

import asyncio
import math
from functools import wraps

import pytest
from platform_site import Response, Site
from scripted_reports import (
    PARTS_COUNT,
    STREAM,
    UNSOUND,
    Reporter,
    add_replica,
    asks_to_close,
    is_silent,
    responds,
    states,
    stream_and_close,
)

from coriandershelf_core.internal.gateway.actions import StartAttempt
from coriandershelf_core.internal.gateway.events import (
    AttemptFailed,
    FailureCause,
    ResponseHeadRead,
    StreamEnded,
)
from coriandershelf_core.internal.gateway.replica_starts import NoStart
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.replica_client import ConnectionPool, ForwardedRequest, run_attempt
from coriandershelf_platform.replica_tunnels import TunnelServer
from coriandershelf_rig.internal.processes import consecutive_ports
from coriandershelf_rig.internal.replica_process import (
    Framing,
    parts_of,
)
from coriandershelf_rig.internal.standin_replica import (
    REPORT_TARGET,
    ReceivedRequest,
    Replica,
    receipt_head,
    receipt_response,
    report_response,
)

LONG_PARTS_COUNT = 40


def on_loop(scenario):
    """Make a test of a coroutine function."""

    @wraps(scenario)
    def test(**parameters: object) -> None:
        asyncio.run(asyncio.wait_for(scenario(**parameters), 60.0))

    return test


def whole(request_id: str, parts_count: int = PARTS_COUNT) -> bytes:
    return b"".join(parts_of(request_id, True, parts_count))


async def resume(site: Site, stream_id: str, request_id: str) -> Response:
    return await site.request("/plan/1", request_id, Last_Event_Id="1", Resumes=stream_id)


def targets(replica: Replica) -> list[str]:
    return [request.target for request in replica.received]


def resumptions(replica: Replica) -> list[ReceivedRequest]:
    return [request for request in replica.received if "last-event-id" in request.headers]


# Guards against a request for the start with each stream, which costs the replica a request more.
@on_loop
async def test_a_replica_is_asked_once_on_a_connection_that_is_kept() -> None:
    async with Site() as site:
        replica = await add_replica(site, Reporter(states(1)))
        for number in range(3):
            response = await site.request(f"/plan/{number}", f"id-{number}")
            assert response.complete and response.body == whole(f"id-{number}")
        assert targets(replica) == [REPORT_TARGET, "/plan/0", "/plan/1", "/plan/2"]
        assert replica.connection_count == 1
        assert replica.received[0].headers["x-expect-instance"] == "engine-1"
        began = site.log_lines("stream began")
        assert [(line["start"], line["version"]) for line in began] == [(1, "v1")] * 3


# Guards against requests for the start where no stream could be resumed, so that none needs it.
@pytest.mark.parametrize("path", ["/ask/1", "/book/1", "/read/1"])
@on_loop
async def test_replicas_are_not_asked_where_nothing_can_be_resumed(path) -> None:
    async with Site() as site:
        service = "engine" if path == "/ask/1" else "plain"
        replica = await add_replica(site, Reporter(states(1)), service=service)
        for number in range(2):
            assert (await site.request(path, f"id-{number}")).complete
        assert targets(replica) == [path, path]


# Guards against a stream that does not begin since its replica's report is unsound, and against
# one whose version is taken for known nevertheless.
@pytest.mark.parametrize("case", UNSOUND)
@on_loop
async def test_a_stream_begins_without_a_start_where_the_report_is_unsound(case) -> None:
    report, reason = UNSOUND[case]

    async with Site() as site:
        replica = await add_replica(site, Reporter(report))
        response = await site.request("/plan/1", "id-1")
        assert response.complete and response.body == whole("id-1")
        assert targets(replica).count("/plan/1") == 1
        (began,) = site.log_lines("stream began")
        assert began["start"] == reason
        assert reason == "not-stated" or began["version"] is None


# Guards against a stream that goes on at a replica that does not say which start of it answers, and
# against one that goes on nowhere although another replica of its version serves.
@pytest.mark.parametrize("case", UNSOUND)
@on_loop
async def test_a_stream_is_resumed_elsewhere_where_the_report_is_unsound(case) -> None:
    async with Site() as site:
        script = Reporter(states(1), stream_and_close)
        first = await add_replica(site, script)
        assert (await site.request("/plan/1", "id-1")).complete
        other = await add_replica(site, Reporter(states(1)), version="v2")
        script.report = UNSOUND[case][0]
        response = await resume(site, "id-1", "id-2")
        assert response.status != 200
        assert first.received[-1].target == REPORT_TARGET
        sound = await add_replica(site, Reporter(states(1)))
        response = await resume(site, "id-1", "id-3")
        assert response.complete
        assert response.body == b"".join(parts_of("id-3", True, PARTS_COUNT)[1:])
        assert not resumptions(first) and not resumptions(other)
        assert len(resumptions(sound)) == 1


# Guards against a stream of an unknown version, since its replica ended the connection once.
@on_loop
async def test_a_replica_that_closes_the_connection_after_a_report_is_asked_on_another() -> None:
    asked: list[str] = []

    async def report(request, connection) -> None:
        asked.append(request.headers["x-request-id"])
        await (asks_to_close if len(asked) == 1 else states(1))(request, connection)

    async with Site() as site:
        replica = await add_replica(site, Reporter(report))
        assert (await site.request("/plan/1", "id-1")).body == whole("id-1")
        assert targets(replica) == [REPORT_TARGET, REPORT_TARGET, "/plan/1"]
        assert replica.connection_count == 2 and len(set(asked)) == 2
        (began,) = site.log_lines("stream began")
        assert (began["start"], began["version"]) == (1, "v1")


# Guards against a late copy of another response on a kept connection that passes for the report.
@on_loop
async def test_a_late_copy_in_place_of_the_report_states_nothing() -> None:
    async def late_copy_first(request, connection) -> None:
        if replica.connection_count == 1:
            await connection.send(receipt_response(replica.received[0], b'{"born":7}'))
        await connection.send(report_response(request, 1))

    async with Site() as site:
        replica = await add_replica(site, Reporter(late_copy_first))
        await site.request("/ask/1", "id-1")
        assert (await site.request("/plan/1", "id-2")).body == whole("id-2")
        assert targets(replica) == ["/ask/1", REPORT_TARGET, REPORT_TARGET, "/plan/1"]
        (began,) = site.log_lines("stream began")
        assert (began["start"], began["version"]) == (1, "v1")


# Guards against a second copy of the report that reaches a caller as the response to its request.
@pytest.mark.parametrize("is_late", [False, True])
@on_loop
async def test_a_second_copy_of_the_report_is_no_response_to_the_stream(is_late) -> None:
    copies: list[bytes] = []

    async def report(request, connection) -> None:
        copies.append(report_response(request, 1))
        is_twice = len(copies) == 1 and not is_late
        await connection.send(copies[-1] * (2 if is_twice else 1))

    async def stream(request, connection) -> None:
        if len(copies) == 1:
            await connection.send(copies[0])
        await STREAM(request, connection)

    async with Site() as site:
        for _ in range(2):
            await add_replica(site, Reporter(report, stream))
        response = await site.request("/plan/1", "id-1")
        assert response.complete and response.body == whole("id-1")
        sent = [target for replica in site.replicas for target in targets(replica)]
        assert sent.count(REPORT_TARGET) == len(copies) == 2
        assert sent.count("/plan/1") == (2 if is_late else 1)


# Guards against a stream that fails since its replica was killed after it had stated its start.
@on_loop
async def test_a_replica_that_ends_between_report_and_request_is_replaced_by_another() -> None:
    ended: list[Replica] = []

    async def end(request, connection) -> None:
        await connection.send(report_response(request, 1))
        (replica,) = [item for item in site.replicas if request in item.received]
        if not ended:
            ended.append(replica)
            connection.reset()
            assert replica._server is not None
            replica._server.close()

    async with Site() as site:
        for _ in range(2):
            await add_replica(site, Reporter(end))
        response = await site.request("/plan/1", "id-1")
        assert response.complete and response.body == whole("id-1")
        assert len(ended) == 1
        (serving,) = [item for item in site.replicas if item not in ended]
        assert targets(serving) == [REPORT_TARGET, "/plan/1"]


# Guards against a connection and a task that stay when the caller leaves while a replica is asked.
@on_loop
async def test_a_caller_that_leaves_while_the_replica_is_asked_ends_the_connection() -> None:
    asked = asyncio.Event()

    async def report(request, connection) -> None:
        asked.set()
        await is_silent(request, connection)

    async with Site() as site:
        replica = await add_replica(site, Reporter(report))
        client = await site.connect()
        client.send("/plan/1")
        await asked.wait()
        client.close()
        await replica.disconnected.wait()
        while site.application._attempts or site.application._gateway.relay.active_requests:
            await asyncio.sleep(0.01)
        assert targets(replica) == [REPORT_TARGET] and replica.connection_count == 1


# Guards against streams joined of two versions, since a killed process's successor has its id and
# address and has not registered; a connection of the former process is kept with chunks only.
@pytest.mark.parametrize("framing", [Framing.CHUNKS, Framing.CLOSE])
@pytest.mark.parametrize("version", [None, "v1", "v2"])
@on_loop
async def test_a_stream_goes_on_at_a_process_that_started_again_only_at_its_version(
    version, framing
) -> None:
    async with Site() as site:
        process = await site.add_process("engine", framing, PARTS_COUNT)
        response = await site.request("/plan/1", "id-1")
        assert response.complete and response.body == whole("id-1")
        process.kill()
        process.start()
        await process.await_listening()
        if version is not None:
            born = process.started_at_ms
            site.register(process.name, "engine", process.address, version=version, born=born)
            await site.await_start_read(process.name, born)
        response = await resume(site, "id-1", "id-2")
        assert (response.status == 200) is (version == "v1")
        starts = [line["start"] for line in site.log_lines("stream resumed")]
        assert starts == ([process.started_at_ms] if version == "v1" else [])


# Guards against a stream that looks complete, or goes on at another version, as its process was
# killed in the middle and the next one, unregistered, answers at its address.
@pytest.mark.parametrize("framing", [Framing.CHUNKS, Framing.CLOSE])
@on_loop
async def test_a_stream_broken_by_a_restart_goes_on_at_another_process_of_its_version(
    framing,
) -> None:
    async with Site(renews=True) as site:
        processes = [await site.add_process("engine", framing, LONG_PARTS_COUNT) for _ in range(2)]
        responding = asyncio.create_task(site.request("/plan/1", "id-1"))
        active_requests = site.application._gateway.relay.active_requests
        while not any(item.last_event_id for item in active_requests.values()):
            await asyncio.sleep(0.01)
        (active,) = active_requests.values()
        (process,) = [item for item in processes if item.name == active.replica_id]
        (other,) = [item for item in processes if item is not process]
        process.kill()
        process.start()
        await process.await_listening()
        response = await responding
        assert response.complete and response.body == whole("id-1", LONG_PARTS_COUNT)
        (line,) = site.log_lines("stream resumed")
        assert (line["replica"], line["start"]) == (other.name, other.started_at_ms)


# Guards against the end of a killed process's connection that passes for the end of its stream,
# since the next process answers at its address.
@pytest.mark.parametrize("is_same", [False, True])
@on_loop
async def test_the_end_of_a_stream_is_confirmed_only_by_the_start_that_sent_it(is_same) -> None:
    born = [1]

    async def report(request, connection) -> None:
        await states(born[0])(request, connection)

    async def stream(request, connection) -> None:
        await connection.send(receipt_head(request) + b"\r\n" + whole("id-1"))
        born[0] = 1 if is_same else 2
        connection.close()

    async with Site() as site:
        replica = await add_replica(site, Reporter(report, stream))
        response = await site.request("/plan/1", "id-1")
        assert response.body == whole("id-1")
        assert response.complete is is_same
        # It was not asked at the connection's beginning only, but once more on a new one.
        assert targets(replica)[:3] == [REPORT_TARGET, "/plan/1", REPORT_TARGET]
        assert replica.connection_count >= 2
        assert "/health" not in targets(replica)


# Guards against streams joined of two versions, since the store executes what a former process
# wrote while its successor answers, registered or not.
@pytest.mark.parametrize("is_registered", [False, True])
@on_loop
async def test_a_late_registration_of_a_former_process_joins_no_stream(is_registered) -> None:
    async with Site() as site:
        script = Reporter(states(1), stream_and_close)
        restarted = await add_replica(site, script, "r-1")
        assert (await site.request("/plan/1", "id-1")).complete
        script.report = states(2)
        if is_registered:
            site.register("r-1", "engine", restarted.address, version="v2", born=2)
            await site.await_start_read("r-1", 2)
        for number in range(2):
            site.register("r-1", "engine", restarted.address, seq=2 + number)
            # What is written later is read later.
            await site.add_replica("plain", Reporter(states(1)), f"later-{number}")
            assert (await resume(site, "id-1", f"id-late-{number}")).status != 200
        # A stream that the successor begins is not one of the former version either.
        assert (await site.request("/plan/1", "id-2")).complete
        (began,) = [line for line in site.log_lines("stream began") if line["start"] == 2]
        assert began["version"] == ("v2" if is_registered else None)
        sound = await add_replica(site, Reporter(states(1)), "r-2")
        response = await resume(site, "id-2", "id-3")
        assert response.status != 200 or is_registered
        assert (await resume(site, "id-1", "id-4")).complete
        assert [item.headers["x-request-id"] for item in resumptions(sound)] == ["id-4"]
        joined = {item.headers["x-request-id"] for item in resumptions(restarted)}
        assert joined == ({"id-3"} if response.status == 200 else set())


# Guards against a stream that goes on at a replica that states no start, on a connection that a
# process may have accepted which has not registered yet (ORDER).
@on_loop
async def test_a_stream_goes_on_without_a_stated_start_on_an_old_connection_only() -> None:
    async with Site() as site:
        replica = await add_replica(site, Reporter(responds(b"no report")))
        pool = ConnectionPool(steady_s, lambda: None)

        async def attempt(number: int, registered_by_s: float) -> list[object]:
            action = StartAttempt(
                number, number, "engine-1", replica.address, 5.0, None, None, True, False,
                resumable=True, asks_start=True, required_start_ms=1 if number else None,
                registered_by_s=registered_by_s,
            )  # fmt: skip
            headers = (("Host", "x"), ("X-Request-Id", f"id-{number}"))
            forwarded = ForwardedRequest("POST", "/plan/1", headers, b"", f"id-{number}")
            posted: list[object] = []
            await run_attempt(action, forwarded, pool, posted.append, lambda handle: None)
            return posted

        before_s = steady_s()
        head, *_, last = await attempt(0, -math.inf)
        assert head.start is NoStart.NOT_STATED and isinstance(last, StreamEnded)
        (failed,) = await attempt(1, before_s)
        assert isinstance(failed, AttemptFailed) and failed.cause is FailureCause.OTHER_START
        assert not failed.sent and failed.start is NoStart.NOT_STATED
        head, *_, last = await attempt(2, steady_s())
        assert head.connected_at_s < steady_s() and isinstance(last, StreamEnded)
        assert targets(replica).count("/plan/1") == 2
        assert replica.connection_count == 1


async def attempt_through(
    relay_address: str, address: str, pool: ConnectionPool, number: int, start_ms: int | None
) -> list[object]:
    """Run an attempt at a replica through another entry VM; return what it posted."""
    action = StartAttempt(
        number, number, "r-1", address, 5.0, None, None, True, False,
        relay_address=relay_address, resumable=True, asks_start=True, required_start_ms=start_ms,
    )  # fmt: skip
    headers = (("Host", "x"), ("X-Request-Id", f"id-{number}"))
    forwarded = ForwardedRequest("POST", "/plan/1", headers, b"", f"id-{number}")
    posted: list[object] = []
    await run_attempt(action, forwarded, pool, posted.append, lambda handle: None)
    return posted


# Guards against a kept connection through another VM that passes for one to the killed process.
@on_loop
async def test_a_process_that_started_again_is_told_apart_through_a_tunnel() -> None:
    async with Site() as site:
        process = await site.add_process("engine", Framing.CHUNKS, PARTS_COUNT)
        server = TunnelServer(lambda address: True, lambda outcome: None)
        port = consecutive_ports(1)
        server.listen(port, "127.0.0.1")
        pool = ConnectionPool(steady_s, lambda: None)
        through = f"127.0.0.1:{port}", process.address, pool
        former_ms = process.started_at_ms
        for number in range(2):
            head, *_, last = await attempt_through(*through, number, former_ms)
            assert isinstance(head, ResponseHeadRead) and head.start == former_ms
            # The second one is sent on the connection of the first one, which is kept.
            assert head.was_asked is (number == 0) and isinstance(last, StreamEnded)
        process.kill()
        process.start()
        await process.await_listening()
        start_ms = process.started_at_ms
        assert await attempt_through(*through, 2, former_ms) == [
            AttemptFailed(2, FailureCause.OTHER_START, False, start_ms, was_asked=True)
        ]
        head, *_, last = await attempt_through(*through, 3, start_ms)
        assert isinstance(head, ResponseHeadRead) and head.start == start_ms
        assert isinstance(last, StreamEnded)
        pool.close()
        server.close()
