"""Each kind of input without an end has a bound in bytes and in time; others are served."""

from __future__ import annotations

import asyncio
import socket
import time
import tracemalloc

import pytest
from platform_site import Site
from tiny_chunks import TinyChunks

from coriandershelf_core.internal.gateway.actions import StartAttempt
from coriandershelf_core.internal.gateway.events import AnswerRead, AttemptFailed, FailureCause
from coriandershelf_platform import replica_client
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.caller_server import USER_TIMEOUT_MS
from coriandershelf_platform.http_client import CallFailure, HttpClient
from coriandershelf_platform.memory_bounds import UNCOUNTED_BYTES, ByteBudget, HeldBytes
from coriandershelf_platform.replica_client import ConnectionPool, ForwardedRequest, run_attempt
from coriandershelf_platform.replica_tunnels import TUNNELS_MAX_COUNT, TunnelServer
from coriandershelf_platform.sse import EVENT_MAX_BYTES, EventCutter, EventTooLargeError
from coriandershelf_platform.store import StoreClient, StoreFailure
from coriandershelf_rig.internal.processes import consecutive_ports
from coriandershelf_rig.internal.standin_replica import (
    Replica,
    chunk,
    receipt_head,
    receipt_response,
)

BLOCK = b"x" * 65_536


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 60.0))


async def attempt(pool: ConnectionPool, address: str, stream: bool = False) -> list[object]:
    action = StartAttempt(1, 1, "r-1", address, 5.0, None, None, stream, False)
    headers = (("Host", "x"), ("X-Request-Id", "id-1"))
    posted: list[object] = []
    request = ForwardedRequest("POST", "/x", headers, b"", "id-1")
    await run_attempt(action, request, pool, posted.append, lambda handle: None)
    return posted


async def endless_event(request, connection) -> None:
    await connection.send(receipt_head(request, Transfer_Encoding="chunked") + b"\r\n")
    while True:
        await connection.send(chunk(BLOCK))


async def endless_body(request, connection) -> None:
    await connection.send(receipt_head(request) + b"\r\n")
    while True:
        await connection.send(BLOCK)


async def endless_informational(request, connection) -> None:
    while True:
        await connection.send(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")


async def endless_head(request, connection) -> None:
    await connection.send(receipt_head(request))
    while True:
        await connection.send(b"X-More: " + b"y" * 1000 + b"\r\n")


async def endless_header(request, connection) -> None:
    await connection.send(receipt_head(request) + b"X-More: ")
    while True:
        await connection.send(BLOCK)


async def endless_extension(request, connection) -> None:
    await connection.send(receipt_head(request, Transfer_Encoding="chunked") + b"\r\n1;")
    while True:
        await connection.send(BLOCK)


async def endless_trailers(request, connection) -> None:
    await connection.send(receipt_head(request, Transfer_Encoding="chunked") + b"\r\n0\r\n")
    while True:
        await connection.send(b"X-More: " + b"y" * 1000 + b"\r\n")


# Guards against a process that serves nobody while a replica sends tiny chunks without end: each
# read was done at once, so neither other callers nor timers got a turn.
@pytest.mark.parametrize("path", ["/book/1", "/ask/1"])
def test_a_body_of_tiny_chunks_without_end_stops_no_other_caller(path):
    async def scenario() -> None:
        async with Site() as site:
            service = "engine" if path == "/ask/1" else "plain"
            sick = TinyChunks(b":" if service == "engine" else b"x")
            site.register("sick", service, sick.address)
            while site.application._gateway.pool.get("sick") is None:
                await asyncio.sleep(0.01)
            caller = await site.connect()
            caller.send(path, request_id="sick")
            while not sick.sent_bytes:
                await asyncio.sleep(0)
            response = await caller.read()
            assert response.status == 502 or not response.complete
            bounds = [line["bound"] for line in site.logs() if "bound" in line]
            assert bounds == ["chunks"]
            await asyncio.to_thread(sick.stop)

    run(scenario)


# Guards against a process that serves nobody while it reads the events of one replica: a turn of
# the loop was bounded in pieces, and a piece may hold thousands of events.
def test_pieces_of_many_events_leave_other_tasks_their_turn():
    async def scenario() -> None:
        flood = TinyChunks(b"data:\n\n" * 8192)
        pool = ConnectionPool(steady_s, lambda: None)
        action = StartAttempt(
            1, 1, "r-1", flood.address, 5.0, None, None, True, False, resumable=True
        )
        headers = (("Host", "x"), ("X-Request-Id", "id-1"))
        request = ForwardedRequest("POST", "/x", headers, b"", "id-1")
        reading = asyncio.create_task(
            run_attempt(action, request, pool, lambda event: None, lambda handle: None)
        )
        longest_s, turn_at_s = 0.0, time.monotonic()
        while not reading.done():
            await asyncio.sleep(0.001)
            now_s = time.monotonic()
            longest_s, turn_at_s = max(longest_s, now_s - turn_at_s), now_s
        assert flood.sent_bytes >= TinyChunks.MAX_BYTES
        assert longest_s < 0.15
        await asyncio.to_thread(flood.stop)

    run(scenario)


# Guards against a replica whose response has no end: it filled the memory, or kept the attempt for
# as long as it sent.
@pytest.mark.parametrize(
    ("script", "stream", "bound"),
    [
        (endless_event, True, "event"),
        (endless_body, False, "body"),
        (endless_body, True, "event"),
        (endless_informational, False, "informational"),
        (endless_head, False, None),
        (endless_header, False, None),
        (endless_extension, True, None),
        (endless_trailers, False, None),
    ],
)
def test_a_response_without_an_end_fails_its_attempt_with_a_reset(script, stream, bound):
    async def scenario() -> None:
        replica = await Replica(script).start()
        bounds: list[tuple[str, str]] = []
        pool = ConnectionPool(steady_s, lambda: None, lambda *args: bounds.append(args))
        posted = await attempt(pool, replica.address, stream)
        assert posted[-1] == AttemptFailed(1, FailureCause.MALFORMED, True)
        assert bounds == ([(bound, "r-1")] if bound else [])
        assert pool.budget.held_bytes == 0
        # The replica's next write fails, so it is not left sending.
        await replica.disconnected.wait()
        await replica.stop()

    run(scenario)


# Guards against bytes after the end of a response that are collected while the connection is idle.
def test_bytes_after_the_end_of_a_response_end_its_connection():
    async def script(request, connection) -> None:
        await connection.send(receipt_response(request))
        while True:
            await connection.send(BLOCK)

    async def scenario() -> None:
        replica = await Replica(script).start()
        pool = ConnectionPool(steady_s, lambda: None)
        for number in range(2):
            posted = await attempt(pool, replica.address)
            assert isinstance(posted[-1], AnswerRead) and posted[-1].body == b"done"
            assert replica.connection_count == number + 1
        pool.close()
        await replica.stop()

    run(scenario)


@pytest.mark.parametrize("more_bytes", [0, 1])
def test_a_body_of_the_limit_is_whole_and_a_larger_one_is_malformed(monkeypatch, more_bytes):
    monkeypatch.setattr(replica_client, "BODY_MAX_BYTES", len(BLOCK))

    async def script(request, connection) -> None:
        await connection.send(receipt_response(request, BLOCK + b"x" * more_bytes))

    async def scenario() -> None:
        replica = await Replica(script).start()
        pool = ConnectionPool(steady_s, lambda: None)
        last = (await attempt(pool, replica.address))[-1]
        assert isinstance(last, AttemptFailed if more_bytes else AnswerRead)
        pool.close()
        await replica.stop()

    run(scenario)


# Guards against many responses that are each within their limit and together exceed the memory.
def test_large_responses_share_a_budget_and_small_ones_need_none():
    budget = ByteBudget(max_bytes=3 * len(BLOCK))
    first, second, small = HeldBytes(budget), HeldBytes(budget), HeldBytes(budget)
    assert first.set(UNCOUNTED_BYTES + 2 * len(BLOCK))
    assert not second.set(UNCOUNTED_BYTES + 2 * len(BLOCK))
    assert small.set(UNCOUNTED_BYTES)
    first.set(0)
    assert second.set(UNCOUNTED_BYTES + 2 * len(BLOCK))
    second.set(0)
    assert budget.held_bytes == 0


@pytest.mark.parametrize("size", [1, 2, 7, 4096])
def test_an_event_is_bounded_however_it_is_cut(size):
    cutter = EventCutter()
    tail = b"\n\n"
    data = b"x" * (EVENT_MAX_BYTES // 8)
    for start in range(0, len(data), size):
        assert cutter.feed(data[start : start + size]) is None
    events = cutter.feed(tail[:1]) or cutter.feed(tail[1:])
    assert events is not None and events.payload == data + tail and not cutter.held_bytes
    with pytest.raises(EventTooLargeError):
        for _ in range(EVENT_MAX_BYTES // len(BLOCK) + 1):
            cutter.feed(BLOCK)


# Guards against one replica that costs the other callers of its VM memory or their answers: its
# endless events stay under the bound, and every request sent meanwhile is answered.
def test_endless_events_take_bounded_memory_and_other_callers_are_answered():
    async def respond(request, connection) -> None:
        await connection.send(receipt_response(request))

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("engine", endless_event)
            await site.add_replica("plain", respond)
            streams = [await site.connect() for _ in range(4)]
            other = await site.connect()
            tracemalloc.start()
            for number, client in enumerate(streams):
                client.send("/ask/1", request_id=f"stream-{number}")
            answered = 0
            ended = asyncio.gather(*(client.read() for client in streams))
            while not ended.done() or not answered:
                other.send("/book/1", request_id=f"id-{answered}")
                assert (await other.read()).status == 200
                answered += 1
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            assert all(not response.complete for response in await ended)
            # Twice the bound an event, for the copy at which a buffer grows, and 8 MB for the rest.
            assert peak_bytes < 2 * len(streams) * EVENT_MAX_BYTES + (8 << 20)

    run(scenario)


# Guards against an answer of the store or of the platform that has no end.
def test_an_answer_of_the_store_without_an_end_is_a_failed_call():
    async def scenario() -> None:
        store = await Replica(endless_body).start()
        client = HttpClient(lambda: store.address, steady_s)
        assert await client.call("GET", "/x", timeout_s=30.0) is CallFailure.BROKEN
        client.close()
        await store.stop()

    run(scenario)


def test_pages_of_the_store_are_bounded_together(monkeypatch):
    monkeypatch.setattr("coriandershelf_platform.store.NEWEST_MAX_BYTES", 200)
    sizes: list[int] = []

    async def script(request, connection) -> None:
        key = f"{len(sizes):04}"
        page = f'{{"items": [{{"key": "{key}", "value": "eA=="}}], "more": true, "end": 1}}'
        sizes.append(len(page))
        await connection.send(receipt_response(request, page.encode()))

    async def scenario() -> None:
        store = await Replica(script).start()
        client = StoreClient(lambda: store.address, steady_s)
        assert await client.newest("keyed.op") is StoreFailure.MALFORMED
        assert len(sizes) == 200 // sizes[0] + 1
        client.close()
        await store.stop()

    run(scenario)


class Tunnels:
    """A tunnel server with short limits, and a replica that sends when it is told to."""

    async def __aenter__(self) -> Tunnels:
        self.replica = await Replica(endless_body).start()
        self.outcomes: list[str] = []
        self.server = TunnelServer(
            lambda address: True, self.outcomes.append, head_timeout_s=0.2, idle_limit_s=0.2
        )
        port = consecutive_ports(1)
        self.server.listen(port, "127.0.0.1")
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []
        return self

    async def __aexit__(self, *_: object) -> None:
        for writer in self.writers:
            writer.close()
        self.server.close()
        await self.replica.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1024)
        self.writers.append(writer)
        return reader, writer


# Guards against peers that connect to the tunnel server and send nothing: 256 of them kept every
# tunnel of the VM for good.
def test_a_peer_that_asks_for_nothing_gives_its_tunnel_back():
    async def scenario() -> None:
        async with Tunnels() as tunnels:
            for _ in range(TUNNELS_MAX_COUNT):
                await tunnels.connect()
            while tunnels.outcomes.count("no-request") < TUNNELS_MAX_COUNT:
                await asyncio.sleep(0.01)
            assert tunnels.server.count == 0
            reader, writer = await tunnels.connect()
            writer.write(f"CONNECT {tunnels.replica.address} HTTP/1.1\r\n\r\n".encode())
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    run(scenario)


# Guards against a peer that stops reading, or goes on without a byte, and keeps its tunnel.
@pytest.mark.parametrize("requested", [False, True])
def test_a_tunnel_through_which_no_byte_passes_is_reset(requested):
    async def scenario() -> None:
        async with Tunnels() as tunnels:
            _, writer = await tunnels.connect()
            writer.write(f"CONNECT {tunnels.replica.address} HTTP/1.1\r\n\r\n".encode())
            if requested:
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await tunnels.replica.disconnected.wait()
            while tunnels.server.count:
                await asyncio.sleep(0.01)
            assert tunnels.outcomes == ["opened", "idle"]

    run(scenario)


# Guards against answers that stay in memory since their callers never read them.
def test_the_kernel_gives_up_a_caller_that_does_not_read_its_answer():
    async def respond(request, connection) -> None:
        await connection.send(receipt_response(request))

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond)
            client = await site.connect()
            client.send("/read/1")
            assert (await client.read()).status == 200
            (accepted,) = site.application._servers[0]._connections
            timeout_ms = accepted.stream.socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            assert timeout_ms == USER_TIMEOUT_MS

    run(scenario)
