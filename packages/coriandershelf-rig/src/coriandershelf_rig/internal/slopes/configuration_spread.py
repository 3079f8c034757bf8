"""Time until a new configuration is in force everywhere, by number of entry VMs.

The store turns a part of the VMs away, which get each version from the others.
"""

from __future__ import annotations

from coriandershelf_rig.internal.spread_bench import SpreadBench, SpreadSettings

NAME = "configuration-spread"
WARM_UP_S = 6.0
VERSIONS_COUNT = 3
LIMIT_S = 6.0
# The letter's size is 400 VMs in six zones.
SITES = (
    SpreadSettings(90, 3, 0.35),
    SpreadSettings(90, 3, 0.35, whole_zone=True),
    SpreadSettings(90, 3, 87 / 90),
    SpreadSettings(195, 5, 0.35),
    SpreadSettings(195, 5, 0.35, whole_zone=True),
    SpreadSettings(400, 6, 0.35),
    SpreadSettings(400, 6, 0.2, whole_zone=True),
)


def run(seed: int) -> str:
    """Measure the sites; a line each."""
    return "\n".join(_measure(settings, seed) for settings in SITES)


def _measure(settings: SpreadSettings, seed: int) -> str:
    bench = SpreadBench(seed, settings)
    bench.publish(to_all=True)
    bench.time.run(WARM_UP_S)
    taken_s: list[float] = []
    for _ in range(VERSIONS_COUNT):
        published_at_s = bench.time.now_s
        version = bench.publish()
        bench.time.run(LIMIT_S)
        late = bench.late_vms(version, LIMIT_S, published_at_s)
        assert not late, f"version {version} is not in force after {LIMIT_S} s at {late}"
        taken_s.append(max(bench.in_force_at_s[version].values()) - published_at_s)
    most_sent = max(bench.sent_bytes.values(), default=0) / settings.configuration_bytes
    where = "of the first zones" if settings.whole_zone else "at random"
    return (
        f"{settings.vms_count} VMs, {len(bench.turned_away)} turned away {where}: in force "
        f"everywhere after {max(taken_s):.2f} s; {bench.fetches_count} asked, "
        f"{bench.refusals_count} refused, at most {most_sent:.0f} copies sent by one VM"
    )
