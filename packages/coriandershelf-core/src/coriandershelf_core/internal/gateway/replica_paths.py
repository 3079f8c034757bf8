"""Notices when this VM has lost its path to the replicas, and chooses VMs that still have one."""

from __future__ import annotations

import random
from collections.abc import Callable

from coriandershelf_core.internal.gateway.actions import (
    Action,
    CloseIdleConnections,
    IncrementCounter,
    LogLine,
    ProbeReplica,
)
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.pool import Pool

# Replicas count as out of reach once this many, or all if there are fewer, accepted no connection
# within the period, so that a single replica that is down is not looked for through other VMs.
UNREACHABLE_MIN_COUNT = 3
UNREACHABLE_PERIOD_S = 1.5
PROBE_PERIOD_S = 0.5
# A VM that could not connect to a replica, or that could not be reached, is not asked again for
# this long.
RELAY_AVOIDED_S = 1.0


class ReplicaPaths:
    """Which replicas are reached directly and which through other entry VMs.

    :param emit: receives the actions for the process.
    """

    def __init__(
        self, pool: Pool, entry_vms: EntryVms, rng: random.Random, emit: Callable[[Action], None]
    ) -> None:
        self._pool = pool
        self._entry_vms = entry_vms
        self._rng = rng
        self._emit = emit
        self._unreachable_at_s: dict[str, float] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._lost_at_s: dict[str, float] = {}
        self._probed_at_s = 0.0

    @property
    def any_lost(self) -> bool:
        """Return whether this VM has no path of its own to some replicas."""
        return bool(self._lost_at_s)

    def is_lost(self, replica_id: str) -> bool:
        """Return whether this VM has no path of its own to a replica."""
        return replica_id in self._lost_at_s

    def relay_address(self, replica_id: str, now_s: float) -> str | None:
        """Return the VM through which to reach a replica; ``None`` to reach it directly."""
        if not self.is_lost(replica_id):
            return None
        addresses = self._entry_vms.relay_addresses
        usable = [item for item in addresses if now_s >= self._avoided_until_s.get(item, 0.0)]
        choices = usable or addresses
        return self._rng.choice(choices) if choices else None

    def on_connected(self, replica_id: str, now_s: float) -> None:
        """Record that a replica accepted a direct connection."""
        self._unreachable_at_s.pop(replica_id, None)
        lost_at_s = self._lost_at_s.pop(replica_id, None)
        if lost_at_s is not None:
            self._emit(IncrementCounter("replica_paths", "back"))
            fields = (("replica", replica_id), ("lost_ms", round((now_s - lost_at_s) * 1e3)))
            self._emit(LogLine("path to replica is back", fields))

    def on_unreachable(self, replica_id: str, now_s: float) -> None:
        """Record that a replica did not accept a direct connection, or was silent."""
        known = {
            name: at_s
            for name, at_s in self._unreachable_at_s.items()
            if now_s - at_s <= UNREACHABLE_PERIOD_S
        }
        known[replica_id] = now_s
        self._unreachable_at_s = known
        needed_count = max(2, min(UNREACHABLE_MIN_COUNT, len(self._pool.ids())))
        if not self._entry_vms.relay_addresses:
            return
        if len(known.keys() | self._lost_at_s.keys()) >= needed_count:
            for name in known:
                if not self.is_lost(name):
                    self._on_lost(name, now_s)

    def on_relay_failed(self, address: str, now_s: float) -> None:
        """Record that a VM could not pass a request on."""
        self._avoided_until_s[address] = now_s + RELAY_AVOIDED_S

    def on_tick(self, now_s: float) -> None:
        """Forget replicas that are gone, and try from time to time whether paths are back."""
        if not self._lost_at_s or now_s - self._probed_at_s < PROBE_PERIOD_S:
            return
        self._probed_at_s = now_s
        for name in list(self._lost_at_s):
            state = self._pool.get(name)
            if state is None or state.leaving:
                del self._lost_at_s[name]
            else:
                self._emit(ProbeReplica(name, state.replica.address))

    def _on_lost(self, replica_id: str, now_s: float) -> None:
        self._lost_at_s[replica_id] = now_s
        self._emit(IncrementCounter("replica_paths", "lost"))
        fields = (("replica", replica_id), ("relays", len(self._entry_vms.relay_addresses)))
        self._emit(LogLine("no path to replica", fields))
        state = self._pool.get(replica_id)
        if state is not None:
            # What looked like the replica's fault was the path's; idle connections may be silent.
            state.ejected_until_s = state.ejection_s = 0.0
            self._emit(CloseIdleConnections(state.replica.address))
