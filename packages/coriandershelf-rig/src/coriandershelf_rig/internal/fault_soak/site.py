"""A site on loopback; its entry VMs are real processes that reach the store through relays."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from coriandershelf_rig.internal.fault_soak.callers import HOST
from coriandershelf_rig.internal.fault_soak.process_replicas import ProcessReplica
from coriandershelf_rig.internal.fault_soak.registrations import Registrations
from coriandershelf_rig.internal.fault_soak.replicas import (
    HEALTH_TARGET,
    Executions,
    SoakReplica,
)
from coriandershelf_rig.internal.processes import Processes, consecutive_ports
from coriandershelf_rig.internal.relay import Relay
from coriandershelf_rig.internal.standin_store import (
    OPERATOR_TOPIC,
    StoreState,
    start_store,
)

# Enough replicas of streams that two often share a version.
SERVICES = {"engine": 6, "plain": 3}
# Further replicas, as processes of their own.
PROCESSES = {"engine": 3, "plain": 3}
REGISTRY_PERIOD_S = 0.1
ENTRY_MODULE = "coriandershelf_entry"


def _route(
    name: str, kind: str, service: str, max_attempts: int, **extra: object
) -> dict[str, Any]:
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
        "timeout_ms": 4_000, "target_latency_ms": 500, "priority": 0, "service": service,
        "max_attempts": max_attempts, "public": False, "gap_target_ms": 500, **extra,
    }  # fmt: skip


@dataclass
class SoakSite:
    """Store, replicas and entry VMs.

    :param reportless_count: how many replicas of each service make no reports.
    :param process_replicas: replicas that run as processes of their own.
    :param api_keys: the API keys in force.
    :param version: version of the last published configuration.
    """

    folder: Path
    vm_count: int
    reportless_count: int = 1
    store: StoreState = field(default_factory=StoreState)
    executions: Executions = field(default_factory=Executions)
    replicas: list[SoakReplica] = field(default_factory=list)
    process_replicas: list[ProcessReplica] = field(default_factory=list)
    store_relays: list[Relay] = field(default_factory=list)
    front_ports: list[int] = field(default_factory=list)
    metrics_ports: list[int] = field(default_factory=list)
    api_keys: list[str] = field(default_factory=lambda: ["key-0", "key-1"])
    version: int = 0
    started_at_s: dict[int, float] = field(default_factory=dict)
    registrations: Registrations = field(init=False)
    _store_server: HTTPServer = field(init=False)
    _registry_task: asyncio.Task[None] = field(init=False)
    _outages_count: int = 0
    _late_shares: list[float] = field(default_factory=list)
    processes: Processes = field(init=False)

    async def start(self) -> None:
        """Start the store, the replicas and the entry VMs."""
        self.processes = Processes(self.folder)
        self._store_server, store_address = await start_store(self.store)
        self.publish()
        self.registrations = Registrations(self.store)
        for service, count in SERVICES.items():
            for number in range(count):
                replica = SoakReplica(
                    number,
                    service,
                    self.executions,
                    makes_reports=number < count - self.reportless_count,
                )
                await replica.start(consecutive_ports(1))
                self.replicas.append(replica)
                self.register(replica)
            await self._start_processes(service)
        self._registry_task = asyncio.create_task(self._update_registry_forever())
        for number in range(self.vm_count):
            # The entry VM serves metrics on the port after its peer port.
            peer_port = consecutive_ports(5)
            store_port, front_port, ready_port = peer_port + 2, peer_port + 3, peer_port + 4
            relay = Relay(store_address)
            await relay.start(f"127.0.0.1:{store_port}")
            self.store_relays.append(relay)
            self.front_ports.append(front_port)
            self.metrics_ports.append(peer_port + 1)
            self._write_settings(number, store_port, front_port, ready_port, peer_port)
            self.start_vm(number)

    async def _start_processes(self, service: str) -> None:
        first = SERVICES[service]
        for number in range(first, first + PROCESSES[service]):
            file = self.folder / f"{service}-{number}.executions"
            replica = ProcessReplica(
                number, service, self.executions, processes=self.processes, file=file
            )
            await replica.start(consecutive_ports(1))
            self.process_replicas.append(replica)
            self.register(replica)

    async def stop(self) -> None:
        """Stop every child process and close every socket."""
        self.processes.stop_all()
        self._registry_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._registry_task
        for replica in self.replicas:
            await replica.stop()
        for relay in self.store_relays:
            await relay.stop()
        self._store_server.stop()
        await self._store_server.close_all_connections()

    def start_vm(self, number: int) -> None:
        """Start an entry VM's process."""
        file = str(self.folder / f"vm-{number}.json")
        self.started_at_s[number] = time.monotonic()
        arguments = ("--border", "platform", "--settings-file", file)
        self.processes.start(f"vm-{number}", ENTRY_MODULE, *arguments)

    def publish(self, extra_bytes: int = 0) -> None:
        """Write a new version of the configuration, larger by ``extra_bytes``."""
        self.version += 1
        service = {"health_path": HEALTH_TARGET, "max_conns": 90}
        configuration = {
            "version": self.version,
            "routes": [
                _route("ask", "streaming", "engine", 1),
                _route("plan", "streaming", "engine", 2, resumable=True),
                _route("book", "non_idempotent", "plain", 1),
                _route("read", "idempotent", "plain", 2),
            ],
            "services": [
                {"name": "engine", **service, "engine": {"slots": 16}},
                {"name": "plain", **service},
            ],
            "tenants": [{"name": "customer-1", "api_keys": list(self.api_keys)}],
            "comment": "x" * extra_bytes,
        }
        self.store.put(OPERATOR_TOPIC, "config", configuration)

    def register(self, replica: SoakReplica, state: str = "ready") -> None:
        """Write a replica's registry entry."""
        replica.state = state
        self.registrations.write(replica)

    def unregister(self, replica: SoakReplica) -> None:
        """Remove a replica's registry entry."""
        replica.state = ""
        self.registrations.remove(replica.replica_id)

    @contextlib.contextmanager
    def outage(self, expires_entries: bool) -> Iterator[None]:
        """Take the store down; outages may overlap.

        :param expires_entries: whether entries of silent replicas are removed meanwhile.
        """
        self._outages_count += 1
        self.store.refuse = True
        self.registrations.expire_in_outage = expires_entries
        try:
            yield
        finally:
            self._outages_count -= 1
            self.store.refuse = self._outages_count > 0

    @contextlib.contextmanager
    def late_writes(self, rng: random.Random) -> Iterator[None]:
        """Let the store execute all writes, or a share of them, late; the largest share holds."""
        share = rng.choice((1.0, rng.random()))
        self._late_shares.append(share)
        self.store.late_share = max(self._late_shares)
        try:
            yield
        finally:
            self._late_shares.remove(share)
            self.store.late_share = max(self._late_shares, default=0.0)

    async def _update_registry_forever(self) -> None:
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(REGISTRY_PERIOD_S)
            now_s = time.monotonic()
            replicas = [*self.replicas, *self.process_replicas]
            self.registrations.update(replicas, now_s, now_s - before_s)
            before_s = now_s

    def log_of(self, number: int) -> str:
        """Return the log output of a VM's processes."""
        file = self.folder / f"vm-{number}.log"
        return file.read_text(errors="replace") if file.exists() else ""

    def _write_settings(
        self, number: int, store_port: int, front_port: int, ready_port: int, peer_port: int
    ) -> None:
        settings = {
            "node_name": f"vm-{number}", "ip": "127.0.0.1", "zone": "zone-1",
            "listen": {"front": f"127.0.0.1:{front_port}", "ready": f"127.0.0.1:{ready_port}"},
            "internal_ports": [peer_port, peer_port + 15],
            "provider": {"address": f"127.0.0.1:{store_port}"},
        }  # fmt: skip
        (self.folder / f"vm-{number}.json").write_text(json.dumps(settings))
