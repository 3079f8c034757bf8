"""Stand-in of the platform's store: a log with topics, and the drill of the news pages."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from collections import deque
from urllib.parse import parse_qs, urlsplit

from http11 import Request, Server, response

SNAPSHOT_PERIOD_S = 0.1
SNAPSHOTS_COUNT = 200
# What the operator and the replicas wrote is written again after a drill.
FOREIGN_TOPICS = ("keyed.op", "keyed.servers")


class Store:
    """Topics of one partition each; offsets count from 0."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self.era = 1
        self.is_away = False
        self.calls: list[tuple[float, str, str]] = []
        self._changed = asyncio.Event()
        self._snapshots: deque[tuple[float, dict[str, int]]] = deque(maxlen=SNAPSHOTS_COUNT)
        self.server = Server(self._handle)

    async def start(self, host: str, port: int) -> None:
        """Listen, and keep copies of the last seconds."""
        await self.server.start(host, port)
        self._task = asyncio.create_task(self._keep_snapshots())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a keyed record, as the operator and the replicas do; ``None`` drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [bytes([len(key)]) + key.encode() + data])

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Return the newest value and its offset of each key."""
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            key, value = content[1 : 1 + content[0]].decode(), content[1 + content[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return newest

    async def drill(self, copy_taken_before_s: float, away_s: float) -> float:
        """Go away for a moment and come back from a copy; return the copy's age at the loss.

        :param copy_taken_before_s: the copy is the newest one taken before this monotonic time.
        """
        lost_at_s = time.monotonic()
        self.is_away = True
        self.server.reset_all()
        taken_at_s, ends = max(
            (item for item in self._snapshots if item[0] < copy_taken_before_s),
            key=lambda item: item[0],
        )
        await asyncio.sleep(away_s)
        lost: dict[str, list[bytes]] = {}
        for topic, contents in self.topics.items():
            end = ends.get(topic, 0)
            lost[topic] = contents[end:]
            del contents[end:]
        for topic in FOREIGN_TOPICS:
            self.topics.setdefault(topic, []).extend(lost.get(topic, []))
        self.era += 1
        self._snapshots.clear()
        self.is_away = False
        return lost_at_s - taken_at_s

    async def outage(self, away_s: float) -> None:
        """Reset all connections and accept no call for some time."""
        self.is_away = True
        self.server.reset_all()
        await asyncio.sleep(away_s)
        self.is_away = False

    def _append(self, topic: str, contents: list[bytes]) -> int:
        records = self.topics.setdefault(topic, [])
        records += contents
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records)

    async def _keep_snapshots(self) -> None:
        while True:
            if not self.is_away:
                ends = {topic: len(records) for topic, records in self.topics.items()}
                self._snapshots.append((time.monotonic(), ends))
            await asyncio.sleep(SNAPSHOT_PERIOD_S)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if self.is_away:
            return False
        era = self.era
        await asyncio.sleep(0.004)
        split = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        self.calls.append((time.monotonic(), split.path, query.get("topic", "")))
        if split.path == "/log-append":
            status, body = self._on_append(query, request.body)
        elif split.path == "/log-read":
            status, body = await self._on_read(query)
        elif split.path == "/log-newest":
            status, body = self._on_newest(query)
        else:
            status, body = 404, b"{}"
        if self.is_away or era != self.era:
            return False
        writer.write(response(status, {"Store-Era": str(era)}, body))
        await writer.drain()
        return True

    def _on_append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic = query["topic"]
        end = len(self.topics.get(topic, []))
        if topic in FOREIGN_TOPICS:
            return 403, b"{}"
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        contents, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        new_end = self._append(topic, contents)
        return 200, json.dumps({"offset": end, "end": new_end}).encode()

    async def _on_read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, offset = query["topic"], int(query["from"])
        until_s = time.monotonic() + float(query.get("wait_ms", "0")) / 1e3
        era = self.era
        while len(self.topics.get(topic, [])) <= offset and era == self.era:
            if len(self.topics.get(topic, [])) < offset:
                return 410, json.dumps({"first": 0}).encode()
            left_s = until_s - time.monotonic()
            if left_s <= 0.0 or self.is_away:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                continue
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for content in records[offset:]:
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def _on_newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        newest = self.newest(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        end = len(self.topics.get(query["topic"], []))
        return 200, json.dumps({"items": items, "more": len(keys) > 500, "end": end}).encode()
