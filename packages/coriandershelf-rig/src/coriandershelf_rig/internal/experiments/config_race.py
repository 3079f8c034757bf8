"""Operators race each other while answers are lost and a zone is cut from the platform.

The judge folds the log's records with its own loop. Every operator must have been told the truth,
and every entry VM must serve each accepted version within the target.
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
from coriandershelf_rig.internal.log_model import AppendFate
from coriandershelf_rig.internal.report import Report

NAME = "config-race"
OPERATOR_COUNT = 6
CHANGE_COUNT = 8
THINK_S = 2.0
EDIT_S = 3.0
POLL_S = 0.2
RESEND_S = 1.0
LOST_ANSWER_SHARE = 0.3
LOST_APPEND_SHARE = 0.1
CUT_ZONE = "vc-c"
CUT_FROM_S = 5.0
CUT_FOR_S = 25.0
OUTAGE_FROM_S = 35.0
OUTAGE_FOR_S = 6.0
DURATION_S = 70.0
WATCH_S = 0.05
TARGET_S = 10.0


@dataclass(slots=True)
class Proposal:
    """One change of an operator, and what the operator was told of it."""

    record: ConfigurationProposed
    resend_at_s: float = 0.0
    answered: bool = False
    told_accepted: bool | None = None


class Operator:
    """Publishes one change after another as the operator's tool does.

    :param reads_back: whether the verdict is read from the log rather than taken from the answer.
    """

    def __init__(self, name: str, bench: Bench, rng: random.Random, reads_back: bool) -> None:
        self._name = name
        self._bench = bench
        self._rng = rng
        self._reads_back = reads_back
        self._log = ConfigurationLog()
        self.proposals: list[Proposal] = []
        bench.at(rng.random() * THINK_S, self._propose)

    def _read(self) -> bool:
        bench = self._bench
        answer = bench.log.read(CONFIGURATION_STREAM, self._log.next_offset, 500, bench.now_s)
        if answer is None:
            return False
        stored, first, upcoming = answer
        records = tuple(Record(item.offset, item.time_s, *item.data) for item in stored)
        self._log.read(records, first, upcoming)
        return True

    def _propose(self) -> None:
        if not self._read():
            self._bench.at(POLL_S, self._propose)
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
        self._bench.at(self._rng.random() * EDIT_S, lambda: self._advance(proposal))

    def _advance(self, proposal: Proposal) -> None:
        now_s = self._bench.now_s
        if now_s >= proposal.resend_at_s:
            proposal.resend_at_s = now_s + RESEND_S
            self._append(proposal)
        if self._reads_back:
            readable = self._read()
            verdict = self._log.verdicts.get(proposal.record.publish_id)
            if readable and verdict is not None:
                proposal.told_accepted = verdict.accepted
        else:
            proposal.told_accepted = proposal.answered
        if proposal.told_accepted is None:
            self._bench.at(POLL_S, lambda: self._advance(proposal))
        elif len(self.proposals) < CHANGE_COUNT:
            self._bench.at(self._rng.random() * THINK_S, self._propose)

    def _append(self, proposal: Proposal) -> None:
        if self._rng.random() < LOST_APPEND_SHARE:
            return
        data = (proposal.record.publish_id, 1, 1, (proposal.record,))
        fate, _ = self._bench.log.append(CONFIGURATION_STREAM, data, self._bench.now_s)
        proposal.answered = fate is AppendFate.TAKEN


class Watch:
    """Notes when each entry VM first serves each version."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self.served_at_s: dict[str, dict[int, float]] = {vm_id: {} for vm_id in bench.entries}
        self.falls = 0
        self._look()

    def _look(self) -> None:
        for vm_id, entry in self._bench.entries.items():
            version = entry.core.configuration.version_in_force
            seen = self.served_at_s[vm_id]
            newest = max(seen, default=0)
            self.falls += version < newest
            for passed in range(newest + 1, version + 1):
                seen[passed] = self._bench.now_s
        self._bench.at(WATCH_S, self._look)


def accepted_in_log(bench: Bench) -> dict[str, tuple[int, float, str]]:
    """Return version, time and rules of each accepted proposal, by a plain fold of the log."""
    answer = bench.log.read(CONFIGURATION_STREAM, 0, 1_000_000, bench.now_s)
    assert answer is not None, "the log is up when the judge reads it"
    accepted: dict[str, tuple[int, float, str]] = {}
    for item in answer[0]:
        for entry in item.data[3]:
            if not isinstance(entry, ConfigurationProposed):
                continue
            if entry.base_version == len(accepted) and entry.publish_id not in accepted:
                accepted[entry.publish_id] = (len(accepted) + 1, item.time_s, entry.rules_text)
    return accepted


def _worst_in_force_s(watch: Watch, accepted: dict[str, tuple[int, float, str]]) -> float:
    never_s = DURATION_S
    worst_s = 0.0
    for version, at_s, _ in accepted.values():
        for seen in watch.served_at_s.values():
            worst_s = max(worst_s, seen.get(version, at_s + never_s) - at_s)
    return worst_s


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Run the race and judge it."""
    bench = Bench(consorcio(), seed, disabled=disabled)
    bench.run(1.0)
    bench.log.lost_answer_share = LOST_ANSWER_SHARE
    rng = random.Random(seed)
    reads_back = "verdict-read-back" not in disabled
    operators = [
        Operator(f"operator-{index + 1}", bench, rng, reads_back) for index in range(OPERATOR_COUNT)
    ]
    watch = Watch(bench)
    cut_vms = {vm_id for vm_id, entry in bench.entries.items() if entry.zone == CUT_ZONE}
    platform = {"log", "list"}

    def cut(source: str, target: str) -> bool:
        return source in cut_vms and target in platform

    def set_cut(active: bool) -> None:
        bench.cut = cut if active else lambda source, target: False

    def set_down(down: bool) -> None:
        bench.log.down = down

    bench.at(CUT_FROM_S, lambda: set_cut(True))
    bench.at(CUT_FROM_S + CUT_FOR_S, lambda: set_cut(False))
    bench.at(OUTAGE_FROM_S, lambda: set_down(True))
    bench.at(OUTAGE_FROM_S + OUTAGE_FOR_S, lambda: set_down(False))
    bench.run(DURATION_S)
    accepted = accepted_in_log(bench)
    proposals = [item for operator in operators for item in operator.proposals]
    untrue = sum(
        item.told_accepted is not (item.record.publish_id in accepted) for item in proposals
    )
    version, _, rules = list(accepted.values())[-1]
    wrong_end = sum(
        entry.core.configuration.version_in_force != version
        or entry.core.configuration.texts is None
        or entry.core.configuration.texts.rules_text != rules
        for entry in bench.entries.values()
    )
    worst_s = _worst_in_force_s(watch, accepted)
    late = int(worst_s > TARGET_S)
    unfinished = sum(len(operator.proposals) < CHANGE_COUNT for operator in operators)
    if verbose:
        click.echo(f"proposals {len(proposals)}, accepted {len(accepted) - 1}, version {version}")
        click.echo(f"told untrue {untrue}, operators unfinished {unfinished}")
        click.echo(f"entry VMs wrong at the end {wrong_end}, versions that fell {watch.falls}")
    return Report(
        experiment=NAME,
        seed=seed,
        measure="worst time from acceptance to in force everywhere, s",
        baseline=None,
        candidate=worst_s,
        target=TARGET_S,
        violations=untrue + wrong_end + watch.falls + late + unfinished,
    )
