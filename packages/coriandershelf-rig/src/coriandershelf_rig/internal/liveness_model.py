"""Checks whether replicas still run, in virtual time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from coriandershelf_core.internal.gateway.actions import CheckLiveness
from coriandershelf_core.internal.gateway.events import Liveness
from coriandershelf_rig.internal.virtual_time import VirtualTime

CHECK_TIMEOUT_S = 1.5


@dataclass(slots=True)
class ModelConnection:
    """A connection of a VM to a replica.

    :param process: the start of the replica that accepted it, counted from 0.
    :param started_at_ms: that start, as the replica states it.
    :param used_at_s: when its last response was complete.
    :param sent_at_s: when its last request was sent.
    :param is_asked: whether the replica has stated its start on it.
    :param was_asked: whether it did so for the current request.
    :param is_close_delimited: whether the response that it carries ends with it.
    """

    replica_id: str
    process: int
    accepted_at_s: float
    used_at_s: float
    started_at_ms: int = 0
    sent_at_s: float | None = None
    is_asked: bool = False
    was_asked: bool = False
    is_close_delimited: bool = False


class ReplicaProcess(Protocol):
    """What a check needs to know of a replica."""

    starts_count: int
    is_down: bool
    is_silent: bool

    @property
    def started_at_ms(self) -> int:
        """Return the time of its start."""


@dataclass
class LivenessModel:
    """The connections for checks of all VMs, one per VM and replica."""

    time: VirtualTime
    link_delay_s: float
    _connections: dict[tuple[str, str], ModelConnection] = field(default_factory=dict)

    def open(self, vm_id: str, replica_id: str, replica: ReplicaProcess | None) -> None:
        """Have a connection to a replica, unless it accepts none."""
        connection = self._connections.get((vm_id, replica_id))
        if replica is None or replica.is_down:
            return
        if connection is None or connection.process != replica.starts_count:
            now_s = self.time.now_s
            opened = ModelConnection(
                replica_id, replica.starts_count, now_s, now_s, replica.started_at_ms
            )
            self._connections[vm_id, replica_id] = opened

    def end_vm(self, vm_id: str) -> None:
        """End the connections of a VM, whose process has ended."""
        self._connections = {
            key: item for key, item in self._connections.items() if key[0] != vm_id
        }

    def connection(
        self, vm_id: str, action: CheckLiveness, kept: Sequence[ModelConnection]
    ) -> ModelConnection | None:
        """Return the connection on which a VM asks.

        :param kept: its connections to the replica that are kept for requests.
        """
        own = self._connections.get((vm_id, action.replica_id))
        known = [item for item in (own, *kept) if item is not None]
        known = [item for item in known if item.accepted_at_s <= action.connected_by_s]
        return known[0] if known else own

    @staticmethod
    def outcome(connection: ModelConnection | None, replica: ReplicaProcess | None) -> Liveness:
        """Return what comes of a check."""
        if connection is None:
            return Liveness.NO_CONNECTION
        if replica is None:
            return Liveness.UNREACHABLE
        if connection.process == replica.starts_count and not replica.is_down:
            return Liveness.ANSWERED
        if replica.is_silent:
            return Liveness.SILENT
        return Liveness.UNREACHABLE if replica.is_down else Liveness.CLOSED
