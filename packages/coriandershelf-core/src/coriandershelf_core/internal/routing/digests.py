"""Exchange of in-flight digests between entry VMs, applied to replica states and limits."""

from __future__ import annotations

from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.routing.occupancy import Occupancy
from coriandershelf_core.internal.routing.replicas import ReplicaTable
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.messages import InFlightDigest


class Digests:
    """Produces this VM's digest when it is due and applies those of the other VMs."""

    def __init__(self, context: Context, replicas: ReplicaTable, limits: Limits) -> None:
        self._context = context
        self._replicas = replicas
        self._limits = limits
        self._occupancy = Occupancy(context.settings.digest_period_s)

    def on_digest(self, digest: InFlightDigest, now_s: float) -> bool:
        """Apply another entry VM's digest; false if digests are disabled."""
        if not self._context.is_enabled("digests"):
            return False
        self._occupancy.on_digest(digest, now_s)
        self.apply(now_s)
        return True

    def due(self, now_s: float) -> InFlightDigest | None:
        """Return this VM's digest if it is due."""
        if not self._context.is_enabled("digests"):
            return None
        identity = self._context.identity
        counts = {
            state.replica.replica_id: len(state.in_flight)
            for state in self._replicas
            if state.in_flight
        }
        return self._occupancy.due_digest(
            identity.vm_id, identity.incarnation, counts, self._limits.peer_count, now_s
        )

    def apply(self, now_s: float) -> None:
        """Use digests instead of delayed load reports if every entry VM sent a recent one."""
        self._occupancy.expire(now_s)
        if not self._occupancy.is_complete(self._limits.peer_count):
            self._limits.on_digests_missing()
            return
        for state in self._replicas:
            others_count = self._occupancy.others_count(state.replica.replica_id)
            state.on_digests(others_count, now_s)
            self._limits.on_digests(state, others_count, now_s)
