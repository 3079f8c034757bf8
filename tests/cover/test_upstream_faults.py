"""Upstreams of the product's own border that send too little, too much, too late or nonsense."""

from __future__ import annotations

import asyncio

import pytest
from tiny_chunks import TinyChunks

from coriandershelf_core.internal.vocabulary.actions import StartAttempt
from coriandershelf_core.internal.vocabulary.events import (
    AttemptFailed,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_entry.internal.sse import EVENT_LIMIT_BYTES, BadStream, StreamParser
from coriandershelf_entry.internal.upstream import ConnectionPool, _request_body, run_attempt
from coriandershelf_rig.internal.standin_replica import Replica

OK = b"HTTP/1.1 200 OK\r\n"


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 20.0))


async def ask(pool: ConnectionPool, address: str, kind: ServiceKind, name: str = "a1"):
    action = StartAttempt(name, "r1", kind, "i1", address, "p", b"{}", 1.0, 0)
    posted: list[object] = []
    await run_attempt(action, pool, posted.append, lambda request_id: None)
    return posted


def stream_response(name: str) -> bytes:
    body = f"id: {name}:0\ndata: {{}}\n\nid: {name}:1\ndata: [DONE]\n\n".encode()
    return OK + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


# Guards against a part of an answer that passes for the whole: tornado takes a reset for the end of
# a response without length.
@pytest.mark.parametrize("reset", [False, True])
def test_a_plain_answer_without_length_is_whole_only_at_a_clean_end(reset):
    async def script(request, connection) -> None:
        await connection.send(OK + b"\r\npart of")
        await asyncio.sleep(0.05)
        connection.reset() if reset else connection.close()

    async def scenario() -> None:
        replica = await Replica(script).start()
        last = (await ask(ConnectionPool(), replica.address, ServiceKind.PLAIN))[-1]
        assert isinstance(last, AttemptFailed if reset else PlainAnswered)
        await replica.stop()

    run(scenario)


# Guards against a process that serves nobody while an upstream sends tiny chunks without end: no
# read of one waited, so no other task got a turn.
@pytest.mark.parametrize("kind", [ServiceKind.PLAIN, ServiceKind.MODEL])
def test_a_body_of_tiny_chunks_without_end_fails_and_leaves_others_their_turn(kind):
    async def scenario() -> None:
        upstream = TinyChunks(b":")
        attempt = asyncio.create_task(ask(ConnectionPool(), upstream.address, kind))
        turns_count = 0
        while not attempt.done():
            await asyncio.sleep(0)
            turns_count += bool(upstream.sent_bytes)
        assert isinstance(attempt.result()[-1], AttemptFailed)
        assert turns_count > 10
        await asyncio.to_thread(upstream.stop)

    run(scenario)


# Guards against a connection that is used again though an answer to an earlier request is still to
# come on it, or has come since: every later request on it would get the answer before its own.
@pytest.mark.parametrize("late", [False, True])
def test_a_second_answer_ends_its_connection(late):
    first: list[bytes] = []

    async def script(request, connection) -> None:
        name = request.headers["x-attempt-id"]
        if first and late and replica.connection_count == 1:
            await connection.send(first[0])
            # The true answer comes once the connection could be in use again.
            await asyncio.sleep(0.3)
        first.append(stream_response(name))
        await connection.send(first[-1])
        if not late and len(first) == 1:
            await connection.send(first[0])

    replica = Replica(script)

    async def scenario() -> None:
        await replica.start()
        pool = ConnectionPool()
        outcomes = []
        for number in range(3):
            posted = await ask(pool, replica.address, ServiceKind.MODEL, f"a{number}")
            await asyncio.sleep(0.05)
            tokens = [event for event in posted if isinstance(event, TokensArrived)]
            outcomes.append([event.stream_attempt_id for event in tokens])
            assert isinstance(posted[-1], StreamEnded)
        # The core drops the events of another attempt and fails this one.
        assert outcomes == [["a0"], ["a0" if late else "a1"], ["a2"]]
        assert replica.connection_count == 2
        pool.close()
        await replica.stop()

    run(scenario)


def test_an_informational_response_is_no_failure():
    async def script(request, connection) -> None:
        early = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        await connection.send(early + stream_response(request.headers["x-attempt-id"]))

    async def scenario() -> None:
        replica = await Replica(script).start()
        pool = ConnectionPool()
        posted = await ask(pool, replica.address, ServiceKind.MODEL)
        assert isinstance(posted[-1], StreamEnded)
        pool.close()
        await replica.stop()

    run(scenario)


# Guards against a payload that ends the process as its request is sent again.
@pytest.mark.parametrize("payload", [b"", b"{}", b"[]", b'{"choices":7}', b"[" * 100_000])
def test_a_payload_of_another_shape_has_no_text_to_resume_with(payload):
    good = b'{"choices":[{"delta":{"content":"x"}}]}'
    action = StartAttempt("a1", "r1", ServiceKind.MODEL, "i1", "h:1", "p", b"{}", 1.0, 0)
    action = StartAttempt(**{**_fields(action), "resume_payloads": (good, payload, good)})
    assert b'"resume_text": "xx"' in _request_body(action)


def _fields(action: StartAttempt) -> dict[str, object]:
    return {name: getattr(action, name) for name in action.__dataclass_fields__}


def test_a_position_that_cannot_be_read_is_a_bad_stream():
    event = b"id: a:" + b"9" * 5000 + b"\ndata: {}\n\n"
    assert isinstance(StreamParser().feed(event), BadStream)


# Guards against an event without an end, and against events that are lost where they are cut.
@pytest.mark.parametrize("size", [1, 2, 5, 4096])
def test_an_event_is_bounded_and_whole_however_it_is_cut(size):
    parser = StreamParser()
    data = b"id: a:0\ndata: x\n\nid: a:1\ndata: " + b"y" * 20_000 + b"\n\nid: a:2\ndata: z\n\n"
    positions = []
    for start in range(0, len(data), size):
        events = parser.feed(data[start : start + size])
        assert not isinstance(events, BadStream)
        positions += [event.position for event in events]
    assert positions == [0, 1, 2]
    assert isinstance(parser.feed(b"x" * (EVENT_LIMIT_BYTES + 1)), BadStream)
