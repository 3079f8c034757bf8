"""Load generator for entry VMs: a given mix at a given rate, each answer checked token by token."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tqdm import tqdm

from coriandershelf_rig.internal.engine_model import hash_prompt, token_text
from coriandershelf_rig.internal.standin_engine import answer_length, prompt_text

HISTOGRAM_MAX_US = 600_000_000
JOB_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class Mix:
    """Relative shares of request kinds in a load; they need not add up to 1."""

    short: float = 0.8
    long: float = 0.1
    whole: float = 0.05
    plain: float = 0.1
    job: float = 0.02


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HISTOGRAM_MAX_US, 3)


@dataclass(slots=True)
class LoadResult:
    """Results of a load; latencies in microseconds.

    :param complete_count: number of complete and correct answers.
    :param wrong_count: number of incorrect or truncated answers.
    :param refused: number of requests that were refused or failed, by reason.
    :param bookings: bodies of all plain calls sent.
    """

    sent: int = 0
    complete_count: int = 0
    wrong_count: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    first_token_us: HdrHistogram = field(default_factory=_histogram)
    gap_us: HdrHistogram = field(default_factory=_histogram)
    total_us: HdrHistogram = field(default_factory=_histogram)
    by_kind: dict[str, int] = field(default_factory=dict)
    bookings: list[str] = field(default_factory=list)

    def count_refusal(self, reason: str) -> None:
        """Count a request that was refused or failed."""
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def to_document(self) -> dict[str, Any]:
        """Return the results as JSON data, with percentiles in milliseconds."""

        def percentiles(histogram: HdrHistogram) -> dict[str, float]:
            shares = (50, 95, 99, 99.9)
            values = (histogram.get_value_at_percentile(share) / 1000 for share in shares)
            return dict(zip(("p50", "p95", "p99", "p99_9"), values, strict=True))

        return {
            "sent": self.sent,
            "whole": self.complete_count,
            "wrong": self.wrong_count,
            "refused": self.refused,
            "by_kind": self.by_kind,
            "first_token_ms": percentiles(self.first_token_us),
            "token_gap_ms": percentiles(self.gap_us),
            "total_ms": percentiles(self.total_us),
        }


def chat_body(model: str, rng: random.Random, length: int, stream: bool) -> dict[str, Any]:
    """Return a chat request body that the stand-in answers with ``length`` tokens."""
    question = f"question {rng.getrandbits(48):x} " + "word " * rng.randint(20, 200)
    return {
        "model": model,
        "messages": [{"role": "user", "content": question}],
        "max_tokens": length,
        "stream": stream,
    }


def expected_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens that an engine generates for a chat request body."""
    key = hash_prompt(prompt_text(body))
    return [token_text(key, position) for position in range(answer_length(body))]


class LoadClient:
    """Sends requests to entry VMs and checks the answers."""

    def __init__(self, description: dict[str, Any], seed: int) -> None:
        self._description = description
        self._entries = list(description["entries"].values())
        self._keys = list(description["keys"].values())
        self._rng = random.Random(seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=5000)
        self.result = LoadResult()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def send(self, kind: str) -> None:
        """Send one request of a kind to a random entry VM."""
        address = self._rng.choice(self._entries)
        key = self._rng.choice(self._keys)
        result = self.result
        result.sent += 1
        result.by_kind[kind] = result.by_kind.get(kind, 0) + 1
        try:
            await self._send_kind(kind, address, key)
        except HTTPClientError as error:
            headers = error.response.headers if error.response is not None else {}
            result.count_refusal(headers.get("X-Outcome-Reason", f"http-{error.code}"))
        except OSError as error:
            result.count_refusal(type(error).__name__)

    async def _send_kind(self, kind: str, address: str, key: str) -> None:
        model = self._description["model"]
        if kind == "plain":
            await self._send_plain(address, key)
        elif kind == "job":
            await self._send_job(address, key, chat_body(model, self._rng, 300, True))
        elif kind == "whole":
            await self._send_unstreamed(address, key, chat_body(model, self._rng, 60, False))
        else:
            length = 600 if kind == "long" else self._rng.randint(20, 120)
            await self._send_stream(address, key, chat_body(model, self._rng, length, True))

    def _request(self, address: str, key: str, path: str, body: Any, **options: Any) -> HTTPRequest:
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        headers |= options.pop("headers", {})
        return HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            headers=headers,
            body=body if isinstance(body, bytes) else json.dumps(body),
            request_timeout=300.0,
            **options,
        )

    async def _send_stream(self, address: str, key: str, body: dict[str, Any]) -> None:
        started_s = time.monotonic()
        last_s = 0.0
        received = bytearray()
        result = self.result

        def on_chunk(chunk: bytes) -> None:
            nonlocal last_s
            now_s = time.monotonic()
            count = chunk.count(b"data: ")
            if not received:
                result.first_token_us.record_value(int((now_s - started_s) * 1e6))
            elif count:
                result.gap_us.record_value(max(1, int((now_s - last_s) / count * 1e6)))
            last_s = now_s
            received.extend(chunk)

        path = "/v1/chat/completions"
        request = self._request(address, key, path, body, streaming_callback=on_chunk)
        await self._client.fetch(request)
        result.total_us.record_value(int((time.monotonic() - started_s) * 1e6))
        self._check_answer(streamed_tokens(bytes(received)), expected_tokens(body))

    async def _send_unstreamed(self, address: str, key: str, body: dict[str, Any]) -> None:
        request = self._request(address, key, "/v1/chat/completions", body)
        response = await self._client.fetch(request)
        text = json.loads(response.body)["choices"][0]["message"]["content"]
        self._check_answer([text], ["".join(expected_tokens(body))])

    async def _send_plain(self, address: str, key: str) -> None:
        booking = f"booking-{self._rng.getrandbits(64):x}"
        self.result.bookings.append(booking)
        plain = self._description["plain"]
        path = "visits" if plain == "dispatch" else "orders"
        request = self._request(
            address,
            key,
            f"/v1/services/{plain}/{path}/new",
            booking.encode(),
            headers={"Idempotency-Key": booking},
        )
        response = await self._client.fetch(request)
        self._check_answer([response.headers.get("X-Outcome", "")], ["done"])

    async def _send_job(self, address: str, key: str, body: dict[str, Any]) -> None:
        response = await self._client.fetch(self._request(address, key, "/v1/jobs", body))
        job_id = json.loads(response.body)["id"]
        tokens: list[str] = []
        position = 0
        while True:
            await asyncio.sleep(JOB_POLL_S)
            url = f"http://{self._rng.choice(self._entries)}/v1/jobs/{job_id}?from={position}"
            try:
                answer = await self._client.fetch(url, headers={"Authorization": f"Bearer {key}"})
            except HTTPClientError as error:
                if error.code in (503, 404):
                    continue
                raise
            document = json.loads(answer.body)
            position += len(document["output"])
            tokens += token_contents(document["output"])
            if document["status"] != "running":
                break
        self._check_answer(tokens, expected_tokens(body))

    def _check_answer(self, actual: list[str], expected: list[str]) -> None:
        if actual == expected:
            self.result.complete_count += 1
        else:
            self.result.wrong_count += 1


def token_contents(chunks: list[dict[str, Any]]) -> list[str]:
    """Return the tokens in a stream's chunks."""
    deltas = [chunk["choices"][0]["delta"] for chunk in chunks]
    return [delta["content"] for delta in deltas if "content" in delta]


def streamed_tokens(received: bytes) -> list[str]:
    """Return a stream's tokens, or ``["cut"]`` if its end marker is missing."""
    events = received.split(b"\n\n")
    if b"data: [DONE]" not in events:
        return ["cut"]
    chunks = [
        json.loads(event[6:])
        for event in events
        if event.startswith(b"data: ") and event != b"data: [DONE]"
    ]
    return token_contents(chunks)


async def run_load(
    description: dict[str, Any],
    rate_per_s: float,
    duration_s: float,
    seed: int,
    mix: Mix,
    progress: bool,
) -> LoadResult:
    """Send a mix at a fixed rate and wait for all answers."""
    client = LoadClient(description, seed)
    rng = random.Random(seed + 1)
    kinds = ("short", "long", "whole", "plain", "job")
    weights = [getattr(mix, kind) for kind in kinds]
    request_count = int(rate_per_s * duration_s)
    started_s = time.monotonic()
    tasks = []
    with tqdm(total=request_count, unit="request", disable=None if progress else True) as bar:
        for index in range(request_count):
            delay_s = started_s + index / rate_per_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            kind = rng.choices(kinds, weights)[0]
            task = asyncio.create_task(client.send(kind))
            task.add_done_callback(lambda _: bar.update())
            tasks.append(task)
        await asyncio.gather(*tasks)
    client.close()
    return client.result
