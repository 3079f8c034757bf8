"""Checks readers of a random log with retention, started at any time, against a simple model."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule

from coriandershelf_core.internal.configuration.configuration_log import (
    AcceptedTexts,
    ConfigurationLog,
)
from coriandershelf_core.internal.vocabulary.records import (
    ConfigurationProposed,
    ConfigurationSnapshot,
    FormatAllowed,
    Record,
)

OPERATORS = st.sampled_from(["ana", "luis", "marcia"])


class ConfigurationLogMachine(RuleBasedStateMachine):
    """Every reader must reach the model's verdicts and version, wherever it started to read."""

    readers = Bundle("readers")

    def __init__(self) -> None:
        super().__init__()
        self.records: list[Record] = []
        self.first = 0
        self.version = 0
        self.allowed = 1
        self.accepted: dict[str, int] = {}
        self.judged: dict[str, bool] = {}
        self.bases: set[int] = set()
        self.number = 0
        self.all_readers: list[ConfigurationLog] = []

    @initialize(target=readers)
    def start_warm(self):
        return self.start()

    @rule(target=readers)
    def start(self):
        reader = ConfigurationLog()
        self.all_readers.append(reader)
        return reader

    def append(self, entry) -> None:
        offset = len(self.records)
        self.records.append(Record(offset, float(offset), "w", 1, offset, (entry,)))

    @rule(lag=st.integers(-1, 2), operator=OPERATORS, format=st.integers(1, 2), twice=st.booleans())
    def propose(self, lag, operator, format, twice):
        self.number += 1
        base = max(0, self.version - lag)
        entry = ConfigurationProposed(
            f"p{self.number}", base, operator, 0.0, f"text {self.number}", "", format
        )
        for _ in range(1 + twice):
            self.append(entry)
            if entry.publish_id in self.judged:
                continue
            taken = base == self.version and format <= self.allowed
            self.judged[entry.publish_id] = taken
            if taken:
                assert base not in self.bases, "two acceptances on one base"
                self.bases.add(base)
                self.version += 1
                self.accepted[entry.publish_id] = self.version

    @rule()
    def allow_format(self):
        self.allowed = 2
        self.append(FormatAllowed(2))

    @rule(reader=readers, count=st.integers(1, 4))
    def read(self, reader, count):
        before = reader.version
        start = max(reader.next_offset, self.first)
        chosen = tuple(self.records[start : start + count])
        upcoming = chosen[-1].offset + 1 if chosen else max(reader.next_offset, self.first)
        reader.read(chosen, self.first, upcoming)
        assert reader.version >= before, "the version fell"

    @rule(reader=readers)
    def write_snapshot(self, reader):
        """A VM appends the state it has read so far, even if that state is outdated."""
        if reader.texts is not None and reader.anchored:
            self.append(snapshot_of(reader, reader.next_offset))

    @rule(source=readers, target_reader=readers)
    def learn_from_peer(self, source, target_reader):
        if source.texts is None or not source.anchored or target_reader.anchored:
            return
        before = target_reader.version
        target_reader.allowed_format = max(target_reader.allowed_format, source.allowed_format)
        target_reader.anchor(source.texts, source.next_offset)
        assert target_reader.version >= before

    @rule(count=st.integers(1, 6))
    def expire(self, count):
        """Expires records only if a usable snapshot remains, as VMs write a new one in time."""
        wanted = min(self.first + count, len(self.records))
        snapshots = [
            record
            for record in self.records[wanted:]
            if isinstance(record.entries[0], ConfigurationSnapshot)
            and record.entries[0].through_offset >= wanted
        ]
        if snapshots:
            self.first = wanted

    @invariant()
    def readers_agree_with_the_model(self):
        for reader in self.all_readers:
            for publish_id, verdict in reader.verdicts.items():
                assert verdict.accepted == self.judged[publish_id], publish_id
                if verdict.accepted:
                    assert verdict.version == self.accepted[publish_id]
            if reader.anchored and reader.next_offset == len(self.records):
                assert reader.version == self.version
                assert reader.allowed_format == self.allowed
            assert reader.mismatch_count == 0

    def teardown(self):
        """A reader that starts now, after records expired, reaches the model's version and text."""
        reader = ConfigurationLog()
        reader.read(tuple(self.records[self.first :]), self.first, len(self.records))
        assert reader.anchored
        assert reader.version == self.version
        if reader.texts is not None:
            winner = next(name for name, v in self.accepted.items() if v == self.version)
            assert reader.texts.inventory_text == f"text {winner[1:]}"


def snapshot_of(reader: ConfigurationLog, through_offset: int) -> ConfigurationSnapshot:
    texts = reader.texts
    assert isinstance(texts, AcceptedTexts)
    return ConfigurationSnapshot(
        through_offset,
        texts.history,
        texts.inventory_text,
        texts.rules_text,
        texts.format,
        reader.allowed_format,
    )
