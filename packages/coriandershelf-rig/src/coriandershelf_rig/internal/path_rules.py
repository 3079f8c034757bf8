"""Checks that callers of entry VMs without a path to the replicas are served like others."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from coriandershelf_rig.internal.part_rules import FirstTry

SERVED_SHARE_MIN = 2.0 / 3.0
FAILED_SLACK_COUNT = 10
FAILED_SLACK_SHARE = 1.0 / 50.0


@dataclass(slots=True)
class CutPeriod:
    """A period in which VMs were partitioned from all replicas."""

    vms: frozenset[str]
    from_s: float
    to_s: float = float("inf")


def cut_violation(period: CutPeriod, tries: Sequence[FirstTry], contact_s: float) -> str | None:
    """Return a line if first tries at the cut VMs were served too rarely."""
    judged = [item for item in tries if period.from_s + contact_s <= item.at_s <= period.to_s]
    cut = [item.begun for item in judged if item.vm in period.vms]
    others = [item.begun for item in judged if item.vm not in period.vms]
    if not cut or not others:
        return None
    failed_count = len(cut) - sum(cut)
    if failed_count <= FAILED_SLACK_COUNT + FAILED_SLACK_SHARE * len(judged):
        return None
    if sum(cut) / len(cut) >= SERVED_SHARE_MIN * sum(others) / len(others):
        return None
    return (
        f"VMs cut off from replicas served {sum(cut)} of {len(cut)} first tries, the others "
        f"{sum(others)} of {len(others)}"
    )
