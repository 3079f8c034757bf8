"""HTTP stand-in of a model engine that runs :class:`EngineModel` in real time."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import deque
from dataclasses import asdict
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from coriandershelf_core.internal.routing.prompt import estimate_tokens, prefix_hashes
from coriandershelf_rig.internal.engine_model import (
    CacheEvent,
    EngineModel,
    EngineShape,
    EngineToken,
    Sequence,
    hash_prompt,
    token_text,
)

CRASH_EXIT_CODE = 9
CACHE_EVENT_LOSS_PERIOD = 7
CACHE_EVENTS_DELAYED_COUNT = 5
LOAD_REPORT_LAG_S = 1.0
LOAD_SAMPLE_S = 0.1
LOAD_SAMPLES_COUNT = 20


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt text that determines the answer to a chat request body."""
    return "\0".join(f"{item['role']}\0{item['content']}" for item in body["messages"])


def answer_length(body: dict[str, Any]) -> int:
    """Return how many tokens the stand-in generates for a chat request body."""
    limit = body.get("max_completion_tokens") or body.get("max_tokens") or 256
    return min(int(limit), int(body.get("x_output_tokens", limit)))


def encode_payload(token: EngineToken) -> bytes:
    """Return a token as a JSON chunk of an OpenAI-compatible chat completion stream."""
    delta = {} if token.finished else {"content": token_text(token.content_key, token.position)}
    finish = "stop" if token.finished else None
    chunk = {
        "id": f"chatcmpl-{token.request_id}",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    return json.dumps(chunk, separators=(",", ":")).encode()


def delayed_cache_events(model: EngineModel, start: int) -> list[CacheEvent]:
    """Return cache events from number ``start`` on, without the newest ones and with gaps.

    One event in ``CACHE_EVENT_LOSS_PERIOD`` is never reported, as with the platform's engines.
    """
    reported = [event for event in model.cache_events if event.number % CACHE_EVENT_LOSS_PERIOD]
    delayed = reported[: max(0, len(reported) - CACHE_EVENTS_DELAYED_COUNT)]
    return [event for event in delayed if event.number >= start]


class EngineServer:
    """Steps the engine model and queues its tokens for each open stream."""

    def __init__(self, shape: EngineShape) -> None:
        self.model = EngineModel(shape)
        self.highest_fencing_number = 0
        self.orders: list[dict[str, Any]] = []
        self._queues: dict[str, asyncio.Queue[EngineToken]] = {}
        self._work_available = asyncio.Event()
        self._load_samples: deque[tuple[float, int, int]] = deque(maxlen=LOAD_SAMPLES_COUNT)

    async def sample_load_forever(self) -> None:
        """Sample the load periodically, since ``/load`` reports an earlier sample."""
        while True:
            sample = (time.monotonic(), self.model.running_count, self.model.waiting_count)
            self._load_samples.append(sample)
            await asyncio.sleep(LOAD_SAMPLE_S)

    def delayed_load(self, now_s: float) -> dict[str, float]:
        """Return the newest load sample at least ``LOAD_REPORT_LAG_S`` old, with its age."""
        for at_s, running, waiting in reversed(self._load_samples):
            if now_s - at_s >= LOAD_REPORT_LAG_S:
                return {"running": running, "waiting": waiting, "age_s": now_s - at_s}
        return {"running": 0, "waiting": 0, "age_s": LOAD_REPORT_LAG_S}

    def open_stream(self, sequence: Sequence) -> asyncio.Queue[EngineToken] | None:
        """Submit a sequence and return its token queue, or ``None`` if the engine is overloaded."""
        if not self.model.submit(sequence, time.monotonic()):
            return None
        if self.model.crashed:
            os._exit(CRASH_EXIT_CODE)
        queue: asyncio.Queue[EngineToken] = asyncio.Queue()
        self._queues[sequence.attempt_id] = queue
        self._work_available.set()
        return queue

    def close_stream(self, attempt_id: str) -> None:
        """Close a stream and cancel its sequence if it is still running."""
        if self._queues.pop(attempt_id, None) is not None:
            self.model.cancel(attempt_id)

    async def step_forever(self) -> None:
        """Generate tokens in real time."""
        while True:
            due_s = self.model.next_step_s
            if due_s is None:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            for token in self.model.advance(time.monotonic()):
                queue = self._queues.get(token.attempt_id)
                if queue is not None:
                    queue.put_nowait(token)
            if self.model.crashed:
                os._exit(CRASH_EXIT_CODE)


class CompletionsHandler(RequestHandler):
    """Streams tokens as server-sent events; each event's id is ``attempt:position``."""

    def initialize(self, server: EngineServer) -> None:
        """Store the engine server."""
        self._server = server
        self._attempt_id = ""

    async def post(self) -> None:
        """Generate a completion and stream it."""
        body = json.loads(self.request.body)
        headers = self.request.headers
        self._attempt_id = headers.get("X-Attempt-Id", os.urandom(8).hex())
        text = prompt_text(body)
        sequence = Sequence(
            attempt_id=self._attempt_id,
            request_id=headers.get("X-Request-Id", self._attempt_id),
            content_key=hash_prompt(text),
            prompt_tokens=estimate_tokens(text),
            prefix_hashes=prefix_hashes(text),
            length=answer_length(body),
            position=int(headers.get("X-Resume-From", "0")),
            priority=int(headers.get("X-Priority", "0")),
            crashes=bool(body.get("x_crash")),
        )
        await self._import_kv(sequence.request_id, headers.get("X-Kv-Source"))
        queue = self._server.open_stream(sequence)
        if queue is None:
            self.set_status(429)
            return
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self.flush()
            await self._stream(queue)
        except StreamClosedError:
            pass
        finally:
            self._server.close_stream(self._attempt_id)

    async def _stream(self, queue: asyncio.Queue[EngineToken]) -> None:
        finished = False
        while not finished:
            tokens = [await queue.get()]
            while not queue.empty():
                tokens.append(queue.get_nowait())
            parts = [
                b"id: %s:%d\ndata: %s\n\n"
                % (self._attempt_id.encode(), token.position, encode_payload(token))
                for token in tokens
            ]
            finished = tokens[-1].finished
            if finished:
                end = tokens[-1].position + 1
                parts.append(b"id: %s:%d\ndata: [DONE]\n\n" % (self._attempt_id.encode(), end))
            self.write(b"".join(parts))
            await self.flush()

    async def _import_kv(self, request_id: str, source: str | None) -> None:
        if source is None:
            return
        try:
            answer = await AsyncHTTPClient().fetch(
                f"http://{source}/kv/{request_id}", request_timeout=2.0
            )
        except (HTTPClientError, OSError):
            return
        tokens = json.loads(answer.body)["tokens"]
        await asyncio.sleep(self._server.model.import_kv(request_id, tokens))

    def on_connection_close(self) -> None:
        """Cancel the sequence of a client that disconnected."""
        self._server.close_stream(self._attempt_id)


class EngineAdminHandler(RequestHandler):
    """``/load``, ``/cache-events``, ``/record``, ``/kv/{request}``, ``/slow`` and ``/orders``."""

    def initialize(self, server: EngineServer, checks_fencing: bool) -> None:
        """Store the engine server and whether it refuses outdated fencing numbers."""
        self._server = server
        self._checks_fencing = checks_fencing

    def get(self, resource: str, argument: str | None = None) -> None:
        """Return the load, cache events, counters or KV cache size as JSON."""
        model = self._server.model
        if resource == "load":
            self.write(self._server.delayed_load(time.monotonic()))
        elif resource == "cache-events":
            start = int(self.get_query_argument("from", "1"))
            events = delayed_cache_events(self._server.model, start)
            self.write({"events": [asdict(event) for event in events]})
        elif resource == "record":
            state = {"orders": self._server.orders, "running": model.running_count}
            self.write({**asdict(model.counters), **state})
        elif resource == "kv":
            self.write({"tokens": model.export_kv(argument or "")})

    def post(self, resource: str, argument: str | None = None) -> None:
        """Slow the engine down, or accept an order with a fencing number."""
        body = json.loads(self.request.body)
        if resource == "slow":
            self._server.model.slow_factor = float(body["factor"])
            return
        fencing_number = int(body["fencing_number"])
        if self._checks_fencing and fencing_number < self._server.highest_fencing_number:
            self.set_status(409)
            return
        self._server.highest_fencing_number = max(
            fencing_number, self._server.highest_fencing_number
        )
        self._server.orders.append(body)


async def serve_engine(port: int, shape: EngineShape, checks_fencing: bool) -> None:
    """Serve the engine on loopback until cancelled."""
    server = EngineServer(shape)
    arguments = {"server": server, "checks_fencing": checks_fencing}
    application = Application(
        [
            (r"/v1/chat/completions", CompletionsHandler, {"server": server}),
            (r"/(load|cache-events|record|slow|orders)", EngineAdminHandler, arguments),
            (r"/(kv)/(.+)", EngineAdminHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.gather(server.step_forever(), server.sample_load_forever())
