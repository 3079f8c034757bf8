"""Bodies of requests reach their replica whole, or their requests are refused as not run."""

from __future__ import annotations

import asyncio

import pytest
from platform_site import Client, Response, Site, make_configuration

from coriandershelf_platform.memory_bounds import ByteBudget
from coriandershelf_rig.internal.standin_replica import Replica, receipt_response
from coriandershelf_rig.internal.standin_store import OPERATOR_TOPIC

MEGABYTE = 1 << 20


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


async def answer(request, connection) -> None:
    await connection.send(receipt_response(request, b"done"))


async def set_body_limit(site: Site, version: int, max_bytes: int) -> None:
    configuration = make_configuration(version)
    configuration["limits"] = {"max_header_bytes": 16384, "max_body_bytes": max_bytes}
    site.store.put(OPERATOR_TOPIC, "config", configuration)
    while site.application._gateway.body_max_bytes != max_bytes:
        await asyncio.sleep(0.01)


async def book(client: Client, body: bytes, request_id: str = "id-1") -> Response:
    client.send("/book/1", request_id=request_id, body=body)
    return await client.read()


def bodies_of(replica: Replica) -> list[bytes]:
    return [request.body for request in replica.received if request.method == "POST"]


# Guards against a booking that runs with an empty body: a constant of the program was lower than
# the limit that the operator had raised.
@pytest.mark.parametrize("size_bytes", [MEGABYTE, 9 * MEGABYTE, 16 * MEGABYTE])
def test_a_body_within_the_operators_limit_reaches_its_replica_whole(size_bytes: int):
    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", answer)
            await set_body_limit(site, 2, 16 * MEGABYTE)
            body = bytes(range(256)) * (size_bytes // 256)
            client = await site.connect()
            assert (await book(client, body)).status == 200
            received = bodies_of(replica)
            assert [len(item) for item in received] == [size_bytes]
            is_whole = received == [body]
            assert is_whole, "the bytes differ"
            assert site.application._caller_server.budget.held_bytes == 0

    run(scenario)


def test_a_body_beyond_the_operators_limit_is_refused_as_too_large():
    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", answer)
            client = await site.connect()
            response = await book(client, bytes(5 * MEGABYTE))
            assert (response.status, response.headers["x-reason"]) == (413, "body-too-large")
            assert bodies_of(replica) == []

    run(scenario)


# Guards against bodies that together exceed the VM's memory, and against one that is sent in part.
def test_bodies_for_which_there_is_no_memory_are_refused_as_not_run():
    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", answer)
            site.application._caller_server.budget = ByteBudget(2 * MEGABYTE)
            client = await site.connect()
            response = await book(client, bytes(3 * MEGABYTE))
            assert (response.status, response.headers["x-reason"]) == (503, "no-memory")
            assert float(response.headers["retry-after"]) > 0.0
            for number in range(4):
                assert (await book(client, bytes(MEGABYTE), f"id-{number}")).status == 200
            assert [len(item) for item in bodies_of(replica)] == [MEGABYTE] * 4

    run(scenario)


# Guards against a body whose beginning was discarded under one limit and whose end fits the next.
def test_a_body_that_was_discarded_as_the_limit_rose_is_not_sent_in_part():
    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", answer)
            client = await site.connect()
            size_bytes = 6 * MEGABYTE
            client.send_raw(
                f"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: id-1\r\n"
                f"X-Api-Key: key-1\r\nContent-Length: {size_bytes}\r\n\r\n".encode()
            )
            client.send_raw(bytes(5 * MEGABYTE))
            await client.writer.drain()
            unread = site.application._caller_server.unread
            while not any(exchange._body is None for exchange in unread):
                await asyncio.sleep(0.01)
            await set_body_limit(site, 2, 16 * MEGABYTE)
            client.send_raw(bytes(MEGABYTE))
            response = await client.read()
            assert (response.status, response.headers["x-reason"]) == (503, "no-memory")
            assert bodies_of(replica) == []

    run(scenario)


# Guards against memory that is never released: callers leave at each stage of a request.
def test_callers_that_leave_release_the_memory_of_their_bodies():
    async def scenario() -> None:
        async def never(request, connection) -> None:
            await asyncio.Event().wait()

        async with Site() as site:
            await site.add_replica("plain", never)
            budget = site.application._caller_server.budget
            for sent_bytes in (MEGABYTE, 2 * MEGABYTE):
                client = await site.connect()
                client.send_raw(
                    f"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: id-1\r\n"
                    f"X-Api-Key: key-1\r\nContent-Length: {2 * MEGABYTE}\r\n\r\n".encode()
                    + bytes(sent_bytes)
                )
                while budget.held_bytes == 0:
                    await asyncio.sleep(0.01)
                client.close()
                while budget.held_bytes:
                    await asyncio.sleep(0.01)

    run(scenario)
