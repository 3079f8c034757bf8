"""What this entry VM knows of each replica from its own evidence and reports."""

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
    """One replica and this VM's evidence on it.

    :param in_flight: attempt ids of this VM that run there.
    :param leaves_at_s: when its VM is taken, or ``None`` where that is not announced.
    :param moves_at_s: when streams that still run there move to other replicas.
    :param history: samples of ``in_flight``'s size, to tell own work apart in late reports.
    :param others_count: requests of other entry VMs there, by the last report.
    :param others_ratio: moving mean of others' requests for each own one.
    :param waiting: start times of own attempts that wait for a first token, by attempt id.
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
        """Note when the VM is taken; until shortly before, streams there may finish."""
        if self.leaves_at_s is None:
            margin_s = min(MOVE_MARGIN_S, (at_s - now_s) * MOVE_SHARE)
            self.leaves_at_s = at_s
            self.moves_at_s = at_s - margin_s

    def is_announced(self, now_s: float) -> bool:
        """Return whether the VM is to be taken; not long after it should have been and was not."""
        return self.leaves_at_s is not None and now_s < self.leaves_at_s + NOTICE_OVER_S

    def must_move_now(self, now_s: float) -> bool:
        """Return whether a stream there can wait no longer for a replica with room."""
        return self.leaves_at_s is not None and self.leaves_at_s - LAST_MOVE_S <= now_s

    def must_move(self, now_s: float) -> bool:
        """Return whether streams that still run there would be cut."""
        return self.leaves_at_s is not None and self.moves_at_s <= now_s and not self.gone

    @property
    def usable(self) -> bool:
        """Return whether new work may go there."""
        return not self.leaving and not self.gone

    def sample(self, now_s: float) -> None:
        """Remember how much of this VM's work runs there now."""
        self.history.append((now_s, len(self.in_flight)))

    def on_report(self, running_count: int, waiting_count: int, reported_at_s: float) -> None:
        """Take a load report; what this VM had there at its time is taken off."""
        if reported_at_s < self.reported_at_s:
            return
        self.reported_running_count = running_count
        self.reported_waiting_count = waiting_count
        self.reported_at_s = reported_at_s
        own_count = self._own_at(reported_at_s)
        self.others_count = max(0.0, running_count + waiting_count - own_count)
        if own_count:
            ratio = self.others_count / own_count
            self.others_ratio += RATIO_WEIGHT * (ratio - self.others_ratio)

    def on_digests(self, others_count: int, now_s: float) -> None:
        """Take the count of other entry VMs' works, which is fresher than any report."""
        self.others_count = float(others_count)
        self.reported_at_s = now_s

    def load(self, now_s: float) -> float:
        """Return the expected requests per slot: own ones, and others' corrected for age.

        An old report says little, so others' part fades towards its usual ratio to own requests.
        """
        own_count = len(self.in_flight)
        trust = math.exp(-max(0.0, now_s - self.reported_at_s) / REPORT_AGE_SCALE_S)
        others_count = trust * self.others_count + (1.0 - trust) * self.others_ratio * own_count
        return (own_count + others_count) / self.replica.slots

    def oldest_wait_s(self, now_s: float) -> float:
        """Return for how long the oldest own attempt has waited for its first token.

        It shows at once that the batch is full, whoever filled it.
        """
        return now_s - next(iter(self.waiting.values())) if self.waiting else 0.0

    def _own_at(self, at_s: float) -> int:
        for sampled_at_s, count in reversed(self.history):
            if sampled_at_s <= at_s:
                return count
        return 0


MOVE_MARGIN_S = 2.0
# A VM that still answers this long after its announced end stays.
NOTICE_OVER_S = 10.0
LAST_MOVE_S = 0.5
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

    def in_order(self, service: str, now_s: float) -> list[ReplicaState]:
        """Return the replicas that may take new work, neither ejected nor lately unreachable.

        Those whose leave is announced are among them only where no other is.
        """
        in_order = [
            state
            for state in self.of_service(service)
            if not state.health.ejected and state.health.unreachable_until_s <= now_s
        ]
        staying = [state for state in in_order if not state.is_announced(now_s)]
        return staying or in_order

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
