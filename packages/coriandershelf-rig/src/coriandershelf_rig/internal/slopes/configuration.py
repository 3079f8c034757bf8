"""Cost of a configuration change on one node, by number of replicas in the inventory."""

from __future__ import annotations

import time

from coriandershelf_core.internal.vocabulary.records import ConfigurationProposed
from coriandershelf_rig.internal.deployments import (
    MIDDLE_ENGINE,
    CustomerSpec,
    Deployment,
    ReplicaSpec,
    inventory_yaml,
    rules_yaml,
)
from coriandershelf_rig.internal.slopes.fit import LinearFit, join_summaries, median_of
from coriandershelf_wire import encode_record, parse_configuration

NAME = "configuration"
REPLICA_COUNTS = (50, 100, 200, 400, 600)
TARGET_COUNT = 600
REPEAT_COUNT = 3
ZONES = tuple(f"zone-{index}" for index in range(6))


def _deployment(replica_count: int) -> Deployment:
    replicas = tuple(
        ReplicaSpec(
            f"replica-{index}",
            "model",
            ZONES[index % 6],
            MIDDLE_ENGINE,
            "c",
            "reclaimable",
            1.0,
            True,
        )
        for index in range(replica_count)
    )
    return Deployment(
        name="large",
        region="region",
        zones=ZONES,
        entries=(),
        model="model",
        plain="calls",
        non_idempotent_paths=("orders",),
        replicas=replicas,
        customers=(CustomerSpec("caller", 1.0, 0),),
        zone_latency_s=0.001,
        budget_per_hour=100.0,
    )


def run(seed: int) -> str:
    """Measure the CPU time of parsing one change and the size of its record."""
    cpu_points, size_points = [], []
    for count in REPLICA_COUNTS:
        deployment = _deployment(count)
        inventory, rules = inventory_yaml(deployment, {}), rules_yaml(deployment)

        def parse_ms(inventory: str = inventory, rules: str = rules) -> float:
            started_s = time.process_time()
            parse_configuration(inventory, rules, 1)
            return (time.process_time() - started_s) * 1000

        cpu_points.append((float(count), median_of(REPEAT_COUNT, parse_ms)))
        proposal = ConfigurationProposed("p", 0, "operator", 0.0, inventory, rules)
        size_points.append((float(count), len(encode_record("w", 1, 1, (proposal,))) / 1024))
    return join_summaries(
        [
            LinearFit(
                "processor time of one change", "replica", "ms", tuple(cpu_points), TARGET_COUNT
            ),
            LinearFit("record of one change", "replica", "KiB", tuple(size_points), TARGET_COUNT),
        ]
    )
