"""The callers' HTTP interface."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from coriandershelf_core import Done, NotRun, Outcome, Request, RequestKind, Unknown
from coriandershelf_core.internal.context import Context
from coriandershelf_core.internal.events import CallerGone, JobRead, RequestArrived, StopAsked
from coriandershelf_core.internal.reasons import RefusalReason
from coriandershelf_entry.internal.bodies import (
    DEADLINE_HEADER,
    BadRequest,
    hash_key,
    parse_chat,
    parse_deadline,
)
from coriandershelf_entry.internal.clock import Clock
from coriandershelf_entry.internal.core_task import CoreTask
from coriandershelf_entry.internal.mailbox import CallerMailbox
from coriandershelf_entry.internal.metrics import Metrics
from coriandershelf_entry.internal.settings import EntrySettings

OUTCOME_HEADER = "X-Outcome"
REASON_HEADER = "X-Outcome-Reason"
# The refusal of a larger body is ours, with a reason; tornado would only close the connection.
BODY_READ_LIMIT_BYTES = 1 << 40
REFUSED_BODY_LINGER_S = 1.0


@dataclass(slots=True)
class Callers:
    """What the handlers share."""

    settings: EntrySettings
    core_task: CoreTask
    clock: Clock
    metrics: Metrics
    mailboxes: dict[str, CallerMailbox]

    @property
    def context(self) -> Context:
        """Return the core's context, for reading only."""
        return self.core_task.core.context


def outcome_name(outcome: Outcome) -> str:
    """Return the outcome's name as callers see it."""
    if isinstance(outcome, Done):
        return "done"
    return "not-run" if isinstance(outcome, NotRun) else "unknown"


def error_document(outcome: NotRun | Unknown) -> dict[str, Any]:
    """Return the error in the interface's usual JSON form."""
    reason = outcome.reason
    message = f"{outcome.detail}. {reason.remedy}" if outcome.detail else reason.remedy
    kind = "invalid_request_error" if 400 <= reason.status < 500 else "server_error"
    error = {"message": message, "type": kind, "code": reason.code, "param": None}
    return {"error": error, "outcome": outcome_name(outcome)}


def whole_completion(request: Request, payloads: list[bytes]) -> bytes:
    """Return the answer of a caller that does not stream."""
    chunks = [json.loads(payload) for payload in payloads]
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    finish = chunks[-1]["choices"][0].get("finish_reason") if chunks else None
    count = sum("content" in chunk["choices"][0]["delta"] for chunk in chunks)
    document = {
        "id": f"chatcmpl-{request.request_id}",
        "object": "chat.completion",
        "model": request.service,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }
        ],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": request.prompt_tokens + count,
        },
    }
    return json.dumps(document).encode()


class JsonHandler(RequestHandler):
    """Writes errors of the HTTP layer in the interface's usual JSON form."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write an error that no handler answered itself."""
        message = f"{self._reason}. See the callers' page for paths and methods."
        error = {"message": message, "type": "invalid_request_error", "code": "http-error"}
        self.set_header("Content-Type", "application/json")
        self.finish({"error": {**error, "param": None}, "outcome": "not-run"})


class UnknownPathHandler(JsonHandler):
    """Every path that the interface does not have."""

    def prepare(self) -> None:
        """Answer 404."""
        self.send_error(404)


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


class HealthHandler(JsonHandler):
    """``GET /healthz`` and ``GET /readyz``."""

    def initialize(self, callers: Callers, readiness: bool) -> None:
        """Take whether readiness is asked for."""
        self._core = callers.core_task.core
        self._readiness = readiness

    def get(self) -> None:
        """Answer 200, or 503 where not ready."""
        ready = self._core.ready or not self._readiness
        self.set_status(200 if ready else 503)
        self.write({"ready": self._core.ready})


class OperatorHandler(JsonHandler):
    """``GET /admin/status``, ``GET /admin/explain/{request}``, ``POST /admin/drain``."""

    def initialize(self, callers: Callers) -> None:
        """Take what the handlers share."""
        self._callers = callers

    def prepare(self) -> None:
        """Let only the operator in."""
        expected = self._callers.settings.operator_key_hash
        if not expected or hash_key(self.request.headers.get("Authorization", "")) != expected:
            self.set_status(403)
            self.finish({"error": {"code": "not-operator", "message": "Send the operator key."}})

    def get(self, what: str, argument: str | None = None) -> None:
        """Answer with JSON."""
        if what == "status":
            self.write(self._status())
            return
        steps = self._callers.context.traces.get(argument or "")
        if steps is None:
            self.set_status(404)
            self.write({"error": {"code": "unknown-request", "message": "No trace is kept."}})
            return
        first_s = steps[0].at_s
        self.write(
            {
                "request": argument,
                "steps": [
                    {
                        "after_ms": round((step.at_s - first_s) * 1000, 1),
                        "step": step.step,
                        "detail": step.detail,
                    }
                    for step in steps
                ],
            }
        )

    def post(self, what: str) -> None:
        """Begin a graceful stop; the answer comes before it is finished."""
        deadline_s = self._callers.clock() + self._callers.settings.drain_limit_s
        self._callers.core_task.post(StopAsked(deadline_s))
        self.set_status(202)
        self.write({"draining": True})

    def _status(self) -> dict[str, Any]:
        core = self._callers.core_task.core
        return {
            "vm_id": core.context.identity.vm_id,
            "zone": core.context.identity.zone,
            "version": core.configuration.version_in_force,
            "accepted_version": core.configuration.version,
            "ready": core.ready,
            "stopping": core.context.stopping,
            "jobs_held": len(core.jobs.replication.held),
            "in_flight": len(core.serving.works),
            "queued": len(core.serving.queue),
            "counters": dict(self._callers.metrics.totals),
        }


def make_application(callers: Callers) -> Application:
    """Return the callers' and operators' interface."""
    shared = {"callers": callers}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, shared),
            (r"/v1/jobs", JobsHandler, shared),
            (r"/v1/jobs/([0-9a-zA-Z-]+)", JobHandler, shared),
            (r"/v1/services/([a-z0-9.-]+)/(.+)", ServiceHandler, shared),
            (r"/healthz", HealthHandler, {"callers": callers, "readiness": False}),
            (r"/readyz", HealthHandler, {"callers": callers, "readiness": True}),
            (r"/admin/(drain)", OperatorHandler, shared),
            (r"/admin/(status)", OperatorHandler, shared),
            (r"/admin/(explain)/(.+)", OperatorHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        log_function=lambda handler: None,
    )


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
