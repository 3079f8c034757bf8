"""What membership and load digests cost a node, by nodes, with 1.5 replicas a node."""

from __future__ import annotations

from coriandershelf_rig.internal.experiments.membership import IN_FLIGHT_DIGESTS, measure_costs
from coriandershelf_rig.internal.slopes.fit import Quantity, join

NAME = "membership"
NODE_COUNTS = (9, 25, 50, 100, 200)
TARGET_COUNT = 400


def run(seed: int) -> str:
    """Measure bytes, messages and processor time of a node in fleets of several sizes."""
    rows = [(float(count), measure_costs(count, seed, IN_FLIGHT_DIGESTS)) for count in NODE_COUNTS]
    kilobytes = tuple((size, cost.bytes_per_s / 1000) for size, cost in rows)
    worst = tuple((size, cost.bytes_worst_per_s / 1000) for size, cost in rows)
    core = tuple((size, cost.core_share * 100) for size, cost in rows)
    stale = tuple((size, cost.staleness_s) for size, cost in rows)
    return join(
        [
            Quantity("bytes of a node", "node", "KB/s", kilobytes, TARGET_COUNT),
            Quantity("bytes of the worst node", "node", "KB/s", worst, TARGET_COUNT),
            Quantity("processor of core and codec", "node", "% of a core", core, TARGET_COUNT),
            Quantity("age of loads, 95 in 100", "node", "s", stale, TARGET_COUNT),
        ]
    )
