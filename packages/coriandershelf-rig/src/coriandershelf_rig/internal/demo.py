"""Demo: three zones, all kinds of requests, one zone's engines reclaimed halfway through."""

from __future__ import annotations

import asyncio
import hashlib
import signal
from typing import Any

import click

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import consorcio
from coriandershelf_rig.internal.load import LoadResult, Mix, run_load

RATE_PER_S = 12.0
DURATION_S = 30.0
NOTICE_S = 5.0


async def _reclaim_zone(cluster: Cluster, zone: str) -> None:
    """Send reclaim notices for a zone's model upstreams, then kill them after the notice period."""
    await asyncio.sleep(DURATION_S / 2)
    replica_ids = [
        replica.replica_id
        for replica in cluster.deployment.replicas
        if replica.zone == zone and replica.engine is not None
    ]
    for replica_id in replica_ids:
        await cluster.announce_reclaim(replica_id, NOTICE_S)
    await asyncio.sleep(NOTICE_S)
    for replica_id in replica_ids:
        cluster.processes.signal(replica_id, signal.SIGKILL)


async def count_executions(cluster: Cluster) -> dict[str, int]:
    """Return how often the running plain services executed each booking, by booking identity."""
    totals: dict[str, int] = {}
    for replica in cluster.deployment.replicas:
        if replica.engine is None and cluster.processes.is_running(replica.replica_id):
            url = f"http://{cluster.addresses[replica.replica_id]}/record"
            record = await cluster.get(url)
            for identity, count in record["by_body"].items():
                totals[identity] = totals.get(identity, 0) + count
    return totals


def booking_hash(path: str, booking: str) -> str:
    """Return the hash by which the plain service counts a booking."""
    return hashlib.sha256(path.encode() + booking.encode()).hexdigest()


def _print_table(result: LoadResult, duplicate_count: int, missing_count: int) -> None:
    document: dict[str, Any] = result.to_document()
    rows = [
        ("requests sent", result.sent),
        ("answers complete and correct", result.complete_count),
        ("answers wrong or truncated", result.wrong_count),
        ("answers refused", sum(result.refused.values())),
        ("bookings executed twice", duplicate_count),
        ("bookings answered but not executed", missing_count),
        ("first token p95 (ms)", round(document["first_token_ms"]["p95"], 1)),
        ("token gap p95 (ms)", round(document["token_gap_ms"]["p95"], 1)),
    ]
    for name, value in rows:
        click.echo(f"{name:34} {value:>10}")
    for reason, count in sorted(result.refused.items()):
        click.echo(f"  refused: {reason:23} {count:>10}")


async def run_demo(seed: int) -> bool:
    """Run the demo and return whether every guarantee held."""
    deployment = consorcio()
    async with Cluster(deployment, seed) as cluster:
        click.echo(
            f"{len(deployment.entries)} entry VMs, {len(deployment.replicas)} upstreams, "
            f"{len(deployment.zones)} zones; zone {deployment.zones[0]} is reclaimed halfway"
        )
        reclaim = asyncio.create_task(_reclaim_zone(cluster, deployment.zones[0]))
        result = await run_load(
            cluster.description(), RATE_PER_S, DURATION_S, seed, Mix(), progress=True
        )
        await reclaim
        counts = await count_executions(cluster)
    duplicate_count = sum(count > 1 for count in counts.values())
    missing_count = sum(
        booking_hash("visits/new", booking) not in counts for booking in result.bookings
    )
    refused_count = result.sent - result.complete_count - result.wrong_count
    _print_table(result, duplicate_count, missing_count)
    passed = not duplicate_count and not result.wrong_count and missing_count <= refused_count
    click.echo("verdict: every guarantee held" if passed else "verdict: a guarantee was violated")
    return passed
