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

# The path counts as lost once this many replicas, or all if there are fewer, accepted no connection
# within the period and none accepted one.
UNREACHABLE_MIN_COUNT = 3
UNREACHABLE_PERIOD_S = 1.5
PROBE_PERIOD_S = 0.3
# A VM that could not connect to a replica, or that could not be reached, is not asked again for
# this long.
RELAY_AVOIDED_S = 1.0


class ReplicaPaths:
    """Whether replicas are reached directly or through other entry VMs.

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
        self._lost_at_s: float | None = None
        self._probed_at_s = 0.0

    @property
    def lost(self) -> bool:
        """Return whether this VM has no path of its own."""
        return self._lost_at_s is not None

    def relay_address(self, now_s: float) -> str | None:
        """Return the VM through which to send a request; ``None`` to send it directly."""
        if not self.lost:
            return None
        addresses = self._entry_vms.relay_addresses
        usable = [item for item in addresses if now_s >= self._avoided_until_s.get(item, 0.0)]
        choices = usable or addresses
        return self._rng.choice(choices) if choices else None

    def on_connected(self, now_s: float) -> None:
        """Record that a replica accepted a direct connection."""
        self._unreachable_at_s.clear()
        if self._lost_at_s is None:
            return
        lost_s = now_s - self._lost_at_s
        self._lost_at_s = None
        self._emit(IncrementCounter("replica_paths", "back"))
        self._emit(LogLine("path to replicas is back", (("lost_ms", round(lost_s * 1e3)),)))

    def on_unreachable(self, replica_id: str, now_s: float) -> None:
        """Record that a replica did not accept a direct connection."""
        if self.lost:
            return
        known = {
            name: at_s
            for name, at_s in self._unreachable_at_s.items()
            if now_s - at_s <= UNREACHABLE_PERIOD_S
        }
        known[replica_id] = now_s
        self._unreachable_at_s = known
        needed_count = max(2, min(UNREACHABLE_MIN_COUNT, len(self._pool.ids())))
        if len(known) >= needed_count and self._entry_vms.relay_addresses:
            self._on_lost(now_s)

    def on_relay_failed(self, address: str, now_s: float) -> None:
        """Record that a VM could not pass a request on."""
        self._avoided_until_s[address] = now_s + RELAY_AVOIDED_S

    def on_tick(self, now_s: float) -> None:
        """Try from time to time whether the path is back."""
        if self.lost and now_s - self._probed_at_s >= PROBE_PERIOD_S:
            self._probe(now_s)

    def _on_lost(self, now_s: float) -> None:
        self._lost_at_s = now_s
        self._emit(IncrementCounter("replica_paths", "lost"))
        fields = (
            ("unreachable", ",".join(self._unreachable_at_s)),
            ("relays", len(self._entry_vms.relay_addresses)),
        )
        self._emit(LogLine("no path to replicas", fields))
        for state in self._pool:
            # What looked like the replica's fault was the path's; idle connections may be silent.
            if state.replica.replica_id in self._unreachable_at_s:
                state.ejected_until_s = state.ejection_s = 0.0
            self._emit(CloseIdleConnections(state.replica.address))
        self._probe(now_s)

    def _probe(self, now_s: float) -> None:
        self._probed_at_s = now_s
        addresses = [state.replica.address for state in self._pool if not state.leaving]
        if addresses:
            self._emit(ProbeReplica(self._rng.choice(addresses)))
