"""Draws the faults of a soak and their times from a seed."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

# Each kind of fault and its kind of target: an entry VM, the network path from a VM to the store, a
# replica, the network path to a replica, a replica of streams, a replica that runs as a process of
# its own, or the whole site.
TARGET_OF_FAULT = {
    "kill": "vm",
    "pause": "vm",
    "stop": "vm",
    "double-stop": "vm",
    "reload": "vm",
    "store-cut": "store-way",
    "store-silent": "store-way",
    "store-slow": "store-way",
    "store-one-way": "store-way",
    "store-thin": "store-way",
    "replica-cut": "replica-way",
    "replica-silent": "replica-way",
    "replica-slow": "replica-way",
    "replica-restart": "replica",
    "replica-leave": "replica",
    "replica-upgrade": "replica",
    "replica-errors": "replica",
    "replica-refuses": "replica",
    "replica-loses-answers": "replica",
    "replica-garbles": "replica",
    "replica-limits": "replica",
    "replica-states-wrong-ids": "replica",
    "restart-silent": "engine",
    "restart-quick": "engine",
    "restart-unseen": "engine",
    "restart-cut": "engine",
    "restart-outage": "engine",
    "restart-kill-all": "engine",
    "restart-late-writes": "engine",
    "crash-same-version": "process",
    "crash-other-version": "process",
    "crash-new-id": "process",
    "store-refuses": "site",
    "store-loses-answers": "site",
    "store-drops-history": "site",
    "store-late-writes": "site",
    "new-version": "site",
    "large-version": "site",
    "key-taken-away": "site",
    "kill-all": "site",
    "roll-and-kill-all": "site",
}
INTERVAL_MIN_S, INTERVAL_MAX_S = 0.2, 1.4
DURATION_MIN_S, DURATION_MAX_S = 0.3, 4.0
# Faults of the whole site are drawn less often than faults of one component.
SITE_FAULT_WEIGHT = 0.4


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param target: index among the targets of the fault's kind.
    """

    at_s: float
    kind: str
    target: int
    duration_s: float

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind} of {self.target} for {self.duration_s:.2f} s"


def make_plan(
    seed: int, length_s: float, target_counts: dict[str, int], kinds: Collection[str] = ()
) -> list[Fault]:
    """Return the faults of a soak, ordered by time; they overlap.

    :param target_counts: number of targets by kind of target.
    :param kinds: the kinds of fault that are drawn, all of them if empty.
    """
    rng = random.Random(seed)
    kinds = sorted(kinds or TARGET_OF_FAULT)
    weights = [SITE_FAULT_WEIGHT if TARGET_OF_FAULT[kind] == "site" else 1.0 for kind in kinds]
    plan = []
    at_s = rng.uniform(INTERVAL_MIN_S, INTERVAL_MAX_S)
    while at_s < length_s:
        (kind,) = rng.choices(kinds, weights)
        duration_s = min(rng.uniform(DURATION_MIN_S, DURATION_MAX_S), max(0.1, length_s - at_s))
        plan.append(
            Fault(at_s, kind, rng.randrange(target_counts[TARGET_OF_FAULT[kind]]), duration_s)
        )
        at_s += rng.uniform(INTERVAL_MIN_S, INTERVAL_MAX_S)
    return plan
