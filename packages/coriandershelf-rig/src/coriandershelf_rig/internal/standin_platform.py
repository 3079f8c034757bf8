"""The platform's stand-in: log service, lagging VM list, reclaim notices, cloud API, weights.

Faults are set by ``POST /faults``; state by the tests is never shared with the system under test.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from dataclasses import asdict
from typing import Any

from tornado.web import Application, RequestHandler

from coriandershelf_core.internal.vocabulary.events import CloudAnswer
from coriandershelf_rig.internal.cloud_model import CloudModel
from coriandershelf_rig.internal.log_model import AppendFate, LogModel

READ_POLL_S = 0.005
WAIT_MAX_S = 30.0


class Platform:
    """What the platform's services hold."""

    def __init__(self, seed: int, lag_s: float) -> None:
        self.log = LogModel(random.Random(seed))
        self.lag_s = lag_s
        self.notices: list[dict[str, Any]] = []
        self.cloud = CloudModel(random.Random(seed + 1), start_s=0.0)
        self.offers: list[dict[str, Any]] = []
        self.weight_requests_per_s = 2.0
        self._weight_free_at_s = 0.0
        self._vms: dict[str, dict[str, Any]] = {}
        self._shown: dict[str, dict[str, Any]] = {}

    def put_vm(self, vm: dict[str, Any]) -> None:
        """Change a VM; the list shows it after the lag."""
        merged = {**self._vms.get(vm["id"], {}), **vm}
        self._vms[vm["id"]] = merged
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, lambda: self._shown.update({merged["id"]: merged}))

    def shown_vms(self) -> list[dict[str, Any]]:
        """Return the list as the lag lets it be seen."""
        return list(self._shown.values())

    def take_weights(self, now_s: float) -> float:
        """Return how long a download waits for the rate limit."""
        start_s = max(now_s, self._weight_free_at_s)
        self._weight_free_at_s = start_s + 1 / self.weight_requests_per_s
        return start_s - now_s


class PlatformHandler(RequestHandler):
    """Base of the handlers."""

    def initialize(self, platform: Platform) -> None:
        """Take the platform."""
        self.platform = platform

    def number(self, name: str, default: float) -> float:
        """Return a number of the query."""
        return float(self.get_query_argument(name, str(default)))


class StreamHandler(PlatformHandler):
    """``POST`` appends a record to a stream, ``GET`` reads it with a long poll."""

    async def post(self, stream: str) -> None:
        """Append the body as one record."""
        data = base64.b64encode(self.request.body).decode()
        fate, offset = self.platform.log.append(stream, data, time.time())
        if fate is AppendFate.TAKEN:
            self.write({"offset": offset})
        elif fate is AppendFate.REFUSED:
            self.set_status(429)
        else:
            # An answer that is lost: the connection closes without one.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True

    async def get(self, stream: str) -> None:
        """Read records from an offset on."""
        start = int(self.number("from", 0))
        until_s = time.monotonic() + min(self.number("wait_s", 0), WAIT_MAX_S)
        while True:
            answer = self.platform.log.read(
                stream, start, int(self.number("max", 500)), time.time()
            )
            if answer is None:
                self.set_status(503)
                return
            records, first, upcoming = answer
            closed = self.request.connection.stream.closed()  # type: ignore[union-attr]
            if records or closed or time.monotonic() >= until_s:
                break
            await asyncio.sleep(READ_POLL_S)
        rows = [
            {"offset": item.offset, "time_s": item.time_s, "data": item.data} for item in records
        ]
        self.write({"first_offset": first, "next_offset": upcoming, "records": rows})


class VmsHandler(PlatformHandler):
    """``GET /vms``: the lagging list; ``POST /vms``: a change, for tests."""

    def get(self) -> None:
        """Answer with the list."""
        self.write({"vms": self.platform.shown_vms()})

    def post(self) -> None:
        """Change a VM."""
        self.platform.put_vm(json.loads(self.request.body))


class NoticesHandler(PlatformHandler):
    """``GET /notices``: reclaim notices from a position on; ``POST``: a notice, for tests."""

    async def get(self) -> None:
        """Answer with notices, waiting for the first."""
        start = int(self.number("from", 0))
        until_s = time.monotonic() + min(self.number("wait_s", 0), WAIT_MAX_S)
        while len(self.platform.notices) <= start and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        notices = self.platform.notices[start:]
        self.write({"notices": notices, "next": start + len(notices)})

    def post(self) -> None:
        """Announce a reclaim."""
        notice = json.loads(self.request.body)
        self.platform.notices.append(notice)
        self.platform.put_vm({"id": notice["vm_id"], "state": "leaving"})


class CloudHandler(PlatformHandler):
    """``POST /cloud/start`` and ``/cloud/stop``, idempotent by token; ``GET`` lists."""

    def get(self, what: str) -> None:
        """Answer with the offers, or with every VM started."""
        if what == "offers":
            self.write({"offers": self.platform.offers})
            return
        self.write({"vms": [asdict(vm) for vm in self.platform.cloud.vms.values()]})

    def post(self, what: str) -> None:
        """Start or stop a VM."""
        order = json.loads(self.request.body)
        cloud = self.platform.cloud
        if what == "stop":
            answer = cloud.stop(order["token"], time.time())
        elif what == "start":
            answer = cloud.start(**order, now_s=time.time())
        else:
            self.platform.offers = order["offers"]
            return
        if answer is CloudAnswer.REFUSED:
            self.set_status(503)
            self.write({"error": "no capacity"})
        elif answer is CloudAnswer.LOST:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
        else:
            self.write({"taken": True})


class WeightsHandler(PlatformHandler):
    """``GET /weights/{name}``: waits for the store's rate limit."""

    async def get(self, name: str) -> None:
        """Answer when the limit allows."""
        await asyncio.sleep(self.platform.take_weights(time.monotonic()))
        self.write({"name": name})


class FaultsHandler(PlatformHandler):
    """``POST /faults``: log outage, lost answers, refused starts, rates."""

    def post(self) -> None:
        """Set faults."""
        faults = json.loads(self.request.body)
        platform = self.platform
        platform.log.down = faults.get("log_down", platform.log.down)
        platform.log.lost_answer_share = faults.get(
            "lost_answer_share", platform.log.lost_answer_share
        )
        platform.cloud.lost_answer_share = faults.get(
            "lost_start_share", platform.cloud.lost_answer_share
        )
        refuse = faults.get("refuse_starts")
        if refuse is not None:
            platform.cloud.refuses = lambda zone, purchase: refuse
        self.write({"appends_taken": platform.log.appends_taken})


async def serve_platform(port: int, seed: int, lag_s: float) -> None:
    """Serve until cancelled."""
    shared = {"platform": Platform(seed, lag_s)}
    application = Application(
        [
            (r"/streams/([a-z0-9.-]+)", StreamHandler, shared),
            (r"/vms", VmsHandler, shared),
            (r"/notices", NoticesHandler, shared),
            (r"/cloud/(start|stop|offers|vms)", CloudHandler, shared),
            (r"/weights/(.+)", WeightsHandler, shared),
            (r"/faults", FaultsHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.Event().wait()
