"""Sends the final response of each request and records its outcome."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    AbortStream,
    Action,
    EndStream,
    IncrementCounter,
    LogLine,
    RecordLatency,
    Refusal,
    RejectRequest,
    SendResponse,
)
from coriandershelf_core.internal.gateway.request import ActiveRequest, ReplicaResponse
from coriandershelf_core.internal.gateway.usage_caps import UsageCaps

# Mean of the randomized Retry-After, and its upper bound as a share of the request's time left.
RETRY_AFTER_S = 0.3
RETRY_AFTER_SHARE = 1.0 / 3.0

StartedCallback = Callable[[str, float], None]
LogValue = str | int | float | None
LateCallback = Callable[[str, int, float], None]
RetryAfterCallback = Callable[[ActiveRequest, Refusal, float], float]


class Responder(Struct):
    """Owns the requests in flight of one entry VM and ends each with exactly one response.

    :param emit: receives the actions for the process.
    :param on_started: called with the customer and the time when a request starts to run.
    :param on_late: called with service, prompt tokens and time when a request misses its objective.
    :ivar retry_after_s: called with a refused request, why and the time; returns when the caller
        should come back.
    :ivar on_removed: called with each request that has its final response.
    """

    caps: UsageCaps
    emit: Callable[[Action], None]
    on_started: StartedCallback
    on_late: LateCallback
    retry_after_s: RetryAfterCallback = lambda *_: RETRY_AFTER_S
    on_removed: Callable[[ActiveRequest], None] = lambda _: None
    active_requests: dict[int, ActiveRequest] = field(default_factory=dict)

    def register(self, request: ActiveRequest) -> None:
        """Add an admitted request and charge it to its customer's cap."""
        self.active_requests[request.arrival.handle] = request
        if request.customer is not None:
            self.caps.spend(request.customer, request.cost)

    def is_active(self, request: ActiveRequest) -> bool:
        """Return whether a request has no final response yet."""
        return self.active_requests.get(request.arrival.handle) is request

    def deliver(
        self, request: ActiveRequest, response: ReplicaResponse, now_s: float, **fields: LogValue
    ) -> None:
        """End a request with a replica's complete response."""
        handle = request.arrival.handle
        self.emit(SendResponse(handle, response.status, response.headers, response.body))
        self.emit(IncrementCounter("answers", str(response.status)))
        self._observe(request, now_s)
        self.log("answered", request, now_s, status=response.status, **fields)
        self.remove(request)

    def end_stream(self, request: ActiveRequest, now_s: float, **fields: LogValue) -> None:
        """End a stream normally."""
        self.emit(EndStream(request.arrival.handle))
        self.emit(IncrementCounter("answers", "stream"))
        self._observe(request, now_s)
        self.log("stream ended", request, now_s, **fields)
        self.remove(request)

    def refuse(
        self,
        request: ActiveRequest,
        refusal: Refusal,
        now_s: float,
        **fields: LogValue,
    ) -> None:
        """End a request without a successful response.

        A stream that has started is aborted; a replica's error response is forwarded if there is
        one; any other request is rejected.
        """
        if request.headers_sent:
            self.abort_stream(request, now_s)
            return
        if request.error_response is not None:
            # A replica's error response is more informative than one generated here.
            self.deliver(request, request.error_response, now_s, kept=1)
            return
        if request.may_have_run:
            refusal = refusal if refusal is Refusal.TIMEOUT else Refusal.UNKNOWN_OUTCOME
        elif request.customer is not None:
            self.caps.spend(request.customer, -request.cost)
        self.mark_late(request, now_s)
        retry_after_s = None
        if refusal not in (Refusal.TIMEOUT, Refusal.UNKNOWN_OUTCOME):
            retry_after_s = self.retry_after_s(request, refusal, now_s)
        self.emit(RejectRequest(request.arrival.handle, refusal, retry_after_s))
        self.emit(IncrementCounter("refusals", refusal.value))
        # Some callers of this method name the stream themselves.
        fields.setdefault("resumes", request.arrival.resumes_id)
        self.log("refused", request, now_s, reason=refusal.value, **fields)
        self.remove(request)

    def abort_stream(self, request: ActiveRequest, now_s: float) -> None:
        """Abort a stream so that the caller sees it as incomplete.

        One that had ended, and of which no other attempt has brought more, is ended.
        """
        if request.may_be_whole_since_s is not None:
            self.end_stream(request, now_s, no_more=1)
            return
        self.emit(AbortStream(request.arrival.handle))
        self.emit(IncrementCounter("streams_broken"))
        self.log("stream broken", request, now_s, resumes=request.arrival.resumes_id)
        self.remove(request)

    def _observe(self, request: ActiveRequest, now_s: float) -> None:
        taken_s = now_s - request.arrived_at_s
        self.emit(RecordLatency(request.route.kind.value, request.service, taken_s))

    def mark_late(self, request: ActiveRequest, now_s: float) -> None:
        """Record, once per request, that it has missed its objective."""
        if not request.missed_objective:
            request.missed_objective = True
            self.on_late(request.service, request.arrival.prompt_tokens, now_s)

    def mark_started(self, request: ActiveRequest, at_s: float) -> None:
        """Record, once per request, that it has started to run."""
        if not request.usage_counted and request.customer is not None:
            request.usage_counted = True
            self.on_started(request.customer.name, at_s)

    def remove(self, request: ActiveRequest) -> None:
        """Remove a request that has its final response, or whose caller disconnected."""
        self.active_requests.pop(request.arrival.handle, None)
        self.on_removed(request)

    def log(self, event: str, request: ActiveRequest, now_s: float, **fields: LogValue) -> None:
        """Write a log line about a request."""
        base: tuple[tuple[str, LogValue], ...] = (
            ("request_id", request.arrival.request_id),
            ("route", request.route.name),
            ("sent", request.sent_count),
            ("replica", request.replica_id),
            ("trouble", request.last_failure),
            ("age_ms", round((now_s - request.arrived_at_s) * 1e3)),
        )
        self.emit(LogLine(event, base + tuple(fields.items())))
