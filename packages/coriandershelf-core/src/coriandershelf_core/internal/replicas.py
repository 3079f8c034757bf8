"""What this entry VM knows of each replica from its own evidence and reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from coriandershelf_core.internal.inventory import Inventory, Replica


@dataclass(slots=True)
class ReplicaState:
    """One replica and this VM's evidence on it.

    :param in_flight: attempt ids of this VM that run there.
    :param leaves_at_s: when its VM is taken, or ``None`` where that is not announced.
    :param moves_at_s: when streams that still run there move to other replicas.
    """

    replica: Replica
    leaving: bool = False
    gone: bool = False
    leaves_at_s: float | None = None
    moves_at_s: float = 0.0
    in_flight: set[str] = field(default_factory=set)
    reported_running_count: int = 0
    reported_waiting_count: int = 0
    reported_at_s: float = 0.0

    def announce_leave(self, at_s: float, now_s: float) -> None:
        """Note when the VM is taken; until shortly before, streams there may finish."""
        if self.leaves_at_s is None:
            margin_s = min(MOVE_MARGIN_S, (at_s - now_s) * MOVE_SHARE)
            self.leaves_at_s = at_s
            self.moves_at_s = at_s - margin_s

    def must_move(self, now_s: float) -> bool:
        """Return whether streams that still run there would be cut."""
        return self.leaves_at_s is not None and self.moves_at_s <= now_s and not self.gone

    @property
    def usable(self) -> bool:
        """Return whether new work may go there."""
        return not self.leaving and not self.gone


MOVE_MARGIN_S = 2.0
MOVE_SHARE = 0.5


class ReplicaTable:
    """The replicas of the inventory in force, by id."""

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}

    def __iter__(self) -> Iterator[ReplicaState]:
        return iter(self._states.values())

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return a replica's state, or ``None`` where it is not known."""
        return self._states.get(replica_id)

    def of_service(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that may take new work."""
        return [
            state
            for state in self._states.values()
            if state.replica.service == service and state.usable
        ]

    def adopt(self, inventory: Inventory) -> None:
        """Take over the replicas of a new inventory, keeping evidence on those that stay."""
        states: dict[str, ReplicaState] = {}
        for replica in inventory.replicas:
            state = self._states.get(replica.replica_id)
            if state is None:
                state = ReplicaState(replica)
            state.replica = replica
            states[replica.replica_id] = state
        for replica_id, state in self._states.items():
            if replica_id not in states and state.in_flight:
                state.leaving = True
                states[replica_id] = state
        self._states = states
