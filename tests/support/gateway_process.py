"""A gateway in a process of its own, so that it can run the sources of an earlier commit.

    python -P tests/support/gateway_process.py VM_ID

The path leads to the sources of the commit and to its ``tests/support``.

Each line of the standard input is a JSON object: the time, what happens, and datagrams in
hexadecimal. The answer to each is a line with the datagrams to send and what the gateway knows.
"""

from __future__ import annotations

import json
import sys
from typing import Any

import msgspec
from gateway_driver import ENGINE, GatewayDriver, make_replicas

from coriandershelf_core.internal.gateway import events
from coriandershelf_core.internal.gateway.actions import SendDigest
from coriandershelf_core.internal.gateway.deployment import Replica
from coriandershelf_core.internal.gateway.digest import Digest, HolderInfo
from coriandershelf_platform import peer_link


class GatewayProcess:
    """A gateway behind the encoding of its build."""

    def __init__(self, vm_id: str) -> None:
        self.driver = GatewayDriver(vm_id=vm_id, now_s=100.0).begin()

    def step(self, command: dict[str, Any]) -> dict[str, Any]:
        """Perform a command; return the answer."""
        driver = self.driver
        driver.now_s = command["now_s"]
        driver.confirm_configuration()
        for item in command.get("do", ()):
            getattr(self, item[0])(*item[1:])
        for data in map(bytes.fromhex, command["datagrams"]):
            message = msgspec.msgpack.decode(data[1:], type=peer_link._TYPE_OF_TAG[data[:1]])
            assert isinstance(message, Digest)
            driver.post(events.DigestArrived(message))
        first = len(driver.actions)
        driver.post(events.Tick())
        sent = [
            [address, (b"D" + msgspec.msgpack.encode(action.digest)).hex()]
            for action in driver.actions[first:]
            if isinstance(action, SendDigest)
            for address in action.addresses
        ]
        return {"sent": sent, "known": self.known()}

    def register(self, vm_ids: list[str]) -> None:
        """Read the registrations of the entry VMs."""
        self.driver.post(events.EntryVmsRead({vm_id: f"{vm_id}:7500" for vm_id in vm_ids}))

    def hold(self, number: int) -> None:
        """Hold the lease of the duties."""
        self.driver.gateway.own_lease = HolderInfo(self.driver.vm_id, number)

    def read_leaving(self, replica_id: str) -> None:
        """Read in the registry that a replica is leaving."""
        replica = make_replicas()[replica_id]
        assert isinstance(replica, Replica)
        fields = (replica.service, replica.address, replica.zone, replica.slots_count)
        changed = Replica(replica_id, *fields, leaving=True)
        self.driver.post(events.ReplicasRead({replica_id: changed}))

    def request_with_limit(self, per_s: float) -> None:
        """Send a request, and read a limit in the head of the replica's response."""
        handle = self.driver.ask("/plan/x")
        attempt = self.driver.attempts(handle)[0]
        self.driver.post(events.ResponseHeadRead(attempt.attempt_id, True, per_s))
        self.driver.open(attempt.attempt_id)

    def stop(self) -> None:
        """Ask the gateway to stop."""
        self.driver.post(events.StopAsked())

    def known(self) -> dict[str, Any]:
        """Return what this VM knows from others."""
        gateway = self.driver.gateway
        zones = gateway.load_queries.assignment._vms_by_zone
        holder = gateway.own_lease or gateway.last_holder
        return {
            "vms": sorted(vm_id for vms in zones.values() for vm_id in vms),
            "holder": None if holder is None else [holder.vm_id, holder.number],
            "leaving": sorted(x.replica.replica_id for x in gateway.pool if x.leaving),
            "limits": sorted(x.limit.per_s for x in gateway.pool if x.limit.per_s is not None),
            "running": sum(x.running_count for x in gateway.pool if x.replica.service == ENGINE),
        }


def main() -> None:
    """Answer each line until the input ends."""
    process = GatewayProcess(sys.argv[1])
    for line in sys.stdin:
        print(json.dumps(process.step(json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
