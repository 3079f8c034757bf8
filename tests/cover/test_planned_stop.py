"""A planned stop under load: whatever was accepted gets an answer."""

from __future__ import annotations

import asyncio

import pytest
from platform_site import KEY, Client, Site

from coriandershelf_core.internal.gateway import gateway
from coriandershelf_platform import application
from coriandershelf_rig.internal.standin_replica import (
    ReceivedRequest,
    ReplicaConnection,
    chunk,
    receipt_head,
    receipt_response,
)


@pytest.fixture(autouse=True)
def _short_lag(monkeypatch):
    monkeypatch.setattr(gateway, "STOP_ADMISSION_AFTER_S", 0.3)
    monkeypatch.setattr(gateway, "LOAD_BALANCER_LAG_S", 0.5)


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


async def respond_done(request: ReceivedRequest, connection: ReplicaConnection) -> None:
    await connection.send(receipt_response(request))


async def end(site: Site) -> None:
    """End the process as its command does."""
    assert await site.application.wait() == 0
    await site.application.stop()


def send_head(client: Client, body_bytes: int) -> None:
    client.send_raw(
        f"POST /read/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: id-1\r\nX-Api-Key: {KEY}\r\n"
        f"Content-Length: {body_bytes}\r\n\r\n".encode()
    )


# Guards against requests that a stop cuts off without an answer: on kept connections, on new ones,
# and pipelined; callers go on until the VM takes no connection.
def test_each_request_that_is_sent_while_a_process_stops_is_answered():
    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done)
            statuses: list[int] = []

            async def call(name: str, pipelined: int) -> None:
                number = 0
                while True:
                    try:
                        client = await site.connect()
                    except ConnectionError:
                        return
                    closing = False
                    while not closing:
                        number += 1
                        for index in range(pipelined):
                            client.send("/book/1", request_id=f"{name}-{number}-{index}")
                        for _ in range(pipelined):
                            response = await client.read()
                            assert response.complete
                            statuses.append(response.status)
                            closing |= response.headers.get("connection") == "close"
                        await asyncio.sleep(0.005)
                    client.close()

            callers = [asyncio.create_task(call(f"c{n}", 1 + n % 2)) for n in range(6)]
            await asyncio.sleep(0.1)
            site.application._on_stop_signal()
            # A second signal changes nothing.
            site.application._on_stop_signal()
            await end(site)
            await asyncio.gather(*callers)
            assert set(statuses) <= {200, 503} and statuses.count(200) > 10

    run(scenario)


# Guards against a request that is cut since its body is still arriving as the process ends.
@pytest.mark.parametrize("arrives", [False, True])
def test_a_request_whose_body_is_still_arriving_is_answered_as_not_run(monkeypatch, arrives):
    monkeypatch.setattr(application, "END_WAIT_MAX_S", 0.6)

    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", respond_done)
            client = await site.connect()
            send_head(client, 10)
            client.send_raw(b"half ")
            while not site.application._caller_server.busy:
                await asyncio.sleep(0.01)
            site.application._on_stop_signal()
            ending = asyncio.create_task(end(site))
            if arrives:
                # After the process could have ended, were it not for this request.
                await asyncio.sleep(0.8)
                client.send_raw(b"rest.")
            response = await client.read()
            assert (response.status, response.headers["x-reason"]) == (503, "stopping")
            assert response.headers["connection"] == "close" and response.complete
            await ending
            assert not replica.received

    run(scenario)


# Guards against an answer that is cut because its caller had not read it when the process ended.
def test_an_answer_that_is_still_being_read_is_sent_to_its_end():
    body = b"x" * (12 << 20)

    async def respond(request: ReceivedRequest, connection: ReplicaConnection) -> None:
        await connection.send(receipt_response(request, body))

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond)
            client = await site.connect()
            client.send("/read/1")
            while not site.application._caller_server.writes:
                await asyncio.sleep(0.01)
            site.application._on_stop_signal()
            ending = asyncio.create_task(end(site))
            await asyncio.sleep(1.0)
            response = await client.read()
            assert response.complete and len(response.body) == len(body)
            await ending

    run(scenario)


def test_a_stream_in_progress_is_finished_before_the_process_ends():
    async def respond(request: ReceivedRequest, connection: ReplicaConnection) -> None:
        await connection.send(receipt_head(request, Transfer_Encoding="chunked") + b"\r\n")
        for number in range(12):
            await connection.send(chunk(f"id: {number}\ndata: x\n\n".encode()))
            await asyncio.sleep(0.1)
        await connection.send(b"0\r\n\r\n")

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("engine", respond)
            client = await site.connect()
            client.send("/ask/1")
            reading = asyncio.create_task(client.read())
            await asyncio.sleep(0.1)
            site.application._on_stop_signal()
            await end(site)
            response = await reading
            assert response.complete and response.body.count(b"id: ") == 12

    run(scenario)
