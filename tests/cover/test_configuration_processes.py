"""Concurrent publishing and a log outage, with real processes."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace

from coriandershelf_core.internal.configuration.configuration_log import Verdict
from coriandershelf_operator.internal.platform_log import ConfigurationStream
from coriandershelf_operator.internal.publishing import make_proposal, publish
from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import OPERATOR_KEY, kingston

TIMEOUT_S = 60.0
OPERATORS = ("ana", "luis", "marcia", "tomas")


def small_deployment():
    full = kingston()
    replicas = (full.replicas[0], next(item for item in full.replicas if item.engine is None))
    return replace(full, entries=full.entries[:3], replicas=replicas)


async def status(cluster: Cluster, vm_id: str):
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"http://{cluster.addresses[vm_id]}/admin/status"
    try:
        response = await cluster.client.fetch(url, headers=headers, raise_error=False)
    except OSError:
        return b""
    return response.body if response.code == 200 else b""


async def wait_version(cluster: Cluster, version: int) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        for vm_id, _ in cluster.deployment.entries:
            while f'"version": {version},'.encode() not in await status(cluster, vm_id):
                await asyncio.sleep(0.1)


async def publish_concurrently(cluster: Cluster) -> list[Verdict]:
    async def publish_as(operator: str) -> Verdict:
        view = ConfigurationStream(cluster.addresses["platform"])
        await view.refresh()
        rules = cluster.rules_text.replace("budget_per_hour: 20.0", f"budget_per_hour: 2{operator}")
        rules = rules.replace(operator, str(len(operator)))
        texts = (cluster.inventory_text, rules)
        proposal = make_proposal(view, f"by-{operator}", 1, operator, texts)
        outcome = await publish(view, proposal, TIMEOUT_S, lambda text: None)
        assert isinstance(outcome, Verdict)
        return outcome

    return list(await asyncio.gather(*(publish_as(operator) for operator in OPERATORS)))


async def race_then_boot_in_outage():
    async with Cluster(small_deployment(), seed=1) as cluster:
        await cluster.post(cluster.platform_url("faults"), {"lost_answer_share": 0.5})
        verdicts = await publish_concurrently(cluster)
        await wait_version(cluster, 2)
        await cluster.post(cluster.platform_url("faults"), {"log_down": True})
        vm_id, zone = cluster.deployment.entries[0]
        cluster.processes.signal(vm_id, signal.SIGKILL)
        cluster.processes.wait(vm_id, TIMEOUT_S)
        await cluster.start_entry(vm_id, zone)
        await wait_version(cluster, 2)
        return verdicts


def test_one_of_four_racing_operators_wins_and_a_vm_that_boots_in_an_outage_serves_its_version():
    verdicts = asyncio.run(race_then_boot_in_outage())
    assert sorted(verdict.accepted for verdict in verdicts) == [False, False, False, True]
    assert {verdict.version for verdict in verdicts} == {2}
