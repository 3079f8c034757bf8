"""Polls of the loads of watched replicas."""

from __future__ import annotations

import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from coriandershelf_core.internal.vocabulary.actions import PollLoad
from coriandershelf_core.internal.vocabulary.events import LoadReported
from coriandershelf_entry.internal.clock import Clock
from coriandershelf_entry.internal.core_task import Post

POLL_LIMIT_S = 1.0


async def poll_load(client: AsyncHTTPClient, action: PollLoad, clock: Clock, post: Post) -> None:
    """Ask a replica for its load once; post nothing where it does not answer."""
    asked_at_s = clock()
    try:
        response = await client.fetch(f"http://{action.address}/load", request_timeout=POLL_LIMIT_S)
        answer = json.loads(response.body)
        # A replica that tells the age of its figures is believed; others count as fresh.
        reported_at_s = asked_at_s - max(0.0, float(answer.get("age_s", 0.0)))
        report = LoadReported(
            action.replica_id, int(answer["running"]), int(answer["waiting"]), reported_at_s
        )
    except (HTTPClientError, OSError, ValueError, KeyError, TypeError):
        return
    post(report)
