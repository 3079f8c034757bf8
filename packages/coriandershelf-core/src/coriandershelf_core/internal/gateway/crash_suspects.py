"""Finds and refuses what crashes replicas: whole requests, and parts of prompts."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from coriandershelf_core.internal.gateway.actions import Action, IncrementCounter, LogLine
from coriandershelf_core.internal.gateway.attempts import AttemptState, first_ms
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.poison_parts import PoisonParts
from coriandershelf_core.internal.gateway.poison_requests import PoisonRequests
from coriandershelf_core.internal.gateway.request import ActiveRequest, Arrival
from coriandershelf_core.internal.gateway.responder import Responder

# An attempt with as many events ran without crashing its replica: what crashes replicas does so as
# they begin to run it.
PROVEN_EVENTS_COUNT = 8


class CrashSuspects(Struct):
    """Evidence of this VM and its peers on what crashes replicas.

    :param emit: receives the actions for the process.
    """

    requests: PoisonRequests
    parts: PoisonParts
    responder: Responder
    emit: Callable[[Action], None]

    def on_crash(self, attempt: AttemptState, now_s: float) -> None:
        """Record an attempt whose replica broke its connection.

        Others that were in flight there may be the cause, or none of them.
        """
        request = attempt.request
        arrival, replica = request.arrival, attempt.state.replica
        count, found = 0, []
        if attempt.events_count < PROVEN_EVENTS_COUNT:
            start = f"{replica.replica_id}/{replica.started_at_ms}"
            sent_at_s = attempt.started_at_s
            count = self.requests.on_crash(arrival.fingerprint, now_s, start, sent_at_s)
            found = self.parts.on_crash(arrival.parts, start, sent_at_s, now_s)
        parts = ",".join(part.part_id for part in arrival.parts)
        self.responder.log(
            "request on a crashed replica", request, now_s,
            parts=parts, crashes=count, first_ms=first_ms(attempt),
            events=attempt.events_count, in_flight=len(attempt.state.in_flight),
        )  # fmt: skip
        for part_id in found:
            self.emit(IncrementCounter("poisonous_parts", "found"))
            fields = (("part", part_id), ("replica", replica.replica_id))
            self.emit(LogLine("prompt part crashes replicas", fields))

    def on_completed(self, request: ActiveRequest, now_s: float) -> None:
        """Record a request that a replica completed."""
        self.requests.on_completed(request.arrival.fingerprint)
        for part_id in self.parts.on_completed(request.arrival.parts, now_s):
            self.emit(IncrementCounter("poisonous_parts", "cleared"))
            self.emit(LogLine("prompt part is sound again", (("part", part_id),)))

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Merge the evidence of another VM."""
        self.requests.on_digest(digest, now_s)
        learnt_count = self.parts.on_digest(digest.parts, now_s)
        if learnt_count:
            self.emit(IncrementCounter("poisonous_parts", "learnt"))
            fields = (("parts", learnt_count), ("told_by", digest.vm_id))
            self.emit(LogLine("prompt parts crash replicas, as another VM tells", fields))

    def refusal_detail(self, arrival: Arrival, now_s: float) -> str | None:
        """Return why a request may not be sent to a replica, or ``None`` if it may."""
        if self.requests.is_poison(arrival.fingerprint):
            return "this request has crashed each replica that ran it"
        part_id = self.parts.refused_part(arrival.parts, now_s)
        if part_id is not None:
            return f"part {part_id} of the prompt has crashed each replica that ran it"
        return None

    def on_tick(self, now_s: float) -> None:
        """Remove old evidence."""
        self.requests.on_tick(now_s)
        self.parts.on_tick(now_s)
