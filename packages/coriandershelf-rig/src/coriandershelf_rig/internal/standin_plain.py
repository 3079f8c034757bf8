"""HTTP stand-in of a plain service that counts executions by request id and by body."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter

from tornado.web import Application, RequestHandler


class CallHandler(RequestHandler):
    """``POST``: counts the execution of a call and answers after 20 ms."""

    def initialize(
        self, by_request: Counter[str], by_body: Counter[str], running: Counter[str]
    ) -> None:
        """Store the counters."""
        self._by_request = by_request
        self._by_body = by_body
        self._running = running

    async def post(self, path: str) -> None:
        """Execute one call."""
        self._by_request[self.request.headers.get("X-Request-Id", "")] += 1
        identity = hashlib.sha256(path.encode() + self.request.body).hexdigest()
        self._by_body[identity] += 1
        self._running["now"] += 1
        await asyncio.sleep(0.02)
        self._running["now"] -= 1
        self.write({"ok": True, "run": identity[:12]})


class RecordHandler(RequestHandler):
    """``GET /record``: executions counted so far, by request id and by body."""

    def initialize(self, by_request: Counter[str], by_body: Counter[str]) -> None:
        """Store the counters."""
        self._by_request = by_request
        self._by_body = by_body

    def get(self) -> None:
        """Return the counts as JSON."""
        self.write({"by_request": self._by_request, "by_body": self._by_body})


class LoadHandler(RequestHandler):
    """``GET /load``: number of calls running."""

    def initialize(self, running: Counter[str]) -> None:
        """Store the counter of running calls."""
        self._running = running

    def get(self) -> None:
        """Return the load as JSON."""
        self.write({"running": self._running["now"], "waiting": 0})


async def serve_plain(port: int) -> None:
    """Serve the plain service on loopback until cancelled."""
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
