"""A reclaim is announced while an entry VM is paused and calls wait for it; real processes."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import replace

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import kingston

PAUSED_VM = "entry-1"
CALLS_COUNT = 12
# Longer than the gap after which a VM detects that it was paused.
PAUSE_S = 2.5
NOTICE_S = 60.0


def small_deployment():
    full = kingston()
    models = [item for item in full.replicas if item.engine is not None]
    first_replica = models[0]
    second_replica = replace(first_replica, replica_id="inspect-twin")
    plain = next(item for item in full.replicas if item.engine is None)
    return replace(full, entries=full.entries[:2], replicas=(first_replica, second_replica, plain))


async def send_call(cluster: Cluster, number: int) -> int:
    body = {
        "model": cluster.deployment.model,
        "messages": [{"role": "user", "content": f"span {number}"}],
        "max_tokens": 4,
    }
    key = cluster.deployment.customers[0].key
    response = await cluster.client.fetch(
        f"http://{cluster.addresses[PAUSED_VM]}/v1/chat/completions",
        method="POST",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {key}"},
        raise_error=False,
    )
    return response.code


async def sequence_count(cluster: Cluster, replica_id: str) -> int:
    record = await cluster.get(f"http://{cluster.addresses[replica_id]}/record")
    return record["sequences"]


async def announce_reclaim_during_pause():
    async with Cluster(small_deployment(), seed=1) as cluster:
        leaving, staying = (item.replica_id for item in cluster.deployment.replicas[:2])
        # One call ensures that the entry VM is serving before it is paused, and shows which replica
        # it would choose again.
        assert await send_call(cluster, 0) == 200
        if not await sequence_count(cluster, leaving):
            leaving, staying = staying, leaving
        cluster.processes.signal(PAUSED_VM, signal.SIGSTOP)
        await cluster.announce_reclaim(leaving, NOTICE_S)
        before = await sequence_count(cluster, leaving), await sequence_count(cluster, staying)
        calls = [asyncio.create_task(send_call(cluster, index + 1)) for index in range(CALLS_COUNT)]
        await asyncio.sleep(PAUSE_S)
        cluster.processes.signal(PAUSED_VM, signal.SIGCONT)
        codes = await asyncio.gather(*calls)
        after = await sequence_count(cluster, leaving), await sequence_count(cluster, staying)
        return codes, after[0] - before[0], after[1] - before[1]


def test_a_vm_that_was_paused_during_a_notice_sends_its_waiting_calls_elsewhere():
    codes, sent_to_leaving, sent_to_staying = asyncio.run(announce_reclaim_during_pause())
    assert codes == [200] * CALLS_COUNT
    assert (sent_to_leaving, sent_to_staying) == (0, CALLS_COUNT)
