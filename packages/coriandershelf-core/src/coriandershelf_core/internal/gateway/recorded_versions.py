"""Records in the store which software versions serve, and removes those that no longer do.

An entry VM that starts has seen nothing of the past, and after a loss of all VMs no other one can
tell it. If it found a single version in the registry, it could not know whether streams of another
one are still to be resumed. So each version of a service with resumable streams is recorded before
it begins a stream, and stays recorded until none of its streams can be resumed any more.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    LogLine,
    RecordVersions,
    RetireVersion,
)
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.events import VersionsRecorded
from coriandershelf_core.internal.gateway.open_origins import OpenOrigins
from coriandershelf_core.internal.gateway.origin_messages import (
    UNREGISTERED_VERSION,
    ServiceVersion,
)
from coriandershelf_core.internal.gateway.pool import VERSION_KEPT_S, Pool, ReplicaState

RETRY_S = 0.3
# A version that has been gone from the registry for this long is recorded anew when it returns: by
# then another VM may be about to remove its record.
TRUSTED_S = VERSION_KEPT_S / 2.0
# Between the read that shows the end of the records and a removal, longer than any VM may lag
# behind the registry: a version that has returned is then known here, or recorded after that end.
REMOVAL_DELAY_S = 10.0
# VMs that remove records, so that no two dozen VMs try and one of them lives.
REMOVERS_COUNT = 2


class RecordedVersions(Struct):
    """The recorded versions, as far as this VM knows.

    :param emit: receives the actions for the process.
    :ivar read: starts a read of the store.
    """

    pool: Pool
    entry_vms: EntryVms
    open_origins: OpenOrigins
    emit: Callable[[Action], None]
    read: Callable[[float], None] = lambda now_s: None
    _services: frozenset[str] = frozenset()
    # When each recorded version was last seen in the registry.
    _seen_at_s: dict[ServiceVersion, float] = field(default_factory=dict)
    _missing: frozenset[ServiceVersion] = frozenset()
    _is_read: bool = False
    _is_recording: bool = False
    _retry_at_s: float = 0.0
    _stored: frozenset[ServiceVersion] = frozenset()
    _end: int = 0
    # When the read was that a removal relies on: infinite while it is awaited, else ``None``.
    _removal_read_at_s: float | None = None
    _removal_begun_at_s: float = 0.0

    def on_services(self, services: Iterable[str], now_s: float) -> None:
        """Take over which services have resumable streams."""
        self._services = frozenset(services)
        self.on_replicas(now_s)

    def on_replicas(self, now_s: float) -> None:
        """Record the versions that are new in the registry."""
        present = self._present()
        for version in present & self._seen_at_s.keys():
            self._seen_at_s[version] = now_s
        self._missing = frozenset(present - self._seen_at_s.keys())
        self._record(now_s)

    def on_read(self, versions: Iterable[ServiceVersion], end: int, now_s: float) -> None:
        """Take over what is recorded."""
        self._is_read = True
        self._stored, self._end = frozenset(versions), end
        if self._removal_read_at_s is not None:
            self._removal_read_at_s = now_s
        for version in self._stored & self._present():
            self._seen_at_s[version] = now_s
        self.pool.on_recorded_versions(self._stored, now_s)
        self.on_replicas(now_s)

    def on_recorded(self, event: VersionsRecorded, now_s: float) -> None:
        """Use the versions that are recorded now, or try again."""
        self._is_recording = False
        if not event.stored:
            self._retry_at_s = now_s + RETRY_S
            return
        self._stored |= set(event.versions)
        for item in event.versions:
            self._seen_at_s[item] = now_s
            fields = (("service", item.service), ("version", item.version))
            self.emit(LogLine("version recorded", fields))
        self.on_replicas(now_s)

    def on_tick(self, now_s: float) -> None:
        """Record what is new, retry what failed, and remove versions that are long gone."""
        if self.open_origins.services():
            self.on_replicas(now_s)
        self._record(now_s)
        present = self._present() if self._seen_at_s else set()
        for version, seen_at_s in list(self._seen_at_s.items()):
            if version in present:
                self._seen_at_s[version] = now_s
            elif now_s - seen_at_s > TRUSTED_S:
                del self._seen_at_s[version]
        self._remove_old(present, now_s)

    def usable(self, service: str, states: Sequence[ReplicaState]) -> Sequence[ReplicaState]:
        """Return the replicas that may begin resumable streams.

        Versions that are not recorded yet are left out, unless there are no others: during an
        outage of the store, streams that can be lost are better than none.
        """
        if not self._missing:
            return states
        recorded = [
            state
            for state in states
            if ServiceVersion(service, state.replica.software_version) not in self._missing
        ]
        return recorded or states

    def _present(self) -> set[ServiceVersion]:
        present = {
            ServiceVersion(state.replica.service, state.replica.software_version)
            for state in self.pool
            if state.replica.service in self._services
        }
        # Streams of an unknown version may be of another one. VMs that start read origins only if
        # a service has several.
        unknown = self.open_origins.services() & self._services
        return present | {ServiceVersion(name, UNREGISTERED_VERSION) for name in unknown}

    def _record(self, now_s: float) -> None:
        if not self._missing or not self._is_read or self._is_recording:
            return
        if now_s >= self._retry_at_s:
            self._is_recording = True
            self.emit(RecordVersions(tuple(sorted(self._missing, key=_sort_key))))

    def _remove_old(self, present: set[ServiceVersion], now_s: float) -> None:
        old = [
            version
            for version in self._stored - present
            if self.pool.version_left_since_s(version, now_s) > VERSION_KEPT_S
        ]
        if not old or self.entry_vms.own_id not in self.entry_vms.ids[:REMOVERS_COUNT]:
            self._removal_read_at_s = None
        elif self._removal_read_at_s is None:
            self._removal_read_at_s, self._removal_begun_at_s = math.inf, now_s
            self.read(now_s)
        elif now_s - self._removal_read_at_s >= REMOVAL_DELAY_S:
            # The next read shows whether it succeeded.
            self._removal_read_at_s = None
            fields = (("service", old[0].service), ("version", old[0].version))
            self.emit(LogLine("version retired", fields))
            self.emit(RetireVersion(old[0], self._end))
        elif now_s - self._removal_begun_at_s > 2.0 * REMOVAL_DELAY_S:
            # The read failed.
            self._removal_read_at_s = None


def _sort_key(item: ServiceVersion) -> tuple[str, str]:
    return item.service, item.version
