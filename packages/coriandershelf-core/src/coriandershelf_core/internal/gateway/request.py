"""Data model of requests in the gateway."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.deployment import Customer, Route
from coriandershelf_core.internal.gateway.returning_callers import Promise


class PromptPart(Struct, frozen=True):
    """A prompt segment that other requests may share."""

    part_id: str
    tokens_count: int


class OriginSource(Enum):
    """How a VM came to know the version that began a stream."""

    # It forwarded the first event in the same response.
    OWN = "own"
    # A VM or the store told it, or it forwarded an earlier response of the stream.
    TOLD = "told"
    # Nobody knew, and the service has had no other version.
    ONLY_VERSION = "only-version"


class Arrival(Struct, frozen=True):
    """The properties of an incoming request that decisions depend on.

    :param handle: unique number within this process, since callers' request ids may repeat.
    :param time_left_s: how long the caller waits, or ``None`` if it does not say.
    :param fingerprint: hash of caller, path and body, the same when a caller resends the request.
    :param body_kept: whether the whole body is held, so that the request can be sent.
    :param last_event_id: the event after which the caller resumes a stream.
    :param resumes_id: id of the request that brought that stream's first event.
    """

    handle: int
    request_id: str
    method: str
    host: str
    path: str
    key: str | None
    time_left_s: float | None
    fingerprint: int
    body_bytes: int = 0
    header_bytes: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None
    resumes_id: str | None = None
    body_kept: bool = True


class ReplicaResponse(Struct, frozen=True):
    """A replica's complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ActiveRequest(Struct):
    """An admitted request, until its response is complete.

    :param cost: usage charged to its customer's cap.
    :param sent_count: attempts made, without those that did not reach their replica.
    :param may_have_run: whether any attempt may have started to run.
    :param headers_sent: whether the headers of a stream were sent to the caller.
    :param usage_counted: whether it was counted for the usage report.
    :param missed_objective: whether it has missed its latency objective.
    :param may_be_whole_since_s: time of the last event of a stream that ended in order after a
        comment and is whole unless another attempt brings more; ``None`` if it did not end so.
    :param sent_tail: last bytes of the stream that were sent to the caller.
    :param tried_ids: ids of the replicas it was sent to.
    :param replica_id: the replica it was last sent to.
    :param software_version: version of the replica that made the caller's first event; ``None``
        before that, or if it is not known.
    :param is_origin_open: whether that version is not known yet.
    :param origin_source: how that version became known.
    :param waits_since_s: since when it has waited for its stream's version, without an event.
    :param rollout_counted: whether it was counted as sent during a roll-out of its service.
    :param last_failure: what went wrong there, for the log.
    :param error_response: a replica's error response, forwarded if no retry succeeds.
    :param promise: what its caller was told when this VM refused the request before.
    :param has_waited: whether it has waited for capacity.
    :param elapsed_s: time from its caller's first attempt to its arrival here.
    :param return_logged: whether it was logged what the caller found.
    """

    arrival: Arrival
    route: Route
    service: str
    customer: Customer | None
    cost: float
    arrived_at_s: float
    deadline_s: float
    attempt_id: int = 0
    sent_count: int = 0
    may_have_run: bool = False
    headers_sent: bool = False
    usage_counted: bool = False
    missed_objective: bool = False
    last_event_id: int | None = None
    bytes_sent: int = 0
    may_be_whole_since_s: float | None = None
    sent_tail: bytes = b""
    tried_ids: set[str] = field(default_factory=set)
    connect_failures_count: int = 0
    replica_id: str | None = None
    software_version: str | None = None
    is_origin_open: bool = False
    origin_source: OriginSource = OriginSource.OWN
    waits_since_s: float | None = None
    rollout_counted: bool = False
    last_failure: str | None = None
    error_response: ReplicaResponse | None = None
    promise: Promise | None = None
    return_logged: bool = False
    has_waited: bool = False
    elapsed_s: float = 0.0

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller holds events of the stream that it asks for."""
        arrival = self.arrival
        return self.route.resumable and bool(arrival.resumes_id or arrival.last_event_id)

    @property
    def stream_id(self) -> str:
        """Return the id of the request that brought, or is to bring, the stream's first event."""
        return self.arrival.resumes_id or self.arrival.request_id
