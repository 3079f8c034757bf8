"""Callers under faults: they repeat as callers do, and keep what they were told for the judge."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from coriandershelf_rig.internal.load import chat_body, contents, expected_tokens

ANSWER_LIMIT_S = 8.0
STREAM_LIMIT_S = 60.0
JOB_LIMIT_S = 120.0
JOB_POLL_S = 0.3
BOOKING_TRIES = 8
REPEAT_PAUSE_S = 0.4


@dataclass(slots=True)
class Booking:
    """One booking as its caller knows it.

    :param told: last outcome, or empty where no answer came.
    :param first_told: outcome of the first try.
    :param tries: how often it was sent, each time under the same key.
    """

    path: str
    body: str
    told: str = ""
    first_told: str = ""
    tries: int = 0


@dataclass(slots=True)
class Told:
    """What all callers were told."""

    bookings: list[Booking] = field(default_factory=list)
    streams: Counter[str] = field(default_factory=Counter)
    jobs: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)


class FaultCallers:
    """Sends streams, jobs and bookings to any entry VM.

    :param description: of the cluster, as ``Cluster.description`` gives it.
    """

    def __init__(self, description: dict[str, Any], seed: int) -> None:
        self._entries = list(description["entries"].values())
        self._keys = list(description["keys"].values())
        self._model = description["model"]
        self._plain = description["plain"]
        self._path = "visits" if self._plain == "dispatch" else "orders"
        self._rng = random.Random(seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=2000)
        self.told = Told()

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def stream(self) -> None:
        """Send a chat; what came must be a beginning of the right answer, and whole if ended."""
        body = chat_body(self._model, self._rng, self._rng.randint(40, 250), True)
        received = bytearray()
        request = self._request(
            "/v1/chat/completions",
            json.dumps(body),
            self._rng.choice(self._keys),
            STREAM_LIMIT_S,
            streaming_callback=received.extend,
        )
        status = "answered"
        try:
            await self._client.fetch(request)
        except HTTPClientError as error:
            status = _outcome_of(error.response) or "no-answer"
        except OSError:
            status = "no-answer"
        self._judge_stream(bytes(received), expected_tokens(body), status)

    async def book(self) -> None:
        """Book once, repeating under the same key where the outcome is not certain."""
        body = f"booking-{self._rng.getrandbits(64):x}"
        booking = Booking(f"{self._path}/new", body)
        self.told.bookings.append(booking)
        key = self._rng.choice(self._keys)
        while booking.tries < BOOKING_TRIES:
            booking.tries += 1
            booking.told = await self._book_once(booking, key)
            if booking.tries == 1:
                booking.first_told = booking.told
            if booking.told in ("done", "not-run"):
                return
            await asyncio.sleep(REPEAT_PAUSE_S)

    async def job(self) -> None:
        """Post a job and, once it is accepted, read it at any entry VM until its end."""
        body = chat_body(self._model, self._rng, self._rng.randint(150, 450), True)
        key = self._rng.choice(self._keys)
        try:
            request = self._request("/v1/jobs", json.dumps(body), key, ANSWER_LIMIT_S)
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError):
            self.told.jobs["not-accepted"] += 1
            return
        await self._read_job(json.loads(response.body)["id"], key, expected_tokens(body))

    async def _read_job(self, job_id: str, key: str, expected: list[str]) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + JOB_LIMIT_S
        tokens: list[str] = []
        position = 0
        status = "running"
        while status == "running" and loop.time() < until_s:
            await asyncio.sleep(JOB_POLL_S)
            document = await self._read_job_once(job_id, key, position)
            if document is not None:
                position += len(document["output"])
                tokens += contents(document["output"])
                status = document["status"]
        if tokens == expected and status == "done":
            self.told.jobs["whole"] += 1
            return
        self.told.jobs["broken"] += 1
        same = tokens == expected[: len(tokens)]
        self.told.wrong.append(
            f"job {job_id}: {status}, {len(tokens)} of {len(expected)} tokens, a beginning: {same}"
        )

    async def _read_job_once(self, job_id: str, key: str, position: int) -> dict[str, Any] | None:
        url = f"http://{self._rng.choice(self._entries)}/v1/jobs/{job_id}?from={position}"
        try:
            answer = await self._client.fetch(
                url, headers={"Authorization": f"Bearer {key}"}, request_timeout=ANSWER_LIMIT_S
            )
        except (HTTPClientError, OSError):
            return None
        document: dict[str, Any] = json.loads(answer.body)
        return document

    async def _book_once(self, booking: Booking, key: str) -> str:
        path = f"/v1/services/{self._plain}/{booking.path}"
        headers = {"Idempotency-Key": booking.body}
        request = self._request(path, booking.body, key, ANSWER_LIMIT_S, headers=headers)
        try:
            return _outcome_of(await self._client.fetch(request))
        except HTTPClientError as error:
            return _outcome_of(error.response)
        except OSError:
            return ""

    def _request(self, path: str, body: str, key: str, limit_s: float, **more: Any) -> HTTPRequest:
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        headers |= more.pop("headers", {})
        address = self._rng.choice(self._entries)
        return HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            body=body,
            headers=headers,
            request_timeout=limit_s,
            connect_timeout=limit_s,
            **more,
        )

    def _judge_stream(self, received: bytes, expected: list[str], status: str) -> None:
        events = received.split(b"\n\n")
        ended = b"data: [DONE]" in events
        # An "error" event ends a stream that is cut with a reason; a piece at the end is no event.
        whole = [event for event in events[:-1] if event.startswith(b"data: {")]
        tokens = contents([json.loads(event[6:]) for event in whole])
        if status == "answered" and ended and tokens == expected:
            self.told.streams["whole"] += 1
        elif tokens != expected[: len(tokens)] or ended:
            self.told.streams["wrong"] += 1
            self.told.wrong.append(f"stream: {len(tokens)} of {len(expected)} tokens, {ended=}")
        else:
            self.told.streams["cut" if tokens else status] += 1


def _outcome_of(response: HTTPResponse | None) -> str:
    return response.headers.get("X-Outcome", "") if response is not None else ""
