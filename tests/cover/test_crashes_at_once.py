"""Several replicas crash together, twice within a second: callers that lose their streams go on.

Guards against callers that hold events and are turned away, while new streams begin (LOST): they
come back right after the crash, all at once.
"""

from __future__ import annotations

import pytest

from coriandershelf_rig.internal.gateway_bench import GatewayBench
from coriandershelf_rig.internal.replica_rules import RESUMED_SHARE_MIN, ResumptionCounts

REQUESTS_PER_S = 16.0
CRASHED_COUNT = 4


def crash_twice(seed: int, vms_count: int) -> GatewayBench:
    """Return a site of twelve replicas of which eight have crashed, in two groups."""
    bench = GatewayBench(
        seed, vms_count, 12, events_count=60, slots_count=48, honours_retry_after=True,
    )  # fmt: skip
    # The site has run for long enough to know the starts of its replicas.
    bench.time.run(10.0)
    bench.load(REQUESTS_PER_S, 8.0)
    bench.resumptions = ResumptionCounts()
    bench.refusals.clear()
    for _ in range(2):
        for name in sorted(bench.replicas)[:CRASHED_COUNT]:
            bench.crash_and_restart(name)
        bench.load(REQUESTS_PER_S, 0.5)
    bench.load(REQUESTS_PER_S, 3.5)
    return bench


def shares(counts: ResumptionCounts) -> tuple[float, float]:
    """Return the share of taken-up streams that went on, and of new ones that began."""
    resumed_share = counts.resumed / max(1, counts.resumed + counts.not_resumed)
    return resumed_share, counts.begun / max(1, counts.begun + counts.not_begun)


# Guards against callers that are turned away because this VM, like each other one, has yet to find
# out which replicas are gone.
@pytest.mark.parametrize("vms_count", [1, 8])
@pytest.mark.parametrize("seed", range(4))
def test_streams_go_on_at_the_replicas_that_are_left(seed, vms_count):
    bench = crash_twice(seed, vms_count)
    resumed_share, begun_share = shares(bench.resumptions)
    assert bench.resumptions.resumed > 0
    assert resumed_share >= 0.8, f"{bench.resumptions}, {bench.refusals}"
    assert resumed_share >= RESUMED_SHARE_MIN * begun_share
