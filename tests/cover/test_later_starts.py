"""Replicas that did not state their start before a stream are asked while it runs, over loopback.

Guards against streams that are refused once they break though a replica of their version serves,
since their own replica was silent for half a second before they began; and against streams that
are joined of two versions by an answer that another start of the replica gave.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from platform_site import Response, Site
from scripted_reports import asks_to_close, is_silent, responds, states
from test_stated_starts import on_loop

from coriandershelf_rig.internal.replica_process import parts_of
from coriandershelf_rig.internal.standin_replica import (
    REPORT_TARGET,
    ReceivedRequest,
    Replica,
    ReplicaConnection,
    Script,
    chunk,
    receipt_head,
)

PARTS_COUNT = 4
STATED = "start of stream stated"
refuses = responds(b"", 503)


def whole(request_id: str) -> bytes:
    return b"".join(parts_of(request_id, True, PARTS_COUNT))


@dataclass
class StreamedReplica:
    """The script of a replica whose streams wait after their first event, and are then broken off.

    :param reports: scripts of its answers for its start, in order; the last one repeats.
    """

    reports: list[Script]
    breaks: bool = True
    may_go_on: asyncio.Event = field(default_factory=asyncio.Event)
    asked: list[int] = field(default_factory=list)
    streams: list[ReplicaConnection] = field(default_factory=list)
    replica: Replica | None = None
    connection_counts: list[int] = field(default_factory=list)

    async def __call__(self, request: ReceivedRequest, connection: ReplicaConnection) -> None:
        if request.target == REPORT_TARGET:
            script = self.reports[min(len(self.asked), len(self.reports) - 1)]
            self.asked.append(id(connection))
            await script(request, connection)
            return
        assert self.replica is not None
        self.connection_counts.append(self.replica.connection_count)
        self.streams.append(connection)
        after = int(request.headers.get("last-event-id", "0"))
        parts = parts_of(request.headers["x-request-id"], True, PARTS_COUNT)[after:]
        head = receipt_head(request, Content_Type="text/event-stream", Transfer_Encoding="chunked")
        await connection.send(head + b"\r\n")
        for number, part in enumerate(parts):
            await connection.send(chunk(part))
            if number == 0 and self.breaks:
                await self.may_go_on.wait()
                connection.reset()
                return
        await connection.send(b"0\r\n\r\n")


async def add(site: Site, reports: list[Script], name: str, **extra: object) -> StreamedReplica:
    script = StreamedReplica(reports, breaks=not site.replicas)
    script.replica = await site.add_replica("engine", script, name, **extra)
    script.replica.started_at_ms = None
    return script


async def begin(site: Site, script: StreamedReplica) -> asyncio.Task[Response]:
    """Begin a stream; return once its first event was forwarded."""
    task = asyncio.create_task(site.request("/plan/1", "id-1"))
    gateway = site.application._gateway
    while not any(item.last_event_id for item in gateway.relay.active_requests.values()):
        await asyncio.sleep(0.01)
    return task


async def await_log(site: Site, event: str) -> dict[str, object]:
    while True:
        for line in site.log_lines(event):
            return line
        await asyncio.sleep(0.01)


# Guards against a stream that is lost since its replica was silent, refused the question or ended
# the connection with its answer before the stream began.
@pytest.mark.parametrize(
    "reports",
    [
        pytest.param([is_silent, states(1)], id="silent"),
        pytest.param([refuses, states(1)], id="refuses"),
        pytest.param([refuses, refuses, states(1)], id="refuses twice"),
        pytest.param([asks_to_close], id="asks to close"),
    ],
)
@on_loop
async def test_a_stream_goes_on_whose_replica_states_its_start_while_it_runs(reports) -> None:
    async with Site() as site:
        first = await add(site, reports, "r-1")
        responding = await begin(site, first)
        line = await await_log(site, STATED)
        assert (line["start"], line["version"]) == (1, "v1")
        other = await add(site, [states(1)], "r-2", version="v1")
        newer = await add(site, [states(1)], "r-3", version="v2")
        first.may_go_on.set()
        response = await responding
        assert response.complete and response.body == whole("id-1")
        assert len(other.streams) == 1 and not newer.streams


# Guards against a proof that is none: the question on a connection that a later start may have
# accepted, or that was sent before an event of the stream was read.
@on_loop
async def test_the_second_connection_is_older_than_the_request_and_the_question_younger() -> None:
    async with Site() as site:
        first = await add(site, [is_silent, states(1)], "r-1")
        responding = await begin(site, first)
        await await_log(site, STATED)
        assert first.replica is not None
        # The first connection, on which the replica was silent, that of the stream, and the second.
        assert first.connection_counts == [3] and first.replica.connection_count == 3
        targets = [request.target for request in first.replica.received]
        assert targets == [REPORT_TARGET, "/plan/1", REPORT_TARGET]
        assert len(set(first.asked)) == 2 and id(first.streams[0]) not in first.asked
        first.may_go_on.set()
        await responding


# Guards against streams joined of two versions: the process that began the stream has ended without
# an answer, and its successor, of another version, answers at its address.
@on_loop
async def test_a_successor_does_not_tell_the_start_of_a_stream() -> None:
    may_end, ended = asyncio.Event(), asyncio.Event()

    async def ends(request, connection) -> None:
        await may_end.wait()
        # The process ends: all its connections with it.
        ended.set()
        connection.reset()
        first.streams[0].reset()

    async with Site() as site:
        first = await add(site, [is_silent, ends, states(2)], "r-1")
        responding = await begin(site, first)
        other = await add(site, [states(1)], "r-2")
        may_end.set()
        await ended.wait()
        site.register("r-1", "engine", first.replica.address, version="v2", born=2)
        await site.await_start_read("r-1", 2)
        response = await responding
        assert not response.complete
        assert not site.log_lines(STATED)
        assert (
            await site.request("/plan/2", "id-2", Last_Event_Id="1", Resumes="id-1")
        ).status != 200
        assert not [
            request
            for script in (first, other)
            for request in script.replica.received
            if "last-event-id" in request.headers
        ]


# Guards against a stream that stays of an unknown version though its replica has stated a start
# that registers later.
@on_loop
async def test_a_stream_is_of_the_version_that_the_stated_start_registers_later() -> None:
    async with Site() as site:
        first = await add(site, [is_silent, states(2)], "r-1")
        responding = await begin(site, first)
        line = await await_log(site, STATED)
        assert (line["start"], line["version"]) == (2, None)
        site.register("r-1", "engine", first.replica.address, version="v2", born=2)
        line = await await_log(site, "origin known")
        assert (line["start"], line["version"]) == (2, "v2")
        older = await add(site, [states(1)], "r-2")
        newer = await add(site, [states(1)], "r-3", version="v2")
        first.may_go_on.set()
        response = await responding
        assert response.complete and response.body == whole("id-1")
        assert len(newer.streams) == 1 and not older.streams


# Guards against a stream that is lost since it broke off while its replica was about to answer.
@on_loop
async def test_a_stream_that_breaks_off_waits_for_the_answer() -> None:
    is_added = asyncio.Event()

    async def answers_after_the_break(request, connection) -> None:
        await is_added.wait()
        first.replica.disconnected.clear()
        first.may_go_on.set()
        await first.replica.disconnected.wait()
        await asyncio.sleep(0.1)
        await states(1)(request, connection)

    async with Site() as site:
        first = await add(site, [refuses, answers_after_the_break], "r-1")
        responding = await begin(site, first)
        other = await add(site, [states(1)], "r-2")
        is_added.set()
        response = await responding
        assert response.complete and response.body == whole("id-1")
        assert len(other.streams) == 1


# Guards against a connection or a task that stays when the caller leaves meanwhile.
@on_loop
async def test_a_caller_that_leaves_ends_the_second_connection() -> None:
    async with Site() as site:
        first = await add(site, [refuses, is_silent], "r-1")
        client = await site.connect()
        client.send("/plan/1")
        while len(first.asked) < 2:
            await asyncio.sleep(0.01)
        first.replica.disconnected.clear()
        client.close()
        await first.replica.disconnected.wait()
        first.may_go_on.set()
        while site.application._attempts or first.replica._tasks:
            await asyncio.sleep(0.01)
