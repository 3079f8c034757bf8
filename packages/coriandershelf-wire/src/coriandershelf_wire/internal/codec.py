"""Encodes data classes as bytes, and decodes them with validation against their types.

Each value is MessagePack in a protobuf envelope that names its class; large bodies are compressed.
"""

from __future__ import annotations

import dataclasses
import zlib
from typing import Any, get_args

import msgspec

from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_core.internal.vocabulary.records import Entry, Record
from coriandershelf_wire.internal.peer_pb2 import Batch, LogRecord, Typed

MESSAGE_TYPES = {cls.__name__: cls for cls in get_args(Message)}
COMPRESSED_SUFFIX = "+zlib"
COMPRESSION_MIN_BYTES = 16 << 10
DECOMPRESSED_MAX_BYTES = 64 << 20
ENTRY_TYPES = {cls.__name__: cls for cls in get_args(Entry)}


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that could not be decoded, with the reason."""

    reason: str


def _encode_typed(value: Any) -> Typed:
    kind = type(value).__name__
    body = msgspec.msgpack.encode(value)
    if len(body) < COMPRESSION_MIN_BYTES:
        return Typed(kind=kind, body=body)
    return Typed(kind=kind + COMPRESSED_SUFFIX, body=zlib.compress(body))


def _decompress(body: bytes) -> bytes:
    """Return the decompressed bytes.

    :raises msgspec.DecodeError: the data is corrupt, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(body, DECOMPRESSED_MAX_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError(f"truncated, or over {DECOMPRESSED_MAX_BYTES} bytes decompressed")
    return plain


def _decode_typed(typed: Typed, types: dict[str, type]) -> Any:
    """Return the decoded value, or ``None`` for a kind that only newer versions know."""
    cls = types.get(typed.kind.removesuffix(COMPRESSED_SUFFIX))
    if cls is None:
        return None
    compressed = typed.kind.endswith(COMPRESSED_SUFFIX)
    body = _decompress(typed.body) if compressed else typed.body
    return msgspec.msgpack.decode(body, type=cls)


def encode_batch(sender: str, incarnation: int, messages: tuple[Message, ...]) -> Batch:
    """Return the messages as a protobuf batch."""
    typed = [_encode_typed(message) for message in messages]
    return Batch(sender=sender, incarnation=incarnation, messages=typed)


def decode_batch(batch: Batch) -> tuple[Message, ...] | Malformed:
    """Return the messages of known kinds, or the reason why the batch is malformed."""
    try:
        decoded = [_decode_typed(typed, MESSAGE_TYPES) for typed in batch.messages]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Malformed(str(error))
    return tuple(message for message in decoded if message is not None)


def encode_record(
    writer: str, incarnation: int, sequence: int, entries: tuple[Entry, ...]
) -> bytes:
    """Return a log record as bytes."""
    typed = [_encode_typed(entry) for entry in entries]
    record = LogRecord(writer=writer, incarnation=incarnation, sequence=sequence, entries=typed)
    return bytes(record.SerializeToString())


def decode_record(data: bytes, offset: int, time_s: float) -> Record | Malformed:
    """Return the record with its entries of known kinds, or why it is malformed."""
    parsed = LogRecord()
    try:
        parsed.ParseFromString(data)
        decoded = [_decode_typed(typed, ENTRY_TYPES) for typed in parsed.entries]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Malformed(str(error))
    except Exception as error:  # protobuf's DecodeError has no stable import path
        return Malformed(str(error))
    entries = tuple(entry for entry in decoded if entry is not None)
    return Record(offset, time_s, parsed.writer, parsed.incarnation, parsed.sequence, entries)


def to_json(value: Any) -> bytes:
    """Return a data class as JSON for people; bytes are written in base64."""
    return msgspec.json.encode(value)
