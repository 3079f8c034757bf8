"""Operators publish concurrently while answers are lost and a zone is partitioned.

The accepted versions are recomputed from the log's records, independently of the code under test.
Every operator must have received the right verdict, and every entry VM must serve each accepted
version within the target.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import click

from coriandershelf_core.internal.configuration.configuration_log import ConfigurationLog
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    ConfigurationProposed,
    Record,
)
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import consorcio, inventory_yaml, rules_yaml
from coriandershelf_rig.internal.log_model import AppendOutcome
from coriandershelf_rig.internal.report import Report

NAME = "config-race"
OPERATOR_COUNT = 6
CHANGE_COUNT = 8
THINK_TIME_MAX_S = 2.0
EDIT_TIME_MAX_S = 3.0
POLL_PERIOD_S = 0.2
RESEND_PERIOD_S = 1.0
LOST_ANSWER_SHARE = 0.3
LOST_APPEND_SHARE = 0.1
CUT_ZONE = "vc-c"
CUT_AT_S = 5.0
CUT_DURATION_S = 25.0
OUTAGE_AT_S = 35.0
OUTAGE_DURATION_S = 6.0
DURATION_S = 70.0
WATCH_PERIOD_S = 0.05
TARGET_S = 10.0


@dataclass(slots=True)
class Proposal:
    """One proposed change and the verdict that its operator received."""

    record: ConfigurationProposed
    resend_at_s: float = 0.0
    acknowledged: bool = False
    reported_accepted: bool | None = None


class Operator:
    """Publishes one change after another as the operator's tool does.

    :param reads_back: whether the verdict is read from the log; otherwise it is taken from the
        answer to the append.
    """

    def __init__(self, name: str, bench: Bench, rng: random.Random, reads_back: bool) -> None:
        self._name = name
        self._bench = bench
        self._rng = rng
        self._reads_back = reads_back
        self._log = ConfigurationLog()
        self.proposals: list[Proposal] = []
        bench.at(rng.random() * THINK_TIME_MAX_S, self._propose)

    def _read(self) -> bool:
        bench = self._bench
        answer = bench.log.read(CONFIGURATION_STREAM, self._log.next_offset, 500, bench.now_s)
        if answer is None:
            return False
        stored, first_offset, next_offset = answer
        records = tuple(Record(item.offset, item.time_s, *item.data) for item in stored)
        self._log.read(records, first_offset, next_offset)
        return True

    def _propose(self) -> None:
        if not self._read():
            self._bench.at(POLL_PERIOD_S, self._propose)
            return
        number = len(self.proposals) + 1
        deployment = self._bench.deployment
        budget = 1.0 + self._rng.random() * 100.0
        rules = f"{rules_yaml(deployment)}\n# {self._name} {number}\n".replace(
            f"budget_per_hour: {deployment.budget_per_hour}", f"budget_per_hour: {budget:.3f}"
        )
        record = ConfigurationProposed(
            f"{self._name}-{number}",
            self._log.version,
            self._name,
            self._bench.now_s,
            inventory_yaml(deployment, {}),
            rules,
            changed_paths=("rules.budget_per_hour",),
        )
        self.proposals.append(Proposal(record))
        proposal = self.proposals[-1]
        self._bench.at(self._rng.random() * EDIT_TIME_MAX_S, lambda: self._advance(proposal))

    def _advance(self, proposal: Proposal) -> None:
        now_s = self._bench.now_s
        if now_s >= proposal.resend_at_s:
            proposal.resend_at_s = now_s + RESEND_PERIOD_S
            self._append(proposal)
        if self._reads_back:
            readable = self._read()
            verdict = self._log.verdicts.get(proposal.record.publish_id)
            if readable and verdict is not None:
                proposal.reported_accepted = verdict.accepted
        else:
            proposal.reported_accepted = proposal.acknowledged
        if proposal.reported_accepted is None:
            self._bench.at(POLL_PERIOD_S, lambda: self._advance(proposal))
        elif len(self.proposals) < CHANGE_COUNT:
            self._bench.at(self._rng.random() * THINK_TIME_MAX_S, self._propose)

    def _append(self, proposal: Proposal) -> None:
        if self._rng.random() < LOST_APPEND_SHARE:
            return
        data = (proposal.record.publish_id, 1, 1, (proposal.record,))
        outcome, _ = self._bench.log.append(CONFIGURATION_STREAM, data, self._bench.now_s)
        proposal.acknowledged = outcome is AppendOutcome.ACCEPTED


class VersionWatcher:
    """Records when each entry VM first serves each version."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self.served_at_s: dict[str, dict[int, float]] = {vm_id: {} for vm_id in bench.entries}
        self.regression_count = 0
        self._poll()

    def _poll(self) -> None:
        for vm_id, entry in self._bench.entries.items():
            version = entry.core.configuration.version_in_force
            first_served_at_s = self.served_at_s[vm_id]
            newest = max(first_served_at_s, default=0)
            self.regression_count += version < newest
            for reached in range(newest + 1, version + 1):
                first_served_at_s[reached] = self._bench.now_s
        self._bench.at(WATCH_PERIOD_S, self._poll)


def accepted_in_log(bench: Bench) -> dict[str, tuple[int, float, str]]:
    """Return version, time and rules of each accepted proposal, recomputed from the log."""
    answer = bench.log.read(CONFIGURATION_STREAM, 0, 1_000_000, bench.now_s)
    assert answer is not None, "the log must be available when the accepted versions are read"
    accepted: dict[str, tuple[int, float, str]] = {}
    for item in answer[0]:
        for entry in item.data[3]:
            if not isinstance(entry, ConfigurationProposed):
                continue
            if entry.base_version == len(accepted) and entry.publish_id not in accepted:
                accepted[entry.publish_id] = (len(accepted) + 1, item.time_s, entry.rules_text)
    return accepted


def _worst_propagation_s(
    watcher: VersionWatcher, accepted: dict[str, tuple[int, float, str]]
) -> float:
    unserved_s = DURATION_S
    worst_s = 0.0
    for version, at_s, _ in accepted.values():
        for first_served_at_s in watcher.served_at_s.values():
            worst_s = max(worst_s, first_served_at_s.get(version, at_s + unserved_s) - at_s)
    return worst_s


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Run the concurrent publications and check the result."""
    bench = Bench(consorcio(), seed, disabled=disabled)
    bench.run(1.0)
    bench.log.lost_answer_share = LOST_ANSWER_SHARE
    rng = random.Random(seed)
    reads_back = "verdict-read-back" not in disabled
    operators = [
        Operator(f"operator-{index + 1}", bench, rng, reads_back) for index in range(OPERATOR_COUNT)
    ]
    watcher = VersionWatcher(bench)
    cut_vms = {vm_id for vm_id, entry in bench.entries.items() if entry.zone == CUT_ZONE}
    platform = {"log", "list"}

    def cut(source: str, target: str) -> bool:
        return source in cut_vms and target in platform

    def set_cut(active: bool) -> None:
        bench.is_cut = cut if active else lambda source, target: False

    def set_down(down: bool) -> None:
        bench.log.down = down

    bench.at(CUT_AT_S, lambda: set_cut(True))
    bench.at(CUT_AT_S + CUT_DURATION_S, lambda: set_cut(False))
    bench.at(OUTAGE_AT_S, lambda: set_down(True))
    bench.at(OUTAGE_AT_S + OUTAGE_DURATION_S, lambda: set_down(False))
    bench.run(DURATION_S)
    accepted = accepted_in_log(bench)
    proposals = [item for operator in operators for item in operator.proposals]
    wrong_verdict_count = sum(
        item.reported_accepted is not (item.record.publish_id in accepted) for item in proposals
    )
    version, _, rules = list(accepted.values())[-1]
    wrong_final_count = sum(
        entry.core.configuration.version_in_force != version
        or entry.core.configuration.texts is None
        or entry.core.configuration.texts.rules_text != rules
        for entry in bench.entries.values()
    )
    worst_s = _worst_propagation_s(watcher, accepted)
    late = int(worst_s > TARGET_S)
    unfinished_count = sum(len(operator.proposals) < CHANGE_COUNT for operator in operators)
    if verbose:
        click.echo(f"proposals {len(proposals)}, accepted {len(accepted) - 1}, version {version}")
        click.echo(f"wrong verdicts {wrong_verdict_count}, unfinished operators {unfinished_count}")
        click.echo(
            f"entry VMs with a wrong final version {wrong_final_count}, "
            f"version regressions {watcher.regression_count}"
        )
    return Report(
        experiment=NAME,
        seed=seed,
        measure="worst time from acceptance to in force everywhere, s",
        baseline=None,
        candidate=worst_s,
        target=TARGET_S,
        violations=wrong_verdict_count
        + wrong_final_count
        + watcher.regression_count
        + late
        + unfinished_count,
    )
