"""A caller's request on its way through the gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.deployment import Customer, Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens_count: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """What a caller sent, as far as decisions need it.

    :param handle: this process's number of the request; ids of callers may repeat.
    :param fingerprint: hash of caller, path and body, equal when a caller sends it again.
    :param time_left_s: how long the caller waits; ``None`` where it does not say.
    :param last_event_id: the event after which a caller resumes a stream.
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


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """A replica's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class Passage:
    """A request that was let in, until its answer is whole.

    :param cost: what it counts as against its customer's cap.
    :param sent_count: attempts whose first byte was sent, less those whose replica has ended.
    :param may_have_run: whether some attempt may have begun to run.
    :param late: whether it has missed its objective.
    :param replica_id: where it was last sent; ``trouble`` what went wrong there, for the log.
    :param answer: a replica's error, passed on if nothing better comes.
    :param head_sent: whether the caller has the head of a stream.
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
    head_sent: bool = False
    counted: bool = False
    late: bool = False
    last_event_id: int | None = None
    bytes_sent: int = 0
    tried: set[str] = field(default_factory=set)
    retry_at_s: float | None = None
    crashes_count: int = 0
    replica_id: str | None = None
    trouble: str | None = None
    answer: ReplicaAnswer | None = None
