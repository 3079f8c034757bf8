"""Upstreams of the product's own border that are killed; each is a process of its own."""

from __future__ import annotations

import asyncio

import pytest
from platform_site import ReplicaProcess

from coriandershelf_core.internal.vocabulary.actions import StartAttempt
from coriandershelf_core.internal.vocabulary.events import AttemptFailed, PlainAnswered
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_entry.internal.upstream import ConnectionPool, run_attempt
from coriandershelf_rig.internal.replica_process import Framing
from coriandershelf_rig.internal.standin_replica import Replica

PARTS_COUNT = 40
KILLED_AFTER_S = 0.3


async def ask(pool: ConnectionPool, address: str) -> object:
    posted: list[object] = []
    action = StartAttempt("a1", "r1", ServiceKind.PLAIN, "i1", address, "p", b"{}", 5.0, 0)
    await run_attempt(action, pool, posted.append, lambda request_id: None)
    return posted[-1]


# Guards against a part of a plain answer that passes for the whole: the kernel ends the connections
# of a killed process in order.
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("is_killed", [False, True])
def test_a_plain_answer_of_a_killed_upstream_does_not_look_whole(framing, is_killed):
    async def scenario() -> None:
        process = ReplicaProcess("i1", framing, PARTS_COUNT if is_killed else 5)
        await process.await_listening()
        pool = ConnectionPool()
        attempt = asyncio.create_task(ask(pool, process.address))
        if is_killed:
            await asyncio.sleep(KILLED_AFTER_S)
            process.kill()
        assert isinstance(await attempt, AttemptFailed if is_killed else PlainAnswered)
        pool.close()
        process.kill()

    asyncio.run(asyncio.wait_for(scenario(), 30.0))


# Guards against a second connection for each call to an upstream that does not need it, and against
# one that writes some answers without a length, of which none would ever count as whole.
def test_an_upstream_is_checked_unless_its_answers_have_shown_their_ends():
    framings = [Framing.LENGTH] * 2 + [Framing.CLOSE] * 2 + [Framing.LENGTH, Framing.CLOSE]
    left, calls = list(framings), []

    async def script(request, connection) -> None:
        is_framed = request.target == "/load" or left.pop(0) is Framing.LENGTH
        head = b"Content-Length: 5\r\n\r\n" if is_framed else b"\r\n"
        await connection.send(b"HTTP/1.1 200 OK\r\n" + head + b"whole")
        connection.close()

    async def scenario() -> None:
        pool, replica = ConnectionPool(), await Replica(script).start()
        for _ in framings:
            before_count = replica.connection_count
            outcome = await ask(pool, replica.address)
            opened_count = replica.connection_count - before_count
            calls.append((isinstance(outcome, PlainAnswered), opened_count))
        # Only the first answer without a length is given up.
        assert calls == [(True, 2), (True, 1), (False, 1), (True, 2), (True, 2), (True, 2)]
        await replica.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30.0))


# Guards against a call that waits for good behind the connection for its own check.
@pytest.mark.parametrize(("check_status", "is_whole"), [(b"501 X", True), (b"408 X", False)])
def test_an_upstream_may_serve_one_connection_after_the_other(check_status, is_whole):
    turn = asyncio.Lock()

    async def serve(reader, writer) -> None:
        async with turn:
            is_check = (await reader.readuntil(b"\r\n\r\n")).startswith(b"GET")
            writer.write(
                b"HTTP/1.0 " + (check_status if is_check else b"200 OK") + b"\r\n\r\nwhole"
            )
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        outcome = await ask(ConnectionPool(), address)
        assert (outcome == PlainAnswered("a1", 200, b"whole")) is is_whole
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 30.0))
