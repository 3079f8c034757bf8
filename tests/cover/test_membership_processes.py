"""A paused entry VM wakes with calls waiting, as real processes."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import replace

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import kingston

PAUSED = "entry-1"
CALLS_COUNT = 12
# Longer than the gap after which a VM takes itself to have been paused.
PAUSE_S = 2.5
NOTICE_S = 60.0


def small_deployment():
    whole = kingston()
    models = [item for item in whole.replicas if item.engine is not None]
    near = models[0]
    twin = replace(near, replica_id="inspect-twin")
    plain = next(item for item in whole.replicas if item.engine is None)
    return replace(whole, entries=whole.entries[:2], replicas=(near, twin, plain))


async def ask(cluster: Cluster, number: int) -> int:
    body = {
        "model": cluster.deployment.model,
        "messages": [{"role": "user", "content": f"span {number}"}],
        "max_tokens": 4,
    }
    key = cluster.deployment.customers[0].key
    response = await cluster.client.fetch(
        f"http://{cluster.addresses[PAUSED]}/v1/chat/completions",
        method="POST",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {key}"},
        raise_error=False,
    )
    return response.code


async def sequences(cluster: Cluster, replica_id: str) -> int:
    record = await cluster.get(f"http://{cluster.addresses[replica_id]}/record")
    return record["sequences"]


async def pause_announce_wake():
    async with Cluster(small_deployment(), seed=1) as cluster:
        leaving, staying = (item.replica_id for item in cluster.deployment.replicas[:2])
        # One call makes sure that the entry VM serves before it is paused, and shows which replica
        # it would choose again.
        assert await ask(cluster, 0) == 200
        if not await sequences(cluster, leaving):
            leaving, staying = staying, leaving
        cluster.processes.signal(PAUSED, signal.SIGSTOP)
        await cluster.announce_reclaim(leaving, NOTICE_S)
        before = await sequences(cluster, leaving), await sequences(cluster, staying)
        calls = [asyncio.create_task(ask(cluster, index + 1)) for index in range(CALLS_COUNT)]
        await asyncio.sleep(PAUSE_S)
        cluster.processes.signal(PAUSED, signal.SIGCONT)
        codes = await asyncio.gather(*calls)
        after = await sequences(cluster, leaving), await sequences(cluster, staying)
        return codes, after[0] - before[0], after[1] - before[1]


def test_a_vm_that_was_paused_during_a_notice_sends_its_waiting_calls_elsewhere():
    codes, sent_to_leaving, sent_to_staying = asyncio.run(pause_announce_wake())
    assert codes == [200] * CALLS_COUNT
    assert (sent_to_leaving, sent_to_staying) == (0, CALLS_COUNT)
