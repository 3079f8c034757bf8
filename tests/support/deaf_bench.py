"""A site whose VMs of odd number run an earlier build, in virtual time."""

from __future__ import annotations

from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import StartAttempt
from coriandershelf_core.internal.gateway.events import (
    AttemptFailed,
    DigestArrived,
    Event,
    FailureCause,
)
from coriandershelf_core.internal.gateway.gateway import Gateway
from coriandershelf_rig.internal.gateway_bench import LINK_DELAY_S, GatewayBench


def is_older(vm_id: str) -> bool:
    """Return whether a VM runs the earlier build."""
    return int(vm_id.removeprefix("vm-")) % 2 == 1


class DeafBench(GatewayBench):
    """The older VMs neither send nor read the newer fields of digests, and serve no tunnels.

    :ivar hears_limits: whether the older VMs tell and learn limits, as landed builds do.
    :ivar tunnels_refused_count: tunnels that an older VM was asked for.
    """

    hears_limits = False
    tunnels_refused_count = 0

    def _send_message(self, address: str, event: Event) -> None:
        receiver = address.removesuffix(":7500")
        if isinstance(event, DigestArrived):
            digest = event.digest
            if is_older(receiver) or is_older(digest.vm_id):
                limits = digest.limits if self.hears_limits else {}
                digest = replace(digest, limits=limits, parts={}, no_path=False, build="")
            event = DigestArrived(digest)
        super()._send_message(address, event)

    def _receive(self, vm_id: str, gateway: Gateway, action: StartAttempt) -> None:
        relay_id = (action.relay_address or "").removesuffix(":7500")
        if relay_id and is_older(relay_id):
            self.tunnels_refused_count += 1
            failed = AttemptFailed(action.attempt_id, FailureCause.RELAY, sent=False)
            self.time.at(LINK_DELAY_S, lambda: self._post(vm_id, gateway, failed))
            return
        super()._receive(vm_id, gateway, action)
