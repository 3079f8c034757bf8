"""Encoding of messages between entry VMs, of log records and of the inventory files."""

from coriandershelf_wire.internal.codec import (
    Malformed,
    decode_batch,
    decode_record,
    encode_batch,
    encode_record,
    to_json,
)
from coriandershelf_wire.internal.inventory_format import (
    Invalid,
    Problem,
    parse_configuration,
    parse_or_none,
)

__all__ = [
    "Invalid",
    "Malformed",
    "Problem",
    "decode_batch",
    "decode_record",
    "encode_batch",
    "encode_record",
    "parse_configuration",
    "parse_or_none",
    "to_json",
]
