"""The processes of a site: store, replicas, entry VMs and callers, and the cuts between them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coriandershelf_rig.internal.processes import Processes, consecutive_ports
from coriandershelf_rig.internal.site_day.callers import HOST
from coriandershelf_rig.internal.site_day.site_file import ServiceSpec, Site

PACKAGE = "coriandershelf_rig.internal.site_day"
STORE_IP = "127.0.3.1"
HEALTH_PATH = "/health"
PORTS_COUNT = 24
KEYS_PER_TENANT = 2
STOP_LIMIT_S = 9.5
POLL_S = 0.05
SPEEDS = (0.7, 0.7, 1.7)
PLAIN_PART_BYTES = 200


@dataclass
class Vm:
    """An entry VM.

    :param is_busy: whether a fault acts on its process.
    """

    name: str
    ip: str
    zone: str
    is_busy: bool = False


@dataclass
class ReplicaHandle:
    """One replica; each start is a process.

    :param slot: name of its place, which lasts over its starts.
    :param incarnation: counts its ids.
    :param is_busy: whether a fault ends it or starts it again.
    """

    slot: str
    service: str
    zone: str
    ip: str
    version: int = 1
    incarnation: int = 1
    starts_count: int = 0
    process: str = ""
    is_busy: bool = False

    @property
    def replica_id(self) -> str:
        """Return the id under which it is registered."""
        return f"{self.slot}-{self.incarnation}"


@dataclass(frozen=True)
class Cut:
    """Paths that are cut.

    :param pairs: addresses of both ends; the second is a replica's, a VM's or the store's.
    :param form: ``drop``, ``reset`` or ``one_way``.
    """

    pairs: frozenset[tuple[str, str]]
    form: str


@dataclass
class SiteProcesses:
    """All processes of a site.

    :param share: share of the file's rates at which callers send.
    :param steps_s: by how much the time of day is wrong, by IP address.
    """

    folder: Path
    site: Site
    seed: int
    share: float
    vms: dict[str, Vm] = field(default_factory=dict)
    replicas: dict[str, ReplicaHandle] = field(default_factory=dict)
    keys: dict[str, list[str]] = field(default_factory=dict)
    version: int = 0
    extra_routes_count: int = 0
    timeout_factor: float = 1.0
    cuts: list[Cut] = field(default_factory=list)
    start_at_s: float = 0.0
    steps_s: dict[str, float] = field(default_factory=dict)
    _ips_count: int = 0
    _vms_count: int = 0
    _keys_count: int = 0
    _hole: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.processes = Processes(self.folder)
        port = consecutive_ports(PORTS_COUNT)
        self._peer_port, self._front_port, self._ready_port = port, port + 16, port + 17
        self._store_address = f"{STORE_IP}:{port + 18}"
        self._beat_address = f"{STORE_IP}:{port + 19}"
        self._replica_port = port + 20
        self._hole_address = self._make_hole(port + 21)
        for number in range(self.site.tenants_count):
            self.keys[f"tenant-{number}"] = [self.new_key() for _ in range(KEYS_PER_TENANT)]

    def _make_hole(self, port: int) -> str:
        """Return an address at which connections are never established."""
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((STORE_IP, port))
        server.listen(0)
        self._hole.append(server)
        for _ in range(2):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((STORE_IP, port))
            self._hole.append(client)
        return f"{STORE_IP}:{port}"

    def new_key(self) -> str:
        """Return a key that was never used."""
        self._keys_count += 1
        return f"key{self._keys_count:04d}x{self.seed}"

    async def start(self) -> None:
        """Start store, replicas and entry VMs."""
        configuration = self.next_configuration()
        self._start_child(
            "store", address=self._store_address, heartbeat_address=self._beat_address,
            configuration=configuration,
        )  # fmt: skip
        await _listening(self._beat_address)
        rng = random.Random(f"{self.seed}/versions")
        versions = rng.choice(((1,), (1, 2)))
        for service in self.site.services.values():
            for zone, count in service.replica_counts.items():
                for _ in range(count):
                    await self.add_replica(service.name, zone, rng.choice(versions))
        for zone, count in self.site.vm_counts.items():
            for _ in range(count):
                self.add_vm(zone)

    def start_callers(self, start_at_s: float) -> None:
        """Start the callers of each zone; they send from a Unix time on."""
        self.start_at_s = start_at_s
        kinds: dict[str, Any] = {}
        for name, kind in self.site.kinds.items():
            stride = self.site.services[kind.service].stride_tokens
            kinds[name] = dataclasses.asdict(kind) | {"stride_tokens": stride}
        for load in self.site.loads:
            self._start_child(
                f"callers-{load.zone}", zone=load.zone, mix=load.mix, kinds=kinds,
                rate_per_s=load.rate_per_s * self.share, clients_count=load.clients_count,
                vms=self._addresses(), keys=self.keys, start_at_s=start_at_s,
                length_s=self.site.length_s,
            )  # fmt: skip

    def tell_callers(self, **command: object) -> None:
        """Send a command to all callers."""
        for load in self.site.loads:
            self.processes.write(f"callers-{load.zone}", json.dumps(command))

    def tell_store(self, **command: object) -> None:
        """Send a command to the store."""
        self.processes.write("store", json.dumps(command))

    def tell(self, replica: ReplicaHandle, **command: object) -> None:
        """Send a command to a replica."""
        self.processes.write(replica.process, json.dumps(command))

    def _addresses(self) -> dict[str, dict[str, str]]:
        return {
            vm.name: {
                "zone": vm.zone,
                "front": f"{vm.ip}:{self._front_port}",
                "ready": f"{vm.ip}:{self._ready_port}",
            }
            for vm in self.vms.values()
        }

    def _start_child(self, name: str, /, module: str = "", **spec: object) -> None:
        module = module or name.partition("-")[0]
        spec |= {"records": str(self.folder / f"{name}.records"), "seed": self.seed}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(spec))
        self.processes.start(name, f"{PACKAGE}.{module}", str(path), takes_commands=True)

    # Entry VMs

    def add_vm(self, zone: str) -> Vm:
        """Start an entry VM at a new address."""
        self._vms_count += 1
        ip = f"127.0.1.{self._vms_count}"
        vm = Vm(f"vm-{zone}-{self._vms_count}", ip, zone)
        self.vms[vm.name] = vm
        ports = [self._peer_port, self._peer_port + 15]
        settings = {
            "node_name": vm.name, "ip": ip, "zone": zone,
            "listen": {
                "front": f"{ip}:{self._front_port}", "ready": f"{ip}:{self._ready_port}",
            },
            "internal_ports": ports, "provider": {"address": self._store_address},
            "heartbeat_ms": self.site.heartbeat_s * 1e3,
            "bounds": {"grace_s": self.site.bounds.get("grace_s", 8.0)},
        }  # fmt: skip
        (self.folder / f"{vm.name}.settings").write_text(json.dumps(settings))
        self.start_vm(vm)
        if self.start_at_s:
            self.tell_callers(do="vms", vms=self._addresses())
        return vm

    def start_vm(self, vm: Vm) -> None:
        """Start an entry VM's process."""
        arguments = (
            vm.ip, str(self.folder / f"{vm.name}.cuts"), self._hole_address,
            "--border", "platform", "--settings-file", str(self.folder / f"{vm.name}.settings"),
        )  # fmt: skip
        self.processes.start(vm.name, f"{PACKAGE}.entry_process", *arguments)

    def remove_vm(self, vm: Vm) -> None:
        """Forget an entry VM whose process was ended."""
        del self.vms[vm.name]
        self.tell_callers(do="vms", vms=self._addresses())

    def kill_vm(self, vm: Vm) -> None:
        """Kill an entry VM's process."""
        self.processes.signal(vm.name, signal.SIGKILL)
        self.processes.signal(vm.name, signal.SIGCONT)
        self.processes.wait(vm.name, 5.0)

    async def stop_vm(self, vm: Vm) -> bool:
        """Have an entry VM stop; return whether it did in time."""
        self.processes.signal(vm.name, signal.SIGTERM)
        until_s = time.monotonic() + STOP_LIMIT_S
        while self.processes.is_running(vm.name) and time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
        is_stopped = not self.processes.is_running(vm.name)
        self.kill_vm(vm)
        return is_stopped

    # Replicas

    async def add_replica(
        self, service: str, zone: str, version: int | None = None
    ) -> ReplicaHandle:
        """Start a replica at a new address."""
        self._ips_count += 1
        ip = f"127.0.{2 if self._ips_count < 250 else 4}.{self._ips_count % 250 + 1}"
        slot = f"{service}-{self._ips_count}"
        replica = ReplicaHandle(slot, service, zone, ip, version or self.newest(service))
        self.replicas[slot] = replica
        await self.start_replica(replica)
        return replica

    def of_service(self, service: str) -> list[ReplicaHandle]:
        """Return the replicas of a service."""
        return [item for item in self.replicas.values() if item.service == service]

    def newest(self, service: str) -> int:
        """Return the newest software version of a service."""
        return max((item.version for item in self.of_service(service)), default=1)

    async def start_replica(self, replica: ReplicaHandle) -> None:
        """Start the next process of a replica."""
        spec: ServiceSpec = self.site.services[replica.service]
        replica.starts_count += 1
        replica.process = f"replica-{replica.slot}-{replica.starts_count}"
        speed = SPEEDS[hash_number(replica.slot) % len(SPEEDS)]
        work_ms = [kind.work_ms for kind in self.site.kinds.values() if kind.work_ms]
        address = f"{replica.ip}:{self._replica_port}"
        self._start_child(
            replica.process, id=replica.replica_id, version=f"v{replica.version}",
            service=replica.service, zone=replica.zone, store=self._beat_address, address=address,
            health_path=HEALTH_PATH, heartbeat_s=self.site.heartbeat_s, slots=spec.slots,
            queue=spec.queue, max_connections=spec.max_connections, speed=speed,
            stride_tokens=spec.stride_tokens, step_ms=spec.step_ms,
            step_ms_per_slot=spec.step_ms_per_slot, first_ms=spec.first_ms,
            prefill_tokens_per_ms=spec.prefill_tokens_per_ms, part_bytes=PLAIN_PART_BYTES,
            work_ms=sum(work_ms) / max(1, len(work_ms)),
            clock_s=self.steps_s.get(replica.ip, 0.0),
            reaches_store=not any((replica.ip, STORE_IP) in cut.pairs for cut in self.cuts),
        )  # fmt: skip
        await _listening(address)
        for vm in self.vms.values():
            for cut in self.cuts:
                if (vm.ip, replica.ip) in cut.pairs:
                    self.tell(replica, do="cut", vms=[vm.ip], how=cut.form)

    def kill_replica(self, replica: ReplicaHandle) -> None:
        """Kill a replica's process."""
        self.processes.signal(replica.process, signal.SIGKILL)
        self.processes.wait(replica.process, 5.0)

    # Cuts

    def cut(self, cut: Cut) -> None:
        """Cut paths; those between VMs only for datagrams and new connections."""
        self.cuts.append(cut)
        self.write_surroundings()
        for replica in self.replicas.values():
            vms = [vm.ip for vm in self.vms.values() if (vm.ip, replica.ip) in cut.pairs]
            if vms:
                self.tell(replica, do="cut", vms=vms, how=cut.form)
            if (replica.ip, STORE_IP) in cut.pairs:
                self.tell(replica, do="store", reaches=False)

    def heal(self, cut: Cut) -> None:
        """End a cut; paths that another one cuts stay so."""
        self.cuts.remove(cut)
        self.write_surroundings()
        still = frozenset(pair for other in self.cuts for pair in other.pairs)
        for replica in self.replicas.values():
            vms = [
                vm.ip
                for vm in self.vms.values()
                if (vm.ip, replica.ip) in cut.pairs and (vm.ip, replica.ip) not in still
            ]
            if vms:
                self.tell(replica, do="heal", vms=vms)
            if (replica.ip, STORE_IP) in cut.pairs - still:
                self.tell(replica, do="store", reaches=True)

    def write_surroundings(self) -> None:
        """Tell entry VMs and the store which paths are cut, and VMs how wrong their clocks are."""
        from_store: list[str] = []
        for vm in self.vms.values():
            blocked: dict[str, Any] = {
                "drop": [],
                "reset": [],
                "clock_s": self.steps_s.get(vm.ip, 0),
            }
            for cut in self.cuts:
                form = "reset" if cut.form == "reset" else "drop"
                for first, second in cut.pairs:
                    if vm.ip in (first, second):
                        other = second if first == vm.ip else first
                        if cut.form != "one_way" or other.startswith("127.0.1."):
                            blocked[form].append(other)
                        if other == STORE_IP:
                            from_store.append(vm.ip)
            path = self.folder / f"{vm.name}.cuts"
            # A VM must not read half of a list.
            part = path.with_suffix(".part")
            part.write_text(json.dumps(blocked))
            part.replace(path)
        if from_store:
            self.tell_store(do="fault", name="cuts", form="cut", vms=from_store)
        else:
            self.tell_store(do="mend", name="cuts")

    # Configuration

    def publish(self) -> None:
        """Write the next version of the configuration, and tell callers the keys."""
        self.tell_store(do="configuration", configuration=self.next_configuration())
        if self.start_at_s:
            self.tell_callers(do="keys", keys=self.keys)

    def next_configuration(self) -> dict[str, Any]:
        """Return the next version of the operator's configuration."""
        self.version += random.Random(self.version).randint(1, 3)
        routes: list[dict[str, Any]] = []
        for kind in self.site.kinds.values():
            route = {
                "name": kind.name, "host": HOST, "path_prefix": f"/{kind.name}/",
                "kind": kind.kind, "timeout_ms": kind.timeout_ms * self.timeout_factor,
                "target_latency_ms": kind.target_ms, "priority": kind.priority,
                "service": kind.service, "max_attempts": kind.attempts, "public": False,
                "resumable": kind.resumable, "gap_target_ms": kind.gap_target_ms,
            }  # fmt: skip
            routes.append(route)
        for number in range(self.extra_routes_count):
            routes.append(routes[0] | {"name": f"more-{number}", "path_prefix": f"/more-{number}/"})
        services: list[dict[str, Any]] = []
        for spec in self.site.services.values():
            service: dict[str, Any] = {
                "name": spec.name, "health_path": HEALTH_PATH, "max_conns": spec.max_connections,
            }  # fmt: skip
            if spec.stride_tokens:
                service["engine"] = {"slots": spec.slots}
            services.append(service)
        tenants = [{"name": name, "api_keys": keys} for name, keys in self.keys.items()]
        limits = {"idle_timeout_ms": 15_000.0}
        return {
            "version": self.version, "routes": routes, "services": services, "limits": limits,
            "tenants": tenants,
        }  # fmt: skip

    def ended_stand_ins(self) -> list[str]:
        """Return the stand-ins whose processes ended by themselves."""
        names = [item.process for item in self.replicas.values() if not item.is_busy]
        return [name for name in ("store", *names) if not self.processes.is_running(name)]

    def stop(self) -> None:
        """Kill every process."""
        self.processes.stop_all()
        for item in self._hole:
            item.close()

    async def await_ready(self, limit_s: float) -> bool:
        """Wait until every VM says that it is ready."""
        until_s = time.monotonic() + limit_s
        for vm in self.vms.values():
            while not await _is_ready(f"{vm.ip}:{self._ready_port}"):
                if time.monotonic() > until_s:
                    return False
                await asyncio.sleep(POLL_S)
        return True


def hash_number(text: str) -> int:
    """Return a number that depends on the text alone."""
    return random.Random(text).getrandbits(30)


async def _listening(address: str) -> None:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(30.0):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


async def _is_ready(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return line.split(b" ")[1:2] == [b"200"]
