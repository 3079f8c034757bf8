"""Every reader of the configuration stream reaches the same verdicts, wherever it started."""

from __future__ import annotations

from configuration_log_machine import ConfigurationLogMachine, snapshot_of
from hypothesis import settings

from coriandershelf_core.internal.configuration.configuration_log import (
    ConfigurationLog,
    VerdictReason,
)
from coriandershelf_core.internal.vocabulary.records import (
    AcceptedChange,
    ConfigurationProposed,
    ConfigurationSnapshot,
    Record,
)

TestReadersAgree = ConfigurationLogMachine.TestCase
TestReadersAgree.settings = settings(max_examples=60, stateful_step_count=40)


def proposal(publish_id: str, base: int, operator: str = "ana", format: int = 1, paths=()):
    return ConfigurationProposed(publish_id, base, operator, 1.0, publish_id, "", format, paths)


def records_of(*entries) -> tuple[Record, ...]:
    return tuple(Record(index, 0.0, "w", 1, index, (e,)) for index, e in enumerate(entries))


def log_of(*entries) -> ConfigurationLog:
    log = ConfigurationLog()
    log.read(records_of(*entries), 0, len(entries))
    return log


def test_of_two_proposals_on_one_base_the_first_in_the_log_is_accepted():
    log = log_of(proposal("a", 0), proposal("b", 0, "luis"))
    assert log.verdicts["a"].accepted
    assert log.verdicts["b"].reason is VerdictReason.CONFLICT
    assert log.version == 1


def test_a_rejection_names_who_changed_what_first():
    log = log_of(
        proposal("a", 0),
        proposal("b", 1, "luis", paths=("inventory.replicas[r1].slots",)),
        proposal("c", 1, "marcia"),
    )
    (change,) = log.conflicting_changes(log.verdicts["c"])
    assert (change.operator, change.version) == ("luis", 2)
    assert change.changed_paths == ("inventory.replicas[r1].slots",)


def test_a_proposal_that_stands_twice_keeps_its_first_verdict():
    log = log_of(proposal("a", 0), proposal("a", 0), proposal("b", 1))
    assert log.verdicts["a"].accepted
    assert log.version == 2


def test_texts_that_this_software_cannot_read_get_the_same_verdict_as_anywhere():
    assert log_of(proposal("not yaml: [", 0)).version == 1


def test_a_format_that_the_log_does_not_allow_yet_is_refused():
    assert log_of(proposal("a", 0, format=2)).verdicts["a"].reason is VerdictReason.FORMAT


def test_a_reader_behind_retention_judges_nothing_before_a_snapshot():
    log = ConfigurationLog()
    (first,) = records_of(proposal("late", 0))
    log.read((Record(7, 0.0, "w", 1, 1, first.entries),), 7, 8)
    assert not log.anchored
    assert log.version == 0
    assert "late" not in log.verdicts


def test_a_snapshot_whose_place_has_expired_is_not_used():
    warm = log_of(proposal("a", 0))
    cold = ConfigurationLog()
    cold.read((Record(9, 0.0, "w", 1, 1, (snapshot_of(warm, 1),)),), 9, 10)
    assert not cold.anchored


def test_of_snapshots_written_after_every_reader_missed_records_the_highest_version_wins():
    def snapshot(version: int) -> ConfigurationSnapshot:
        change = AcceptedChange(version, 1, f"p{version}", "ana", 0.0)
        return ConfigurationSnapshot(5, (change,), f"text {version}", "", 1, 1)

    for order in ((5, 7), (7, 5)):
        log = ConfigurationLog()
        entries = [Record(5 + i, 0.0, "w", 1, i, (snapshot(v),)) for i, v in enumerate(order)]
        log.read(tuple(entries), 5, 7)
        assert log.version == 7


def test_records_before_a_peers_place_are_not_judged_again_on_the_peers_version():
    entries = (proposal("a", 0), proposal("too-early", 2), proposal("b", 1))
    warm = log_of(*entries)
    assert not warm.verdicts["too-early"].accepted
    cold = ConfigurationLog()
    cold.read((), 1, 1)
    assert cold.anchor(warm.texts, warm.next_offset)
    cold.read(records_of(*entries)[1:], 1, 3)
    assert cold.version == warm.version == 2
    assert not cold.verdicts["too-early"].accepted
