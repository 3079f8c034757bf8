"""Stand-in of the platform's API: it accepts usage reports and remembers them."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass

from http1 import Connection, Request, Server


@dataclass
class Report:
    """A usage report that was accepted."""

    at_s: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


class Cloud:
    """The API; it does not check the fence."""

    def __init__(self) -> None:
        self.reports: list[Report] = []
        self.server = Server(self._handle)

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.path == "/usage":
            body = json.loads(request.body)
            holder = request.headers.get("x-duty-holder", "")
            token = int(request.headers.get("x-fencing-token", "0"))
            report = Report(time.monotonic(), holder, token, body["window"], body["counts"])
            self.reports.append(report)
        await connection.send(200, {"Content-Type": "application/json"}, b"{}")
