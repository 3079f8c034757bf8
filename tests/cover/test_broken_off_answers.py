"""An answer that broke off halfway never reaches the caller as a complete success."""

from __future__ import annotations

import asyncio
import socket

import pytest
from platform_site import KEY, Site

from coriandershelf_core.internal.gateway.actions import StartAttempt
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    AttemptFailed,
    StreamEnded,
)
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.replica_client import ConnectionPool, ForwardedRequest, run_attempt
from coriandershelf_platform.replica_tunnels import TunnelServer
from coriandershelf_rig.internal.processes import consecutive_ports
from coriandershelf_rig.internal.standin_replica import Replica, chunk, receipt_head

EVENT = b"id: 1\ndata: x\n\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = f"Content-Length: {2 * len(EVENT)}\r\n\r\n".encode()
SHORT_LENGTH = f"Content-Length: {len(EVENT)}\r\n\r\n".encode()

# What follows the head up to the connection's end, and whether the answer is whole when that end is
# a clean one. After a reset it is whole only if its end was seen before.
FORMS = {
    "length": (LENGTH + 2 * EVENT, True, True),
    "length-larger": (LENGTH + EVENT, False, False),
    "length-smaller": (SHORT_LENGTH + 2 * EVENT, True, True),
    "chunked": (CHUNKED + chunk(EVENT) + b"0\r\n\r\n", True, True),
    "chunked-no-last": (CHUNKED + chunk(EVENT), False, False),
    "chunked-within-chunk": (CHUNKED + chunk(EVENT)[:-6], False, False),
    "chunked-within-end": (CHUNKED + chunk(EVENT) + b"0\r\n", False, False),
    "unframed": (b"\r\n" + EVENT, True, False),
    "no-body": (b"\r\n", True, False),
    "head-only": (LENGTH, False, False),
    "within-head": (b"X-More: y", False, False),
}


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


def make_script(data: bytes, reset: bool):
    async def script(request, connection) -> None:
        await connection.send(receipt_head(request) + data)
        # What was sent must be read before a reset, which would discard it.
        await asyncio.sleep(0.05)
        connection.reset() if reset else connection.close()

    return script


async def attempt(pool: ConnectionPool, address: str, stream: bool, relay: str | None = None):
    action = StartAttempt(1, 1, "r-1", address, 5.0, None, None, stream, False, relay_address=relay)
    headers = (("Host", "x"), ("X-Request-Id", "id-1"))
    request = ForwardedRequest("POST", "/x", headers, b"", "id-1")
    posted: list[object] = []
    await run_attempt(action, request, pool, posted.append, lambda handle: None)
    return posted[-1]


# Guards against a part of an answer that passes for the whole, directly and through a tunnel.
@pytest.mark.parametrize("tunnel", [False, True])
@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("form", FORMS)
def test_only_an_answer_whose_end_was_seen_is_whole(form, stream, tunnel):
    data, whole_if_closed, whole_if_reset = FORMS[form]

    async def scenario() -> None:
        for reset, whole in ((False, whole_if_closed), (True, whole_if_reset)):
            replica = await Replica(make_script(data, reset)).start()
            server = TunnelServer(lambda address: True, lambda outcome: None)
            port = consecutive_ports(1)
            server.listen(port, "127.0.0.1")
            pool = ConnectionPool(steady_s, lambda: None)
            relay = f"127.0.0.1:{port}" if tunnel else None
            last = await attempt(pool, replica.address, stream, relay)
            expected = StreamEnded if stream else AnswerRead
            assert isinstance(last, expected if whole else AttemptFailed), (reset, last)
            pool.close()
            server.close()
            await replica.stop()

    run(scenario)


@pytest.mark.parametrize("cut", range(1, len(EVENT)))
def test_a_stream_that_ends_within_an_event_is_broken_off(cut):
    async def scenario() -> None:
        replica = await Replica(make_script(b"\r\n" + EVENT + EVENT[:cut], False)).start()
        pool = ConnectionPool(steady_s, lambda: None)
        assert isinstance(await attempt(pool, replica.address, stream=True), AttemptFailed)
        await replica.stop()

    run(scenario)


# Guards against an answer without length or chunks that looks whole because the process of the
# other VM ended: the kernel then closes its sockets, cleanly by default.
def test_a_tunnel_whose_process_ends_is_reset():
    async def script(request, connection) -> None:
        await connection.send(receipt_head(request) + b"\r\npart of")
        await asyncio.sleep(30.0)

    async def scenario() -> None:
        replica = await Replica(script).start()
        server = TunnelServer(lambda address: True, lambda outcome: None)
        port = consecutive_ports(1)
        server.listen(port, "127.0.0.1")
        pool = ConnectionPool(steady_s, lambda: None)
        asking = asyncio.create_task(attempt(pool, replica.address, False, f"127.0.0.1:{port}"))
        while not replica.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        for stream in list(server._streams):
            # As the kernel does when a process ends, without a step of this program.
            asyncio.get_running_loop().remove_reader(stream.socket.fileno())
            socket.close(stream.socket.detach())
        assert isinstance(await asking, AttemptFailed)
        await replica.stop()

    run(scenario)


def request_1_0(path: str, keep_alive: bool) -> bytes:
    lines = [
        f"POST {path} HTTP/1.0", "Host: site.example", "X-Request-Id: id-1", f"X-Api-Key: {KEY}",
        "Content-Length: 0",
    ]  # fmt: skip
    if keep_alive:
        lines.append("Connection: keep-alive")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


# Guards against a stream to a caller of HTTP/1.0, which has no chunks: its end is the connection's,
# so a broken stream must end with a reset and a whole one with a clean end.
@pytest.mark.parametrize("keep_alive", [False, True])
@pytest.mark.parametrize("whole", [False, True])
def test_a_caller_without_chunks_can_tell_a_broken_stream_from_a_whole_one(whole, keep_alive):
    end = b"0\r\n\r\n" if whole else b""

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("engine", make_script(CHUNKED + chunk(EVENT) + end, False))
            client = await site.connect()
            client.send_raw(request_1_0("/ask/1", keep_alive))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head.splitlines()[0]
            if whole:
                assert await client.reader.read() == EVENT
            else:
                with pytest.raises(ConnectionResetError):
                    while await client.reader.read(1):
                        pass

    run(scenario)


@pytest.mark.parametrize("path", ["/ask/1", "/read/1", "/book/1"])
@pytest.mark.parametrize("form", [form for form in FORMS if not FORMS[form][1]])
def test_a_caller_gets_no_complete_success_from_a_broken_answer(path, form):
    async def scenario() -> None:
        async with Site() as site:
            service = "engine" if path.startswith("/ask") else "plain"
            for _ in range(2):
                await site.add_replica(service, make_script(FORMS[form][0], False))
            client = await site.connect()
            client.send(path)
            response = await client.read()
            assert not (response.status == 200 and response.complete)

    run(scenario)


# Responses that have no body by definition are whole though their length says otherwise.
@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)])
def test_a_response_without_a_body_is_whole_with_its_head(method, status):
    async def script(request, connection) -> None:
        await connection.send(receipt_head(request, status, Content_Length="9") + b"\r\n")

    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", script)
            client = await site.connect()
            for number in range(2):
                client.send("/read/1", f"id-{number}", method)
                head = (await client.reader.readuntil(b"\r\n\r\n")).decode()
                assert f" {status} " in head.splitlines()[0]
            assert len(replica.received) == 2

    run(scenario)
