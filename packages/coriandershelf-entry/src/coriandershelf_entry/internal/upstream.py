"""Attempts at upstreams: one task an attempt, which owns its connection.

tornado's own ``AsyncHTTPClient`` leaves the socket of a silent stream open when its future is
cancelled and opens a new connection for each request. So its building blocks are used instead:
``TCPClient`` and ``HTTP1Connection``, whose stream this module owns and can close at any time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from coriandershelf_core.internal.vocabulary.actions import StartAttempt
from coriandershelf_core.internal.vocabulary.events import (
    AttemptFailed,
    AttemptOpened,
    AttemptPaused,
    AttemptResumed,
    FailureCause,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_entry.internal.core_task import Post
from coriandershelf_entry.internal.sse import END_MARKER, BadStream, StreamEvent, StreamParser

IDLE_CONNECTIONS_MAX_COUNT = 32
BODY_LIMIT_BYTES = 1 << 30
PLAIN_BODY_LIMIT_BYTES = 4 << 20

Room = Callable[[str], Awaitable[None] | None]


class ConnectionPool:
    """Idle connections to upstreams, newest first."""

    def __init__(self) -> None:
        self._client = TCPClient()
        self._idle: dict[str, list[IOStream]] = {}

    async def take(self, address: str, fresh: bool) -> IOStream:
        """Return an idle or new connection.

        :raises OSError: the upstream did not take the connection.
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            stream = idle.pop()
            if not stream.closed():
                return stream
        host, _, port = address.rpartition(":")
        stream = await self._client.connect(host, int(port))
        stream.set_nodelay(True)
        return stream

    def give_back(self, address: str, stream: IOStream) -> None:
        """Keep a connection whose answer was read whole."""
        idle = self._idle.setdefault(address, [])
        if stream.closed() or len(idle) >= IDLE_CONNECTIONS_MAX_COUNT:
            stream.close()
        else:
            idle.append(stream)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for stream in idle:
                stream.close()
        self._idle.clear()


class _Answer(HTTPMessageDelegate):
    """Turns an upstream's answer into events for the core."""

    def __init__(self, action: StartAttempt, stream: IOStream, post: Post, room: Room) -> None:
        self._action = action
        self._stream = stream
        self._post = post
        self._room = room
        self._parser = StreamParser()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.status = 0
        self.keep_alive = True
        self.ended = False
        self.failure: FailureCause | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the answer's status."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.keep_alive = headers.get("Connection", "").lower() != "close"
        if self._action.kind is ServiceKind.PLAIN:
            return
        if self.status == 200:
            self._post(AttemptOpened(self._action.attempt_id))
        else:
            refused = self.status in (429, 503)
            self.failure = FailureCause.REFUSED if refused else FailureCause.SERVER_ERROR

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body; waits while the caller is slow."""
        if self._action.kind is ServiceKind.PLAIN:
            self._body_bytes += len(chunk)
            if self._body_bytes <= PLAIN_BODY_LIMIT_BYTES:
                self._body.append(chunk)
            return None
        if self.failure is not None:
            return None
        events = self._parser.feed(chunk)
        if isinstance(events, BadStream):
            self.failure = FailureCause.SERVER_ERROR
            self._stream.close()
            return None
        self._post_events(events)
        room = self._room(self._action.request_id)
        return None if room is None else self._pause(room)

    async def _pause(self, room: Awaitable[None]) -> None:
        """Stop reading until the caller has room; the core must not take it for a silent stream."""
        self._post(AttemptPaused(self._action.attempt_id))
        await room
        self._post(AttemptResumed(self._action.attempt_id))

    def _post_events(self, events: list[StreamEvent]) -> None:
        """Post runs of payloads with consecutive positions as one event each."""
        run: list[StreamEvent] = []
        for event in events:
            if event.payload == END_MARKER:
                self._post_run(run)
                run = []
                self.ended = True
                self._post(StreamEnded(self._action.attempt_id, event.attempt_id, event.position))
                continue
            last = run[-1] if run else None
            if last is not None and (
                event.position != last.position + 1 or event.attempt_id != last.attempt_id
            ):
                self._post_run(run)
                run = []
            run.append(event)
        self._post_run(run)

    def _post_run(self, run: list[StreamEvent]) -> None:
        if run:
            payloads = tuple(event.payload for event in run)
            first = run[0]
            self._post(
                TokensArrived(self._action.attempt_id, first.attempt_id, first.position, payloads)
            )

    def finish(self) -> None:
        """Take the end of the answer."""
        if self._action.kind is ServiceKind.PLAIN:
            self.ended = True
            self._post(PlainAnswered(self._action.attempt_id, self.status, b"".join(self._body)))

    def on_connection_close(self) -> None:
        """Nothing to do; the attempt sees that the answer has not ended."""


def _request_body(action: StartAttempt) -> bytes:
    """Return the body with what was generated before, so that the stream goes on behind it."""
    if not action.resume_payloads:
        return action.body
    body = json.loads(action.body)
    deltas = [json.loads(payload)["choices"][0]["delta"] for payload in action.resume_payloads]
    body["resume_text"] = "".join(delta.get("content", "") for delta in deltas)
    return json.dumps(body).encode()


def _request_headers(action: StartAttempt, body: bytes) -> HTTPHeaders:
    headers = HTTPHeaders(
        {
            "Host": action.address,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "X-Request-Id": action.request_id,
            "X-Attempt-Id": action.attempt_id,
            "X-Priority": str(action.priority),
        }
    )
    if action.resume_payloads:
        headers["X-Resume-From"] = str(len(action.resume_payloads))
    if action.kv_source:
        headers["X-Kv-Source"] = action.kv_source
    return headers


async def run_attempt(action: StartAttempt, pool: ConnectionPool, post: Post, room: Room) -> None:
    """Run one attempt and post what becomes of it.

    Cancelling the task closes the connection, which is how the upstream learns of it.
    """
    body = _request_body(action)
    fresh = action.fresh_connection or action.kind is ServiceKind.PLAIN
    try:
        stream = await pool.take(action.address, fresh)
    except (OSError, StreamClosedError):
        post(AttemptFailed(action.attempt_id, FailureCause.CONNECT, sent=False))
        return
    answer = _Answer(action, stream, post, room)
    whole = False
    try:
        parameters = HTTP1ConnectionParameters(max_body_size=BODY_LIMIT_BYTES)
        connection = HTTP1Connection(stream, True, parameters)
        path = "/" + action.path if action.path else "/v1/chat/completions"
        connection.write_headers(
            RequestStartLine("POST", path, "HTTP/1.1"), _request_headers(action, body), body
        )
        connection.finish()
        whole = await connection.read_response(answer)
    except (OSError, StreamClosedError, asyncio.IncompleteReadError):
        whole = False
    finally:
        if whole and answer.ended and answer.keep_alive:
            pool.give_back(action.address, stream)
        else:
            stream.close()
    if not answer.ended:
        cause = answer.failure or FailureCause.CLOSED
        post(AttemptFailed(action.attempt_id, cause, sent=True))
