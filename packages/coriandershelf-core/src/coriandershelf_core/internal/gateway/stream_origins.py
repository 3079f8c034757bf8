"""Remembers which software version began a stream, for callers that resume it at another VM.

Replicas of different versions serve side by side, but events of two versions must not be joined in
one stream. A caller whose connection breaks comes back to any VM and names the request that brought
the first event. So the VM that forwards a first event tells a few VMs in different zones, chosen by
rendezvous hashing of the request's id (Thaler and Ravishankar 1998). A VM that does not know a
stream queries the same ones, and then reads the store: after a loss of all VMs only the store knows
which versions served and which of them began the stream.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from heapq import nlargest

import xxhash
from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    IncrementCounter,
    ReadOrigins,
    ScheduleTick,
    SendOriginMessage,
)
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.open_origins import OpenOrigins
from coriandershelf_core.internal.gateway.origin_messages import (
    SEVERAL_VERSIONS,
    UNKNOWN_VERSION,
    OriginClaim,
    OriginMessage,
    OriginQuery,
    OriginReply,
    StreamOrigin,
    joined_version,
)
from coriandershelf_core.internal.gateway.request import ActiveRequest

# VMs that are told of a stream's origin, besides the one that forwards it.
KEEPERS_COUNT = 3
# Longest time-out of a stream with its caller's retries, and a bound on the memory that it takes.
KEPT_S = 60.0
ORIGINS_MAX_COUNT = 20_000
# Several round trips between zones; a stream resumes without a reply from VMs that are gone.
REPLY_TIMEOUT_S = 0.04
# How long a caller waits for a read of the store, several times what one takes, and the pause
# between two reads, which serve all callers that have come meanwhile; longer after a failed one.
READ_TIMEOUT_S = 1.0
READ_PAUSE_S = 0.05
READ_RETRY_S = 0.3


class PendingOrigin(Struct):
    """A request that waits for the origin of the stream that it resumes."""

    request: ActiveRequest
    due_at_s: float
    awaited_ids: set[str]


class AwaitedRead(Struct):
    """A request that waits for a read of the store that was sent after the request arrived."""

    request: ActiveRequest
    due_at_s: float


class StreamOrigins(Struct):
    """The origins of streams that this VM forwarded or was told of.

    :param emit: receives the actions for the process.
    """

    address: str
    entry_vms: EntryVms
    open_origins: OpenOrigins
    emit: Callable[[Action], None]
    _versions: OrderedDict[str, tuple[str, float]] = field(default_factory=OrderedDict)
    _pending: dict[int, PendingOrigin] = field(default_factory=dict)
    _next_query_id: int = 1
    _awaiting: list[AwaitedRead] = field(default_factory=list)
    _awaiting_current: list[AwaitedRead] = field(default_factory=list)
    _is_reading: bool = False
    _read_wanted: bool = False
    _next_read_at_s: float = 0.0
    _was_read: bool = False

    def begin(self, stream_id: str, version: str, now_s: float) -> None:
        """Record the version of a stream whose first event is about to be forwarded."""
        self.learn(stream_id, version, now_s)
        if self.version_of(stream_id) == SEVERAL_VERSIONS:
            version = SEVERAL_VERSIONS
        message = StreamOrigin(stream_id, version, self._claim_of(stream_id, version))
        for vm_id in keeper_ids(stream_id, self.entry_vms):
            self._send(vm_id, message)

    def version_of(self, stream_id: str) -> str | None:
        """Return the version that began a stream, or ``None`` if this VM does not know the stream.

        It is ``UNKNOWN_VERSION`` if no VM knew it when the stream began, and ``SEVERAL_VERSIONS``
        if streams began at different versions under this id.
        """
        known = self._versions.get(stream_id)
        return known[0] if known is not None else None

    def query(self, request: ActiveRequest, stream_id: str, now_s: float) -> bool:
        """Ask other VMs for the origin of a stream; false if there are none."""
        query_id = self._next_query_id
        self._next_query_id += 1
        query = OriginQuery(self.entry_vms.own_id, self.address, query_id, stream_id)
        awaited_ids = {
            vm_id for vm_id in keeper_ids(stream_id, self.entry_vms) if self._send(vm_id, query)
        }
        if not awaited_ids:
            return False
        self._pending[query_id] = PendingOrigin(request, now_s + REPLY_TIMEOUT_S, awaited_ids)
        self.emit(ScheduleTick(REPLY_TIMEOUT_S))
        return True

    def on_message(self, message: OriginMessage, now_s: float) -> ActiveRequest | None:
        """Handle a message of another VM; return the request that need not wait any longer."""
        match message:
            case StreamOrigin(stream_id, version, claim):
                self.learn(stream_id, version, now_s, claim)
            case OriginQuery(_, address, query_id, stream_id):
                known = self.version_of(stream_id)
                claim = self._claim_of(stream_id, known)
                reply = OriginReply(self.entry_vms.own_id, query_id, stream_id, known, claim)
                self.emit(SendOriginMessage(address, reply))
            case OriginReply():
                return self._on_reply(message, now_s)
            case _:
                pass
        return None

    @property
    def was_read(self) -> bool:
        """Return whether this VM has read the store since it started."""
        return self._was_read

    def read(self, now_s: float) -> None:
        """Read the store as soon as possible."""
        self._read_wanted = True
        self._start_read(now_s)

    def await_read(self, request: ActiveRequest, now_s: float) -> None:
        """Let a request wait for a read of the store."""
        self._awaiting.append(AwaitedRead(request, now_s + READ_TIMEOUT_S))
        if not self._is_reading and now_s < self._next_read_at_s:
            self.emit(ScheduleTick(self._next_read_at_s - now_s))
        self._start_read(now_s)

    def on_read(self, origins: Iterable[StreamOrigin] | None, now_s: float) -> list[ActiveRequest]:
        """Take over what was read; return the requests that have waited for it.

        :param origins: ``None`` if the read failed. The requests then wait for the next one.
        """
        waited, self._awaiting_current = self._awaiting_current, []
        self._is_reading = False
        if origins is None:
            self._next_read_at_s = now_s + READ_RETRY_S
            self._read_wanted = self._read_wanted or not self._was_read
            self._awaiting = waited + self._awaiting
            self.emit(IncrementCounter("stream_origins", "read-failed"))
            return []
        if waited:
            self._next_read_at_s = now_s + READ_PAUSE_S
        self._was_read = True
        for origin in origins:
            self.learn(origin.stream_id, origin.version, now_s, origin.claim)
        return [item.request for item in waited]

    def pop_unread(self, now_s: float) -> list[ActiveRequest]:
        """Remove and return the requests that have waited for the store for too long."""
        self._start_read(now_s)
        overdue = []
        for queue in (self._awaiting_current, self._awaiting):
            overdue += [item for item in queue if now_s >= item.due_at_s]
            queue[:] = [item for item in queue if now_s < item.due_at_s]
        return [item.request for item in overdue]

    def _start_read(self, now_s: float) -> None:
        if self._is_reading or now_s < self._next_read_at_s:
            return
        if self._awaiting or self._read_wanted:
            self._is_reading, self._read_wanted = True, False
            self._awaiting_current, self._awaiting = self._awaiting, []
            self.emit(ReadOrigins())

    def pop_overdue(self, now_s: float) -> list[ActiveRequest]:
        """Remove and return the requests that have waited long enough; drop old origins."""
        while self._versions and now_s - next(iter(self._versions.values()))[1] > KEPT_S:
            self._versions.popitem(last=False)
        overdue = [key for key, pending in self._pending.items() if now_s >= pending.due_at_s]
        for _ in overdue:
            self.emit(IncrementCounter("stream_origins", "no-reply"))
        return [self._pending.pop(key).request for key in overdue]

    def _on_reply(self, reply: OriginReply, now_s: float) -> ActiveRequest | None:
        pending = self._pending.get(reply.query_id)
        if pending is None:
            return None
        pending.awaited_ids.discard(reply.vm_id)
        if reply.version is not None:
            self.learn(reply.stream_id, reply.version, now_s, reply.claim)
        elif pending.awaited_ids:
            return None
        return self._pending.pop(reply.query_id).request

    def learn(
        self, stream_id: str, version: str, now_s: float, claim: OriginClaim | None = None
    ) -> None:
        """Store an origin.

        A caller may send each try of a request under the same id, and tries may begin at different
        versions. Only the caller knows which of them brought the events that it holds.
        """
        known = self.version_of(stream_id)
        if known not in (None, UNKNOWN_VERSION):
            if joined_version(known, version) == known:
                return
            self.emit(IncrementCounter("stream_origins", "several-versions"))
            version = SEVERAL_VERSIONS
        if version != UNKNOWN_VERSION:
            self.open_origins.end(stream_id)
        elif claim is not None:
            self.open_origins.on_claim(stream_id, claim, now_s)
        self._versions[stream_id] = (version, now_s)
        self._versions.move_to_end(stream_id)
        if len(self._versions) > ORIGINS_MAX_COUNT:
            self._versions.popitem(last=False)

    def _claim_of(self, stream_id: str, version: str | None) -> OriginClaim | None:
        return self.open_origins.claim_of(stream_id) if version == UNKNOWN_VERSION else None

    def _send(self, vm_id: str, message: OriginMessage) -> bool:
        address = self.entry_vms.addresses.get(vm_id)
        if address is not None:
            self.emit(SendOriginMessage(address, message))
        return address is not None


def keeper_ids(stream_id: str, entry_vms: EntryVms) -> list[str]:
    """Return the other VMs that keep a stream's origin, of as many zones as there are."""

    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{stream_id}/{name}".encode())

    def best(vm_ids: Iterable[str], count: int) -> list[str]:
        return nlargest(count, vm_ids, key=weight)

    zones = best(entry_vms.ids_by_zone, KEEPERS_COUNT)
    keepers = [vm_id for zone in zones for vm_id in best(entry_vms.ids_by_zone[zone], 1)]
    others = (vm_id for vm_id in entry_vms.ids if vm_id not in keepers)
    return [*keepers, *best(others, KEEPERS_COUNT - len(keepers))]
