"""Log records and peer messages are unchanged after encoding and decoding."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.messages import Heartbeat, JobReply
from coriandershelf_core.internal.vocabulary.records import Claim, ClaimFinished, Record
from coriandershelf_wire import (
    Malformed,
    decode_batch,
    decode_record,
    encode_batch,
    encode_record,
)
from coriandershelf_wire.internal.peer_pb2 import LogRecord, Typed


def test_a_record_comes_back_as_it_was():
    entries = (Claim("k", "b", "r", "entry-1", 1.5), ClaimFinished("k", "r", True, 200, b"\x00"))
    data = encode_record("entry-1", 7, 3, entries)
    assert decode_record(data, 9, 2.0) == Record(9, 2.0, "entry-1", 7, 3, entries)


def test_messages_come_back_as_they_were():
    messages = (Heartbeat("entry-1", 7, 3, False), JobReply("q", "done", 2, (b"a", b"b")))
    assert decode_batch(encode_batch("entry-1", 7, messages)) == messages


def test_an_entry_of_a_newer_version_is_skipped():
    record = LogRecord(writer="w", incarnation=1, sequence=1)
    record.entries.append(Typed(kind="FromTheFuture", body=b"\xc0"))
    decoded = decode_record(record.SerializeToString(), 0, 0.0)
    assert decoded == Record(0, 0.0, "w", 1, 1, ())


def test_a_body_of_the_wrong_type_is_malformed():
    record = LogRecord(writer="w", incarnation=1, sequence=1)
    record.entries.append(Typed(kind="Claim", body=b"\xc0"))
    assert isinstance(decode_record(record.SerializeToString(), 0, 0.0), Malformed)


def test_bytes_that_are_no_record_are_malformed():
    assert isinstance(decode_record(b"\xff\xff\xff", 0, 0.0), Malformed)
