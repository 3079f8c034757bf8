"""HTTP stand-in of the users' platform store: topics, and faults that tests can inject."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

OPERATOR_TOPIC = "keyed.op"
REGISTRY_TOPIC = "keyed.servers"
READ_POLL_S = 0.01
PIECES_PER_S = 50
PAGE_KEYS_COUNT = 3
KEYED_PREFIX = "keyed."
LATE_MIN_S, LATE_MAX_S = 1.0, 6.0


@dataclass
class Topic:
    """One topic; the records of a topic without keys have an empty key.

    :param first_offset: offset of the first retained record; offsets count from 0.
    :param records: retained records as key and value.
    :param newest_by_key: value and offset of the newest record of each key.
    """

    first_offset: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest_by_key: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """Return the offset after the last record."""
        return self.first_offset + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value deletes the key."""
        offset = self.end_offset
        self.records.append((key, value))
        if value:
            self.newest_by_key[key] = (value, offset)
        else:
            self.newest_by_key.pop(key, None)
        return offset

    def drop_history(self) -> None:
        """Drop the history; only the newest record of each key remains readable."""
        self.first_offset = self.end_offset
        self.records = []


@dataclass
class StoreState:
    """Contents and injected faults of the store.

    :param refuse: answer every call with 503.
    :param refuse_topics: answer calls on these topics with 503.
    :param lose_answers: perform writes, but close the connection without an answer.
    :param late_share: share of the writes that get no answer and are performed some seconds later,
        also if their sender has ended meanwhile.
    :param late_rng: draws which writes these are, and how late.
    :param bytes_per_s: rate at which the link to the caller carries an answer; ``None`` for no
        limit.
    :param calls: method and path of each call, in order.
    :param disturb: awaited before a call is performed and before its answer; it may answer the
        call itself.
    """

    topics: dict[str, Topic] = field(default_factory=dict)
    refuse: bool = False
    refuse_topics: frozenset[str] = frozenset()
    lose_answers: bool = False
    late_share: float = 0.0
    late_rng: random.Random = field(default_factory=lambda: random.Random(0))
    bytes_per_s: float | None = None
    calls: list[tuple[str, str]] = field(default_factory=list)
    disturb: Callable[[RequestHandler], Awaitable[None]] | None = None

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a JSON value as the operator or a replica does; ``None`` deletes the key."""
        self.topic(topic).append(key, b"" if value is None else json.dumps(value).encode())

    def draw_delay_s(self) -> float | None:
        """Return how late a write is performed, ``None`` if at once and with an answer."""
        if self.late_rng.random() >= self.late_share:
            return None
        return self.late_rng.uniform(LATE_MIN_S, LATE_MAX_S)


class _StoreHandler(RequestHandler):
    def initialize(self, state: StoreState) -> None:
        """Store the shared state."""
        self._state = state

    async def prepare(self) -> None:
        """Record the call; refuse it if the store refuses calls."""
        self._state.calls.append((self.request.method or "", self.request.path))
        await self._disturb()
        if self._finished:
            return
        if self._state.refuse or self.get_query_argument("topic") in self._state.refuse_topics:
            self.set_status(503)
            self.finish()

    async def _disturb(self) -> None:
        if self._state.disturb is not None:
            await self._state.disturb(self)

    def _topic(self) -> Topic:
        return self._state.topic(self.get_query_argument("topic"))

    def _is_keyed(self) -> bool:
        return self.get_query_argument("topic").startswith(KEYED_PREFIX)

    async def _respond(self, body: bytes) -> None:
        """Send an answer at the rate of the link."""
        await self._disturb()
        if self._finished:
            return
        rate = self._state.bytes_per_s
        if rate is None:
            self.finish(body)
            return
        self.set_header("Content-Length", len(body))
        size = max(1, int(rate / PIECES_PER_S))
        # The caller may give up before the end.
        with contextlib.suppress(StreamClosedError):
            for start in range(0, len(body), size):
                self.write(body[start : start + size])
                await self.flush()
                await asyncio.sleep(1.0 / PIECES_PER_S)
            self.finish()


class _AppendHandler(_StoreHandler):
    def initialize(self, state: StoreState) -> None:
        """Store the shared state."""
        super().initialize(state)
        self._closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """Let a call that gets no answer end with its connection."""
        self._closed.set()

    async def post(self) -> None:
        """Append records if the topic ends at the offset that the writer expects."""
        delay_s = self._state.draw_delay_s()
        if delay_s is not None:
            asyncio.get_running_loop().call_later(delay_s, self._append)
            await self._closed.wait()
            return
        topic = self._topic()
        first_offset = topic.end_offset
        is_appended = self._append()
        await self._disturb()
        if self._finished:
            return
        if not is_appended:
            self.set_status(412)
            self.finish({"end": topic.end_offset})
            return
        if self._state.lose_answers:
            assert isinstance(self.request.connection, HTTP1Connection)
            self.request.connection.close()
            return
        self.finish({"offset": first_offset, "end": topic.end_offset})

    def _append(self) -> bool:
        """Append the records; return ``False`` if the topic does not end as the writer expects."""
        topic = self._topic()
        expected_end = self.get_query_argument("at", None)
        if expected_end is not None and int(expected_end) != topic.end_offset:
            return False
        body, position = self.request.body, 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            if self._is_keyed():
                topic.append(content[1 : 1 + content[0]].decode(), content[1 + content[0] :])
            else:
                topic.append("", content)
        return True


class _ReadHandler(_StoreHandler):
    async def get(self) -> None:
        """Return records from an offset on, waiting up to ``wait_ms`` for the first.

        They exceed ``max_kb`` by less than a record.
        """
        topic = self._topic()
        offset = int(self.get_query_argument("from"))
        wait_s = float(self.get_query_argument("wait_ms", "0")) / 1e3
        max_bytes = int(self.get_query_argument("max_kb", "1024")) << 10
        while topic.end_offset <= offset and wait_s > 0.0 and not self._state.refuse:
            await asyncio.sleep(READ_POLL_S)
            wait_s -= READ_POLL_S
        if self._state.refuse:
            self.set_status(503)
            return
        if offset < topic.first_offset:
            self.set_status(410)
            self.finish({"first": topic.first_offset})
            return
        body = struct.pack(">QQ", topic.end_offset, topic.first_offset)
        for key, value in topic.records[offset - topic.first_offset :]:
            if len(body) >= max_bytes:
                break
            content = value
            if self._is_keyed():
                content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        await self._respond(body)


class _NewestHandler(_StoreHandler):
    async def get(self) -> None:
        """Return the newest record of each key, in pages of ``PAGE_KEYS_COUNT`` keys."""
        topic = self._topic()
        after = self.get_query_argument("after", "")
        keys = sorted(key for key in topic.newest_by_key if key > after)
        page = keys[:PAGE_KEYS_COUNT]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest_by_key[key][0]).decode(),
                "offset": topic.newest_by_key[key][1],
            }
            for key in page
        ]
        answer = {"items": items, "more": len(keys) > len(page), "end": topic.end_offset}
        await self._respond(json.dumps(answer).encode())


async def start_store(
    state: StoreState, host: str = "127.0.0.1", port: int = 0
) -> tuple[HTTPServer, str]:
    """Start the store on a port, or on a free one; return the server and its address."""
    arguments = {"state": state}
    application = Application(
        [
            ("/log-append", _AppendHandler, arguments),
            ("/log-read", _ReadHandler, arguments),
            ("/log-newest", _NewestHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return server, f"{host}:{port}"
