"""Polls the platform over HTTP for its VM list and its reclaim notices."""

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

LIST_TIMEOUT_S = 2.0
NOTICE_WAIT_S = 5.0
REFRESH_TIMEOUT_S = 1.0
NOT_MODIFIED = 304
# Errors of valid or invalid JSON that has another shape than expected.
MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
VM_STATES = {"live": VmState.LIVE, "leaving": VmState.LEAVING, "gone": VmState.GONE}


def _parse_list(body: bytes) -> tuple[VmStatus, ...]:
    return tuple(
        VmStatus(
            item["id"],
            item["incarnation"],
            VmRole(item["role"]),
            item["zone"],
            VM_STATES[item["state"]],
            item["address"],
            item.get("service", ""),
            item.get("slots", 0),
        )
        for item in json.loads(body)["vms"]
    )


def _parse_notices(body: bytes) -> tuple[int, tuple[ReclaimNotice, ...]]:
    document = json.loads(body)
    notices = (
        ReclaimNotice(str(item["vm_id"]), float(item["at_s"])) for item in document["notices"]
    )
    return int(document["next"]), tuple(notices)


async def poll_vm_list(
    client: AsyncHTTPClient, address: str, period_s: float, post: Post, log: Any
) -> None:
    """Read the list of VMs every period; failed reads are retried with the next period.

    The list of a large fleet takes some hundred kilobytes, so an entity tag avoids sending it
    again unless it changed.
    """
    etag = ""
    while True:
        headers = {"If-None-Match": etag} if etag else {}
        try:
            response = await client.fetch(
                f"http://{address}/vms", headers=headers, request_timeout=LIST_TIMEOUT_S
            )
            post(VmListRead(_parse_list(response.body)))
            etag = response.headers.get("Etag", "")
        except HTTPClientError as error:
            if error.code != NOT_MODIFIED:
                etag = ""
        except OSError:
            etag = ""
        except MALFORMED_ERRORS as error:
            etag = ""
            log.warning("VM list not understood", reason=repr(error))
        await asyncio.sleep(period_s)


class NoticeReader:
    """Reads reclaim notices by long polling, and immediately when the core asks for it."""

    def __init__(self, client: AsyncHTTPClient, address: str, post: Post, log: Any) -> None:
        self._client = client
        self._url = f"http://{address}/notices"
        self._post = post
        self._log = log
        self._position = 0

    async def poll_forever(self, period_s: float) -> None:
        """Read notices with long polls; failed reads are retried after a period."""
        while True:
            if not await self._read(NOTICE_WAIT_S, NOTICE_WAIT_S * 2):
                await asyncio.sleep(period_s)

    async def refresh(self, requested_at_s: float) -> None:
        """Read the current notices, then post ``NoticesRefreshed``; on failure post nothing."""
        if await self._read(0.0, REFRESH_TIMEOUT_S):
            self._post(NoticesRefreshed(requested_at_s))

    async def _read(self, wait_s: float, timeout_s: float) -> bool:
        url = f"{self._url}?from={self._position}&wait_s={wait_s}"
        try:
            response = await self._client.fetch(url, request_timeout=timeout_s)
            next_position, notices = _parse_notices(response.body)
        except (HTTPClientError, OSError):
            return False
        except MALFORMED_ERRORS as error:
            self._log.warning("reclaim notices not understood", reason=repr(error))
            return False
        # Reads may overlap: a notice posted twice is harmless, a skipped one is not.
        self._position = max(self._position, next_position)
        for notice in notices:
            self._post(notice)
        return True
