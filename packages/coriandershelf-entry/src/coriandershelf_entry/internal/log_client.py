"""HTTP client of the platform's log: one task per stream read and one per append."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPTimeoutError

from coriandershelf_core.internal.vocabulary.actions import Append
from coriandershelf_core.internal.vocabulary.events import AppendAnswered, AppendFailed, LogRead
from coriandershelf_core.internal.vocabulary.records import Record
from coriandershelf_entry.internal.core_task import Post
from coriandershelf_entry.internal.platform_client import MALFORMED_ERRORS
from coriandershelf_wire import Malformed, decode_record, encode_record

APPEND_TIMEOUT_S = 2.0
# While there are no new records, a read ends after this time and shows the core that it is up to
# date; the setting ``ledger_fresh_s`` limits the age of the last such read.
READ_WAIT_S = 1.0
READ_MAX_COUNT = 500
READ_RETRY_S = 0.5
REFUSED_STATUSES = (429, 503)


class LogClient:
    """Reads streams from their oldest offset on and appends records."""

    def __init__(
        self, client: AsyncHTTPClient, address: str, writer: str, incarnation: int, log: Any
    ) -> None:
        self._client = client
        self._url = f"http://{address}/streams"
        self._writer = writer
        self._incarnation = incarnation
        self._log = log

    async def append(self, action: Append, post: Post) -> None:
        """Append one record; post its offset, or a failure and whether its result is uncertain."""
        data = encode_record(self._writer, self._incarnation, action.sequence, action.entries)
        request = HTTPRequest(
            f"{self._url}/{action.stream}",
            method="POST",
            body=data,
            request_timeout=APPEND_TIMEOUT_S,
            connect_timeout=APPEND_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request)
        except HTTPClientError as error:
            uncertain = error.code not in REFUSED_STATUSES
            post(AppendFailed(action.append_id, uncertain))
        except (OSError, ValueError) as error:
            uncertain = not isinstance(error, ConnectionRefusedError)
            post(AppendFailed(action.append_id, uncertain))
        else:
            self._post_answer(action, response.body, post)

    def _post_answer(self, action: Append, body: bytes, post: Post) -> None:
        try:
            offset = int(json.loads(body)["offset"])
        except MALFORMED_ERRORS as error:
            self._log.warning("append answer not understood", reason=repr(error))
            post(AppendFailed(action.append_id, uncertain=True))
            return
        post(AppendAnswered(action.append_id, offset))

    async def read_forever(self, stream: str, post: Post) -> None:
        """Read a stream from its oldest record on; failed reads are retried.

        A read that took too long is retried with half the records, until one reaches the end of the
        stream: a slow link may not carry more in time.
        """
        offset = 0
        max_count = READ_MAX_COUNT
        while True:
            url = f"{self._url}/{stream}?from={offset}&wait_s={READ_WAIT_S}&max={max_count}"
            try:
                response = await self._client.fetch(url, request_timeout=READ_WAIT_S * 2)
                read = self._parse_read(stream, response.body, max_count)
            except (HTTPClientError, OSError) as error:
                if isinstance(error, HTTPTimeoutError):
                    max_count = max(1, max_count // 2)
                    self._log.warning("log read timed out", stream=stream, next_max=max_count)
                await asyncio.sleep(READ_RETRY_S)
                continue
            except MALFORMED_ERRORS as error:
                self._log.warning("log read not understood", stream=stream, reason=repr(error))
                await asyncio.sleep(READ_RETRY_S)
                continue
            offset = read.next_offset
            if read.at_end:
                max_count = READ_MAX_COUNT
            post(read)

    def _parse_read(self, stream: str, body: bytes, max_count: int) -> LogRead:
        document = json.loads(body)
        items = document["records"]
        at_end = len(items) < max_count
        first_offset, next_offset = int(document["first_offset"]), int(document["next_offset"])
        return LogRead(stream, self._decode(items), first_offset, next_offset, at_end)

    def _decode(self, items: list[dict[str, Any]]) -> tuple[Record, ...]:
        records = []
        for item in items:
            data = base64.b64decode(item["data"])
            record = decode_record(data, item["offset"], item["time_s"])
            if isinstance(record, Malformed):
                self._log.error("record skipped", offset=item["offset"], reason=record.reason)
                continue
            records.append(record)
        return tuple(records)
