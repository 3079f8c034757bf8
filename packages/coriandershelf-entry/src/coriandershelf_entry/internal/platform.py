"""The platform's list of VMs and its reclaim notices, polled over HTTP."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from coriandershelf_core.internal.vocabulary.events import (
    NoticesRefreshed,
    ReclaimNotice,
    VmListRead,
    VmRole,
    VmState,
    VmStatus,
)
from coriandershelf_entry.internal.core_task import Post

LIST_LIMIT_S = 2.0
NOTICE_WAIT_S = 5.0
REFRESH_LIMIT_S = 1.0
NOT_MODIFIED = 304
STATES = {"live": VmState.LIVE, "leaving": VmState.LEAVING, "gone": VmState.GONE}


def _parse_list(body: bytes) -> tuple[VmStatus, ...]:
    return tuple(
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
        for item in json.loads(body)["vms"]
    )


async def poll_vm_list(client: AsyncHTTPClient, address: str, period_s: float, post: Post) -> None:
    """Read the list of VMs every period, across outages.

    The list of a large fleet is some hundred kilobytes, so it is only sent again where it changed.
    """
    tag = ""
    while True:
        headers = {"If-None-Match": tag} if tag else {}
        try:
            response = await client.fetch(
                f"http://{address}/vms", headers=headers, request_timeout=LIST_LIMIT_S
            )
            post(VmListRead(_parse_list(response.body)))
            tag = response.headers.get("Etag", "")
        except HTTPClientError as error:
            if error.code != NOT_MODIFIED:
                tag = ""
        except (OSError, ValueError, KeyError):
            tag = ""
        await asyncio.sleep(period_s)


class NoticeReader:
    """Reads reclaim notices as they come, and at once where the core asks for it."""

    def __init__(self, client: AsyncHTTPClient, address: str, post: Post) -> None:
        self._client = client
        self._url = f"http://{address}/notices"
        self._post = post
        self._position = 0

    async def poll_forever(self, period_s: float) -> None:
        """Read notices with long polls, across outages."""
        while True:
            if not await self._read(NOTICE_WAIT_S, NOTICE_WAIT_S * 2):
                await asyncio.sleep(period_s)

    async def refresh(self, asked_at_s: float) -> None:
        """Read what is there now and say so; silent where the platform does not answer."""
        if await self._read(0.0, REFRESH_LIMIT_S):
            self._post(NoticesRefreshed(asked_at_s))

    async def _read(self, wait_s: float, limit_s: float) -> bool:
        url = f"{self._url}?from={self._position}&wait_s={wait_s}"
        try:
            response = await self._client.fetch(url, request_timeout=limit_s)
            answer: dict[str, Any] = json.loads(response.body)
        except (HTTPClientError, OSError, ValueError):
            return False
        # Two reads may overlap; a notice told twice does no harm, one passed over would.
        self._position = max(self._position, answer["next"])
        for notice in answer["notices"]:
            self._post(ReclaimNotice(notice["vm_id"], notice["at_s"]))
        return True
