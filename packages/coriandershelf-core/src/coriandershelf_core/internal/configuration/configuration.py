"""The configuration in force on this entry VM: from the log, or from a peer that is ahead."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.configuration.configuration_log import (
    AcceptedTexts,
    ConfigurationLog,
)
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LogRead
from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_core.internal.vocabulary.messages import ConfigurationQuery, ConfigurationReply
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.records import ConfigurationSnapshot

ParseConfiguration = Callable[[str, str, int], Inventory | None]
Adopt = Callable[[Inventory, float], None]
AppendSnapshot = Callable[[ConfigurationSnapshot, float], None]
AskPeer = Callable[[str, ConfigurationQuery], bool]

NO_OFFSET = -1
SNAPSHOT_DELAY_SHARE = 0.25


@dataclass(slots=True)
class _PeerAhead:
    """A peer whose heartbeat named a newer version, and when to ask it."""

    vm_id: str
    version: int
    ask_at_s: float


class Configuration:
    """Holds the newest accepted texts; the version never falls while the process lives.

    :param parse: pure function from texts and version to an inventory, ``None`` if not valid.
    :param adopt: called with each inventory that comes into force.
    :param append: writes a snapshot to the log.
    :param ask: sends a query to a peer.
    """

    def __init__(
        self,
        context: Context,
        parse: ParseConfiguration,
        adopt: Adopt,
        append: AppendSnapshot,
        ask: AskPeer,
    ) -> None:
        self._context = context
        self._parse = parse
        self._adopt = adopt
        self._append = append
        self._ask = ask
        self.log = ConfigurationLog()
        self.texts: AcceptedTexts | None = None
        self.inventory: Inventory | None = None
        self._ahead: _PeerAhead | None = None
        self._log_read_at_s: float | None = None
        self._unanchored_since_s: float | None = None
        self._snapshot_at_s: float | None = None

    @property
    def version(self) -> int:
        """Return the newest accepted version known here; 0 before the first."""
        return 0 if self.texts is None else self.texts.version

    @property
    def version_in_force(self) -> int:
        """Return the version served by; it is behind where the texts were not understood."""
        return 0 if self.inventory is None else self.inventory.version

    def on_log_read(self, event: LogRead, now_s: float) -> None:
        """Fold records of the configuration stream in."""
        mismatches = self.log.mismatch_count
        if self.log.read(event.records, event.first_offset, event.next_offset):
            self._context.count(Counter.CONFIGURATION_GAPS)
            self._context.log("configuration records expired unread", offset=event.first_offset)
        self._count_mismatches(mismatches)
        self._log_read_at_s = now_s
        self._note_anchor(now_s)
        if self.log.texts is not None:
            self._take(self.log.texts, now_s)

    def on_peer_version(self, vm_id: str, version: int, now_s: float) -> None:
        """Note the version of a peer's heartbeat; ask for the texts if they do not come by log."""
        if version <= self.version or not self._context.enabled("configuration-spread"):
            return
        ahead = self._ahead
        if ahead is None or version > ahead.version:
            ask_at_s = now_s + self._context.settings.configuration_ask_s
            self._ahead = _PeerAhead(
                vm_id, version, ask_at_s if ahead is None else min(ahead.ask_at_s, ask_at_s)
            )

    def answer_query(self, query: ConfigurationQuery) -> ConfigurationReply | None:
        """Return the texts in force if the asker is behind."""
        if self.texts is None or self.version <= query.version:
            return None
        exact = self.log.anchored and self.log.version == self.version
        return ConfigurationReply(self._snapshot(self.log.next_offset if exact else NO_OFFSET))

    def on_reply(self, reply: ConfigurationReply, now_s: float) -> None:
        """Take the texts of a peer that is ahead."""
        snapshot = reply.snapshot
        texts = AcceptedTexts(
            snapshot.history, snapshot.inventory_text, snapshot.rules_text, snapshot.format
        )
        if not self.log.anchored and snapshot.through_offset != NO_OFFSET:
            self.log.allowed_format = max(self.log.allowed_format, snapshot.allowed_format)
            self.log.anchor(texts, snapshot.through_offset)
            self._note_anchor(now_s)
            if self.log.texts is not None:
                self._take(self.log.texts, now_s)
        if texts.version > self.version:
            self._context.count(Counter.CONFIGURATIONS_FROM_PEER)
            self._take(texts, now_s)

    def on_tick(self, now_s: float) -> None:
        """Ask a peer that is ahead; write a snapshot that is due."""
        ahead = self._ahead
        if ahead is not None and ahead.version <= self.version:
            self._ahead = None
        elif ahead is not None and now_s >= ahead.ask_at_s:
            # Another heartbeat names a peer again if this one does not answer.
            self._ahead = None
            self._context.count(Counter.CONFIGURATION_ASKS)
            address = self._context.identity.peer_address
            self._ask(ahead.vm_id, ConfigurationQuery(self.version, address))
        if self._context.enabled("configuration-snapshot"):
            self._write_due_snapshot(now_s)

    def _take(self, texts: AcceptedTexts, now_s: float) -> None:
        if texts.version <= self.version:
            return
        before = self.version
        self.texts = texts
        assert self.version > before, "the version of the configuration fell"
        inventory = self._parse(texts.inventory_text, texts.rules_text, texts.version)
        if inventory is None:
            self._context.count(Counter.CONFIGURATION_NOT_UNDERSTOOD)
            self._context.log(
                "configuration not understood; this software is too old for it",
                version=texts.version,
                format=texts.format,
                in_force=self.version_in_force,
            )
            return
        assert inventory.version == texts.version, "parsed under another version"
        assert inventory.version > self.version_in_force, "the version in force fell"
        self.inventory = inventory
        self._context.count(Counter.CONFIGURATIONS_ADOPTED)
        self._adopt(inventory, now_s)

    def _count_mismatches(self, before: int) -> None:
        found = self.log.mismatch_count - before
        if found:
            self._context.count(Counter.CONFIGURATION_MISMATCHES, found)
            self._context.log("configuration history differs", version=self.version)

    def _note_anchor(self, now_s: float) -> None:
        if self.log.anchored:
            self._unanchored_since_s = None
        elif self._unanchored_since_s is None:
            self._unanchored_since_s = now_s

    def _snapshot(self, through_offset: int) -> ConfigurationSnapshot:
        assert self.texts is not None, "no configuration to copy"
        return ConfigurationSnapshot(
            through_offset,
            self.texts.history,
            self.texts.inventory_text,
            self.texts.rules_text,
            self.texts.format,
            self.log.allowed_format,
        )

    def _write_due_snapshot(self, now_s: float) -> None:
        """Append the configuration again, once, after a random delay.

        Every VM draws its own delay and looks again when it ends, so that one or two write and
        no VM is set aside for it. A copy that stands twice does no harm.
        """
        if not self._snapshot_due(now_s):
            self._snapshot_at_s = None
            return
        if self._snapshot_at_s is None:
            self._snapshot_at_s = now_s + self._context.rng.random() * self._delay_span_s
        if now_s < self._snapshot_at_s:
            return
        # Not before another full age, should this append stay unread in an outage.
        self._snapshot_at_s = now_s + self._context.settings.configuration_snapshot_s
        through = self.log.next_offset if self.log.anchored else self.log.unbroken_from
        self._context.count(Counter.CONFIGURATION_SNAPSHOTS)
        self._context.log("configuration appended again", version=self.version)
        self._append(self._snapshot(through), now_s)

    @property
    def _delay_span_s(self) -> float:
        settings = self._context.settings
        if not self.log.anchored:
            return settings.configuration_recover_s
        return settings.configuration_snapshot_s * SNAPSHOT_DELAY_SHARE

    def _snapshot_due(self, now_s: float) -> bool:
        settings = self._context.settings
        if self.texts is None or self._log_read_at_s is None:
            return False
        if self._unanchored_since_s is not None:
            return now_s - self._unanchored_since_s >= settings.configuration_recover_s
        if self.log.version != self.version:
            return False
        return now_s - self.log.copied_at_s >= settings.configuration_snapshot_s
