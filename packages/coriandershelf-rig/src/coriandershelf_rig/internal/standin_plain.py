"""A plain service's stand-in that counts every execution by request id and body."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter

from tornado.web import Application, RequestHandler


class CallHandler(RequestHandler):
    """Runs a call: counts it, waits, answers."""

    def initialize(
        self, by_request: Counter[str], by_body: Counter[str], running: Counter[str]
    ) -> None:
        """Take the counts."""
        self._by_request = by_request
        self._by_body = by_body
        self._running = running

    async def post(self, path: str) -> None:
        """Run one call."""
        self._by_request[self.request.headers.get("X-Request-Id", "")] += 1
        identity = hashlib.sha256(path.encode() + self.request.body).hexdigest()
        self._by_body[identity] += 1
        self._running["now"] += 1
        await asyncio.sleep(0.02)
        self._running["now"] -= 1
        self.write({"ok": True, "run": identity[:12]})


class RecordHandler(RequestHandler):
    """``GET /record``: the executions counted so far."""

    def initialize(self, by_request: Counter[str], by_body: Counter[str]) -> None:
        """Take the counts."""
        self._by_request = by_request
        self._by_body = by_body

    def get(self) -> None:
        """Answer with JSON."""
        self.write({"by_request": self._by_request, "by_body": self._by_body})


class LoadHandler(RequestHandler):
    """``GET /load``: the calls that run now."""

    def initialize(self, running: Counter[str]) -> None:
        """Take the count."""
        self._running = running

    def get(self) -> None:
        """Answer with JSON."""
        self.write({"running": self._running["now"], "waiting": 0})


async def serve_plain(port: int) -> None:
    """Serve until cancelled."""
    counts: dict[str, Counter[str]] = {"by_request": Counter(), "by_body": Counter()}
    running: Counter[str] = Counter()
    application = Application(
        [
            (r"/record", RecordHandler, counts),
            (r"/load", LoadHandler, {"running": running}),
            (r"/(.+)", CallHandler, {**counts, "running": running}),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.Event().wait()
