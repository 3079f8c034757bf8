"""State of each replica as seen by this entry VM, from its own measurements and load reports."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from coriandershelf_core.internal.routing.health import Health
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Replica

HISTORY_SAMPLES_COUNT = 64
REPORT_AGE_SCALE_S = 2.0
RATIO_WEIGHT = 0.2


@dataclass(slots=True)
class ReplicaState:
    """One replica and what this VM has measured of it.

    :param leaving: whether its VM is leaving by the VM list, or the inventory dropped it.
    :param gone: whether its VM is gone by the VM list.
    :param in_flight: ids of this VM's attempts at the replica.
    :param leaves_at_s: when its VM will be reclaimed, or ``None`` if no notice was received.
    :param moves_at_s: when streams still running there are moved to other replicas.
    :param history: samples of the size of ``in_flight``, used to subtract this VM's own requests
        from delayed load reports.
    :param reported_at_s: time of the last load report, or of the last digests if these are later.
    :param others_count: requests of other entry VMs at the replica, by the last report or digest.
    :param others_ratio: moving average of other VMs' requests per request of this VM.
    :param waiting: start times of this VM's attempts that wait for a first token, by attempt id.
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
    others_count: float = 0.0
    others_ratio: float = 1.0
    waiting: dict[str, float] = field(default_factory=dict)
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=HISTORY_SAMPLES_COUNT)
    )
    health: Health = field(default_factory=Health)

    def announce_leave(self, at_s: float, now_s: float) -> None:
        """Record when the VM will be reclaimed; streams there may finish until shortly before."""
        if self.leaves_at_s is None:
            margin_s = min(MOVE_MARGIN_S, (at_s - now_s) * MOVE_SHARE)
            self.leaves_at_s = at_s
            self.moves_at_s = at_s - margin_s

    def is_leave_announced(self, now_s: float) -> bool:
        """Return whether an announced reclaim of the VM is still expected."""
        return self.leaves_at_s is not None and now_s < self.leaves_at_s + NOTICE_EXPIRY_S

    def must_move_now(self, now_s: float) -> bool:
        """Return whether a stream there can no longer wait for a replica with capacity."""
        return self.leaves_at_s is not None and self.leaves_at_s - FORCED_MOVE_MARGIN_S <= now_s

    def must_move(self, now_s: float) -> bool:
        """Return whether streams still running there must be moved, as they would be cut off."""
        return self.leaves_at_s is not None and self.moves_at_s <= now_s and not self.gone

    @property
    def usable(self) -> bool:
        """Return whether the replica may receive new work."""
        return not self.leaving and not self.gone

    def sample(self, now_s: float) -> None:
        """Record the present count of this VM's requests in flight."""
        self.history.append((now_s, len(self.in_flight)))

    def on_report(self, running_count: int, waiting_count: int, reported_at_s: float) -> None:
        """Apply a load report, less the requests that this VM had there when it was made."""
        if reported_at_s < self.reported_at_s:
            return
        self.reported_running_count = running_count
        self.reported_waiting_count = waiting_count
        self.reported_at_s = reported_at_s
        own_count = self._own_count_at(reported_at_s)
        self.others_count = max(0.0, running_count + waiting_count - own_count)
        if own_count:
            ratio = self.others_count / own_count
            self.others_ratio += RATIO_WEIGHT * (ratio - self.others_ratio)

    def on_digests(self, others_count: int, now_s: float) -> None:
        """Apply the other entry VMs' count of requests, which is more recent than any report."""
        self.others_count = float(others_count)
        self.reported_at_s = now_s

    def load(self, now_s: float) -> float:
        """Return the expected requests per slot, of this VM and the others.

        The weight of a report decays with its age, and the estimate for other VMs moves towards
        their usual ratio to this VM's requests.
        """
        own_count = len(self.in_flight)
        report_weight = math.exp(-max(0.0, now_s - self.reported_at_s) / REPORT_AGE_SCALE_S)
        others_count = (
            report_weight * self.others_count
            + (1.0 - report_weight) * self.others_ratio * own_count
        )
        return (own_count + others_count) / self.replica.slots

    def oldest_wait_s(self, now_s: float) -> float:
        """Return how long this VM's oldest attempt has waited for its first token.

        This shows a full batch at once, whichever VM filled it.
        """
        return now_s - next(iter(self.waiting.values())) if self.waiting else 0.0

    def _own_count_at(self, at_s: float) -> int:
        for sampled_at_s, count in reversed(self.history):
            if sampled_at_s <= at_s:
                return count
        return 0


MOVE_MARGIN_S = 2.0
# A VM that still answers this long after its announced reclaim is assumed to stay.
NOTICE_EXPIRY_S = 10.0
FORCED_MOVE_MARGIN_S = 0.5
MOVE_SHARE = 0.5


class ReplicaTable:
    """The replicas of the current inventory, by id."""

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}

    def __iter__(self) -> Iterator[ReplicaState]:
        return iter(self._states.values())

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return a replica's state, or ``None`` if its id is unknown."""
        return self._states.get(replica_id)

    def of_service(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that may receive new work."""
        return [
            state
            for state in self._states.values()
            if state.replica.service == service and state.usable
        ]

    def healthy(self, service: str, now_s: float) -> list[ReplicaState]:
        """Return the usable replicas that are neither ejected nor recently unreachable.

        Replicas that are about to be reclaimed are included only if there are no others.
        """
        healthy = [
            state
            for state in self.of_service(service)
            if not state.health.ejected and state.health.unreachable_until_s <= now_s
        ]
        staying = [state for state in healthy if not state.is_leave_announced(now_s)]
        return staying or healthy

    def apply_inventory(self, inventory: Inventory) -> None:
        """Apply the replicas of a new inventory, keeping the state of those already known."""
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
