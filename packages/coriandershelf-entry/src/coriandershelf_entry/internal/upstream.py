"""Runs attempts at upstreams: one task per attempt, which owns its connection.

tornado's ``AsyncHTTPClient`` leaves the socket of a silent stream open when its future is
cancelled, and opens a new connection for each request. Its building blocks ``TCPClient`` and
``HTTP1Connection`` are used instead, so that this module owns the stream and can close it at any
time.
"""

from __future__ import annotations

import asyncio
import json
import socket
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
    Event,
    FailureCause,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_entry.internal.answer_ends import AnswerEnds, still_runs
from coriandershelf_entry.internal.core_task import Post
from coriandershelf_entry.internal.sse import END_MARKER, BadStream, StreamEvent, StreamParser

IDLE_CONNECTIONS_MAX_COUNT = 32
# Responses below it are informational (1xx); the final one follows.
FINAL_STATUS_MIN = 200
BODILESS_STATUSES = (204, 304)
BODY_LIMIT_BYTES = 1 << 30
PLAIN_BODY_LIMIT_BYTES = 4 << 20
# Within it a second connection is opened, or the call is sent without one.
CHECK_CONNECT_TIMEOUT_S = 0.25

WaitForSpace = Callable[[str], Awaitable[None] | None]


class ConnectionPool:
    """Idle connections to upstreams; the most recently used is reused first.

    :ivar answer_ends: which upstreams' plain answers show their ends themselves.
    """

    def __init__(self) -> None:
        self.answer_ends = AnswerEnds()
        self._client = TCPClient()
        self._idle: dict[str, list[IOStream]] = {}

    async def acquire(self, address: str, fresh: bool) -> IOStream:
        """Return an idle connection, or open a new one.

        :param fresh: always open a new connection.
        :raises OSError: the upstream did not accept the connection.
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            stream = idle.pop()
            if _is_usable(stream):
                return stream
            stream.close()
        return await self._open(address)

    async def open_for_check(self, address: str) -> IOStream | None:
        """Return a connection on which an upstream can be asked later, if it accepts one."""
        try:
            async with asyncio.timeout(CHECK_CONNECT_TIMEOUT_S):
                return await self._open(address)
        except (TimeoutError, OSError, StreamClosedError):
            return None

    async def _open(self, address: str) -> IOStream:
        host, _, port = address.rpartition(":")
        stream = await self._client.connect(host, int(port))
        stream.set_nodelay(True)
        return stream

    def release(self, address: str, stream: IOStream) -> None:
        """Keep a connection for reuse; its response must have been read to the end."""
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


class _ResponseReader(HTTPMessageDelegate):
    """Turns the response of an upstream into events for the core."""

    def __init__(
        self, action: StartAttempt, stream: IOStream, post: Post, wait_for_space: WaitForSpace
    ) -> None:
        self._action = action
        self._stream = stream
        self._post = post
        self._wait_for_space = wait_for_space
        self._parser = StreamParser()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.ends_with_connection = False
        self.status = 0
        self.keep_alive = True
        self.ended = False
        self.failure: FailureCause | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the status line and headers of the response."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < FINAL_STATUS_MIN:
            return
        self.status = start_line.code
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.ends_with_connection = not framed and start_line.code not in BODILESS_STATUSES
        self.keep_alive = headers.get("Connection", "").lower() != "close"
        if self._action.kind is ServiceKind.PLAIN:
            return
        if self.status == 200:
            self._post(AttemptOpened(self._action.attempt_id))
        else:
            refused = self.status in (429, 503)
            self.failure = FailureCause.REFUSED if refused else FailureCause.SERVER_ERROR

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of the body; the awaitable delays reading while the caller is slow."""
        if self._action.kind is ServiceKind.PLAIN:
            self._body_bytes += len(chunk)
            self._body.append(chunk)
            if self._body_bytes > PLAIN_BODY_LIMIT_BYTES:
                # A part of an answer must not pass for the whole.
                self.failure = FailureCause.SERVER_ERROR
                self._body.clear()
                self._stream.close()
            return None
        if self.failure is not None:
            return None
        events = self._parser.feed(chunk)
        if isinstance(events, BadStream):
            self.failure = FailureCause.SERVER_ERROR
            self._stream.close()
            return None
        self._post_events(events)
        space_available = self._wait_for_space(self._action.request_id)
        return None if space_available is None else self._pause(space_available)

    async def _pause(self, space_available: Awaitable[None]) -> None:
        """Pause reading until the mailbox has space, without counting as a silent stream."""
        self._post(AttemptPaused(self._action.attempt_id))
        await space_available
        self._post(AttemptResumed(self._action.attempt_id))

    def _post_events(self, events: list[StreamEvent]) -> None:
        """Post runs of payloads with consecutive positions as one event each."""
        run: list[StreamEvent] = []
        for event in events:
            if event.payload == END_MARKER:
                self._post_run(run)
                run = []
                self.ended = True
                if event.attempt_id != self._action.attempt_id:
                    # The end of another attempt's stream: this one's is still to come.
                    self.keep_alive = False
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
        """Handle the end of the response."""
        if self.ends_with_connection and self._stream.error is not None:
            # tornado takes a reset for the end of a response without length.
            return
        if self._action.kind is ServiceKind.PLAIN and self.failure is None:
            self.ended = True
            self._post(PlainAnswered(self._action.attempt_id, self.status, b"".join(self._body)))

    def on_connection_close(self) -> None:
        """Do nothing; ``run_attempt`` detects an incomplete response."""


def _request_body(action: StartAttempt) -> bytes:
    """Return the body; a resumed stream includes the text generated so far, to be continued."""
    if not action.resume_payloads:
        return action.body
    body = json.loads(action.body)
    body["resume_text"] = "".join(_text_of(payload) for payload in action.resume_payloads)
    return json.dumps(body).encode()


def _text_of(payload: bytes) -> str:
    """Return the text of a payload; none if an upstream sent something else."""
    try:
        return str(json.loads(payload)["choices"][0]["delta"].get("content", ""))
    except (ValueError, KeyError, TypeError, IndexError, AttributeError, RecursionError):
        return ""


def _is_usable(stream: IOStream) -> bool:
    """Return whether an idle connection is open and received nothing, such as a second answer."""
    # tornado has no public way to see bytes that it read beyond a response.
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


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


async def run_attempt(
    action: StartAttempt, pool: ConnectionPool, post: Post, wait_for_space: WaitForSpace
) -> None:
    """Run one attempt and post its events.

    Cancelling the task closes the connection, which signals the cancellation to the upstream.
    """
    body = _request_body(action)
    fresh = action.fresh_connection or action.kind is ServiceKind.PLAIN
    try:
        stream = await pool.acquire(action.address, fresh)
    except (OSError, StreamClosedError):
        post(AttemptFailed(action.attempt_id, FailureCause.CONNECT, sent=False))
        return
    is_plain = action.kind is ServiceKind.PLAIN
    answers: list[Event] = []
    response = _ResponseReader(action, stream, answers.append if is_plain else post, wait_for_space)
    check_stream: IOStream | None = None
    read_to_end = False
    try:
        if is_plain and pool.answer_ends.may_be_unshown(action.address):
            check_stream = await pool.open_for_check(action.address)
        parameters = HTTP1ConnectionParameters(max_body_size=BODY_LIMIT_BYTES)
        connection = HTTP1Connection(stream, True, parameters)
        path = "/" + action.path if action.path else "/v1/chat/completions"
        connection.write_headers(
            RequestStartLine("POST", path, "HTTP/1.1"), _request_headers(action, body), body
        )
        connection.finish()
        read_to_end = await connection.read_response(response)
        if answers:
            pool.answer_ends.note(action.address, not response.ends_with_connection)
            if response.ends_with_connection:
                response.ended = check_stream is not None and await still_runs(
                    check_stream, action.address
                )
    except (OSError, StreamClosedError, asyncio.IncompleteReadError):
        read_to_end = False
    finally:
        if check_stream is not None:
            check_stream.close()
        if read_to_end and response.ended and response.keep_alive:
            pool.release(action.address, stream)
        else:
            stream.close()
    if not response.ended:
        cause = response.failure or FailureCause.CLOSED
        post(AttemptFailed(action.attempt_id, cause, sent=True))
        return
    for answer in answers:
        post(answer)
