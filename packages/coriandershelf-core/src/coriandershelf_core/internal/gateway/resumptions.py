"""Goes on with streams at the software version that began them, and notes which one that was."""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct

from coriandershelf_core.internal.gateway.actions import (
    Action,
    IncrementCounter,
    LogLine,
    ProveRegistry,
    Refusal,
)
from coriandershelf_core.internal.gateway.attempts import AttemptState
from coriandershelf_core.internal.gateway.awaited_origins import AwaitedOrigins
from coriandershelf_core.internal.gateway.events import OriginsRead, ResponseHeadRead
from coriandershelf_core.internal.gateway.open_origins import KnownOrigin, OpenOrigins
from coriandershelf_core.internal.gateway.origin_batches import OriginBatches
from coriandershelf_core.internal.gateway.origin_messages import (
    SEVERAL_VERSIONS,
    UNKNOWN_VERSION,
    OriginBatch,
    OriginClaim,
    OriginMessage,
    OriginsStored,
)
from coriandershelf_core.internal.gateway.peers import Peers
from coriandershelf_core.internal.gateway.pool import Pool
from coriandershelf_core.internal.gateway.recorded_versions import RecordedVersions
from coriandershelf_core.internal.gateway.replica_starts import NoStart
from coriandershelf_core.internal.gateway.request import ActiveRequest, OriginSource
from coriandershelf_core.internal.gateway.responder import LogValue, Responder
from coriandershelf_core.internal.gateway.stream_origins import StreamOrigins

# Shortest time between two proofs of the registry.
PROOF_PERIOD_S = 0.3


class Resumptions(Struct):
    """Finds the versions of streams that go on, for this VM's callers and for other VMs.

    :param send: called with a request of a caller that resumes a stream, and the time, once its
        version is known.
    :param send_again: the same for a request whose own stream has broken.
    :param emit: receives the actions for the process.
    """

    pool: Pool
    peers: Peers
    responder: Responder
    origins: StreamOrigins
    origin_batches: OriginBatches
    recorded_versions: RecordedVersions
    open_origins: OpenOrigins
    awaited_origins: AwaitedOrigins
    send: Callable[[ActiveRequest, float], None]
    send_again: Callable[[ActiveRequest, float], None]
    emit: Callable[[Action], None]
    _proof_asked_at_s: float = -math.inf

    def begin(self, request: ActiveRequest, now_s: float) -> None:
        """Resume a caller's stream once the version that began it is known."""
        stream_id = request.arrival.resumes_id
        asks = stream_id is not None and self._needs_query(stream_id, request.service, now_s)
        if not (asks and self.origins.query(request, request.stream_id, now_s)):
            self._send_or_read(request, now_s)

    def _needs_query(self, stream_id: str, service: str, now_s: float) -> bool:
        """Return whether other VMs may know more of a stream's origin than this one.

        They may know of a stream under the same id that began at another version.
        """
        version = self.origins.version_of(stream_id)
        if version is None:
            return True
        if version in (UNKNOWN_VERSION, SEVERAL_VERSIONS):
            return False
        is_mixed = len(self.pool.versions_of(service, now_s)) > 1
        return is_mixed or self.open_origins.has_any_of(service)

    def on_message(self, message: OriginMessage, now_s: float) -> None:
        """Handle another VM's message on the origin of a stream."""
        match message:
            case OriginBatch():
                self.origin_batches.on_batch(message)
            case OriginsStored():
                self.origin_batches.on_stored(message)
            case _:
                request = self.origins.on_message(message, now_s)
                if request is not None:
                    self._send_or_read(request, now_s)

    def on_read(self, event: OriginsRead, now_s: float) -> None:
        """Handle what the store holds, and resume the streams that have waited for it."""
        if event.versions is not None:
            self.recorded_versions.on_read(event.versions, event.end, now_s)
        origins = event.origins if event.versions is not None else None
        for request in self.origins.on_read(origins, now_s):
            self._send_at_origin(request, now_s, is_read=True)

    def on_tick(self, now_s: float) -> None:
        """Note origins that have become known, and go on with the requests that wait."""
        for known in self.open_origins.pop_known(now_s):
            self._on_known(known, now_s)
        waiting = self.awaited_origins.waiting()
        is_settled = bool(waiting) and self._is_settled(now_s)
        for request in waiting:
            if not self.responder.is_active(request):
                self.awaited_origins.remove(request)
            elif self._may_be_sent(request, is_settled):
                self.awaited_origins.remove(request)
                self._send_at_origin(request, now_s, is_read=True)
        for request in self.awaited_origins.pop_due(now_s):
            if not self.origins.query(request, request.stream_id, now_s):
                self._send_or_read(request, now_s)
        if self.pool.may_be_settled(now_s) and any(
            not self._knows_versions(request, is_settled) for request in waiting
        ):
            self._prove_registry(now_s)
        for request in self.origins.pop_overdue(now_s):
            self._send_or_read(request, now_s)
        for request in self.origins.pop_unread(now_s):
            self._send_at_origin(request, now_s, is_read=False)
        self.origin_batches.on_tick(now_s)

    def settle(self, request: ActiveRequest) -> None:
        """Take over the version that began a stream, if it has become known since."""
        version = self.origins.version_of(request.stream_id)
        if request.is_origin_open and version not in (None, UNKNOWN_VERSION, SEVERAL_VERSIONS):
            request.software_version, request.is_origin_open = version, False

    def awaits_origin(self, request: ActiveRequest) -> bool:
        """Return whether a broken stream may go on once the version that began it is known."""
        is_open = request.is_origin_open and request.last_event_id is not None
        return is_open and self.open_origins.may_become_known(request.stream_id)

    def await_origin(self, request: ActiveRequest, now_s: float) -> bool:
        """Let a request wait until its stream's version is known; false if it is not to be."""
        is_first = request.waits_since_s is None
        if not self.awaited_origins.add(request, now_s):
            return False
        if is_first:
            self.responder.log("origin awaited", request, now_s, stream=request.stream_id)
        return True

    def on_first_event(self, attempt: AttemptState, now_s: float) -> None:
        """Note the software version of a stream's replica when its first event arrives."""
        request, state = attempt.request, attempt.state
        if not request.route.resumable:
            return
        start = attempt.start
        fields: dict[str, LogValue] = {
            "version": self._version_of(attempt),
            "start": start.value if isinstance(start, NoStart) else start,
            "start_by_registration": attempt.registered_start_ms,
            "registered_start": state.replica.started_at_ms,
            "registered_version": state.replica.software_version,
            "registry_age_ms": self.pool.registry_age_ms(now_s),
        }
        if request.software_version is not None:
            resumes_id = request.arrival.resumes_id
            fields |= {"resumes": resumes_id, "origin": request.origin_source.value}
            self.responder.log("stream resumed", request, now_s, **fields)
        else:
            self.responder.log("stream began", request, now_s, **fields)
        request.is_origin_open = True
        self.note_origin(attempt, now_s)
        if request.is_origin_open:
            self._note_open(attempt, now_s)
            self.emit(IncrementCounter("stream_origins", "open"))

    def on_start_stated(self, attempt: AttemptState, now_s: float) -> None:
        """Note the start that began a stream, which its replica has stated since."""
        request, start = attempt.request, attempt.start
        if isinstance(start, NoStart) or not request.is_origin_open:
            return
        version = self._version_of(attempt)
        self.responder.log("start of stream stated", request, now_s, start=start, version=version)
        self.note_origin(attempt, now_s)
        if request.is_origin_open:
            self._note_open(attempt, now_s)

    def note_origin(self, attempt: AttemptState, now_s: float) -> None:
        """Note the version that began a stream, if it is known."""
        request = attempt.request
        self._note_registered_start(attempt)
        version = request.software_version or self._version_of(attempt)
        if version is None:
            return
        request.software_version, request.is_origin_open = version, False
        self.origins.begin(request.stream_id, version, now_s)
        self.origin_batches.begin(request.stream_id, request.service, version, now_s)

    def on_ended(self, stream_id: str) -> None:
        """Remove a stream that its caller has whole."""
        self.origin_batches.end(stream_id)
        self.open_origins.end(stream_id)

    def _note_open(self, attempt: AttemptState, now_s: float) -> None:
        """Note that a stream has begun at a start of which the version is not known."""
        stream_id, replica = attempt.request.stream_id, attempt.state.replica
        claim = None
        if not isinstance(attempt.start, NoStart):
            claim = OriginClaim(replica.service, replica.replica_id, attempt.start)
        self.open_origins.begin(stream_id, replica.service, claim, now_s)
        self.origin_batches.begin(stream_id, replica.service, UNKNOWN_VERSION, now_s, claim)
        self.origins.begin(stream_id, UNKNOWN_VERSION, now_s)

    def note_connection(self, attempt: AttemptState, event: ResponseHeadRead) -> None:
        """Note which connection a replica answers on, and when its process ran."""
        if event.connected_at_s is None:
            return
        attempt.connected_at_s = event.connected_at_s
        if event.sent_at_s is not None:
            attempt.state.answered.on_answered(event.connected_at_s, event.sent_at_s)
        self._note_registered_start(attempt)

    def _note_registered_start(self, attempt: AttemptState) -> None:
        """Note which start answers an attempt if its replica states none.

        The process that accepted the connection still answers on it. If it had run for so long as
        the request was sent that it had to be registered, it is the start that was.
        """
        if attempt.start is not NoStart.NOT_STATED:
            return
        by_s = attempt.state.answered.accepted_by_s(attempt.registered_by_s)
        if attempt.connected_at_s <= by_s:
            attempt.registered_start_ms = attempt.state.replica.started_at_ms

    def is_at_other_version(self, attempt: AttemptState) -> bool:
        """Return whether a stream that goes on was sent to a start of another version."""
        version = attempt.request.software_version
        if version is None or isinstance(attempt.known_start, NoStart):
            return False
        return self._version_of(attempt) != version

    def _version_of(self, attempt: AttemptState) -> str | None:
        """Return the version of the start that answers; ``None`` if it is not known."""
        return self.pool.version_of_start(attempt.state.replica.replica_id, attempt.known_start)

    def only_version(self, service: str, now_s: float) -> str | None:
        """Return the version of a service that has had no other one, as far as is known.

        A start that has not registered may be of another one.
        """
        if not self.pool.is_settled(now_s) or self.open_origins.has_any_of(service):
            return None
        return self.pool.only_version(service, now_s)

    def _send_or_read(self, request: ActiveRequest, now_s: float) -> None:
        """Send a request at its stream's origin, or read the store if no VM knows it."""
        if not self.responder.is_active(request):
            return
        if self.origins.version_of(request.stream_id) is not None:
            self._send_at_origin(request, now_s, is_read=True)
        else:
            self.origins.await_read(request, now_s)

    def _send_at_origin(self, request: ActiveRequest, now_s: float, is_read: bool) -> None:
        """Send a request at the version that began its stream, or refuse it.

        :param is_read: whether the store was read after the request arrived.
        """
        if not self.responder.is_active(request):
            return
        stream_id = request.stream_id
        version = self.origins.version_of(stream_id)
        is_awaited = False
        source = OriginSource.TOLD
        if version == UNKNOWN_VERSION:
            is_awaited = self.open_origins.may_become_known(stream_id)
            version = None
        elif version == SEVERAL_VERSIONS:
            version = None
        elif version is None and (is_read or self.origins.was_read):
            # Without the origin, only a service that has had a single version is safe.
            is_single = self.pool.only_version(request.service, now_s) is not None
            is_known = self._knows_versions(request, self._is_settled(now_s))
            if is_known:
                version = self.only_version(request.service, now_s)
                source = OriginSource.ONLY_VERSION
            # A replica may serve that has not registered yet.
            is_awaited = is_single and not is_known
        if version is None:
            if not (is_awaited and self.await_origin(request, now_s)):
                origin = self.origins.version_of(stream_id)
                fields: dict[str, LogValue] = {"resumes": stream_id}
                if origin == SEVERAL_VERSIONS:
                    fields["several_versions"] = 1
                self.responder.refuse(request, Refusal.UNKNOWN_VERSION, now_s, **fields)
            elif self.pool.may_be_settled(now_s):
                self._prove_registry(now_s)
            return
        request.software_version, request.is_origin_open = version, False
        request.origin_source = source
        if request.headers_sent:
            self.send_again(request, now_s)
        else:
            self.send(request, now_s)

    def _may_be_sent(self, request: ActiveRequest, is_settled: bool) -> bool:
        """Return whether what a waiting request has waited for is known."""
        version = self.origins.version_of(request.stream_id)
        if version is None:
            return self._knows_versions(request, is_settled)
        return version != UNKNOWN_VERSION

    def _is_settled(self, now_s: float) -> bool:
        """Return whether replicas had time to register since any outage and any network cut.

        Behind a cut, VMs may serve replicas that cannot register.
        """
        return self.pool.is_settled(now_s, self.peers.cut_until_s(now_s))

    def _knows_versions(self, request: ActiveRequest, is_settled: bool) -> bool:
        """Return whether the registry shows all versions at which a stream may have begun.

        What was read before its caller came says nothing of a version that has begun since, least
        of all in an outage of the store.
        """
        return is_settled and self.pool.is_proved_since(request.arrived_at_s)

    def _on_known(self, known: KnownOrigin, now_s: float) -> None:
        if known.is_own:
            self.origins.begin(known.stream_id, known.version, now_s)
            self.origin_batches.learn(known.stream_id, known.version)
        else:
            self.origins.learn(known.stream_id, known.version, now_s)
        fields = (
            ("stream", known.stream_id),
            ("replica", known.claim.replica_id),
            ("start", known.claim.started_at_ms),
            ("version", known.version),
            ("own", int(known.is_own)),
        )
        self.emit(LogLine("origin known", fields))

    def _prove_registry(self, now_s: float) -> None:
        """Find out now whether replicas had time to register, rather than after a long poll."""
        if now_s - self._proof_asked_at_s >= PROOF_PERIOD_S:
            self._proof_asked_at_s = now_s
            self.emit(ProveRegistry())
