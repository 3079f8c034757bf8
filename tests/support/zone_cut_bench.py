"""A site of which one availability zone can be cut off, in virtual time."""

from __future__ import annotations

from coriandershelf_core.internal.gateway.actions import Action, StartAttempt
from coriandershelf_core.internal.gateway.events import (
    AttemptFailed,
    Event,
    FailureCause,
    RegistryProved,
    ReplicasRead,
)
from coriandershelf_core.internal.gateway.gateway import Gateway
from coriandershelf_rig.internal.gateway_bench import GatewayBench

ZONES_COUNT = 3
CUT_ZONE = 0
CONNECT_TIMEOUT_S = 0.3


class ZoneCutBench(GatewayBench):
    """The zone's VMs and replicas reach each other only; callers reach all VMs.

    :ivar is_cut: whether the zone is cut off from the other ones and from the store.
    """

    is_cut = False
    _sender = ""

    def is_in_zone(self, name: str) -> bool:
        """Return whether a VM or a replica is in the zone that may be cut off."""
        return int(name.partition(":")[0].rpartition("-")[2]) % ZONES_COUNT == CUT_ZONE

    def cut(self) -> None:
        """Cut the zone off; streams across the cut break off."""
        self.is_cut = True
        for name, replica in self.replicas.items():
            for vm_id, attempt_id in sorted(replica.running):
                if self.is_in_zone(name) != self.is_in_zone(vm_id):
                    replica.running.discard((vm_id, attempt_id))
                    self._in_use.pop((vm_id, attempt_id), None)
                    failed = AttemptFailed(attempt_id, FailureCause.CLOSED, sent=True)
                    self._post(vm_id, self.gateways[vm_id], failed)

    def heal(self) -> None:
        """End the cut; the zone's VMs read the registry anew."""
        self.is_cut = False
        self._unread_vms.update(vm_id for vm_id in self.gateways if self.is_in_zone(vm_id))

    def _is_blocked(self, first: str, second: str) -> bool:
        return self.is_cut and self.is_in_zone(first) != self.is_in_zone(second)

    def _send_message(self, address: str, event: Event) -> None:
        if not self._is_blocked(address, self._sender):
            super()._send_message(address, event)

    def _post(self, vm_id: str, gateway: Gateway, event: Event) -> None:
        is_read = isinstance(event, RegistryProved | ReplicasRead)
        if is_read and self.is_cut and self.is_in_zone(vm_id):
            self._failed_vms.add(vm_id)
            return
        super()._post(vm_id, gateway, event)

    def _perform(self, vm_id: str, gateway: Gateway, action: Action) -> None:
        self._sender = vm_id
        if isinstance(action, StartAttempt) and self._is_blocked(vm_id, action.replica_id):
            failed = AttemptFailed(action.attempt_id, FailureCause.CONNECT, sent=False)
            self.time.at(CONNECT_TIMEOUT_S, lambda: self._post(vm_id, gateway, failed))
            return
        super()._perform(vm_id, gateway, action)

    def _call_store(self, vm_id: str, gateway: Gateway, action: object) -> None:
        if not (self.is_cut and self.is_in_zone(vm_id)):
            super()._call_store(vm_id, gateway, action)
            return

        def fail() -> None:
            was_down, self.store.is_down = self.store.is_down, True
            event = self.store.perform(action, self.time.now_s)
            self.store.is_down = was_down
            if event is not None:
                self._post(vm_id, gateway, event)

        self.time.at(2.0 * CONNECT_TIMEOUT_S, fail)
