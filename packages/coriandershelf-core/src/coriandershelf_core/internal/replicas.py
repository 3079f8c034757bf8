"""What this entry VM knows of each replica from its own evidence and reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from coriandershelf_core.internal.inventory import Inventory, Replica


@dataclass(slots=True)
class ReplicaState:
    """One replica and this VM's evidence on it.

    :param in_flight: attempt ids of this VM that run there.
    """

    replica: Replica
    leaving: bool = False
    gone: bool = False
    in_flight: set[str] = field(default_factory=set)
    reported_running_count: int = 0
    reported_waiting_count: int = 0
    reported_at_s: float = 0.0

    @property
    def usable(self) -> bool:
        """Return whether new work may go there."""
        return not self.leaving and not self.gone


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
