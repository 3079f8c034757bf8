"""Writes the origins of streams to the store while a service has, or may have, several versions.

The origins lie in memory on a few VMs and are lost when all VMs lose power. They matter then only
if more than one version served within the time in which streams are resumed, so a fleet of a single
version writes nothing. One VM writes for all, so that the calls do not grow with the number of VMs;
a VM that gets no confirmation from it writes by itself.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    AppendOrigins,
    IncrementCounter,
    SendOriginMessage,
)
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.origin_messages import (
    UNKNOWN_VERSION,
    OriginBatch,
    OriginClaim,
    OriginsStored,
    StreamOrigin,
    joined_version,
)
from coriandershelf_core.internal.gateway.pool import VERSION_KEPT_S, Pool
from coriandershelf_core.internal.gateway.topic_sharing import reader_ids

# Name by which the VMs are ranked; the first of them writes.
WRITER_RANKING = "stream-origins"
# Streams that end within this time need no record.
SEND_AFTER_S = 0.05
# Streams of a season plan last 1.4 s, so with a longer period a fifth of those that a loss of power
# breaks off were never stored.
WRITE_PERIOD_S = 0.1
# Two write periods and the way: a message that is not confirmed by then was probably lost, and
# after several of them the writer is taken to be down.
CONFIRM_TIMEOUT_S = 0.25
WRITER_TRIES_COUNT = 3
STREAMS_MAX_COUNT = 20_000
# Bounds of a datagram and of a record, with ids of the largest size.
BATCH_MAX_COUNT = 300
RECORD_MAX_COUNT = 1_000
STREAM_ID_MAX_CHARACTERS = 128
# The protocol level from which on VMs know the messages of this module.
PROTOCOL_LEVEL = 2


Item = TypeVar("Item")


class OpenStream(Struct):
    """A stream that this VM forwards, or whose connection broke.

    :param sent_at_s: when its origin was last sent to a writer.
    :param tries_count: how often it was.
    :param is_stored: whether its origin is stored, or this VM writes it by itself.
    """

    service: str
    version: str
    claim: OriginClaim | None
    began_at_s: float
    sent_at_s: float = float("-inf")
    tries_count: int = 0
    is_stored: bool = False


class OriginBatches(Struct):
    """Origins on their way to the store.

    :param emit: receives the actions for the process.
    """

    address: str
    pool: Pool
    entry_vms: EntryVms
    emit: Callable[[Action], None]
    _open: OrderedDict[str, OpenStream] = field(default_factory=OrderedDict)
    # Origins to write, with the address of the VM that asked for it, or "" for this one.
    _to_write: dict[str, tuple[StreamOrigin, str]] = field(default_factory=dict)
    _writing: dict[str, tuple[StreamOrigin, str]] = field(default_factory=dict)
    _written_at_s: float = float("-inf")
    _sent_at_s: float = float("-inf")

    def begin(
        self,
        stream_id: str,
        service: str,
        version: str,
        now_s: float,
        claim: OriginClaim | None = None,
    ) -> None:
        """Add a stream whose first event is about to be forwarded.

        :param claim: what would make the version known, if it is not.
        """
        if len(stream_id) > STREAM_ID_MAX_CHARACTERS:
            return
        known = self._open.pop(stream_id, None)
        if known is not None:
            version = joined_version(known.version, version)
            claim = known.claim if claim is None else claim
        claim = claim if version == UNKNOWN_VERSION else None
        self._open[stream_id] = OpenStream(service, version, claim, now_s)
        if len(self._open) > STREAMS_MAX_COUNT:
            self._open.popitem(last=False)

    def learn(self, stream_id: str, version: str) -> None:
        """Note the version of a stream under way that has become known."""
        stream = self._open.get(stream_id)
        if stream is not None:
            stream.version = joined_version(stream.version, version)
            stream.claim, stream.is_stored = None, False
            stream.sent_at_s, stream.tries_count = float("-inf"), 0

    def end(self, stream_id: str) -> None:
        """Remove a stream that its caller has whole."""
        self._open.pop(stream_id, None)

    def on_batch(self, batch: OriginBatch) -> None:
        """Write the origins of another VM together with the own ones."""
        for origin in batch.origins:
            pending = self._to_write.get(origin.stream_id)
            if pending is not None:
                version = joined_version(pending[0].version, origin.version)
                if version != UNKNOWN_VERSION and origin.version == UNKNOWN_VERSION:
                    continue
                if version != origin.version:
                    origin = StreamOrigin(origin.stream_id, version)
            if len(self._to_write) < STREAMS_MAX_COUNT:
                self._to_write[origin.stream_id] = (origin, batch.address)

    def on_stored(self, message: OriginsStored) -> None:
        """Note that the writer has stored origins."""
        for stream_id in message.stream_ids:
            stream = self._open.get(stream_id)
            # What is confirmed may be the claim of a version that has become known since.
            if stream is not None and stream.tries_count > 0:
                stream.is_stored = True

    def on_appended(self, stored: bool) -> None:
        """Confirm the batch that was being written, or write it again."""
        written, self._writing = self._writing, {}
        if not stored:
            self.emit(IncrementCounter("stream_origins", "not-stored"))
            self._to_write = {**written, **self._to_write}
            while len(self._to_write) > STREAMS_MAX_COUNT:
                del self._to_write[next(iter(self._to_write))]
            return
        self.emit(IncrementCounter("stream_origins", "batch-stored"))
        stored_by_address: dict[str, list[str]] = {}
        for stream_id, (_, address) in written.items():
            if address:
                stored_by_address.setdefault(address, []).append(stream_id)
        for address, stream_ids in stored_by_address.items():
            for chunk in _chunks(stream_ids, BATCH_MAX_COUNT):
                self.emit(SendOriginMessage(address, OriginsStored(tuple(chunk))))

    def on_tick(self, now_s: float) -> None:
        """Send origins to the writer, or write them."""
        while self._open and now_s - next(iter(self._open.values())).began_at_s > VERSION_KEPT_S:
            self._open.popitem(last=False)
        if self._open and now_s - self._sent_at_s >= SEND_AFTER_S:
            self._sent_at_s = now_s
            self._send(now_s)
        if self._to_write and not self._writing and now_s - self._written_at_s >= WRITE_PERIOD_S:
            self._write(now_s)

    def _send(self, now_s: float) -> None:
        services = {stream.service for stream in self._open.values() if not stream.is_stored}
        mixed = {name for name in services if len(self.pool.versions_of(name, now_s)) > 1}
        # A start that has not registered may be of another version.
        mixed |= {
            stream.service for stream in self._open.values() if stream.version == UNKNOWN_VERSION
        }
        if not mixed:
            return
        writer = self._writer_address()
        batch: list[StreamOrigin] = []
        for stream_id, stream in self._open.items():
            is_new = now_s - stream.began_at_s < SEND_AFTER_S
            if stream.is_stored or is_new or stream.service not in mixed:
                continue
            if now_s - stream.sent_at_s < CONFIRM_TIMEOUT_S:
                continue
            if writer is None or stream.tries_count >= WRITER_TRIES_COUNT:
                stream.is_stored = True
                origin = StreamOrigin(stream_id, stream.version, stream.claim)
                self._to_write[stream_id] = (origin, "")
                continue
            stream.sent_at_s = now_s
            stream.tries_count += 1
            batch.append(StreamOrigin(stream_id, stream.version, stream.claim))
        for chunk in _chunks(batch, BATCH_MAX_COUNT):
            assert writer is not None, "batch without a writer"
            self.emit(SendOriginMessage(writer, OriginBatch(self.address, tuple(chunk))))

    def _writer_address(self) -> str | None:
        """Return the address of the VM that writes for all; ``None`` if this one does."""
        vm_ids = self.entry_vms.ids
        if not vm_ids or self.entry_vms.lowest_level < PROTOCOL_LEVEL:
            return None
        return self.entry_vms.addresses.get(reader_ids(WRITER_RANKING, vm_ids)[0])

    def _write(self, now_s: float) -> None:
        self._written_at_s = now_s
        stream_ids = list(self._to_write)[:RECORD_MAX_COUNT]
        self._writing = {stream_id: self._to_write.pop(stream_id) for stream_id in stream_ids}
        origins = tuple(origin for origin, _ in self._writing.values())
        self.emit(AppendOrigins(origins))


def _chunks(items: Sequence[Item], size: int) -> Iterable[Sequence[Item]]:
    return (items[start : start + size] for start in range(0, len(items), size))
