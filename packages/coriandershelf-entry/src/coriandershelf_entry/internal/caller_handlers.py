"""HTTP handlers of the API for callers."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from coriandershelf_core import Done, NotRun, Outcome, Request, RequestKind, Unknown
from coriandershelf_core.internal.vocabulary.events import CallerGone, JobRead, RequestArrived
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason
from coriandershelf_entry.internal.handlers import JsonHandler, SharedState
from coriandershelf_entry.internal.mailbox import CallerMailbox
from coriandershelf_entry.internal.request_parsing import (
    DEADLINE_HEADER,
    BadRequest,
    hash_key,
    parse_chat,
    parse_deadline,
)
from coriandershelf_entry.internal.responses import (
    OUTCOME_HEADER,
    REASON_HEADER,
    build_completion,
    error_document,
    outcome_name,
)

# tornado refuses a larger body with a bare 400 response. The limit is above any real body, so that
# the handler itself refuses one beyond ``body_limit_bytes``, with a reason.
BODY_READ_LIMIT_BYTES = 1 << 40
REFUSED_BODY_LINGER_S = 1.0


@stream_request_body
class CallerHandler(JsonHandler):
    """Base of the handlers whose requests are answered by the core."""

    shared: SharedState

    def initialize(self, callers: SharedState) -> None:
        """Set the shared state and the fields of this request."""
        self.shared = callers
        self.request_id = uuid.uuid4().hex
        self.mailbox: CallerMailbox | None = None
        self._body = bytearray()
        self._refused = False

    async def prepare(self) -> None:
        """Refuse a body whose declared length is over the limit before reading it."""
        self.set_header("X-Request-Id", self.request_id)
        if self.shared.context.stopping:
            self.set_header("Connection", "close")
        limit = self.shared.settings.body_limit_bytes
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection), "not served by tornado's HTTP/1 server"
        connection.set_max_body_size(BODY_READ_LIMIT_BYTES)
        if int(self.request.headers.get("Content-Length", "0")) > limit:
            await self._refuse_body()

    async def data_received(self, chunk: bytes) -> None:
        """Collect a chunk of the body; refuse the body once it is over the limit."""
        if self._refused:
            return
        self._body += chunk
        if len(self._body) > self.shared.settings.body_limit_bytes:
            await self._refuse_body()

    async def _refuse_body(self) -> None:
        """Respond before the body is read, then close the connection.

        The response is flushed some time before the connection is closed: closing a socket with
        unread bytes resets it, and a caller that still sends could lose the response to the reset.
        """
        self._refused = True
        limit = self.shared.settings.body_limit_bytes
        outcome = NotRun(RefusalReason.BODY_TOO_LARGE, detail=f"the limit is {limit} bytes")
        self.shared.metrics.count(f"refusal.{outcome.reason.code}", 1)
        document = json.dumps(error_document(outcome)).encode()
        self.write_error_outcome(outcome, document)
        self.set_header("Content-Length", str(len(document)))
        self.set_header("Connection", "close")
        try:
            await self.flush()
            await asyncio.sleep(REFUSED_BODY_LINGER_S)
            await self.finish()
        except StreamClosedError:
            pass

    def refuse(self, outcome: NotRun | Unknown) -> None:
        """Respond with an error that does not come from the core."""
        self.shared.metrics.count(f"refusal.{outcome.reason.code}", 1)
        self.write_error_outcome(outcome)
        self.finish()

    def write_error_outcome(self, outcome: NotRun | Unknown, document: bytes | None = None) -> None:
        """Write the status, headers and document of an error."""
        self.set_status(outcome.reason.status)
        self.set_header(OUTCOME_HEADER, outcome_name(outcome))
        self.set_header(REASON_HEADER, outcome.reason.code)
        if outcome.retry_after_s is not None:
            self.set_header("Retry-After", str(max(0, round(outcome.retry_after_s))))
        self.set_header("Content-Type", "application/json")
        self.write(document or error_document(outcome))

    def write_result(self, done: Done, content_type: str = "application/json") -> None:
        """Write a complete, non-streamed response."""
        self.set_status(done.status)
        self.set_header(OUTCOME_HEADER, "done")
        self.set_header("Content-Type", content_type)
        self.write(done.body)

    @property
    def credential_hash(self) -> str:
        """Return the hash of the caller's key."""
        return hash_key(self.request.headers.get("Authorization", ""))

    def deadline_s(self) -> float | BadRequest:
        """Return the absolute deadline of the request, or why its header is invalid."""
        header = self.request.headers.get(DEADLINE_HEADER)
        return parse_deadline(header, self.shared.settings.default_deadline_s, self.shared.clock())

    def open_mailbox(self) -> CallerMailbox:
        """Register and return the mailbox in which the core puts the response."""
        mailbox = CallerMailbox(self.shared.settings.answer_buffer_payloads)
        self.shared.mailboxes[self.request_id] = mailbox
        self.mailbox = mailbox
        return mailbox

    async def collect_response(self, mailbox: CallerMailbox) -> tuple[list[bytes], Outcome]:
        """Wait for the outcome and return it with all payloads."""
        collected: list[bytes] = []
        while True:
            payloads, outcome = await mailbox.receive()
            collected += payloads
            if outcome is not None:
                return collected, outcome

    async def respond_when_done(self, mailbox: CallerMailbox) -> None:
        """Wait for the outcome and write it as a non-streamed response."""
        _, outcome = await self.collect_response(mailbox)
        if isinstance(outcome, Done):
            self.write_result(outcome)
        else:
            self.write_error_outcome(outcome)

    def on_connection_close(self) -> None:
        """Notify the core that the caller has disconnected."""
        if self.mailbox is not None:
            self.shared.core_task.post(CallerGone(self.request_id))
            self.mailbox.close()
            self.shared.mailboxes.pop(self.request_id, None)

    def on_finish(self) -> None:
        """Remove the mailbox."""
        self.shared.mailboxes.pop(self.request_id, None)

    def parse_chat_request(self, kind: RequestKind) -> Request | None:
        """Return the request in a chat body, or ``None`` after refusing it."""
        deadline_s = self.deadline_s()
        request: Request | BadRequest = BadRequest("")
        if not isinstance(deadline_s, BadRequest):
            request = parse_chat(
                bytes(self._body),
                kind,
                self.request_id,
                self.credential_hash,
                deadline_s,
                self.request.headers.get("Idempotency-Key"),
            )
        error = deadline_s if isinstance(deadline_s, BadRequest) else request
        if isinstance(error, BadRequest):
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail=error.message))
            return None
        assert isinstance(request, Request)
        return request


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``, streamed or not."""

    async def post(self) -> None:
        """Submit a chat request and write its response."""
        if self._refused:
            return
        request = self.parse_chat_request(RequestKind.CHAT)
        if request is None:
            return
        mailbox = self.open_mailbox()
        self.shared.core_task.post(RequestArrived(request))
        if request.stream:
            await self._write_stream(mailbox)
            return
        payloads, outcome = await self.collect_response(mailbox)
        if isinstance(outcome, Done):
            self.write_result(Done(200, build_completion(request, payloads)))
        else:
            self.write_error_outcome(outcome)

    async def _write_stream(self, mailbox: CallerMailbox) -> None:
        started = False
        while True:
            payloads, outcome = await mailbox.receive()
            if not started:
                if not payloads and isinstance(outcome, NotRun | Unknown):
                    self.write_error_outcome(outcome)
                    return
                started = True
                self.set_header("Content-Type", "text/event-stream")
                self.set_header("Cache-Control", "no-store")
            parts = [b"data: " + payload + b"\n\n" for payload in payloads]
            if isinstance(outcome, Done):
                parts.append(b"data: [DONE]\n\n")
            elif outcome is not None:
                document = json.dumps(error_document(outcome)).encode()
                parts.append(b"event: error\ndata: " + document + b"\n\n")
            self.write(b"".join(parts))
            try:
                await self.flush()
            except StreamClosedError:
                return
            if outcome is not None:
                return


class JobsHandler(CallerHandler):
    """``POST /v1/jobs``: answers 202 once the job is durable."""

    async def post(self) -> None:
        """Submit a job."""
        if self._refused:
            return
        request = self.parse_chat_request(RequestKind.JOB)
        if request is None:
            return
        mailbox = self.open_mailbox()
        self.shared.core_task.post(RequestArrived(request))
        await self.respond_when_done(mailbox)


class JobHandler(CallerHandler):
    """``GET /v1/jobs/{id}?from=N``: status, and output starting at a position."""

    async def get(self, job_id: str) -> None:
        """Return the status and output of a job."""
        if self._refused:
            return
        position = self.get_query_argument("from", "0")
        if not position.isdigit():
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail="from must be a whole number"))
            return
        mailbox = self.open_mailbox()
        event = JobRead(self.request_id, self.credential_hash, job_id, int(position))
        self.shared.core_task.post(event)
        await self.respond_when_done(mailbox)


class ServiceHandler(CallerHandler):
    """``POST /v1/services/{service}/{path}``: a call to a plain service."""

    async def post(self, service: str, path: str) -> None:
        """Submit a call and write its response."""
        if self._refused:
            return
        deadline_s = self.deadline_s()
        if isinstance(deadline_s, BadRequest):
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail=deadline_s.message))
            return
        request = Request(
            request_id=self.request_id,
            kind=RequestKind.SERVICE,
            credential_hash=self.credential_hash,
            service=service,
            deadline_s=deadline_s,
            path=path,
            body=bytes(self._body),
            idempotency_key=self.request.headers.get("Idempotency-Key"),
        )
        mailbox = self.open_mailbox()
        self.shared.core_task.post(RequestArrived(request))
        await self.respond_when_done(mailbox)


def space_waiter(mailboxes: dict[str, CallerMailbox], request_id: str) -> Awaitable[None] | None:
    """Return an awaitable for space in the caller's mailbox, or ``None`` if there is space.

    A request without a caller never waits. Payloads posted in the current iteration of the event
    loop are not in the mailbox yet, so a stream exceeds the limit by at most one chunk. To wait one
    iteration per chunk would cost more than to handle the chunk.
    """
    mailbox = mailboxes.get(request_id)
    if mailbox is None or mailbox.has_space:
        return None
    return mailbox.wait_for_space()
