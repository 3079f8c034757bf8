"""Answers stay complete if tokens are late, misrouted, truncated or duplicated."""

from __future__ import annotations

import pytest

from coriandershelf_core import Done
from coriandershelf_core.internal.routing.completion import is_complete
from coriandershelf_core.internal.vocabulary.events import (
    AttemptFailed,
    AttemptOpened,
    FailureCause,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_rig.internal.bench import LAST_PAYLOAD, Bench, Call
from coriandershelf_rig.internal.deployments import kingston

ENTRY = "entry-1"


class Streams:
    """One request; the test feeds the events of its upstream by hand."""

    def __init__(self) -> None:
        self.bench = Bench(kingston(), 1)
        self.bench.run(1.0)
        self.bench.is_cut = lambda source, target: source == ENTRY and target.startswith("inspect")
        self.call: Call = self.bench.send(ENTRY, self.bench.chat("depot", max_tokens=3))
        self.bench.feed(ENTRY, AttemptOpened(self.attempt_id))

    @property
    def attempt_id(self) -> str:
        live = self.bench.entries[ENTRY].core.dispatcher.attempts.live
        for _ in range(10):
            if not live:
                self.bench.run(0.05)  # A retry may wait for a short random backoff.
        return next(iter(live))

    def tokens(self, position: int, *payloads: bytes, stream_attempt_id: str | None = None) -> None:
        name = self.attempt_id
        event = TokensArrived(name, stream_attempt_id or name, position, payloads)
        self.bench.feed(ENTRY, event)

    def end(self, position: int, stream_attempt_id: str | None = None) -> None:
        name = self.attempt_id
        self.bench.feed(ENTRY, StreamEnded(name, stream_attempt_id or name, position))

    @property
    def dropped(self) -> int:
        return self.bench.counters.get("tokens.dropped", 0)


COMPLETE_ANSWER = [b"0", b"1", b"2", LAST_PAYLOAD]


def test_tokens_of_another_attempt_are_dropped_and_counted():
    streams = Streams()
    streams.tokens(0, b"x", b"y", stream_attempt_id="entry-9-1-1")
    assert streams.call.payloads == []
    assert streams.dropped == 2


def test_tokens_of_an_attempt_that_was_given_up_are_dropped_and_counted():
    streams = Streams()
    streams.tokens(0, b"0")
    late = streams.attempt_id
    streams.bench.feed(ENTRY, AttemptFailed(late, FailureCause.CLOSED, True))
    streams.bench.feed(ENTRY, TokensArrived(late, late, 1, (b"1",)))
    streams.bench.feed(ENTRY, StreamEnded(late, late, 1))
    # A request whose connection closed is suspected of a crash and retried alone after a delay.
    streams.bench.run(0.3)
    assert streams.attempt_id != late
    assert (streams.call.payloads, streams.call.outcome, streams.dropped) == ([b"0"], None, 1)


def test_repeated_tokens_are_dropped_and_counted_and_the_rest_is_delivered():
    streams = Streams()
    streams.tokens(0, b"0", b"1")
    streams.tokens(1, b"1", b"2")
    streams.tokens(0, b"0")
    streams.tokens(3, LAST_PAYLOAD)
    streams.end(4)
    assert streams.call.payloads == COMPLETE_ANSWER
    assert (streams.dropped, streams.call.outcome) == (2, Done())


def test_a_gap_ends_the_attempt_and_the_stream_goes_on_where_it_was_whole():
    streams = Streams()
    streams.tokens(0, b"0")
    first = streams.attempt_id
    streams.tokens(2, b"2")
    assert streams.attempt_id != first
    streams.tokens(1, b"1", b"2", LAST_PAYLOAD)
    streams.end(4)
    assert (streams.call.payloads, streams.call.outcome) == (COMPLETE_ANSWER, Done())


@pytest.mark.parametrize("position", [1, 3])
def test_an_end_marker_that_counts_other_than_what_came_ends_no_answer(position):
    streams = Streams()
    streams.tokens(0, b"0", b"1")
    first = streams.attempt_id
    streams.end(position)
    assert streams.call.outcome is None
    assert streams.attempt_id != first


def test_an_end_marker_of_another_attempt_ends_no_answer():
    streams = Streams()
    streams.tokens(0, b"0")
    streams.end(1, stream_attempt_id="entry-9-1-1")
    assert streams.call.outcome is None


def test_an_answer_cut_between_its_last_token_and_its_end_marker_is_whole():
    streams = Streams()
    streams.tokens(0, *COMPLETE_ANSWER)
    streams.bench.feed(ENTRY, AttemptFailed(streams.attempt_id, FailureCause.CLOSED, True))
    assert (streams.call.payloads, streams.call.outcome) == (COMPLETE_ANSWER, Done())


def test_an_answer_cut_before_its_last_token_is_not_whole():
    streams = Streams()
    streams.tokens(0, b"0", b"1", b"2")
    streams.bench.feed(ENTRY, AttemptFailed(streams.attempt_id, FailureCause.CLOSED, True))
    assert streams.call.outcome is None


@pytest.mark.parametrize(
    "payload", [b"", b"1", b"{}", b"[]", b'{"choices":[{"finish_reason":null}]}', b'{"choices":7}']
)
def test_only_a_payload_with_a_finish_reason_is_the_last(payload):
    assert not is_complete([payload])
    assert is_complete([payload, LAST_PAYLOAD])
