"""Which entry VM keeps a copy of a job's output, and in which order VMs restart a lost job."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from coriandershelf_core.internal.jobs.job_table import VmRef
from coriandershelf_core.internal.vocabulary.events import VmStatus


def weight(job_id: str, vm_id: str) -> int:
    """Return the rendezvous weight of a VM for a job, the same at every VM."""
    return xxhash.xxh64_intdigest(f"{job_id}\0{vm_id}".encode())


def choose_copy_keeper(job_id: str, zone: str, candidates: Sequence[VmStatus]) -> VmRef | None:
    """Return who keeps the copy: a VM of another availability zone where there is one."""
    far = [status for status in candidates if status.zone != zone]
    pool = far or candidates
    if not pool:
        return None
    chosen = min(pool, key=lambda status: weight(job_id, status.vm_id))
    return VmRef(chosen.vm_id, chosen.incarnation)


def restart_rank(job_id: str, vm_id: str, peers: Sequence[VmStatus]) -> int:
    """Return how many live peers come before a VM in restarting a lost job."""
    mine = weight(job_id, vm_id)
    return sum(weight(job_id, peer.vm_id) < mine for peer in peers)
