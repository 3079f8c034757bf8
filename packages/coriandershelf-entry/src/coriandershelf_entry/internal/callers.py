"""The callers' HTTP interface."""

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
from coriandershelf_entry.internal.answers import (
    OUTCOME_HEADER,
    REASON_HEADER,
    error_document,
    outcome_name,
    whole_completion,
)
from coriandershelf_entry.internal.bodies import (
    DEADLINE_HEADER,
    BadRequest,
    hash_key,
    parse_chat,
    parse_deadline,
)
from coriandershelf_entry.internal.handlers import Callers, JsonHandler
from coriandershelf_entry.internal.mailbox import CallerMailbox

# The refusal of a larger body is ours, with a reason; tornado would only close the connection.
BODY_READ_LIMIT_BYTES = 1 << 40
REFUSED_BODY_LINGER_S = 1.0


@stream_request_body
class CallerHandler(JsonHandler):
    """Common parts of the handlers that answer through the core."""

    callers: Callers

    def initialize(self, callers: Callers) -> None:
        """Take what the handlers share."""
        self.callers = callers
        self.request_id = uuid.uuid4().hex
        self.mailbox: CallerMailbox | None = None
        self._body = bytearray()
        self._refused = False

    async def prepare(self) -> None:
        """Refuse a body over the limit before it is read."""
        self.set_header("X-Request-Id", self.request_id)
        if self.callers.context.stopping:
            self.set_header("Connection", "close")
        limit = self.callers.settings.body_limit_bytes
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection), "served by tornado's own server"
        connection.set_max_body_size(BODY_READ_LIMIT_BYTES)
        if int(self.request.headers.get("Content-Length", "0")) > limit:
            await self._refuse_body()

    async def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body within the limit."""
        if self._refused:
            return
        self._body += chunk
        if len(self._body) > self.callers.settings.body_limit_bytes:
            await self._refuse_body()

    async def _refuse_body(self) -> None:
        """Answer before the body is read, then close.

        The answer is flushed a moment before the connection closes: closing with unread bytes
        resets it, and a reset would take the answer from a caller that still sends.
        """
        self._refused = True
        limit = self.callers.settings.body_limit_bytes
        outcome = NotRun(RefusalReason.BODY_TOO_LARGE, detail=f"the limit is {limit} bytes")
        self.callers.metrics.count(f"refusal.{outcome.reason.code}", 1)
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
        """Answer with an error that the core had no part in."""
        self.callers.metrics.count(f"refusal.{outcome.reason.code}", 1)
        self.write_error_outcome(outcome)
        self.finish()

    def write_error_outcome(self, outcome: NotRun | Unknown, document: bytes | None = None) -> None:
        """Write an error's status, headers and document."""
        self.set_status(outcome.reason.status)
        self.set_header(OUTCOME_HEADER, outcome_name(outcome))
        self.set_header(REASON_HEADER, outcome.reason.code)
        if outcome.retry_after_s is not None:
            self.set_header("Retry-After", str(max(0, round(outcome.retry_after_s))))
        self.set_header("Content-Type", "application/json")
        self.write(document or error_document(outcome))

    def write_whole(self, done: Done, content_type: str = "application/json") -> None:
        """Write a whole answer."""
        self.set_status(done.status)
        self.set_header(OUTCOME_HEADER, "done")
        self.set_header("Content-Type", content_type)
        self.write(done.body)

    @property
    def credential_hash(self) -> str:
        """Return the hash of the caller's key."""
        return hash_key(self.request.headers.get("Authorization", ""))

    def deadline_s(self) -> float | BadRequest:
        """Return the caller's absolute deadline."""
        header = self.request.headers.get(DEADLINE_HEADER)
        return parse_deadline(
            header, self.callers.settings.default_deadline_s, self.callers.clock()
        )

    def open_mailbox(self) -> CallerMailbox:
        """Return the mailbox through which the core answers this request."""
        mailbox = CallerMailbox(self.callers.settings.answer_buffer_payloads)
        self.callers.mailboxes[self.request_id] = mailbox
        self.mailbox = mailbox
        return mailbox

    async def await_outcome(self, mailbox: CallerMailbox) -> tuple[list[bytes], Outcome]:
        """Wait for the whole answer."""
        collected: list[bytes] = []
        while True:
            payloads, outcome = await mailbox.take()
            collected += payloads
            if outcome is not None:
                return collected, outcome

    async def answer_whole(self, mailbox: CallerMailbox) -> None:
        """Wait for the outcome and write it."""
        _, outcome = await self.await_outcome(mailbox)
        if isinstance(outcome, Done):
            self.write_whole(outcome)
        else:
            self.write_error_outcome(outcome)

    def on_connection_close(self) -> None:
        """Tell the core that the caller is gone."""
        if self.mailbox is not None:
            self.callers.core_task.post(CallerGone(self.request_id))
            self.mailbox.close()
            self.callers.mailboxes.pop(self.request_id, None)

    def on_finish(self) -> None:
        """Forget the mailbox."""
        self.callers.mailboxes.pop(self.request_id, None)

    def parse(self, kind: RequestKind) -> Request | None:
        """Return the request of a chat body, or ``None`` after refusing it."""
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
        bad = deadline_s if isinstance(deadline_s, BadRequest) else request
        if isinstance(bad, BadRequest):
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail=bad.message))
            return None
        assert isinstance(request, Request)
        return request


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``, streamed or whole."""

    async def post(self) -> None:
        """Answer a chat request."""
        if self._refused:
            return
        request = self.parse(RequestKind.CHAT)
        if request is None:
            return
        mailbox = self.open_mailbox()
        self.callers.core_task.post(RequestArrived(request))
        if request.stream:
            await self._answer_stream(mailbox)
            return
        payloads, outcome = await self.await_outcome(mailbox)
        if isinstance(outcome, Done):
            self.write_whole(Done(200, whole_completion(request, payloads)))
        else:
            self.write_error_outcome(outcome)

    async def _answer_stream(self, mailbox: CallerMailbox) -> None:
        started = False
        while True:
            payloads, outcome = await mailbox.take()
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
    """``POST /v1/jobs``: 202 once the job is durable."""

    async def post(self) -> None:
        """Accept a job."""
        if self._refused:
            return
        request = self.parse(RequestKind.JOB)
        if request is None:
            return
        mailbox = self.open_mailbox()
        self.callers.core_task.post(RequestArrived(request))
        await self.answer_whole(mailbox)


class JobHandler(CallerHandler):
    """``GET /v1/jobs/{id}?from=N``: status, and output from a position on."""

    async def get(self, job_id: str) -> None:
        """Tell a job's status and output."""
        position = self.get_query_argument("from", "0")
        if not position.isdigit():
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail="from must be a whole number"))
            return
        mailbox = self.open_mailbox()
        event = JobRead(self.request_id, self.credential_hash, job_id, int(position))
        self.callers.core_task.post(event)
        await self.answer_whole(mailbox)


class ServiceHandler(CallerHandler):
    """``POST /v1/services/{service}/{path}``: a call of a plain service."""

    async def post(self, service: str, path: str) -> None:
        """Answer a call."""
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
        self.callers.core_task.post(RequestArrived(request))
        await self.answer_whole(mailbox)


def wait_room(mailboxes: dict[str, CallerMailbox], request_id: str) -> Awaitable[None] | None:
    """Return what to wait for until a caller has taken enough; ``None`` if it has.

    A request without a caller never waits. Payloads posted in this turn of the loop are not in the
    mailbox yet, so a stream overshoots the limit by one chunk at the most; waiting a turn for each
    chunk was rejected, since it costs more than the chunk.
    """
    mailbox = mailboxes.get(request_id)
    if mailbox is None or mailbox.has_room:
        return None
    return mailbox.room()
