"""Polls replicas for their load."""

from __future__ import annotations

import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from coriandershelf_core.internal.vocabulary.actions import PollLoad
from coriandershelf_core.internal.vocabulary.events import LoadReported
from coriandershelf_entry.internal.clock import Clock
from coriandershelf_entry.internal.core_task import Post

POLL_TIMEOUT_S = 1.0


async def poll_load(client: AsyncHTTPClient, action: PollLoad, clock: Clock, post: Post) -> None:
    """Poll a replica's load once; post nothing if it does not answer."""
    requested_at_s = clock()
    try:
        response = await client.fetch(
            f"http://{action.address}/load", request_timeout=POLL_TIMEOUT_S
        )
        load = json.loads(response.body)
        # A replica may report the age of its figures; without one they count as current.
        reported_at_s = requested_at_s - max(0.0, float(load.get("age_s", 0.0)))
        report = LoadReported(
            action.replica_id, int(load["running"]), int(load["waiting"]), reported_at_s
        )
    except (HTTPClientError, OSError, ValueError, KeyError, TypeError):
        return
    post(report)
