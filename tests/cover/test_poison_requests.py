"""What counts as evidence that a request crashes replicas, and what refutes it."""

from __future__ import annotations

import pytest

from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.poison_requests import (
    CRASHES_MAX_COUNT,
    FINGERPRINT_KEEP_S,
    PoisonRequests,
)

FINGERPRINT = 7
DIGEST_PERIOD_S = 0.1


def exchange(vms: list[PoisonRequests], now_s: float) -> None:
    """Let all VMs send their digests to all others."""
    digests = [
        Digest(f"vm-{number}", "", "", 1, 1, 0.0, crashes=vm.own_counts())
        for number, vm in enumerate(vms)
    ]
    for number, vm in enumerate(vms):
        for other, digest in enumerate(digests):
            if other != number:
                vm.on_digest(digest, now_s)


def run(vms: list[PoisonRequests], from_s: float, duration_s: float) -> float:
    """Let VMs exchange digests for some time; return when it ends."""
    now_s = from_s
    while now_s < from_s + duration_s:
        now_s += DIGEST_PERIOD_S
        for vm in vms:
            vm.on_tick(now_s)
        exchange(vms, now_s)
    return now_s


# Guards against a request that is refused for as long as two VMs live, since each keeps the other's
# evidence alive.
@pytest.mark.parametrize("vms_count", [1, 2, 8])
def test_evidence_that_several_vms_hold_ends(vms_count):
    vms = [PoisonRequests() for _ in range(vms_count)]
    for number in range(CRASHES_MAX_COUNT):
        at_s = 100.0 + number
        vms[number % vms_count].on_crash(FINGERPRINT, at_s)
    now_s = run(vms, 103.0, FINGERPRINT_KEEP_S - 10.0)
    assert all(vm.is_poison(FINGERPRINT) for vm in vms)
    now_s = run(vms, now_s, FINGERPRINT_KEEP_S)
    assert not any(vm.is_poison(FINGERPRINT) for vm in vms)
    assert not any(vm.own_counts() for vm in vms)
