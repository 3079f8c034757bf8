"""A deployment run as real processes on loopback: platform, upstreams and entry VMs."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from types import TracebackType
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    ConfigurationProposed,
)
from coriandershelf_rig.internal.deployments import (
    OPERATOR_KEY,
    Deployment,
    inventory_yaml,
    key_hash,
    rules_yaml,
)
from coriandershelf_rig.internal.processes import Processes, free_ports
from coriandershelf_wire import encode_record

READY_TIMEOUT_S = 30.0
LIST_LAG_S = 1.0


class Cluster:
    """Starts and stops the processes of one deployment; use as ``async with``."""

    def __init__(self, deployment: Deployment, seed: int = 1) -> None:
        self.deployment = deployment
        self.seed = seed
        self.client = AsyncHTTPClient(force_instance=True, max_clients=1000)
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="coriandershelf-rig-")
        self.processes = Processes(Path(self._temporary_folder.name))
        names = ["platform", *(replica.replica_id for replica in deployment.replicas)]
        names += [name for vm_id, _ in deployment.entries for name in (vm_id, f"{vm_id}/peer")]
        ports = free_ports(len(names))
        self.addresses = {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        }
        self.entry_flags: list[str] = []
        self.platform_relays: dict[str, str] = {}
        self._incarnations: dict[str, int] = {}
        self.inventory_text = inventory_yaml(deployment, self.addresses)
        self.rules_text = rules_yaml(deployment)
        (self.log_folder / "inventory.yaml").write_text(self.inventory_text)
        (self.log_folder / "rules.yaml").write_text(self.rules_text)

    @property
    def log_folder(self) -> Path:
        """Return the folder of the child processes' logs."""
        return Path(self._temporary_folder.name)

    async def __aenter__(self) -> Cluster:
        self._start_standins()
        await self._wait_until_ready(f"http://{self.addresses['platform']}/vms")
        for replica in self.deployment.replicas:
            await self._wait_until_ready(f"http://{self.addresses[replica.replica_id]}/record")
            await self._register_vm(
                replica.replica_id, "upstream", replica.zone, replica.replica_id
            )
        for vm_id, zone in self.deployment.entries:
            await self.start_entry(vm_id, zone)
        await self._publish_initial()
        for vm_id, _ in self.deployment.entries:
            await self._wait_until_ready(f"http://{self.addresses[vm_id]}/readyz")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.processes.stop_all()
        self.client.close()
        self._temporary_folder.cleanup()

    async def post(self, url: str, document: Any) -> HTTPResponse:
        """POST a JSON document."""
        return await self.client.fetch(url, method="POST", body=json.dumps(document))

    async def get(self, url: str) -> Any:
        """GET a JSON document."""
        response = await self.client.fetch(url)
        return json.loads(response.body)

    def platform_url(self, path: str) -> str:
        """Return a URL of the platform's stand-in."""
        return f"http://{self.addresses['platform']}/{path}"

    async def start_entry(self, vm_id: str, zone: str) -> None:
        """Start or restart an entry VM's process and add it to the platform's VM list."""
        self._incarnations[vm_id] = self._incarnations.get(vm_id, 0) + 1
        platform = self.platform_relays.get(vm_id, self.addresses["platform"])
        self.processes.start(
            vm_id,
            "coriandershelf_entry",
            *("--vm-id", vm_id),
            *("--zone", zone),
            *("--incarnation", str(self._incarnations[vm_id])),
            *("--listen", self.addresses[vm_id]),
            *("--peer-listen", self.addresses[f"{vm_id}/peer"]),
            *("--log-address", platform),
            *("--platform-address", platform),
            *("--operator-key-hash", key_hash(OPERATOR_KEY)),
            *self.entry_flags,
        )
        await self._register_vm(vm_id, "entry", zone, f"{vm_id}/peer")

    async def announce_reclaim(self, vm_id: str, in_s: float) -> None:
        """Send a reclaim notice for a VM."""
        document = {"vm_id": vm_id, "at_s": time.time() + in_s}
        await self.post(self.platform_url("notices"), document)

    def description(self) -> dict[str, Any]:
        """Return all addresses and keys, as ``up`` prints them."""
        return {
            "deployment": self.deployment.name,
            "entries": {vm_id: self.addresses[vm_id] for vm_id, _ in self.deployment.entries},
            "platform": self.addresses["platform"],
            "upstreams": {
                replica.replica_id: self.addresses[replica.replica_id]
                for replica in self.deployment.replicas
            },
            "model": self.deployment.model,
            "plain": self.deployment.plain,
            "keys": {customer.name: customer.key for customer in self.deployment.customers},
            "operator_key": OPERATOR_KEY,
            "inventory": str(self.log_folder / "inventory.yaml"),
            "rules": str(self.log_folder / "rules.yaml"),
            "logs": self._temporary_folder.name,
        }

    def _start_standins(self) -> None:
        port = self.addresses["platform"].rpartition(":")[2]
        rig = "coriandershelf_rig"
        platform = ("standin-platform", "--port", port, "--seed", str(self.seed))
        self.processes.start("platform", rig, *platform, "--lag-s", str(LIST_LAG_S))
        for replica in self.deployment.replicas:
            self.start_upstream(replica.replica_id)

    def start_upstream(self, replica_id: str) -> None:
        """Start an upstream's stand-in."""
        replica = next(item for item in self.deployment.replicas if item.replica_id == replica_id)
        port = self.addresses[replica_id].rpartition(":")[2]
        if replica.engine is None:
            arguments = ["standin-plain", "--port", port]
        else:
            arguments = ["standin-engine", "--port", port]
            arguments += ["--shape", json.dumps(asdict(replica.engine))]
            arguments += ["--checks-fencing" if replica.checks_fencing else "--ignores-fencing"]
        self.processes.start(replica_id, "coriandershelf_rig", *arguments)

    async def _register_vm(self, vm_id: str, role: str, zone: str, address_name: str) -> None:
        document = {
            "id": vm_id,
            "incarnation": self._incarnations.get(vm_id, 1),
            "role": role,
            "zone": zone,
            "state": "live",
            "address": self.addresses[address_name],
        }
        await self.post(self.platform_url("vms"), document)

    async def _publish_initial(self) -> None:
        proposal = ConfigurationProposed(
            "initial", 0, "rig", time.time(), self.inventory_text, self.rules_text
        )
        body = encode_record("rig", 1, 1, (proposal,))
        url = self.platform_url(f"streams/{CONFIGURATION_STREAM}")
        await self.client.fetch(url, method="POST", body=body)

    async def _wait_until_ready(self, url: str) -> None:
        """Wait until a URL answers 200.

        :raises TimeoutError: it did not answer 200 within ``READY_TIMEOUT_S``.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < deadline_s:
            try:
                await self.client.fetch(url)
                return
            except (HTTPClientError, OSError):
                await asyncio.sleep(0.05)
        raise TimeoutError(f"{url} did not answer 200 within {READY_TIMEOUT_S} s")
