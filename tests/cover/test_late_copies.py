"""A second copy of an answer, late on a connection that is in use again, is nobody's answer."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass, field

import pytest
from platform_site import Site

from coriandershelf_core.internal.gateway.actions import StartAttempt
from coriandershelf_core.internal.gateway.events import AttemptFailed, FailureCause
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.http_client import CallResponse, HttpClient
from coriandershelf_platform.replica_client import ConnectionPool, ForwardedRequest, run_attempt
from coriandershelf_platform.replica_tunnels import TunnelServer
from coriandershelf_platform.store import Appended, ReadRecords, StoreClient, StoreFailure
from coriandershelf_rig.internal.processes import consecutive_ports
from coriandershelf_rig.internal.standin_replica import (
    ReceivedRequest,
    Replica,
    ReplicaConnection,
    receipt_response,
)

NOT_EXECUTED = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
MISSING = b"HTTP/1.1 404 X\r\nContent-Length: 5\r\n\r\nother"


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


@dataclass
class Repeater:
    """A replica that sends a late copy first, once a request arrives on a connection in use.

    :param copy: bytes of the copy, or ``None`` for the answer of so many requests before.
    """

    copy: bytes | None = None
    requests_before: int = 1
    answers: list[bytes] = field(default_factory=list)
    used: set[ReplicaConnection] = field(default_factory=set)

    async def __call__(self, request: ReceivedRequest, connection: ReplicaConnection) -> None:
        answer = receipt_response(request, f"answer to {request.target}".encode())
        if len(self.answers) >= self.requests_before and connection in self.used:
            await connection.send(self.copy or self.answers[-self.requests_before])
        self.used.add(connection)
        self.answers.append(answer)
        await connection.send(answer)


# Guards against a caller that gets the answer of another, and against a booking that is sent again
# since a late refusal of another request says that it has not run.
@pytest.mark.parametrize("copy", [None, NOT_EXECUTED, MISSING])
@pytest.mark.parametrize("requests_before", [1, 2])
def test_a_late_copy_is_no_answer_to_the_next_request(copy, requests_before):
    async def scenario() -> None:
        repeater = Repeater(copy, requests_before)
        async with Site() as site:
            replica = await site.add_replica("plain", repeater)
            await site.add_replica("plain", repeater)
            client = await site.connect()
            statuses = []
            for number in range(8):
                client.send(f"/book/{number}", request_id=f"id-{number}")
                response = await client.read()
                statuses.append(response.status)
                assert (
                    response.status == 502 or response.body == f"answer to /book/{number}".encode()
                )
            assert {200, 502} == set(statuses), replica.address
            # Each booking reached one replica only, also those whose answer was lost.
            targets = [request.target for item in site.replicas for request in item.received]
            assert sorted(targets) == sorted(f"/book/{number}" for number in range(8))

    run(scenario)


# Guards against a late copy that has the id of the present request, because its caller uses one id
# again: the connection that carried the id is not used for it a second time.
@pytest.mark.parametrize("request_id", ["id-1", ""])
def test_a_connection_carries_an_id_once(request_id):
    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", Repeater())
            client = await site.connect()
            for number in range(3):
                client.send(f"/read/{number}", request_id=request_id)
                response = await client.read()
                assert (
                    response.status != 200 or response.body == f"answer to /read/{number}".encode()
                )
            assert replica.connection_count >= 3

    run(scenario)


def test_a_late_copy_through_a_tunnel_is_no_answer_either():
    async def scenario() -> None:
        replica = await Replica(Repeater()).start()
        server = TunnelServer(lambda address: True, lambda outcome: None)
        port = consecutive_ports(1)
        server.listen(port, "127.0.0.1")
        pool = ConnectionPool(steady_s, lambda: None)
        last: list[object] = []
        for number in range(2):
            action = StartAttempt(
                number, number, "r-1", replica.address, 5.0, None, None, False, False,
                relay_address=f"127.0.0.1:{port}",
            )  # fmt: skip
            headers = (("Host", "x"), ("X-Request-Id", f"id-{number}"))
            request = ForwardedRequest("POST", f"/{number}", headers, b"", f"id-{number}")
            posted: list[object] = []
            await run_attempt(action, request, pool, posted.append, lambda handle: None)
            last.append(posted[-1])
        assert last[1] == AttemptFailed(1, FailureCause.MISMATCHED, True)
        assert replica.connection_count == 1
        pool.close()
        server.close()
        await replica.stop()

    run(scenario)


def records_body(end: int, *values: bytes) -> bytes:
    contents = [b"\x01k" + value for value in values]
    return struct.pack(">QQ", end, 0) + b"".join(
        struct.pack(">I", len(content)) + content for content in contents
    )


@dataclass
class RepeatingStore:
    """A store that answers the first call, and answers the second with a copy of that answer."""

    body: bytes
    first: bytes = b""

    async def __call__(self, request: ReceivedRequest, connection: ReplicaConnection) -> None:
        self.first = self.first or receipt_response(request, self.body)
        await connection.send(self.first)


# Guards against records that are applied twice and skip others, and against a write that counts as
# done because the one before it was: calls and answers of the store have no ids.
def test_a_late_copy_of_the_stores_answer_is_recognized_by_its_offsets():
    async def scenario() -> None:
        store = await Replica(RepeatingStore(records_body(4, b"v"))).start()
        client = StoreClient(lambda: store.address, steady_s)
        read = await client.read("keyed.op", 3, 1.0)
        assert isinstance(read, ReadRecords) and read.next_offset == 4
        assert await client.read("keyed.op", 4, 1.0) is StoreFailure.MALFORMED
        # The true answer must not be taken for that of a third call.
        await store.disconnected.wait()
        await store.stop()

        store = await Replica(RepeatingStore(b'{"offset": 7, "end": 8}')).start()
        client = StoreClient(lambda: store.address, steady_s)
        assert isinstance(await client.append("keyed.duty", "k", b"v", at=7), Appended)
        assert await client.append("keyed.duty", "k", b"v", at=8) is StoreFailure.LOST
        await store.disconnected.wait()
        await store.stop()

    run(scenario)


# Guards against a copy without records, which would prove the keys as known at a time at which the
# store was not asked.
def test_an_answer_without_records_that_comes_too_early_proves_nothing():
    async def scenario() -> None:
        store = await Replica(RepeatingStore(records_body(3))).start()
        client = StoreClient(lambda: store.address, steady_s)
        assert isinstance(await client.read("keyed.op", 3, 0.0), ReadRecords)
        assert await client.read("keyed.op", 3, 1.0) is StoreFailure.MALFORMED
        client.close()
        await store.stop()

    run(scenario)


def test_a_copy_of_the_page_before_is_no_next_page():
    page = b'{"items": [{"key": "k", "value": "eA=="}], "more": true, "end": 1}'

    async def scenario() -> None:
        store = await Replica(RepeatingStore(page)).start()
        client = StoreClient(lambda: store.address, steady_s)
        assert await client.newest("keyed.op") is StoreFailure.MALFORMED
        assert len(store.received) == 2
        client.close()
        await store.stop()

    run(scenario)


# Guards against a usage report that counts as accepted because the one before it was: answers of
# the platform have neither ids nor content that tells them apart.
def test_each_call_of_the_platform_has_a_connection_of_its_own():
    async def scenario() -> None:
        platform = await Replica(RepeatingStore(b"{}")).start()
        client = HttpClient(lambda: platform.address, steady_s, reuses_connection=False)
        for number in range(2):
            assert isinstance(await client.call("POST", "/usage"), CallResponse)
            assert platform.connection_count == number + 1
        await platform.stop()

    run(scenario)
