"""Tickets over HTTP let bookings run while the platform's log is down."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.demo import booking_hash, count_executions
from coriandershelf_rig.internal.deployments import Deployment, kingston

BOOKING = b"pole 7"


def two_entries() -> Deployment:
    deployment = kingston()
    plain_replicas = tuple(shape for shape in deployment.replicas if shape.engine is None)
    return replace(deployment, entries=deployment.entries[:2], replicas=plain_replicas)


async def post(url: str, body: bytes = b"", key: str = ""):
    headers = {"Authorization": "Bearer depot-demo-key", "Idempotency-Key": key}
    request = HTTPRequest(url, method="POST", body=body, headers=headers, request_timeout=20.0)
    return await AsyncHTTPClient().fetch(request, raise_error=False)


async def book_during_outage():
    async with Cluster(two_entries(), seed=1) as cluster:
        entries = [f"http://{item}" for item in cluster.description()["entries"].values()]
        refused = await post(f"{entries[0]}/v1/tickets?count=none")
        granted = await post(f"{entries[0]}/v1/tickets?count=2")
        key = json.loads(granted.body)["tickets"][1]
        await cluster.post(cluster.platform_url("faults"), {"log_down": True})
        answers = [
            await post(f"{entry}/v1/services/work-orders/orders/new", BOOKING, key)
            for entry in (*entries, *entries)
        ]
        without_ticket = await post(
            f"{entries[0]}/v1/services/work-orders/orders/new", b"pole 8", "no-ticket"
        )
        return refused, answers, without_ticket, await count_executions(cluster)


def test_a_ticket_runs_once_at_both_entry_vms_while_the_log_is_down():
    refused, answers, without_ticket, counts = asyncio.run(book_during_outage())
    assert refused.code == 400
    assert [answer.code for answer in answers] == [200] * 4
    assert len({answer.body for answer in answers}) == 1
    assert counts[booking_hash("orders/new", BOOKING.decode())] == 1
    assert without_ticket.code == 503
    assert without_ticket.headers["Retry-After"]
    assert booking_hash("orders/new", "pole 8") not in counts
