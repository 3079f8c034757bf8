"""Registry entries of the soak's replicas: written, renewed, and removed after silence.

The store may execute a write late, and so after the process that sent it has ended.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from coriandershelf_rig.internal.fault_soak.replicas import SoakReplica
from coriandershelf_rig.internal.standin_store import REGISTRY_TOPIC, StoreState

HEARTBEAT_S = 1.2
EXPIRY_HEARTBEATS_COUNT = 3
# A replica that gets no response may send its entry again, and both writes may be executed.
REPEAT_SHARE = 0.5
REPEAT_DELAY_MAX_S = 0.3


@dataclass(slots=True)
class Registration:
    """What the store holds of a replica.

    :param entry: the entry without its sequence number.
    :param silent_s: how long the replica has sent no heartbeat.
    """

    entry: dict[str, object]
    silent_s: float = 0.0


@dataclass(slots=True)
class LateWrite:
    """A write that was sent and is not yet executed.

    :param wait_s: how long until it is executed.
    """

    replica_id: str
    entry: dict[str, object]
    wait_s: float


@dataclass
class Registrations:
    """The registry; readers see an entry only when more than its sequence number changes.

    :param expire_in_outage: whether silence counts while the store is down.
    :param late_counts: late writes that were executed, by what had become of their senders.
    """

    store: StoreState
    expire_in_outage: bool = False
    late_counts: Counter[str] = field(default_factory=Counter)
    _held: dict[str, Registration] = field(default_factory=dict)
    _late_writes: list[LateWrite] = field(default_factory=list)
    _next_heartbeat_s: dict[int, float] = field(default_factory=dict)

    def update(self, replicas: list[SoakReplica], now_s: float, elapsed_s: float) -> None:
        """Send heartbeats, execute late writes and remove the entries of silent replicas.

        :param now_s: monotonic time.
        :param elapsed_s: time since the last call.
        """
        for replica in replicas:
            if replica.is_running and now_s >= self._next_heartbeat_s.get(id(replica), 0.0):
                self._next_heartbeat_s[id(replica)] = now_s + HEARTBEAT_S
                if replica.state and replica.reaches_store and not self.store.refuse:
                    self.write(replica)
        self._execute_late_writes(replicas, elapsed_s)
        if self.store.refuse and not self.expire_in_outage:
            return
        for replica_id, registration in list(self._held.items()):
            registration.silent_s += elapsed_s
            if registration.silent_s > EXPIRY_HEARTBEATS_COUNT * HEARTBEAT_S:
                self.remove(replica_id)

    def write(self, replica: SoakReplica) -> None:
        """Write a replica's entry, or renew it if it has not changed; at times late."""
        entry = {
            "service": replica.service, "address": replica.address, "zone": "zone-1",
            "version": f"v{replica.version}", "slots": 16, "state": replica.state,
            "cold_left_ms": 0, "born": replica.started_at_ms,
        }  # fmt: skip
        self.write_entry(replica.replica_id, entry)

    def write_entry(self, replica_id: str, entry: dict[str, object]) -> bool:
        """Write an entry, or renew it if it has not changed; return ``False`` if it comes late."""
        delay_s = self.store.draw_delay_s()
        if delay_s is not None:
            self._late_writes.append(LateWrite(replica_id, entry, delay_s))
            rng = self.store.late_rng
            if rng.random() < REPEAT_SHARE:
                delay_s += rng.uniform(0.0, REPEAT_DELAY_MAX_S)
                self._late_writes.append(LateWrite(replica_id, entry, delay_s))
            return False
        held = self._held.get(replica_id)
        self._held[replica_id] = Registration(entry)
        if held is None or held.entry != entry:
            self.store.put(REGISTRY_TOPIC, replica_id, {**entry, "seq": 1})
        return True

    def _execute_late_writes(self, replicas: list[SoakReplica], elapsed_s: float) -> None:
        running = {(item.replica_id, item.started_at_ms) for item in replicas if item.is_running}
        for write in self._late_writes:
            write.wait_s -= elapsed_s
        due = [write for write in self._late_writes if write.wait_s <= 0.0]
        self._late_writes = [write for write in self._late_writes if write.wait_s > 0.0]
        for write in sorted(due, key=lambda item: item.wait_s):
            is_running = (write.replica_id, write.entry["born"]) in running
            self.late_counts["of a start that runs" if is_running else "of an ended start"] += 1
            self._held[write.replica_id] = Registration(write.entry)
            self.store.put(REGISTRY_TOPIC, write.replica_id, {**write.entry, "seq": 1})

    def remove(self, replica_id: str) -> None:
        """Remove an entry."""
        if self._held.pop(replica_id, None) is not None:
            self.store.put(REGISTRY_TOPIC, replica_id, None)
