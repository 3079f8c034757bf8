"""Which version of the configuration this VM has, and when it was last known to be the newest."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import Action, IncrementCounter, LogLine
from coriandershelf_core.internal.gateway.peers import Peers

# How long after its first read a VM takes word of a newer version as proof that it read an older
# copy of the configuration: the longest period of the digests, 2.4 s at 195 VMs, and their way.
SETTLING_S = 3.0
HEARD_VERSIONS_MAX_COUNT = 16


class ConfigurationVersions(Struct):
    """This VM's version, the proofs that it is current, and the newer ones that peers name.

    :param emit: receives the actions for the process.
    :ivar version: the version in force; 0 before the first one.
    :ivar confirmed_at_s: time at which it was last known to be the newest.
    """

    peers: Peers
    emit: Callable[[Action], None]
    version: int = 0
    confirmed_at_s: float = float("-inf")
    _first_version_at_s: float = float("inf")
    # When each version newer than this VM's was first heard of.
    _heard_at_s: dict[int, float] = field(default_factory=dict)
    _contradicted: bool = False

    def on_version(self, version: int, now_s: float) -> None:
        """Record that a newer version is in force here."""
        self._first_version_at_s = min(self._first_version_at_s, now_s)
        self.version = version

    def on_proved(self, at_s: float, now_s: float) -> None:
        """Accept a read as proof unless another VM shows that it was one of an older copy."""
        newest = self.newest_of_peers(now_s)
        if newest <= self.version:
            self._contradicted = False
        elif not self._is_settled(now_s) or at_s > self._heard_at_s.get(newest, now_s):
            if not self._contradicted:
                fields = (("version", self.version), ("version_of_peers", newest))
                self.emit(LogLine("configuration older than that of peers", fields))
                self.emit(IncrementCounter("old_configuration_reads"))
            self._contradicted = True
            return
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def on_heard(self, version: int, now_s: float) -> None:
        """Note when a version newer than this VM's was first heard of."""
        if version <= self.version:
            return
        if version not in self._heard_at_s:
            newer = {item: at_s for item, at_s in self._heard_at_s.items() if item > self.version}
            self._heard_at_s = dict(list(newer.items())[-HEARD_VERSIONS_MAX_COUNT:])
            self._heard_at_s[version] = now_s
        if not self._is_settled(now_s):
            # What this VM read as it started was an older copy: its keys may be withdrawn.
            self.confirmed_at_s = float("-inf")

    def outdated_since_s(self) -> float | None:
        """Return when this VM first heard of a version newer than its own, if it has."""
        newer = (at_s for version, at_s in self._heard_at_s.items() if version > self.version)
        return min(newer, default=None)

    def newest_of_peers(self, now_s: float) -> int:
        """Return the newest version that a live peer names; 0 if there is none."""
        return max(
            (digest.configuration_version for digest in self.peers.live_digests(now_s)), default=0
        )

    def _is_settled(self, now_s: float) -> bool:
        """Return whether this VM had time to hear from the others since it first read."""
        return now_s - self._first_version_at_s >= SETTLING_S
