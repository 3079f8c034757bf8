"""Cost of membership and load digests per node, by number of nodes, with 1.5 replicas each."""

from __future__ import annotations

from coriandershelf_rig.internal.experiments.membership import IN_FLIGHT_DIGESTS, measure_costs
from coriandershelf_rig.internal.slopes.fit import LinearFit, join_summaries

NAME = "membership"
NODE_COUNTS = (9, 25, 50, 100, 200)
TARGET_COUNT = 400


def run(seed: int) -> str:
    """Measure one node's bytes, CPU time and age of loads in fleets of several sizes."""
    rows = [(float(count), measure_costs(count, seed, IN_FLIGHT_DIGESTS)) for count in NODE_COUNTS]
    mean_kilobytes = tuple((size, cost.bytes_per_s / 1000) for size, cost in rows)
    worst_kilobytes = tuple((size, cost.bytes_max_per_s / 1000) for size, cost in rows)
    core_percent = tuple((size, cost.core_share * 100) for size, cost in rows)
    load_age_s = tuple((size, cost.staleness_s) for size, cost in rows)
    return join_summaries(
        [
            LinearFit("bytes of a node", "node", "KB/s", mean_kilobytes, TARGET_COUNT),
            LinearFit("bytes of the worst node", "node", "KB/s", worst_kilobytes, TARGET_COUNT),
            LinearFit(
                "processor of core and codec", "node", "% of a core", core_percent, TARGET_COUNT
            ),
            LinearFit("age of loads, 95 in 100", "node", "s", load_age_s, TARGET_COUNT),
        ]
    )
