"""One reader a zone follows the store for the others, on sites with many entry VMs.

Load pattern: hundreds of VMs that must all know configuration and registry within seconds, while
calls to the store are few. Faults: readers that are gone, frozen, cut off, or whose own reads stay
silent.
"""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coriandershelf_core.internal.gateway.topic_sharing import (
    QUERIED_PER_ZONE_COUNT,
    READER_BACKOFF_S,
    RECORDS_MAX_COUNT,
    REPLY_MAX_BYTES,
    KeyedRecord,
    SharedTopic,
    TopicQuery,
    TopicReply,
    reader_ids,
)

TOPIC = "topic"
MAX_AGE_S = 3.0
ZONE = tuple(f"vm-{index}" for index in range(39))


def make_topic(next_offset: int = 10, proved_at_s: float = 0.0) -> SharedTopic:
    topic = SharedTopic(TOPIC, MAX_AGE_S)
    topic.on_loaded(next_offset, proved_at_s)
    return topic


def query_from(topic: SharedTopic) -> TopicQuery:
    assert topic.next_offset is not None
    return TopicQuery("vm-x", "10.0.0.1:7500", 1, TOPIC, topic.next_offset)


def records_of(count: int, size_bytes: int = 10) -> tuple[KeyedRecord, ...]:
    return tuple(KeyedRecord(f"key-{index}", b"v" * size_bytes) for index in range(count))


def test_all_vms_of_a_zone_name_the_same_reader():
    readers = reader_ids(TOPIC, ZONE)
    assert len(readers) == QUERIED_PER_ZONE_COUNT
    assert reader_ids(TOPIC, reversed(ZONE)) == readers
    others = [vm_id for vm_id in ZONE if vm_id not in readers]
    for vm_id in others:
        rest = [item for item in ZONE if item != vm_id]
        assert make_topic().reader_to_query(vm_id, rest, 0.0) == readers[0]
    assert make_topic().is_reader(readers[0], ZONE)
    assert make_topic().reader_to_query(readers[0], ZONE, 0.0) is None
    assert not make_topic().is_reader(readers[1], ZONE)
    assert make_topic().reader_to_query(readers[1], ZONE, 0.0) == readers[0]


def test_the_loss_of_a_reader_moves_its_part_to_one_other_vm():
    readers = reader_ids(TOPIC, ZONE)
    left = reader_ids(TOPIC, [vm_id for vm_id in ZONE if vm_id != readers[0]])
    assert left[0] == readers[1]


def test_a_vm_that_knows_nothing_yet_reads_the_store_by_itself():
    assert SharedTopic(TOPIC, MAX_AGE_S).reader_to_query("vm-x", ZONE, 0.0) is None
    assert SharedTopic(TOPIC, MAX_AGE_S).reply_to(query_from(make_topic()), "vm-0", 0.0) is None


def test_a_vm_reads_by_itself_while_no_reader_replies_and_asks_again_later():
    topic = make_topic()
    for reader in reader_ids(TOPIC, ZONE):
        assert topic.reader_to_query("vm-x", ZONE, 5.0) == reader
        topic.on_no_reply(reader, 5.0)
    assert topic.reader_to_query("vm-x", ZONE, 5.0) is None
    assert topic.reader_to_query("vm-x", ZONE, 5.0 + READER_BACKOFF_S) is not None


def test_a_reply_carries_what_follows_the_queried_offset():
    reader, follower = make_topic(), make_topic()
    records = records_of(3)
    reader.on_records(records, False, 4.0)
    reply = reader.reply_to(query_from(follower), "vm-0", 4.5)
    assert reply is not None
    assert reply.records == records
    assert reply.proof_age_s == pytest.approx(0.5)
    follower.on_records(reply.records, reply.after_outage, 4.0)
    again = reader.reply_to(query_from(follower), "vm-0", 4.6)
    assert again is not None and again.records == ()


def test_records_after_an_outage_are_marked_for_the_followers_too():
    reader, follower = make_topic(), make_topic()
    reader.on_records(records_of(1), True, 4.0)
    reply = reader.reply_to(query_from(follower), "vm-0", 4.5)
    assert reply is not None and reply.after_outage


@pytest.mark.parametrize(
    "records",
    [records_of(RECORDS_MAX_COUNT + 1), records_of(2, REPLY_MAX_BYTES)],
    ids=["more than are kept", "more than fit a datagram"],
)
def test_a_reader_that_cannot_send_all_records_sends_none(records):
    reader, follower = make_topic(), make_topic()
    reader.on_records(records, False, 4.0)
    reply = reader.reply_to(query_from(follower), "vm-0", 4.5)
    assert reply is not None and reply.records is None
    assert not follower.is_usable(reply, 4.4, 4.5)


# Guards against a process that reaches its memory limit after some hundred changes of a large
# configuration, all of which it kept for replies that cannot hold one.
def test_records_that_no_reply_can_hold_are_not_kept():
    reader = make_topic()
    value_bytes = 200_000
    tracemalloc.start()
    for _ in range(RECORDS_MAX_COUNT):
        reader.on_records((KeyedRecord("config", bytes(value_bytes)),), False, 4.0)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 2 * value_bytes


@pytest.mark.parametrize("size_bytes", [100, 3_000, REPLY_MAX_BYTES - 10])
def test_the_newest_records_that_a_reply_can_hold_are_sent(size_bytes: int):
    reader = make_topic()
    records = records_of(30, size_bytes)
    for record in records:
        reader.on_records((record,), False, 4.0)
    sent_count = min(len(records), REPLY_MAX_BYTES // (size_bytes + len(records[-1].key)))
    query = TopicQuery("vm-x", "10.0.0.1:7500", 1, TOPIC, reader.next_offset - sent_count)
    reply = reader.reply_to(query, "vm-0", 4.5)
    assert reply is not None and reply.records == records[-sent_count:]


def test_a_reader_that_lost_the_history_sends_nothing_from_before():
    reader, follower = make_topic(), make_topic()
    reader.on_records(records_of(2), False, 1.0)
    reader.on_loaded(20, 5.0)
    reply = reader.reply_to(query_from(follower), "vm-0", 5.0)
    assert reply is not None and reply.records is None


def test_a_reader_whose_own_reads_stay_silent_is_not_believed():
    reader, follower = make_topic(proved_at_s=0.0), make_topic()
    reply = reader.reply_to(query_from(follower), "vm-0", MAX_AGE_S + 0.5)
    assert reply is not None
    assert not follower.is_usable(reply, MAX_AGE_S + 0.4, MAX_AGE_S + 0.5)


@given(
    proved_at_s=st.floats(0.0, 100.0),
    reply_delay_s=st.floats(0.0, 30.0),
    wait_s=st.floats(0.0, 30.0),
    offset_s=st.floats(-1e6, 1e6),
)
def test_no_delay_or_freeze_makes_a_proof_seem_younger(
    proved_at_s, reply_delay_s, wait_s, offset_s
):
    """The reader's clock differs from the follower's, and either may be frozen on the way."""
    sent_at_s = 100.0
    replied_at_s = sent_at_s + wait_s
    received_at_s = replied_at_s + reply_delay_s
    reader = make_topic(proved_at_s=proved_at_s + offset_s)
    reply = reader.reply_to(query_from(make_topic()), "vm-0", replied_at_s + offset_s)
    assert reply is not None
    follower = make_topic()
    assert follower.proof_time_s(reply, sent_at_s) <= proved_at_s + 1e-6
    if follower.is_usable(reply, sent_at_s, received_at_s):
        assert received_at_s - proved_at_s <= MAX_AGE_S + 1e-6


def test_a_reply_never_moves_what_is_known_back():
    follower = make_topic(next_offset=10, proved_at_s=8.0)
    reader = make_topic(next_offset=5, proved_at_s=7.0)
    reply = reader.reply_to(query_from(follower), "vm-0", 8.0)
    assert reply is not None and reply.records == ()
    follower.on_records(reply.records, False, follower.proof_time_s(reply, 8.0))
    assert (follower.next_offset, follower.proved_at_s) == (10, 8.0)


def test_a_malformed_age_cannot_prove_the_future():
    assert SharedTopic.proof_time_s(TopicReply("vm-0", 1, TOPIC, -5.0, ()), 3.0) == 3.0
