"""Checks what becomes of requests with a prompt part that crashes replicas, and of those beside.

The checks see only what replicas and callers see, never the state of an entry VM.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from coriandershelf_rig.internal.replica_rules import ArrivedRequest, ExcusedPeriod

CRASHES_MAX_COUNT = 5
LATE_ARRIVALS_MAX_COUNT = 3
FIRST_TRIES_MIN_COUNT = 20
BEGUN_SHARE_MIN = 0.5


@dataclass(slots=True)
class CrashingPart:
    """A prompt part under which each replica crashes that begins to answer.

    :param crashes_at_s: when replicas crashed under it.
    :param arrivals: the requests with it that reached replicas, by time.
    :param asked_at_s: when callers sent requests with it.
    """

    part_id: str
    crashes_at_s: list[float] = field(default_factory=list)
    arrivals: list[ArrivedRequest] = field(default_factory=list)
    asked_at_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class FirstTry:
    """A caller's first try of a request without such a part that shares other parts with them."""

    at_s: float
    vm: str
    begun: bool = False


def crash_violation(
    part: CrashingPart, excused: Sequence[ExcusedPeriod], contact_s: float
) -> str | None:
    """Return a line if too many requests with the part reached replicas after its fifth crash."""
    if len(part.crashes_at_s) < CRASHES_MAX_COUNT:
        return None
    from_s = sorted(part.crashes_at_s)[CRASHES_MAX_COUNT - 1] + contact_s
    late = [
        arrival
        for arrival in part.arrivals
        if arrival.at_s > from_s
        and not any(
            item.vm == arrival.vm and item.from_s <= arrival.at_s <= item.to_s for item in excused
        )
    ]
    if len(late) <= LATE_ARRIVALS_MAX_COUNT:
        return None
    return (
        f"requests with part {part.part_id} reached replicas {len(late)} times after five had "
        f"crashed, first at {late[0].at_s:.2f} s; {len(part.crashes_at_s)} crashed in all"
    )


def neighbour_violation(
    part: CrashingPart, tries: Sequence[FirstTry], contact_s: float
) -> str | None:
    """Return a line if requests beside those with the part begin too rarely."""
    if not part.crashes_at_s:
        return None
    crashes_at_s = sorted(part.crashes_at_s)
    from_s = crashes_at_s[:CRASHES_MAX_COUNT][-1] + 2.0 * contact_s
    during = [item.begun for item in tries if from_s <= item.at_s <= part.asked_at_s[-1]]
    outside = [item.begun for item in tries if item.at_s < part.asked_at_s[0]]
    if min(len(during), len(outside)) < FIRST_TRIES_MIN_COUNT:
        return None
    share, usual_share = sum(during) / len(during), sum(outside) / len(outside)
    if share >= BEGUN_SHARE_MIN * usual_share:
        return None
    return (
        f"{share:.0%} of the requests beside part {part.part_id} begin at the first try, "
        f"{usual_share:.0%} did before"
    )
