"""Answers of the platform and of upstreams that are valid HTTP but not what they should be."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import pytest
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.simple_httpclient import HTTPTimeoutError

from coriandershelf_core.internal.vocabulary.actions import Append, StartAttempt
from coriandershelf_core.internal.vocabulary.events import (
    AppendFailed,
    FailureCause,
    LogRead,
    PlainAnswered,
)
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_entry.internal import platform_client
from coriandershelf_entry.internal.log_client import LogClient
from coriandershelf_entry.internal.platform_client import NoticeReader, poll_vm_list
from coriandershelf_entry.internal.upstream import PLAIN_BODY_LIMIT_BYTES, _ResponseReader
from coriandershelf_wire import encode_record

OTHER_SHAPES = (b"[]", b"7", b"null", b'{"vms": 3}', b'{"notices": [4], "next": "x"}', b"{")


@dataclass
class Answer:
    body: bytes
    headers: HTTPHeaders


class OneAnswerClient:
    """Gives each request the same body, then ends the reading task after some requests."""

    def __init__(self, body: bytes, requests_count: int) -> None:
        self._body = body
        self._left_count = requests_count

    async def fetch(self, *_: object, **__: object) -> Answer:
        self._left_count -= 1
        if self._left_count < 0:
            raise asyncio.CancelledError
        return Answer(self._body, HTTPHeaders())


class Log:
    def __init__(self) -> None:
        self.warnings: list[str] = []

    def warning(self, event: str, **_: object) -> None:
        self.warnings.append(event)


@pytest.mark.parametrize("body", OTHER_SHAPES)
def test_a_vm_list_of_another_shape_is_logged_and_read_again(body):
    log, events = Log(), []
    client = OneAnswerClient(body, 2)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(poll_vm_list(client, "platform:1", 0.0, events.append, log))
    assert log.warnings == ["VM list not understood"] * 2
    assert not events


@pytest.mark.parametrize("body", OTHER_SHAPES)
def test_notices_of_another_shape_are_logged_and_move_no_position(body):
    log, events = Log(), []
    reader = NoticeReader(OneAnswerClient(body, 1), "platform:1", events.append, log)
    assert not asyncio.run(reader._read(0.0, 1.0))
    assert log.warnings == ["reclaim notices not understood"]
    assert reader._position == 0
    assert not events


@pytest.mark.parametrize("body", OTHER_SHAPES)
def test_log_answers_of_another_shape_end_nothing(body, monkeypatch):
    monkeypatch.setattr("coriandershelf_entry.internal.log_client.READ_RETRY_S", 0.0)
    log, events = Log(), []
    client = LogClient(OneAnswerClient(body, 2), "log:1", "entry-1", 1, log)
    asyncio.run(client.append(Append(5, "ledger", 1, ()), events.append))
    assert events == [AppendFailed(5, uncertain=True)]
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(client.read_forever("ledger", events.append))
    assert log.warnings == ["append answer not understood", "log read not understood"]
    assert len(events) == 1


class SlowLinkClient:
    """A log whose reads time out if they return more records than the link carries in time."""

    def __init__(self, records_count: int, carried_count: int, requests_count: int) -> None:
        self._records_count = records_count
        self._carried_count = carried_count
        self._left_count = requests_count

    async def fetch(self, url: str, **_: object) -> Answer:
        self._left_count -= 1
        if self._left_count < 0:
            raise asyncio.CancelledError
        query = parse_qs(urlsplit(url).query)
        start = int(query["from"][0])
        count = min(int(query["max"][0]), self._records_count - start)
        if count > self._carried_count:
            raise HTTPTimeoutError("Timeout during request")
        data = base64.b64encode(encode_record("entry-2", 1, 1, ())).decode()
        items = [{"data": data, "offset": start + index, "time_s": 0.0} for index in range(count)]
        body = {"records": items, "first_offset": 0, "next_offset": start + count}
        return Answer(json.dumps(body).encode(), HTTPHeaders())


# Guards against a VM that never reads the log: there are more records than its link carries in the
# time-out of a read, and each retry asks for as many.
def test_a_log_that_a_slow_link_cannot_carry_in_one_read_is_read_in_parts(monkeypatch):
    monkeypatch.setattr("coriandershelf_entry.internal.log_client.READ_RETRY_S", 0.0)
    events: list[LogRead] = []
    client = LogClient(SlowLinkClient(300, 40, 20), "log:1", "entry-1", 1, Log())
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(client.read_forever("ledger", events.append))
    offsets = [record.offset for read in events for record in read.records]
    assert offsets == list(range(300))
    ends = [read.at_end for read in events]
    assert ends.index(True) == next(
        index for index, read in enumerate(events) if read.next_offset == 300
    )


def test_every_error_of_another_shape_is_expected():
    assert {ValueError, KeyError, TypeError} <= set(platform_client.MALFORMED_ERRORS)


class Stream:
    closed = False
    # What a stream of tornado has until its connection fails.
    error: Exception | None = None

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize(("more_bytes", "is_whole"), [(0, True), (1, False)])
def test_a_plain_answer_over_the_limit_is_never_passed_on_as_whole(more_bytes, is_whole):
    events: list[object] = []
    stream = Stream()
    action = StartAttempt("a1", "r1", ServiceKind.PLAIN, "i1", "h:1", "p", b"", 1.0, 0)
    reader = _ResponseReader(action, stream, events.append, lambda request_id: None)
    reader.headers_received(ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders())
    for _ in range(4):
        reader.data_received(b"x" * (PLAIN_BODY_LIMIT_BYTES // 4))
    reader.data_received(b"x" * more_bytes)
    reader.finish()
    assert stream.closed is not is_whole
    assert reader.ended is is_whole
    if is_whole:
        assert events == [PlainAnswered("a1", 200, b"x" * PLAIN_BODY_LIMIT_BYTES)]
    else:
        assert not events
        assert reader.failure is FailureCause.SERVER_ERROR
