"""The platform's list of VMs and its reclaim notices, polled over HTTP."""

from __future__ import annotations

import asyncio
import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from coriandershelf_core.internal.events import (
    ReclaimNotice,
    VmListRead,
    VmRole,
    VmState,
    VmStatus,
)
from coriandershelf_entry.internal.core_task import Post

STATES = {"live": VmState.LIVE, "leaving": VmState.LEAVING, "gone": VmState.GONE}


async def poll_vm_list(client: AsyncHTTPClient, address: str, period_s: float, post: Post) -> None:
    """Read the list of VMs every period, across outages."""
    while True:
        try:
            response = await client.fetch(f"http://{address}/vms", request_timeout=2.0)
            vms = tuple(
                VmStatus(
                    item["id"],
                    item["incarnation"],
                    VmRole(item["role"]),
                    item["zone"],
                    STATES[item["state"]],
                    item["address"],
                    item.get("service", ""),
                    item.get("slots", 0),
                )
                for item in json.loads(response.body)["vms"]
            )
            post(VmListRead(vms))
        except (HTTPClientError, OSError, ValueError, KeyError):
            pass
        await asyncio.sleep(period_s)


async def poll_notices(client: AsyncHTTPClient, address: str, period_s: float, post: Post) -> None:
    """Read reclaim notices as they come, across outages."""
    position = 0
    while True:
        url = f"http://{address}/notices?from={position}&wait_s=5"
        try:
            response = await client.fetch(url, request_timeout=10.0)
            answer = json.loads(response.body)
        except (HTTPClientError, OSError, ValueError):
            await asyncio.sleep(period_s)
            continue
        position = answer["next"]
        for notice in answer["notices"]:
            post(ReclaimNotice(notice["vm_id"], notice["at_s"]))
