"""The accepted configuration, by compare-and-set in the order of the platform's log.

A verdict depends only on earlier records and never on the reader's software: it uses the base
version and the declared format, not whether this reader can parse the texts. If readers validated
the texts themselves, older and newer releases could reach different verdicts and their versions
would diverge permanently. The texts are validated once, by the tool that publishes them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from coriandershelf_core.internal.vocabulary.records import (
    AcceptedChange,
    ConfigurationProposed,
    ConfigurationSnapshot,
    FormatAllowed,
    Record,
)

HISTORY_MAX_COUNT = 50
VERDICTS_MAX_COUNT = 2000
FIRST_FORMAT = 1


class VerdictReason(Enum):
    """Why a proposal was accepted or not."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FORMAT = "format"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a proposal; ``version`` is the newest accepted one after it."""

    publish_id: str
    reason: VerdictReason
    base_version: int
    version: int
    operator: str
    at_s: float

    @property
    def accepted(self) -> bool:
        """Return whether the proposal was accepted."""
        return self.reason is VerdictReason.ACCEPTED


@dataclass(frozen=True, slots=True)
class AcceptedTexts:
    """The texts of an accepted version and the latest changes; the last one produced it."""

    history: tuple[AcceptedChange, ...]
    inventory_text: str
    rules_text: str
    format: int

    @property
    def change(self) -> AcceptedChange:
        """Return the change that produced this version."""
        return self.history[-1]

    @property
    def version(self) -> int:
        """Return the version of these texts."""
        return self.change.version


class ConfigurationLog:
    """Derives the newest accepted version and all verdicts from the configuration stream.

    A reader that starts after records have expired does not know which version preceded the first
    record it reads. It buffers the entries until a snapshot or a peer provides the version at an
    offset from which it has read everything; it is then anchored.
    """

    def __init__(self) -> None:
        self.texts: AcceptedTexts | None = None
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.allowed_format = FIRST_FORMAT
        self.next_offset = 0
        self.anchored = True
        self.last_written_at_s = 0.0
        self.mismatch_count = 0
        self.contiguous_from = 0
        self._decide_from_offset = 0
        self._buffered: list[tuple[int, ConfigurationProposed | FormatAllowed]] = []

    @property
    def version(self) -> int:
        """Return the newest version accepted by the records read so far; 0 before the first."""
        return 0 if self.texts is None else self.texts.version

    @property
    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the latest accepted changes, oldest first."""
        return () if self.texts is None else self.texts.history

    def read(self, records: tuple[Record, ...], first_offset: int, next_offset: int) -> bool:
        """Apply records; return whether some had expired before they could be read.

        :param first_offset: oldest offset that the log still keeps.
        :param next_offset: offset at which the next read starts.
        """
        gap = first_offset > self.next_offset
        if gap:
            self.anchored = False
            self.contiguous_from = first_offset
            self._buffered.clear()
        for record in records:
            for entry in record.entries:
                self._on_entry(entry, record)
        self.next_offset = max(self.next_offset, next_offset)
        return gap

    def anchor(self, texts: AcceptedTexts, through_offset: int) -> bool:
        """Adopt the state before ``through_offset`` and apply the buffered entries after it.

        :return: whether the state was adopted.
        """
        if through_offset < self.contiguous_from or texts.version < self.version:
            return False
        if self.anchored and texts.version == self.version:
            self._check_history(texts)
            return False
        buffered, self._buffered = self._buffered, []
        self.texts = texts
        self.anchored = True
        self._decide_from_offset = through_offset
        self._add_history_verdicts(texts)
        for offset, entry in buffered:
            self._apply(entry, offset)
        return True

    def conflicting_changes(self, verdict: Verdict) -> tuple[AcceptedChange, ...]:
        """Return the accepted changes that a rejected proposal was not based on."""
        return tuple(
            change
            for change in self.history
            if verdict.base_version < change.version <= verdict.version
        )

    def _on_entry(self, entry: object, record: Record) -> None:
        if isinstance(entry, ConfigurationProposed | FormatAllowed):
            if self.anchored:
                self._apply(entry, record.offset)
                if self.texts is not None and self.texts.change.offset == record.offset:
                    self.last_written_at_s = record.time_s
            else:
                self._buffered.append((record.offset, entry))
        elif isinstance(entry, ConfigurationSnapshot) and entry.history:
            self._on_snapshot(entry, record)

    def _on_snapshot(self, snapshot: ConfigurationSnapshot, record: Record) -> None:
        texts = AcceptedTexts(
            snapshot.history, snapshot.inventory_text, snapshot.rules_text, snapshot.format
        )
        # If all readers have missed records, several VMs may write their last known state; every
        # reader then adopts the highest version among these snapshots.
        if not self.anchored or texts.version > self.version:
            self.allowed_format = max(self.allowed_format, snapshot.allowed_format)
        self.anchor(texts, snapshot.through_offset)
        if texts.version == self.version:
            self.last_written_at_s = max(self.last_written_at_s, record.time_s)

    def _apply(self, entry: ConfigurationProposed | FormatAllowed, offset: int) -> None:
        if isinstance(entry, FormatAllowed):
            self.allowed_format = max(self.allowed_format, entry.format)
        elif offset < self._decide_from_offset:
            self._decide_before_anchor(entry)
        else:
            self._decide(entry, offset)

    def _decide(self, proposal: ConfigurationProposed, offset: int) -> None:
        if proposal.publish_id in self.verdicts:
            return
        reason = VerdictReason.ACCEPTED
        if proposal.format > self.allowed_format:
            reason = VerdictReason.FORMAT
        elif proposal.base_version != self.version:
            reason = VerdictReason.CONFLICT
        if reason is VerdictReason.ACCEPTED:
            self._accept(proposal, offset)
        self._add_verdict(proposal, reason, self.version)

    def _accept(self, proposal: ConfigurationProposed, offset: int) -> None:
        base = self.version
        assert proposal.base_version == base, "accepted proposal has a different base version"
        change = AcceptedChange(
            base + 1,
            offset,
            proposal.publish_id,
            proposal.operator,
            proposal.at_s,
            proposal.changed_paths,
        )
        assert (
            not self.history or change.offset >= self.history[-1].offset
        ), "log offset of accepted change decreased"
        assert all(
            change.version > other.version for other in self.history
        ), "version of accepted change is already in the history"
        history = (*self.history, change)[-HISTORY_MAX_COUNT:]
        self.texts = AcceptedTexts(
            history, proposal.inventory_text, proposal.rules_text, proposal.format
        )
        assert self.version == base + 1, "version did not increase by one"

    def _decide_before_anchor(self, proposal: ConfigurationProposed) -> None:
        """Record the rejection of an entry from before the anchor, if the history proves it."""
        if proposal.publish_id in self.verdicts:
            return
        oldest = self.history[0].version
        if proposal.base_version >= oldest - 1:
            self._add_verdict(proposal, VerdictReason.CONFLICT, self.version)

    def _add_history_verdicts(self, texts: AcceptedTexts) -> None:
        for change in texts.history:
            if change.publish_id not in self.verdicts:
                self._put_verdict(
                    Verdict(
                        change.publish_id,
                        VerdictReason.ACCEPTED,
                        change.version - 1,
                        change.version,
                        change.operator,
                        change.at_s,
                    )
                )

    def _add_verdict(
        self, proposal: ConfigurationProposed, reason: VerdictReason, version: int
    ) -> None:
        self._put_verdict(
            Verdict(
                proposal.publish_id,
                reason,
                proposal.base_version,
                version,
                proposal.operator,
                proposal.at_s,
            )
        )

    def _put_verdict(self, verdict: Verdict) -> None:
        self.verdicts[verdict.publish_id] = verdict
        while len(self.verdicts) > VERDICTS_MAX_COUNT:
            self.verdicts.popitem(last=False)

    def _check_history(self, texts: AcceptedTexts) -> None:
        """Count a mismatch if a source has another change for a version that is known here."""
        known = {change.version: change.publish_id for change in self.history}
        for change in texts.history:
            if known.get(change.version, change.publish_id) != change.publish_id:
                self.mismatch_count += 1
                return
