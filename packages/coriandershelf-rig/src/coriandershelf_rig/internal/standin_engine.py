"""A model engine's stand-in over HTTP, driven by :class:`EngineModel` in real time."""

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
    content_key_of,
    token_text,
)

CRASH_EXIT_CODE = 9
CACHE_EVENT_GAP = 7
CACHE_EVENTS_HELD_BACK = 5
LOAD_LAG_S = 1.0
LOAD_SAMPLE_S = 0.1
LOAD_SAMPLES_COUNT = 20


def prompt_text(body: dict[str, Any]) -> str:
    """Return the text that decides the answer to a chat body."""
    return "\0".join(f"{item['role']}\0{item['content']}" for item in body["messages"])


def answer_length(body: dict[str, Any]) -> int:
    """Return how many tokens the stand-in generates for a chat body."""
    limit = body.get("max_completion_tokens") or body.get("max_tokens") or 256
    return min(int(limit), int(body.get("x_output_tokens", limit)))


def payload_of(token: EngineToken) -> bytes:
    """Return the payload of a token as callers' libraries read it."""
    delta = {} if token.finished else {"content": token_text(token.content_key, token.position)}
    finish = "stop" if token.finished else None
    chunk = {
        "id": f"chatcmpl-{token.request_id}",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    return json.dumps(chunk, separators=(",", ":")).encode()


def late_cache_events(model: EngineModel, start: int) -> list[CacheEvent]:
    """Return cache events from a number on, without the newest ones and with gaps.

    One in ``CACHE_EVENT_GAP`` is never told, as the platform's engines do.
    """
    told = [event for event in model.cache_events if event.number % CACHE_EVENT_GAP]
    late = told[: max(0, len(told) - CACHE_EVENTS_HELD_BACK)]
    return [event for event in late if event.number >= start]


class EngineServer:
    """Owns the model, the task that steps it, and a queue for each open stream."""

    def __init__(self, shape: EngineShape) -> None:
        self.model = EngineModel(shape)
        self.fencing_number = 0
        self.orders: list[dict[str, Any]] = []
        self._queues: dict[str, asyncio.Queue[EngineToken]] = {}
        self._work = asyncio.Event()
        self._loads: deque[tuple[float, int, int]] = deque(maxlen=LOAD_SAMPLES_COUNT)

    async def sample_load_forever(self) -> None:
        """Keep the load of the last moments, since reports tell an old one."""
        while True:
            sample = (time.monotonic(), self.model.running_count, self.model.waiting_count)
            self._loads.append(sample)
            await asyncio.sleep(LOAD_SAMPLE_S)

    def late_load(self, now_s: float) -> dict[str, float]:
        """Return the newest load that is old enough to be reported, with its age."""
        for at_s, running, waiting in reversed(self._loads):
            if now_s - at_s >= LOAD_LAG_S:
                return {"running": running, "waiting": waiting, "age_s": now_s - at_s}
        return {"running": 0, "waiting": 0, "age_s": LOAD_LAG_S}

    def open(self, sequence: Sequence) -> asyncio.Queue[EngineToken] | None:
        """Submit a sequence; ``None`` where the engine is overloaded."""
        if not self.model.submit(sequence, time.monotonic()):
            return None
        if self.model.crashed:
            os._exit(CRASH_EXIT_CODE)
        queue: asyncio.Queue[EngineToken] = asyncio.Queue()
        self._queues[sequence.attempt_id] = queue
        self._work.set()
        return queue

    def close(self, attempt_id: str) -> None:
        """Forget a stream; cancels the sequence if it still runs."""
        if self._queues.pop(attempt_id, None) is not None:
            self.model.cancel(attempt_id)

    async def step_forever(self) -> None:
        """Make tokens as time passes."""
        while True:
            due_s = self.model.next_step_s
            if due_s is None:
                self._work.clear()
                await self._work.wait()
                continue
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            for token in self.model.advance(time.monotonic()):
                queue = self._queues.get(token.attempt_id)
                if queue is not None:
                    queue.put_nowait(token)
            if self.model.crashed:
                os._exit(CRASH_EXIT_CODE)


class CompletionsHandler(RequestHandler):
    """Streams tokens; each event's id is ``attempt:position``."""

    def initialize(self, server: EngineServer) -> None:
        """Take the engine."""
        self._server = server
        self._attempt_id = ""

    async def post(self) -> None:
        """Generate."""
        body = json.loads(self.request.body)
        headers = self.request.headers
        self._attempt_id = headers.get("X-Attempt-Id", os.urandom(8).hex())
        text = prompt_text(body)
        sequence = Sequence(
            attempt_id=self._attempt_id,
            request_id=headers.get("X-Request-Id", self._attempt_id),
            content_key=content_key_of(text),
            prompt_tokens=estimate_tokens(text),
            prefix_hashes=prefix_hashes(text),
            length=answer_length(body),
            position=int(headers.get("X-Resume-From", "0")),
            priority=int(headers.get("X-Priority", "0")),
            crashes=bool(body.get("x_crash")),
        )
        await self._import_kv(sequence.request_id, headers.get("X-Kv-Source"))
        queue = self._server.open(sequence)
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
            self._server.close(self._attempt_id)

    async def _stream(self, queue: asyncio.Queue[EngineToken]) -> None:
        finished = False
        while not finished:
            tokens = [await queue.get()]
            while not queue.empty():
                tokens.append(queue.get_nowait())
            parts = [
                b"id: %s:%d\ndata: %s\n\n"
                % (self._attempt_id.encode(), token.position, payload_of(token))
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
        """Cancel the sequence of a client that went away."""
        self._server.close(self._attempt_id)


class EngineAdminHandler(RequestHandler):
    """``/load``, ``/cache-events``, ``/record``, ``/kv/{request}``, ``/slow`` and ``/orders``."""

    def initialize(self, server: EngineServer, checks_fencing: bool) -> None:
        """Take the engine."""
        self._server = server
        self._checks_fencing = checks_fencing

    def get(self, what: str, argument: str | None = None) -> None:
        """Answer with JSON."""
        model = self._server.model
        if what == "load":
            self.write(self._server.late_load(time.monotonic()))
        elif what == "cache-events":
            start = int(self.get_query_argument("from", "1"))
            events = late_cache_events(self._server.model, start)
            self.write({"events": [asdict(event) for event in events]})
        elif what == "record":
            state = {"orders": self._server.orders, "running": model.running_count}
            self.write({**asdict(model.record), **state})
        elif what == "kv":
            self.write({"tokens": model.export_kv(argument or "")})

    def post(self, what: str, argument: str | None = None) -> None:
        """Slow the engine down, or take an order."""
        body = json.loads(self.request.body)
        if what == "slow":
            self._server.model.slow_factor = float(body["factor"])
            return
        number = int(body["fencing_number"])
        if self._checks_fencing and number < self._server.fencing_number:
            self.set_status(409)
            return
        self._server.fencing_number = max(number, self._server.fencing_number)
        self._server.orders.append(body)


async def serve_engine(port: int, shape: EngineShape, checks_fencing: bool) -> None:
    """Serve until cancelled."""
    server = EngineServer(shape)
    shared = {"server": server, "checks_fencing": checks_fencing}
    application = Application(
        [
            (r"/v1/chat/completions", CompletionsHandler, {"server": server}),
            (r"/(load|cache-events|record|slow|orders)", EngineAdminHandler, shared),
            (r"/(kv)/(.+)", EngineAdminHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.gather(server.step_forever(), server.sample_load_forever())
