"""The platform's store as a process, with faults on command, some for single entry VMs."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.web import RequestHandler

from coriandershelf_rig.internal.fault_soak.registrations import Registrations
from coriandershelf_rig.internal.site_day.child import Records, read_commands, watch_loop
from coriandershelf_rig.internal.standin_replica import (
    ReceivedRequest,
    Replica,
    ReplicaConnection,
)
from coriandershelf_rig.internal.standin_store import OPERATOR_TOPIC, StoreState, start_store

REGISTRY_PERIOD_S = 0.1
POLL_S = 0.02
USUAL_ANSWER_S = 0.004
# Forms of a fault in which calls wait without an answer until it ends.
SILENT_FORMS = ("silent", "cut")
SILENCE_MAX_S = 30.0


class StoreProcess:
    """The store and the registry entries that it holds."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self._spec = spec
        self._records = Records(Path(spec["records"]))
        self._state = StoreState(late_rng=random.Random(f"{spec['seed']}/late"))
        self._state.disturb = self._disturb
        self._registrations = Registrations(self._state)
        # Forms of the faults in force by their names, each with the callers that it hits, or none
        # if it hits all of them.
        self._faults: dict[str, tuple[str, frozenset[str]]] = {}
        self._delay_s = 0.0
        self._server: HTTPServer

    async def run(self) -> None:
        """Serve until the standard input is closed."""
        host, _, port = self._spec["address"].rpartition(":")
        self._server, _ = await start_store(self._state, host, int(port))
        self._put(self._spec["configuration"])
        beats = Replica(self._on_heartbeat, started_at_ms=None)
        host, _, port = self._spec["heartbeat_address"].rpartition(":")
        await beats.start(host, int(port))
        tasks = [
            asyncio.create_task(self._update_forever()),
            asyncio.create_task(watch_loop(self._records)),
        ]
        await read_commands(self._on_command)
        for task in tasks:
            task.cancel()

    def _put(self, configuration: dict[str, Any]) -> None:
        self._state.put(OPERATOR_TOPIC, "config", configuration)
        self._records.write("configuration", version=configuration["version"])

    def _on_command(self, command: dict[str, Any]) -> None:
        match command["do"]:
            case "configuration":
                self._put(command["configuration"])
            case "fault":
                self._faults[command["name"]] = command["form"], frozenset(command["vms"])
                self._registrations.expire_in_outage = command.get("lapse", False)
            case "mend":
                self._faults.pop(command["name"], None)
            case "slow":
                self._delay_s = command["x"] * USUAL_ANSWER_S
            case "late":
                self._state.late_share = command["share"]
            case "lose":
                self._state.lose_answers = command["on"]
            case "compact":
                for name, topic in self._state.topics.items():
                    if command["keyed"] or not name.startswith("keyed."):
                        topic.drop_history()
        self._state.refuse = any(not vms for _, vms in self._faults.values())

    def _form_for(self, ip: str) -> str | None:
        for form, vms in self._faults.values():
            if not vms or ip in vms:
                return form
        return None

    async def _disturb(self, handler: RequestHandler) -> None:
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        ip = handler.request.remote_ip or ""
        form = self._form_for(ip)
        if form in ("busy", "many"):
            handler.set_status(503 if form == "busy" else 429)
            handler.finish()
            return
        if form in SILENT_FORMS:
            until_s = time.monotonic() + SILENCE_MAX_S
            while self._form_for(ip) in SILENT_FORMS and time.monotonic() < until_s:
                await asyncio.sleep(POLL_S)
            # A path that is whole again carries what was held up; a store that was away does not.
            if form == "cut":
                return
        if form is not None:
            connection = handler.request.connection
            assert isinstance(connection, HTTP1Connection)
            connection.close()
            handler._finished = True

    async def _on_heartbeat(self, request: ReceivedRequest, connection: ReplicaConnection) -> None:
        if any(not vms for _, vms in self._faults.values()):
            await connection.send(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            return
        body = json.loads(request.body)
        is_answered = True
        if body["entry"] is None:
            self._registrations.remove(body["id"])
        else:
            is_answered = self._registrations.write_entry(body["id"], body["entry"])
        if is_answered:
            await connection.send(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        connection.close()

    async def _update_forever(self) -> None:
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(REGISTRY_PERIOD_S)
            now_s = time.monotonic()
            self._registrations.update([], now_s, now_s - before_s)
            before_s = now_s


async def _main(path: str) -> None:
    await StoreProcess(json.loads(Path(path).read_text())).run()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
