"""Follows a topic of the store through another entry VM, on sites with many entry VMs.

If each VM read the store by itself, the calls would grow with the number of VMs. So in each zone
one VM reads a topic, and the others query it, or a second one if it does not help. A reply proves
that the replying VM's knowledge was current at some time. The receiver counts its age from when it
sent the query, so that a reply which was delayed on the way, or in a VM that was frozen, never
seems younger than it is.

A VM reads the store by itself while neither replies with a young enough proof. So no message is
needed to agree on the reader, and it need not be live.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import xxhash
from msgspec import Struct, field

# VMs of a zone that may be queried: the reader, and one more if it does not help.
QUERIED_PER_ZONE_COUNT = 2
# A reader that did not reply, or whose proof was too old, is not queried again for this long.
READER_BACKOFF_S = 2.0
# Records that a reader keeps for replies, and their largest total size: that of a datagram.
RECORDS_MAX_COUNT = 400
REPLY_MAX_BYTES = 16_000


class KeyedRecord(Struct, frozen=True):
    """A key and its value, which is ``None`` if the key was deleted."""

    key: str
    value: bytes | None


class TopicQuery(Struct, frozen=True):
    """Asks another VM for the records of a topic from an offset onwards.

    :param address: where to send the reply.
    """

    vm_id: str
    address: str
    query_id: int
    topic: str
    next_offset: int


class TopicReply(Struct, frozen=True):
    """The reply to a query.

    :param proof_age_s: time since the replying VM's knowledge was last proved to be current.
    :param records: records from the queried offset onwards; ``None`` if the VM cannot send them.
    :param after_outage: whether the store was unavailable shortly before one of them was read.
    :param in_order_s: for how long before that proof the VM has read without a failure; ``None``
        from builds that do not tell.
    """

    vm_id: str
    query_id: int
    topic: str
    proof_age_s: float
    records: tuple[KeyedRecord, ...] | None
    after_outage: bool = False
    in_order_s: float | None = None


TopicMessage = TopicQuery | TopicReply


class TopicSnapshot(Struct, frozen=True):
    """The newest record of each key that a VM knows.

    :param next_offset: offset of the next record; those before it are reflected.
    :param proof_age_s: time since the VM's knowledge was last proved to be current.
    :param offsets: the offsets of the records.
    """

    next_offset: int
    proof_age_s: float
    records: tuple[KeyedRecord, ...]
    offsets: tuple[int, ...]


def reader_ids(topic: str, vm_ids: Iterable[str]) -> list[str]:
    """Return the VMs of a zone to query about a topic, the one that reads it first.

    Rendezvous hashing (Thaler and Ravishankar 1998), so that VMs that know of the same live VMs
    agree without communication.

    :param vm_ids: the live VMs of the zone.
    """
    ranked = sorted(
        vm_ids, key=lambda vm_id: xxhash.xxh64_intdigest(f"{topic}/{vm_id}".encode()), reverse=True
    )
    return ranked[:QUERIED_PER_ZONE_COUNT]


class _KeptRecord(Struct, frozen=True):
    offset: int
    record: KeyedRecord
    after_outage: bool

    @property
    def size_bytes(self) -> int:
        return len(self.record.key) + len(self.record.value or b"")


class SharedTopic(Struct):
    """What this VM knows of one topic, for its own decisions and for replies to others.

    :param max_age_s: oldest proof that is accepted in a reply.
    :param next_offset: offset of the next record to read; ``None`` before the first read.
    :param proved_at_s: time up to which all records are known.
    :param keeps_newest: whether to keep the newest record of each key, for snapshots.
    :param in_order_since_s: since when the topic has been read without a failure.
    """

    topic: str
    max_age_s: float
    next_offset: int | None = None
    proved_at_s: float = -math.inf
    keeps_newest: bool = False
    in_order_since_s: float = math.inf
    _newest: dict[str, _KeptRecord] = field(default_factory=dict)
    _kept: deque[_KeptRecord] = field(default_factory=deque)
    _kept_bytes: int = 0
    _backoff_until_s: dict[str, float] = field(default_factory=dict)

    def is_reader(self, own_id: str, zone_vm_ids: Iterable[str]) -> bool:
        """Return whether this VM reads the topic from the store for its zone."""
        return reader_ids(self.topic, [own_id, *zone_vm_ids])[0] == own_id

    def reader_to_query(self, own_id: str, zone_vm_ids: Iterable[str], now_s: float) -> str | None:
        """Return the VM to query now, or ``None`` if this VM must read the store by itself.

        :param zone_vm_ids: the other live VMs of this VM's zone.
        """
        if self.next_offset is None:
            return None
        readers = reader_ids(self.topic, [own_id, *zone_vm_ids])
        if readers[0] == own_id:
            return None
        open_readers = (
            vm_id
            for vm_id in readers
            if vm_id != own_id and now_s >= self._backoff_until_s.get(vm_id, -math.inf)
        )
        return next(open_readers, None)

    def on_no_reply(self, reader_id: str, now_s: float) -> None:
        """Record that a reader did not reply in time or could not help."""
        self._backoff_until_s = {
            vm_id: until_s for vm_id, until_s in self._backoff_until_s.items() if until_s > now_s
        }
        self._backoff_until_s[reader_id] = now_s + READER_BACKOFF_S

    def on_loaded(
        self,
        next_offset: int,
        proved_at_s: float,
        records: tuple[KeyedRecord, ...] = (),
        offsets: tuple[int, ...] = (),
    ) -> None:
        """Record a read of the newest value of each key, which leaves no records to pass on."""
        self._kept.clear()
        self._kept_bytes = 0
        self._newest.clear()
        for record, offset in zip(records, offsets, strict=True):
            self._keep_newest(_KeptRecord(offset, record, False))
        self.next_offset = next_offset
        self.proved_at_s = max(self.proved_at_s, proved_at_s)

    def on_records(
        self, records: tuple[KeyedRecord, ...], after_outage: bool, proved_at_s: float
    ) -> None:
        """Record a read or a reply with the records that follow those known so far."""
        assert self.next_offset is not None, f"{self.topic}: records before the first read"
        for record in records:
            kept = _KeptRecord(self.next_offset, record, after_outage)
            self._keep(kept)
            self._keep_newest(kept)
            self.next_offset += 1
        self.proved_at_s = max(self.proved_at_s, proved_at_s)

    def snapshot(self, now_s: float) -> TopicSnapshot | None:
        """Return what another VM needs to follow the topic from here; ``None`` if unknown."""
        if self.next_offset is None or not self.keeps_newest:
            return None
        age_s = max(0.0, now_s - self.proved_at_s)
        records = tuple(kept.record for kept in self._newest.values())
        offsets = tuple(kept.offset for kept in self._newest.values())
        return TopicSnapshot(self.next_offset, age_s, records, offsets)

    def on_snapshot(self, snapshot: TopicSnapshot, proved_at_s: float) -> None:
        """Follow the topic from a snapshot, unless more is known already."""
        if self.next_offset is None or snapshot.next_offset > self.next_offset:
            self.on_loaded(snapshot.next_offset, proved_at_s, snapshot.records, snapshot.offsets)

    def _keep(self, kept: _KeptRecord) -> None:
        """Keep a record for replies, and drop those that no reply could hold together with it."""
        self._kept.append(kept)
        self._kept_bytes += kept.size_bytes
        while len(self._kept) > RECORDS_MAX_COUNT or self._kept_bytes > REPLY_MAX_BYTES:
            self._kept_bytes -= self._kept.popleft().size_bytes

    def _keep_newest(self, kept: _KeptRecord) -> None:
        if not self.keeps_newest:
            return
        if kept.record.value is None:
            self._newest.pop(kept.record.key, None)
        else:
            self._newest[kept.record.key] = kept

    def reply_to(self, query: TopicQuery, own_id: str, now_s: float) -> TopicReply | None:
        """Return the reply to another VM's query; ``None`` before the first read."""
        if self.next_offset is None:
            return None
        kept = self._kept_from(query.next_offset)
        age_s = max(0.0, now_s - self.proved_at_s)
        records = None if kept is None else tuple(item.record for item in kept)
        after_outage = any(item.after_outage for item in kept or ())
        in_order_s = max(0.0, self.proved_at_s - self.in_order_since_s)
        return TopicReply(
            own_id, query.query_id, self.topic, age_s, records, after_outage, in_order_s
        )

    def is_usable(self, reply: TopicReply, sent_at_s: float, now_s: float) -> bool:
        """Return whether a reply has the records and a young enough proof.

        :param sent_at_s: when the query was sent.
        """
        return reply.records is not None and now_s - self.proof_time_s(reply, sent_at_s) <= (
            self.max_age_s
        )

    @staticmethod
    def proof_time_s(reply: TopicReply, sent_at_s: float) -> float:
        """Return a time up to which a reply covers all records."""
        return sent_at_s - max(0.0, reply.proof_age_s)

    def _kept_from(self, offset: int) -> list[_KeptRecord] | None:
        """Return the records from an offset onwards; ``None`` if not all can be sent."""
        assert self.next_offset is not None, f"{self.topic}: queried before the first read"
        if offset >= self.next_offset:
            return []
        if not self._kept or self._kept[0].offset > offset:
            return None
        return [item for item in self._kept if item.offset >= offset]
