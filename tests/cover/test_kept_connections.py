"""The pool of connections to replicas hands out one that leads to the start which is asked for.

Guards against streams joined of two software versions: a connection that was opened while a replica
had started again, before its registration, counted as one to the start before.
"""

from __future__ import annotations

import asyncio

from coriandershelf_core.internal.gateway.events import FailureCause
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.client_connection import ClientConnection
from coriandershelf_platform.replica_client import ConnectionPool
from coriandershelf_rig.internal.standin_replica import Replica


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


async def idle(request, connection) -> None:
    await asyncio.sleep(30.0)


async def take(pool: ConnectionPool, address: str, **options: object) -> ClientConnection:
    connection = await pool.acquire(address, False, request_id="id-1", **options)
    assert isinstance(connection, ClientConnection), connection
    # The replica's process accepts it meanwhile.
    await asyncio.sleep(0.02)
    return connection


def test_a_connection_that_is_too_young_is_kept_and_an_older_one_is_used():
    async def scenario() -> None:
        replica = await Replica(idle).start()
        pool = ConnectionPool(steady_s, lambda: None)
        older = await take(pool, replica.address)
        between_s = steady_s()
        younger = await take(pool, replica.address)
        older.request_ids.clear()
        younger.request_ids.clear()
        pool.release(older)
        pool.release(younger)
        assert await take(pool, replica.address, connected_by_s=between_s) is older
        assert await take(pool, replica.address) is younger
        await replica.stop()

    run(scenario)


def test_a_new_connection_that_is_too_late_is_kept_until_it_is_known():
    async def scenario() -> None:
        replica = await Replica(idle).start()
        opened: list[int] = []
        pool = ConnectionPool(steady_s, lambda: opened.append(1))
        outcome = await pool.acquire(
            replica.address, False, request_id="id-1", connected_by_s=steady_s() - 1.0
        )
        assert outcome is FailureCause.UNVERIFIED
        connection = await take(pool, replica.address, connected_by_s=steady_s())
        assert connection.is_new and len(opened) == 1
        await replica.stop()

    run(scenario)


def test_an_idle_connection_that_its_replica_ended_is_told_before_a_new_one_is_used():
    async def scenario() -> None:
        replica = await Replica(idle).start()
        lost: list[str] = []
        pool = ConnectionPool(steady_s, lambda: None, on_lost=lost.append)
        pool.release(await take(pool, replica.address))
        await replica.stop()
        await asyncio.sleep(0.05)
        outcome = await pool.acquire(
            replica.address, False, request_id="id-2", connected_by_s=float("inf")
        )
        assert outcome is FailureCause.UNVERIFIED
        assert lost == [replica.address]

    run(scenario)


def test_an_idle_connection_that_ended_is_told_when_it_expires():
    async def scenario() -> None:
        replica = await Replica(idle).start()
        now_s = [100.0]
        lost: list[str] = []
        pool = ConnectionPool(lambda: now_s[0], lambda: None, on_lost=lost.append)
        for ends in (False, True):
            connection = await take(pool, replica.address)
            connection.idle_limit_s = 1.0
            pool.release(connection)
            if ends:
                await replica.stop()
                await asyncio.sleep(0.05)
            now_s[0] += 2.0
            pool.close_expired()
        assert lost == [replica.address]

    run(scenario)
