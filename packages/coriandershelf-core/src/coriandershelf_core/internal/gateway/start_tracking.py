"""Notes what attempts tell of the starts of their replicas."""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct

from coriandershelf_core.internal.gateway.actions import Action, ProbeReplica
from coriandershelf_core.internal.gateway.attempts import AttemptState
from coriandershelf_core.internal.gateway.events import FailureCause
from coriandershelf_core.internal.gateway.pool import Pool
from coriandershelf_core.internal.gateway.replica_paths import ReplicaPaths
from coriandershelf_core.internal.gateway.replica_start import READ_LAG_S


class StartTracking(Struct):
    """Keeps the evidence on each replica's start up to date.

    :param emit: receives the actions for the process.
    """

    pool: Pool
    paths: ReplicaPaths
    emit: Callable[[Action], None]
    _ticked_at_s: float = -math.inf

    def on_tick(self, now_s: float) -> None:
        """Note that this VM handles its events at this time."""
        self._ticked_at_s = now_s

    def on_read(self, attempt: AttemptState, now_s: float) -> None:
        """Note that a part of an attempt's response was read."""
        state = attempt.state.at_start_of(attempt.connected_at_s)
        if state is None:
            return
        state.evidence.on_alive(attempt.started_at_s)
        # What a VM reads after it was suspended, or its caller was slow, may be old.
        if now_s - self._ticked_at_s < READ_LAG_S and not attempt.was_paused:
            state.evidence.on_alive(now_s - READ_LAG_S)

    def on_failed(self, attempt: AttemptState, cause: FailureCause, now_s: float) -> None:
        """Note that a replica's start may have ended when an attempt fails."""
        evidence, replica = attempt.state.evidence, attempt.state.replica
        is_direct = attempt.relay_address is None
        if cause is FailureCause.CLOSED:
            evidence.on_doubt(now_s, is_own=is_direct)
            if is_direct and not attempt.state.leaving and now_s <= evidence.confirmable_by_s:
                self.emit(ProbeReplica(replica.replica_id, replica.address))
        elif cause is FailureCause.CONNECT:
            is_lost = self.paths.is_lost(replica.replica_id)
            evidence.on_doubt(now_s, is_own=is_direct and not is_lost)

    def on_connected(self, replica_id: str, now_s: float) -> None:
        """Note that a replica accepted a connection."""
        state = self.pool.get(replica_id)
        if state is not None:
            state.evidence.on_connected(now_s)

    @staticmethod
    def version_of(attempt: AttemptState) -> str | None:
        """Return the version of the replica's start that answers; ``None`` if it is not known."""
        state = attempt.state.at_start_of(attempt.connected_at_s)
        return None if state is None else state.replica.software_version
