"""Which faults a soak brings about, and when: a plan drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

# Kind of fault and the targets that it takes: an entry VM, its way to the store, a replica, the
# way to a replica, or the site as a whole.
KINDS = {
    "kill": "vm",
    "pause": "vm",
    "stop": "vm",
    "double-stop": "vm",
    "reload": "vm",
    "store-cut": "store-way",
    "store-silent": "store-way",
    "store-slow": "store-way",
    "store-one-way": "store-way",
    "replica-cut": "replica-way",
    "replica-silent": "replica-way",
    "replica-slow": "replica-way",
    "replica-restart": "replica",
    "replica-leave": "replica",
    "replica-errors": "replica",
    "replica-refuses": "replica",
    "replica-loses-answers": "replica",
    "replica-garbles": "replica",
    "store-refuses": "site",
    "store-loses-answers": "site",
    "store-drops-history": "site",
    "new-version": "site",
    "key-taken-away": "site",
    "kill-all": "site",
}
PAUSE_MIN_S, PAUSE_MAX_S = 0.2, 1.4
LAST_MIN_S, LAST_MAX_S = 0.3, 4.0
# Faults of the whole site are drawn less often than those of a part.
SITE_WEIGHT = 0.4


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param target: index among the targets of its kind.
    """

    at_s: float
    kind: str
    target: int
    last_s: float

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind} of {self.target} for {self.last_s:.2f} s"


def make_plan(seed: int, length_s: float, targets: dict[str, int]) -> list[Fault]:
    """Return the faults of a soak, in order of time; they come in series and overlap.

    :param targets: how many targets there are of each sort.
    """
    rng = random.Random(seed)
    names = sorted(KINDS)
    weights = [SITE_WEIGHT if KINDS[name] == "site" else 1.0 for name in names]
    plan = []
    at_s = rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
    while at_s < length_s:
        (kind,) = rng.choices(names, weights)
        last_s = min(rng.uniform(LAST_MIN_S, LAST_MAX_S), max(0.1, length_s - at_s))
        plan.append(Fault(at_s, kind, rng.randrange(targets[KINDS[kind]]), last_s))
        at_s += rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
    return plan
