"""HTTP stand-in of the platform: log service, delayed VM list, reclaim notices, cloud API, weights.

Tests inject faults by ``POST /faults``; the stand-in shares no memory with the system under test.
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

from coriandershelf_core.internal.vocabulary.events import CloudResponse
from coriandershelf_rig.internal.cloud_model import CloudModel
from coriandershelf_rig.internal.log_model import AppendOutcome, LogModel

READ_POLL_S = 0.005
LONG_POLL_MAX_S = 30.0


class Platform:
    """State of the platform's services.

    :param seed: seed of the log and cloud models.
    :param lag_s: delay after which the VM list shows a change.
    """

    def __init__(self, seed: int, lag_s: float) -> None:
        self.log = LogModel(random.Random(seed))
        self.lag_s = lag_s
        self.notices: list[dict[str, Any]] = []
        self.cloud = CloudModel(random.Random(seed + 1), startup_s=0.0)
        self.offers: list[dict[str, Any]] = []
        self.weight_requests_per_s = 2.0
        self._next_download_at_s = 0.0
        self._vms: dict[str, dict[str, Any]] = {}
        self._visible_vms: dict[str, dict[str, Any]] = {}

    def update_vm(self, vm: dict[str, Any]) -> None:
        """Change a VM; the list shows the change after ``lag_s``."""
        merged = {**self._vms.get(vm["id"], {}), **vm}
        self._vms[vm["id"]] = merged
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, lambda: self._visible_vms.update({merged["id"]: merged}))

    def visible_vms(self) -> list[dict[str, Any]]:
        """Return the VM list without changes of the last ``lag_s``."""
        return list(self._visible_vms.values())

    def reserve_weights_download(self, now_s: float) -> float:
        """Reserve a weights download and return how long the rate limit delays it."""
        start_s = max(now_s, self._next_download_at_s)
        self._next_download_at_s = start_s + 1 / self.weight_requests_per_s
        return start_s - now_s


class PlatformHandler(RequestHandler):
    """Base class of the handlers."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform."""
        self.platform = platform

    def query_number(self, name: str, default: float) -> float:
        """Return a query parameter as a number."""
        return float(self.get_query_argument(name, str(default)))


class StreamHandler(PlatformHandler):
    """``POST`` appends a record to a stream, ``GET`` reads records by long polling."""

    async def post(self, stream: str) -> None:
        """Append the body as one record."""
        data = base64.b64encode(self.request.body).decode()
        result, offset = self.platform.log.append(stream, data, time.time())
        if result is AppendOutcome.ACCEPTED:
            self.write({"offset": offset})
        elif result is AppendOutcome.REFUSED:
            self.set_status(429)
        else:
            # The answer is lost: close the connection without one.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True

    async def get(self, stream: str) -> None:
        """Return records from an offset on."""
        start = int(self.query_number("from", 0))
        deadline_s = time.monotonic() + min(self.query_number("wait_s", 0), LONG_POLL_MAX_S)
        while True:
            answer = self.platform.log.read(
                stream, start, int(self.query_number("max", 500)), time.time()
            )
            if answer is None:
                self.set_status(503)
                return
            records, first_offset, next_offset = answer
            closed = self.request.connection.stream.closed()  # type: ignore[union-attr]
            if records or closed or time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(READ_POLL_S)
        rows = [
            {"offset": item.offset, "time_s": item.time_s, "data": item.data} for item in records
        ]
        self.write({"first_offset": first_offset, "next_offset": next_offset, "records": rows})


class VmsHandler(PlatformHandler):
    """``GET /vms`` returns the delayed VM list; ``POST /vms`` changes a VM, for tests."""

    def get(self) -> None:
        """Return the VM list."""
        self.write({"vms": self.platform.visible_vms()})

    def post(self) -> None:
        """Change a VM."""
        self.platform.update_vm(json.loads(self.request.body))


class NoticesHandler(PlatformHandler):
    """``GET /notices`` returns notices from a position on; ``POST`` adds one, for tests."""

    async def get(self) -> None:
        """Return notices, waiting up to ``wait_s`` for the first."""
        start = int(self.query_number("from", 0))
        deadline_s = time.monotonic() + min(self.query_number("wait_s", 0), LONG_POLL_MAX_S)
        while len(self.platform.notices) <= start and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        notices = self.platform.notices[start:]
        self.write({"notices": notices, "next": start + len(notices)})

    def post(self) -> None:
        """Add a reclaim notice and mark the VM as leaving."""
        notice = json.loads(self.request.body)
        self.platform.notices.append(notice)
        self.platform.update_vm({"id": notice["vm_id"], "state": "leaving"})


class CloudHandler(PlatformHandler):
    """``POST /cloud/start`` and ``/cloud/stop``, idempotent by token; ``GET`` offers or VMs."""

    def get(self, operation: str) -> None:
        """Return the offers, or all VMs ever started."""
        if operation == "offers":
            self.write({"offers": self.platform.offers})
            return
        self.write({"vms": [asdict(vm) for vm in self.platform.cloud.vms.values()]})

    def post(self, operation: str) -> None:
        """Start or stop a VM, or set the offers."""
        order = json.loads(self.request.body)
        cloud = self.platform.cloud
        if operation == "stop":
            answer = cloud.stop(order["token"], time.time())
        elif operation == "start":
            answer = cloud.start(**order, now_s=time.time())
        else:
            self.platform.offers = order["offers"]
            return
        if answer is CloudResponse.REFUSED:
            self.set_status(503)
            self.write({"error": "no capacity"})
        elif answer is CloudResponse.LOST:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
        else:
            self.write({"taken": True})


class WeightsHandler(PlatformHandler):
    """``GET /weights/{name}``: model weights, under the store's rate limit."""

    async def get(self, name: str) -> None:
        """Answer when the rate limit permits."""
        await asyncio.sleep(self.platform.reserve_weights_download(time.monotonic()))
        self.write({"name": name})


class FaultsHandler(PlatformHandler):
    """``POST /faults``: log outage, shares of lost answers, refused starts."""

    def post(self) -> None:
        """Set the faults given and return the number of accepted appends."""
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
            platform.cloud.refuses_start = lambda zone, purchase: refuse
        self.write({"appends_taken": platform.log.accepted_append_count})


async def serve_platform(port: int, seed: int, lag_s: float) -> None:
    """Serve the platform on loopback until cancelled."""
    arguments = {"platform": Platform(seed, lag_s)}
    application = Application(
        [
            (r"/streams/([a-z0-9.-]+)", StreamHandler, arguments),
            (r"/vms", VmsHandler, arguments),
            (r"/notices", NoticesHandler, arguments),
            (r"/cloud/(start|stop|offers|vms)", CloudHandler, arguments),
            (r"/weights/(.+)", WeightsHandler, arguments),
            (r"/faults", FaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.Event().wait()
