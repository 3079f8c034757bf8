"""Parsers of external input accept it or report what is wrong, and never raise."""

from __future__ import annotations

import json

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from coriandershelf_core import Request, RequestKind
from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_core.internal.vocabulary.records import Record
from coriandershelf_entry.internal.request_parsing import (
    BadRequest,
    hash_key,
    parse_chat,
    parse_deadline,
)
from coriandershelf_entry.internal.sse import BadStream, StreamParser
from coriandershelf_rig.internal.deployments import consorcio, inventory_yaml, rules_yaml
from coriandershelf_wire import (
    Invalid,
    Malformed,
    decode_batch,
    decode_record,
    parse_configuration,
)
from coriandershelf_wire.internal.codec import ENTRY_TYPES, MESSAGE_TYPES
from coriandershelf_wire.internal.peer_pb2 import Batch, LogRecord, Typed

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
chat_like = st.fixed_dictionaries(
    {},
    optional={
        "model": json_values,
        "messages": json_values
        | st.lists(st.fixed_dictionaries({"role": st.text(), "content": json_values})),
        "max_tokens": json_values,
        "max_completion_tokens": json_values,
        "stream": json_values,
    },
)
bodies = st.binary(max_size=200) | chat_like.map(lambda value: json.dumps(value).encode())


@settings(max_examples=300)
@given(bodies)
def test_a_chat_body_is_a_request_or_is_told_what_is_wrong(body):
    parsed = parse_chat(body, RequestKind.CHAT, "r", "0" * 64, 1.0, None)
    if isinstance(parsed, BadRequest):
        assert parsed.message
    else:
        assert isinstance(parsed, Request)
        assert parsed.max_tokens >= 1
        assert json.loads(parsed.body)["stream"] is True


@given(st.none() | st.text(max_size=30) | st.floats().map(str))
def test_a_deadline_header_is_a_time_ahead_or_is_told_what_is_wrong(header):
    parsed = parse_deadline(header, 60.0, 1000.0)
    assert isinstance(parsed, BadRequest) or 1000.0 <= parsed <= 1000.0 + 1e6


@given(st.text(max_size=60))
def test_any_authorization_header_has_a_hash(header):
    assert len(hash_key(header)) == 64


stream_bytes = st.lists(
    st.binary(max_size=30)
    | st.sampled_from([b"id: a:1\ndata: {}\n\n", b"id: a:x\ndata: {}\n\n", b"data: [DONE]\n\n"])
).map(b"".join)


@settings(max_examples=300)
@given(stream_bytes, st.integers(1, 7))
def test_an_engines_stream_is_events_or_a_bad_stream_however_it_is_cut(data, size):
    parser = StreamParser()
    for start in range(0, len(data), size):
        events = parser.feed(data[start : start + size])
        if isinstance(events, BadStream):
            assert events.reason
            return
        assert all(event.position >= 0 for event in events)


kinds = st.sampled_from([*ENTRY_TYPES, *MESSAGE_TYPES, "FromTheFuture"])
typed_bodies = st.binary(max_size=60) | json_values.filter(
    lambda value: not isinstance(value, int) or -(2**63) <= value < 2**64
).map(lambda value: encode_loosely(value))


def encode_loosely(value) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b"\xc1"


typed = st.builds(lambda kind, body: Typed(kind=kind, body=body), kinds, typed_bodies)


@settings(max_examples=300)
@given(st.lists(typed, max_size=3))
def test_a_log_record_is_entries_or_malformed(entries):
    data = LogRecord(writer="w", incarnation=1, sequence=1, entries=entries).SerializeToString()
    decoded = decode_record(data, 0, 0.0)
    assert isinstance(decoded, Record) or (isinstance(decoded, Malformed) and decoded.reason)


@given(st.binary(max_size=100))
def test_bytes_of_the_log_are_a_record_or_malformed(data):
    assert isinstance(decode_record(data, 0, 0.0), Record | Malformed)


@settings(max_examples=300)
@given(st.lists(typed, max_size=3))
def test_a_peers_batch_is_messages_or_malformed(messages):
    decoded = decode_batch(Batch(sender="s", incarnation=1, messages=messages))
    assert isinstance(decoded, tuple) or (isinstance(decoded, Malformed) and decoded.reason)


inventory_lines = inventory_yaml(consorcio(), {}).splitlines()


@settings(max_examples=60)
@given(st.data())
def test_a_damaged_inventory_is_valid_or_every_problem_has_a_place_and_a_remedy(data):
    lines = list(inventory_lines)
    index = data.draw(st.integers(0, len(lines) - 1))
    damage = data.draw(st.sampled_from(["drop", "empty", "number", "indent", "text"]))
    if damage == "drop":
        del lines[index]
    elif damage == "indent":
        lines[index] = " " + lines[index]
    else:
        key = lines[index].split(":")[0]
        value = {"empty": "", "number": " -3", "text": data.draw(st.text(max_size=8))}[damage]
        lines[index] = f"{key}:{value}"
    parsed = parse_configuration("\n".join(lines), rules_yaml(consorcio()), 1)
    if isinstance(parsed, Invalid):
        assert parsed.problems
        assert all(problem.remedy for problem in parsed.problems)
    else:
        assert isinstance(parsed, Inventory)


@given(st.text(max_size=80))
def test_any_text_is_a_valid_file_of_rules_or_named_problems(text):
    parsed = parse_configuration("\n".join(inventory_lines), text, 1)
    assert isinstance(parsed, Inventory | Invalid)
