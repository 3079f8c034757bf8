"""Callers for fault runs: they retry as real callers do and record the outcomes they receive."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from coriandershelf_rig.internal.load import chat_body, expected_tokens, token_contents

ANSWER_TIMEOUT_S = 8.0
STREAM_TIMEOUT_S = 60.0
JOB_TIMEOUT_S = 120.0
JOB_POLL_INTERVAL_S = 0.3
BOOKING_TRIES_MAX_COUNT = 8
RETRY_DELAY_S = 0.4


@dataclass(slots=True)
class Booking:
    """One booking as its caller sees it.

    :param last_outcome: last outcome, empty if the last try got no answer.
    :param first_outcome: outcome of the first try.
    :param tries: how often it was sent, always under the same idempotency key.
    """

    path: str
    body: str
    last_outcome: str = ""
    first_outcome: str = ""
    tries: int = 0


@dataclass(slots=True)
class ObservedOutcomes:
    """The outcomes that all callers received.

    :param mismatches: a description of each answer that differs from the expected one.
    """

    bookings: list[Booking] = field(default_factory=list)
    streams: Counter[str] = field(default_factory=Counter)
    jobs: Counter[str] = field(default_factory=Counter)
    mismatches: list[str] = field(default_factory=list)


class FaultCallers:
    """Sends streams, jobs and bookings to randomly chosen entry VMs.

    :param description: the cluster's description, as returned by ``Cluster.description``.
    """

    def __init__(self, description: dict[str, Any], seed: int) -> None:
        self._entries = list(description["entries"].values())
        self._keys = list(description["keys"].values())
        self._model = description["model"]
        self._plain_service = description["plain"]
        self._path = "visits" if self._plain_service == "dispatch" else "orders"
        self._rng = random.Random(seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=2000)
        self.observed = ObservedOutcomes()

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def stream(self) -> None:
        """Send a chat; check that the answer is complete, or a prefix if the stream was cut."""
        body = chat_body(self._model, self._rng, self._rng.randint(40, 250), True)
        received = bytearray()
        request = self._request(
            "/v1/chat/completions",
            json.dumps(body),
            self._rng.choice(self._keys),
            STREAM_TIMEOUT_S,
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
        """Send one booking and retry it under the same key while its outcome is uncertain."""
        body = f"booking-{self._rng.getrandbits(64):x}"
        booking = Booking(f"{self._path}/new", body)
        self.observed.bookings.append(booking)
        key = self._rng.choice(self._keys)
        while booking.tries < BOOKING_TRIES_MAX_COUNT:
            booking.tries += 1
            booking.last_outcome = await self._book_once(booking, key)
            if booking.tries == 1:
                booking.first_outcome = booking.last_outcome
            if booking.last_outcome in ("done", "not-run"):
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def job(self) -> None:
        """Post a job and, once it is accepted, read it at random entry VMs until it ends."""
        body = chat_body(self._model, self._rng, self._rng.randint(150, 450), True)
        key = self._rng.choice(self._keys)
        try:
            request = self._request("/v1/jobs", json.dumps(body), key, ANSWER_TIMEOUT_S)
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError):
            self.observed.jobs["not-accepted"] += 1
            return
        await self._read_job(json.loads(response.body)["id"], key, expected_tokens(body))

    async def _read_job(self, job_id: str, key: str, expected: list[str]) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + JOB_TIMEOUT_S
        tokens: list[str] = []
        position = 0
        status = "running"
        while status == "running" and loop.time() < deadline_s:
            await asyncio.sleep(JOB_POLL_INTERVAL_S)
            document = await self._read_job_once(job_id, key, position)
            if document is not None:
                position += len(document["output"])
                tokens += token_contents(document["output"])
                status = document["status"]
        if tokens == expected and status == "done":
            self.observed.jobs["whole"] += 1
            return
        self.observed.jobs["broken"] += 1
        is_prefix = tokens == expected[: len(tokens)]
        self.observed.mismatches.append(
            f"job {job_id}: {status}, {len(tokens)} of {len(expected)} tokens, prefix: {is_prefix}"
        )

    async def _read_job_once(self, job_id: str, key: str, position: int) -> dict[str, Any] | None:
        url = f"http://{self._rng.choice(self._entries)}/v1/jobs/{job_id}?from={position}"
        try:
            answer = await self._client.fetch(
                url, headers={"Authorization": f"Bearer {key}"}, request_timeout=ANSWER_TIMEOUT_S
            )
        except (HTTPClientError, OSError):
            return None
        document: dict[str, Any] = json.loads(answer.body)
        return document

    async def _book_once(self, booking: Booking, key: str) -> str:
        path = f"/v1/services/{self._plain_service}/{booking.path}"
        headers = {"Idempotency-Key": booking.body}
        request = self._request(path, booking.body, key, ANSWER_TIMEOUT_S, headers=headers)
        try:
            return _outcome_of(await self._client.fetch(request))
        except HTTPClientError as error:
            return _outcome_of(error.response)
        except OSError:
            return ""

    def _request(
        self, path: str, body: str, key: str, timeout_s: float, **options: Any
    ) -> HTTPRequest:
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        headers |= options.pop("headers", {})
        address = self._rng.choice(self._entries)
        return HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            body=body,
            headers=headers,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
            **options,
        )

    def _judge_stream(self, received: bytes, expected: list[str], status: str) -> None:
        events = received.split(b"\n\n")
        ended = b"data: [DONE]" in events
        # An "error" event ends a stream that is cut with a reason; the last part isn't an event.
        complete_events = [event for event in events[:-1] if event.startswith(b"data: {")]
        tokens = token_contents([json.loads(event[6:]) for event in complete_events])
        if status == "answered" and ended and tokens == expected:
            self.observed.streams["whole"] += 1
        elif tokens != expected[: len(tokens)] or ended:
            self.observed.streams["wrong"] += 1
            self.observed.mismatches.append(
                f"stream: {len(tokens)} of {len(expected)} tokens, {ended=}"
            )
        else:
            self.observed.streams["cut" if tokens else status] += 1


def _outcome_of(response: HTTPResponse | None) -> str:
    return response.headers.get("X-Outcome", "") if response is not None else ""
