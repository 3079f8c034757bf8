"""An accepted configuration is in force everywhere within seconds and never reverts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from coriandershelf_core import CoreSettings
from coriandershelf_core.internal.vocabulary.messages import ConfigurationQuery
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.experiments import config_race

TARGET_S = 10.0
RETENTION_S = 60.0
SHORT_PERIODS = CoreSettings(configuration_snapshot_s=RETENTION_S / 4, configuration_recover_s=3.0)
NO_SPREAD = frozenset({"configuration-spread"})
NO_SNAPSHOT = frozenset({"configuration-snapshot"})


def make_bench(disabled: frozenset[str] = frozenset(), settings=SHORT_PERIODS) -> Bench:
    deployment = kingston()
    small = replace(deployment, entries=deployment.entries[:4])
    bench = Bench(small, 1, settings, disabled)
    bench.log.retention_s = RETENTION_S
    bench.run(2.0)
    return bench


def versions(bench: Bench) -> set[int]:
    return {entry.core.configuration.version_in_force for entry in bench.entries.values()}


def cut_zone(bench: Bench, zone: str, *names: str) -> None:
    zone_vm_ids = {vm_id for vm_id, entry in bench.entries.items() if entry.zone == zone}
    bench.is_cut = lambda source, target: source in zone_vm_ids and target in names


def publish_change(bench: Bench, base: int) -> None:
    bench.publish(f"change-{base}", base)


def test_a_zone_cut_from_the_platform_learns_a_change_from_peers():
    bench = make_bench()
    cut_zone(bench, "jm-b", "log", "list")
    publish_change(bench, 1)
    bench.run(TARGET_S)
    assert versions(bench) == {2}


def test_without_the_spread_a_zone_cut_from_the_platform_stays_behind():
    bench = make_bench(NO_SPREAD)
    cut_zone(bench, "jm-b", "log", "list")
    publish_change(bench, 1)
    bench.run(TARGET_S)
    assert versions(bench) == {1, 2}


def test_a_vm_that_boots_during_an_outage_asks_peers():
    bench = make_bench()
    bench.log.down = True
    bench.start_entry("entry-1", "jm-a")
    bench.run(TARGET_S)
    assert bench.entries["entry-1"].core.configuration.version_in_force == 1


@pytest.mark.parametrize("disabled", [frozenset(), NO_SNAPSHOT])
def test_the_configuration_outlives_retention_only_by_its_snapshots(disabled):
    bench = make_bench(disabled)
    publish_change(bench, 1)
    bench.run(RETENTION_S * 3)
    bench.log.down = True
    for vm_id, entry in list(bench.entries.items()):
        bench.kill_entry(vm_id)
        bench.start_entry(vm_id, entry.zone)
    bench.log.down = False
    bench.run(TARGET_S)
    assert versions(bench) == ({0} if disabled else {2})


def test_versions_go_on_rising_after_every_vm_was_replaced_behind_retention():
    bench = make_bench()
    for base in range(1, 5):
        publish_change(bench, base)
        bench.run(RETENTION_S * 1.5)
        for vm_id, entry in list(bench.entries.items()):
            bench.kill_entry(vm_id)
            bench.start_entry(vm_id, entry.zone)
        bench.run(TARGET_S)
        assert versions(bench) == {base + 1}


def test_a_vm_that_slept_past_retention_goes_on_at_the_newest_version():
    bench = make_bench()
    bench.pause_entry("entry-4")
    publish_change(bench, 1)
    bench.run(RETENTION_S * 2)
    bench.resume_entry("entry-4")
    publish_change(bench, 2)
    bench.run(TARGET_S)
    assert versions(bench) == {3}
    assert bench.entries["entry-4"].core.configuration.log.anchored


def test_an_outage_longer_than_retention_loses_neither_version_nor_verdicts():
    bench = make_bench()
    publish_change(bench, 1)
    bench.run(2.0)
    bench.log.down = True
    bench.run(RETENTION_S * 2)
    bench.log.down = False
    bench.run(TARGET_S)
    publish_change(bench, 1)
    publish_change(bench, 2)
    bench.run(TARGET_S)
    assert versions(bench) == {3}
    for entry in bench.entries.values():
        assert entry.core.configuration.log.anchored


def test_texts_that_are_not_understood_leave_the_last_ones_in_force():
    bench = make_bench()
    bench.publish("newer", 1, rules_text="format: 7\n")
    bench.run(TARGET_S)
    assert versions(bench) == {1}
    assert {entry.core.configuration.version for entry in bench.entries.values()} == {2}
    publish_change(bench, 2)
    bench.run(TARGET_S)
    assert versions(bench) == {3}


def test_racing_operators_are_told_the_truth_and_every_vm_serves_what_was_accepted():
    assert config_race.run(seed=1).violations == 0


@pytest.mark.parametrize("mechanism", ["configuration-spread"])
def test_the_race_finds_each_mechanism_missing(mechanism):
    assert config_race.run(seed=1, disabled=frozenset({mechanism})).violations > 0


def test_after_records_expired_unread_by_everyone_versions_go_on_from_what_is_remembered():
    rare_snapshots = replace(SHORT_PERIODS, configuration_snapshot_s=RETENTION_S * 100)
    bench = make_bench(settings=rare_snapshots)
    bench.is_cut = lambda source, target: target == "log"
    publish_change(bench, 1)
    bench.run(RETENTION_S * 1.5)
    bench.is_cut = lambda source, target: False
    bench.run(TARGET_S)
    bench.publish("after", 1)
    bench.run(TARGET_S)
    assert versions(bench) == {2}
    assert all(entry.core.configuration.log.anchored for entry in bench.entries.values())


def test_a_vm_that_has_its_version_from_a_peer_names_no_offset_for_it():
    bench = make_bench()
    cut_zone(bench, "jm-b", "log", "list")
    publish_change(bench, 1)
    bench.run(TARGET_S)
    query = ConfigurationQuery(0, "")
    cut = next(entry for entry in bench.entries.values() if entry.zone == "jm-b")
    assert cut.core.configuration.answer_query(query).snapshot.through_offset < 0
    others = [entry for entry in bench.entries.values() if entry.zone != "jm-b"]
    for entry in others:
        assert entry.core.configuration.answer_query(query).snapshot.through_offset >= 2
