"""A complete deployment as separate processes on loopback."""

from __future__ import annotations

import asyncio

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.demo import booking_hash, count_executions
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.load import Mix, run_load


async def load_kingston():
    async with Cluster(kingston(), seed=1) as cluster:
        result = await run_load(cluster.description(), 20.0, 10.0, 1, Mix(), progress=False)
        return result, await count_executions(cluster)


def test_two_hundred_requests_of_every_kind_are_answered_whole_and_bookings_run_once():
    result, counts = asyncio.run(load_kingston())
    assert (result.sent, result.complete_count, result.wrong_count) == (200, 200, 0), result.refused
    for booking in result.bookings:
        assert counts[booking_hash("orders/new", booking)] == 1
