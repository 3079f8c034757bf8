"""Fetches the configuration from another entry VM if this one's own reads do not bring it.

Each digest names its sender's version. The store may turn this VM away, give it an older copy, or
send more than its link carries in time, while other VMs have the new version. A VM that has heard
of one and has not read it a moment later asks one of the VMs that name the newest. At first these
are the few that read for their zones, so each VM serves only as many as its link bears, and those
that it refuses ask one of the VMs that have got it meanwhile.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from coriandershelf_core.internal.gateway.actions import (
    Action,
    FetchConfiguration,
    IncrementCounter,
    LogLine,
)
from coriandershelf_core.internal.gateway.configuration_versions import ConfigurationVersions
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.peers import Peers

# The VM's own read usually brings a version as soon as a digest names it.
FETCH_AFTER_S = 0.5
FETCH_RETRY_S = 0.3
# Half of what the smallest links carry, 5 Mbit/s: the rest is left to callers. What a VM may still
# have to send when it accepts another request takes this long at that rate.
SERVED_BYTES_PER_S = 312_500.0
SERVED_BACKLOG_MAX_S = 0.3


class ConfigurationFetches(Struct):
    """Decides when to fetch the configuration, and from which VM.

    :param zone: this VM's zone; transfers within it are cheaper.
    :param emit: receives the actions for the process.
    """

    zone: str
    peers: Peers
    versions: ConfigurationVersions
    rng: random.Random
    emit: Callable[[Action], None]
    _is_fetching: bool = False
    _retry_at_s: float = 0.0
    # VMs that could not give it since the last fetch that succeeded.
    _failed_ids: frozenset[str] = frozenset()

    def on_tick(self, now_s: float) -> None:
        """Start a fetch if one is needed."""
        heard_at_s = self.versions.outdated_since_s()
        if heard_at_s is None or now_s - heard_at_s < FETCH_AFTER_S:
            return
        if self._is_fetching or now_s < self._retry_at_s:
            return
        newest = self.versions.newest_of_peers(now_s)
        if newest <= self.versions.version:
            return
        digest = self._choose(newest, now_s)
        self._is_fetching = True
        self.emit(FetchConfiguration(digest.vm_id, digest.address))

    def on_fetched(self, vm_id: str, succeeded: bool, now_s: float) -> None:
        """Record the end of a fetch; after a failure another VM is asked."""
        self._is_fetching = False
        self._retry_at_s = now_s + FETCH_RETRY_S * self.rng.uniform(0.5, 1.5)
        self._failed_ids = frozenset() if succeeded else self._failed_ids | {vm_id}
        outcome = "fetched" if succeeded else "failed"
        fields = (("peer", vm_id), ("outcome", outcome), ("version", self.versions.version))
        self.emit(LogLine("configuration asked of a peer", fields))
        self.emit(IncrementCounter("configuration_fetches", outcome))

    def _choose(self, version: int, now_s: float) -> Digest:
        """Return the digest of a VM that names the version, at random so that none is overrun."""
        named = [
            digest
            for digest in self.peers.live_digests(now_s)
            if digest.configuration_version == version
        ]
        untried = [digest for digest in named if digest.vm_id not in self._failed_ids]
        if not untried:
            self._failed_ids = frozenset()
            untried = named
        same_zone = [digest for digest in untried if digest.zone == self.zone]
        return self.rng.choice(same_zone or untried)


class ServedBytes(Struct):
    """Limits the bytes that this VM sends to others that fetch the configuration."""

    _sent_until_s: float = float("-inf")

    def accept(self, size_bytes: int, now_s: float) -> bool:
        """Return whether to send a configuration of this size now, and count it if so."""
        starts_at_s = max(now_s, self._sent_until_s)
        if starts_at_s - now_s > SERVED_BACKLOG_MAX_S:
            return False
        self._sent_until_s = starts_at_s + size_bytes / SERVED_BYTES_PER_S
        return True
