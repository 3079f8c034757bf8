"""Selects the entry VM that keeps a copy of a job's output, and the VM that restarts a lost job."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from coriandershelf_core.internal.jobs.job_table import VmRef
from coriandershelf_core.internal.vocabulary.events import VmStatus


def rendezvous_weight(job_id: str, vm_id: str) -> int:
    """Return the rendezvous hashing weight of a VM for a job, the same at every VM.

    Lower weights come first.
    """
    return xxhash.xxh64_intdigest(f"{job_id}\0{vm_id}".encode())


def choose_copy_vm(job_id: str, zone: str, candidates: Sequence[VmStatus]) -> VmRef | None:
    """Return the VM that keeps the copy, preferably in another availability zone."""
    other_zone = [status for status in candidates if status.zone != zone]
    pool = other_zone or candidates
    if not pool:
        return None
    chosen = min(pool, key=lambda status: rendezvous_weight(job_id, status.vm_id))
    return VmRef(chosen.vm_id, chosen.incarnation)


def restart_rank(job_id: str, vm_id: str, peers: Sequence[VmStatus]) -> int:
    """Return how many live peers precede a VM in the order of restarting a lost job."""
    own_weight = rendezvous_weight(job_id, vm_id)
    return sum(rendezvous_weight(job_id, peer.vm_id) < own_weight for peer in peers)
