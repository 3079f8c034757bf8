"""Stand-in of the platform's store: topics over HTTP, an era, and a drill that brings a copy back.

It follows the users' page on the store and the news page on drills: appends under a condition,
reads that wait, the newest record of each key, 410 for a read from an offset that it does not have,
and ``Store-Era`` in all answers.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import struct
import time
from dataclasses import dataclass, field

from http1 import Connection, Request, Server

KEYED_PREFIX = "keyed."
PAGE_COUNT = 500
# The sheets say 4 ms an answer.
ANSWER_MEAN_S, ANSWER_MAX_S = 0.004, 0.02


@dataclass
class Topic:
    """One topic with one partition; nothing expires in the time of a case.

    :param records: key, value, and when it was appended.
    """

    records: list[tuple[str, bytes, float]] = field(default_factory=list)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return len(self.records)

    def newest(self) -> dict[str, tuple[bytes, int]]:
        """Return value and offset of the newest record of each key that was not dropped."""
        found: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value, _) in enumerate(self.records):
            if value:
                found[key] = value, offset
            else:
                found.pop(key, None)
        return found


class Store:
    """The store; the operator and the replicas of a case write through its methods."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.era = 1
        self.server = Server(self._handle)
        self._is_silent = False
        # Connections on which an answer was lost; they bring nothing further.
        self._dead: set[Connection] = set()
        self._changed = asyncio.Event()
        self._rng = random.Random(0)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as the operator or a replica does; ``None`` drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).records.append((key, data, time.monotonic()))
        self._wake()

    def go_away(self) -> None:
        """End the store's process."""
        self.server.stop()
        self._wake()

    @property
    def is_reachable(self) -> bool:
        """Return whether a call would be answered."""
        return self.server.is_listening and not self._is_silent

    def fall_silent(self) -> None:
        """Answer nothing, as a machine without power does; connections stay open."""
        self._is_silent = True
        self._wake()

    async def come_back(self, copy_age_s: float) -> None:
        """Start again from a copy of what the store held some seconds ago."""
        limit_s = time.monotonic() - copy_age_s
        for topic in self.topics.values():
            topic.records = [record for record in topic.records if record[2] <= limit_s]
        self.era += 1
        if self._is_silent:
            self._is_silent = False
            self._dead |= self.server.connections
        else:
            await self.server.start()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, connection: Connection) -> None:
        query = request.query
        topic = self.topic(query.get("topic", ""))
        if request.path == "/log-read":
            await self._wait_for_records(topic, query)
        if self._is_silent or connection in self._dead:
            await connection.wait_closed()
            self._dead.discard(connection)
            return
        await asyncio.sleep(min(ANSWER_MAX_S, self._rng.expovariate(1.0 / ANSWER_MEAN_S)))
        match request.path:
            case "/log-append":
                status, body = self._append(topic, query, request.body)
            case "/log-read":
                status, body = self._read(topic, int(query["from"]), query)
            case "/log-newest":
                status, body = self._newest(topic, query.get("after", ""))
            case _:
                status, body = 404, b"{}"
        await connection.send(status, {"Store-Era": str(self.era)}, body)

    async def _wait_for_records(self, topic: Topic, query: dict[str, str]) -> None:
        offset = int(query["from"])
        ends_at_s = time.monotonic() + float(query.get("wait_ms", "0")) / 1e3
        while topic.end == offset and (left_s := ends_at_s - time.monotonic()) > 0.0:
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                return

    def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        if "at" in query and int(query["at"]) != topic.end:
            return 412, json.dumps({"end": topic.end}).encode()
        offset, position = topic.end, 0
        is_keyed = query["topic"].startswith(KEYED_PREFIX)
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key_end = 1 + content[0] if is_keyed else 0
            key = content[1:key_end].decode()
            topic.records.append((key, content[key_end:], time.monotonic()))
        self._wake()
        return 200, json.dumps({"offset": offset, "end": topic.end}).encode()

    def _read(self, topic: Topic, offset: int, query: dict[str, str]) -> tuple[int, bytes]:
        if offset > topic.end:
            return 410, json.dumps({"first": 0}).encode()
        body = struct.pack(">QQ", topic.end, 0)
        for key, value, _ in topic.records[offset:]:
            content = value
            if query["topic"].startswith(KEYED_PREFIX):
                content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def _newest(self, topic: Topic, after: str) -> tuple[int, bytes]:
        newest = topic.newest()
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:PAGE_COUNT]
        ]
        answer = {"items": items, "more": len(keys) > PAGE_COUNT, "end": topic.end}
        return 200, json.dumps(answer).encode()
