"""Entry VMs in virtual time that learn of new configurations, some of them from each other only.

Gateways exchange their digests over a network that delays and loses them. The store brings a
version to the VMs that it serves. A VM's link carries the configurations that it sends to others
one after the other.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial

from coriandershelf_core.internal.gateway.actions import Action, FetchConfiguration, SendDigest
from coriandershelf_core.internal.gateway.configuration_fetches import ServedBytes
from coriandershelf_core.internal.gateway.deployment import Deployment
from coriandershelf_core.internal.gateway.events import (
    ConfigurationFetched,
    ConfigurationProved,
    DeploymentRead,
    DigestArrived,
    EntryVmsRead,
    Event,
    Tick,
)
from coriandershelf_core.internal.gateway.gateway import Gateway
from coriandershelf_core.internal.gateway.settings import GatewaySettings
from coriandershelf_rig.internal.virtual_time import VirtualTime

TICK_S = 0.1
LINK_DELAY_S = 0.002
# Over the smallest links, 5 Mbit/s.
LINK_BYTES_PER_S = 625_000.0
STORE_READ_S = 0.3
CLOCK_OFFSET_S = 1_700_000_000.0


@dataclass(frozen=True, slots=True)
class SpreadSettings:
    """A site and what its configuration takes on the wire.

    :param turned_away_share: share of the VMs that the store does not serve.
    :param whole_zone: whether these are the VMs of one zone, as far as they go.
    """

    vms_count: int = 90
    zones_count: int = 3
    turned_away_share: float = 0.35
    whole_zone: bool = False
    configuration_bytes: int = 40_000
    loss_share: float = 0.02


@dataclass
class SpreadBench:
    """A site, to which versions of the configuration are published.

    :ivar in_force_at_s: when each VM had each version in force, by version and VM.
    :ivar fetches_count: how often a VM asked another one; ``refusals_count`` how often in vain.
    :ivar sent_bytes: what each VM sent to others of its configuration.
    """

    seed: int
    settings: SpreadSettings = field(default_factory=SpreadSettings)
    in_force_at_s: dict[int, dict[str, float]] = field(default_factory=dict)
    fetches_count: int = 0
    refusals_count: int = 0
    sent_bytes: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.time = VirtualTime(100.0)
        self._rng = random.Random(self.seed)
        self._link_free_at_s: dict[str, float] = {}
        self._served: dict[str, ServedBytes] = {}
        self._version = 0
        self.gateways = {f"vm-{number:03}": self._gateway(number) for number in self._numbers()}
        vm_ids = list(self.gateways)
        if self.settings.whole_zone:
            vm_ids.sort(key=lambda vm_id: self.zone_of(vm_id))
        else:
            self._rng.shuffle(vm_ids)
        count = round(self.settings.turned_away_share * len(vm_ids))
        self.turned_away = frozenset(vm_ids[:count])
        addresses = {vm_id: f"{vm_id}:7500" for vm_id in self.gateways}
        for vm_id in self.gateways:
            self._post(vm_id, EntryVmsRead(addresses))
            self.time.at(self._rng.uniform(0.0, TICK_S), partial(self._tick, vm_id))

    def zone_of(self, vm_id: str) -> str:
        """Return a VM's zone."""
        return f"zone-{int(vm_id.removeprefix('vm-')) % self.settings.zones_count}"

    def publish(self, to_all: bool = False) -> int:
        """Let the operator write a version, which the store brings to the VMs that it serves.

        :param to_all: whether it serves all of them for once.
        """
        self._version += 1
        version = self._version
        for vm_id in self.gateways:
            if to_all or vm_id not in self.turned_away:
                delay_s = STORE_READ_S * self._rng.uniform(0.1, 1.0)
                self.time.at(delay_s, partial(self._read, vm_id, version))
        return version

    def late_vms(self, version: int, limit_s: float, published_at_s: float) -> list[str]:
        """Return the VMs that did not have a version, or a newer one, in force within a time."""
        in_time: set[str] = set()
        for newer, at_s in self.in_force_at_s.items():
            if newer >= version:
                in_time |= {vm for vm, s in at_s.items() if s - published_at_s <= limit_s}
        return sorted(self.gateways.keys() - in_time)

    def _numbers(self) -> range:
        return range(self.settings.vms_count)

    def _gateway(self, number: int) -> Gateway:
        vm_id = f"vm-{number:03}"
        return Gateway(
            vm_id, f"{vm_id}:7500", self.zone_of(vm_id), 1, GatewaySettings(),
            random.Random(f"{self.seed}/{vm_id}"), CLOCK_OFFSET_S,
        )  # fmt: skip

    def _tick(self, vm_id: str) -> None:
        if vm_id not in self.turned_away:
            self._post(vm_id, ConfigurationProved(self.time.now_s))
        self._post(vm_id, Tick())
        self.time.at(TICK_S, partial(self._tick, vm_id))

    def _read(self, vm_id: str, version: int) -> None:
        known = self.gateways[vm_id].deployment
        self._post(vm_id, DeploymentRead(Deployment(version, (), {}, ())))
        if known is None or known.version < version:
            self.in_force_at_s.setdefault(version, {})[vm_id] = self.time.now_s

    def _post(self, vm_id: str, event: Event) -> None:
        now_s = self.time.now_s
        for action in self.gateways[vm_id].step(event, now_s, now_s + CLOCK_OFFSET_S):
            self._perform(vm_id, action)

    def _perform(self, vm_id: str, action: Action) -> None:
        if isinstance(action, SendDigest):
            for address in action.addresses:
                self._send_digest(address.removesuffix(":7500"), DigestArrived(action.digest))
        elif isinstance(action, FetchConfiguration):
            self.fetches_count += 1
            self.time.at(LINK_DELAY_S, partial(self._serve, action.vm_id, vm_id))

    def _send_digest(self, vm_id: str, event: DigestArrived) -> None:
        if self._rng.random() >= self.settings.loss_share:
            delay_s = LINK_DELAY_S * self._rng.uniform(0.5, 3.0)
            self.time.at(delay_s, partial(self._post, vm_id, event))

    def _serve(self, vm_id: str, to_id: str) -> None:
        """Send the configuration after those that the VM's link still carries."""
        now_s = self.time.now_s
        deployment = self.gateways[vm_id].deployment
        size_bytes = self.settings.configuration_bytes
        served = self._served.setdefault(vm_id, ServedBytes())
        if deployment is None or not served.accept(size_bytes, now_s):
            self.refusals_count += 1
            event = ConfigurationFetched(vm_id, succeeded=False)
            self.time.at(LINK_DELAY_S, partial(self._post, to_id, event))
            return
        ends_at_s = max(now_s, self._link_free_at_s.get(vm_id, now_s))
        ends_at_s += size_bytes / LINK_BYTES_PER_S
        self._link_free_at_s[vm_id] = ends_at_s
        self.sent_bytes[vm_id] = self.sent_bytes.get(vm_id, 0) + size_bytes
        version = deployment.version

        def arrive() -> None:
            self._read(to_id, version)
            self._post(to_id, ConfigurationFetched(vm_id, succeeded=True))

        self.time.at(ends_at_s - now_s + LINK_DELAY_S, arrive)
