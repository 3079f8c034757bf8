"""The configuration in force on this entry VM, from the log or from a peer that is ahead."""

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
SendQuery = Callable[[str, ConfigurationQuery], bool]

NO_OFFSET = -1
SNAPSHOT_DELAY_SHARE = 0.25


@dataclass(slots=True)
class _PeerAhead:
    """A peer whose heartbeat carried a newer version, and when to query it."""

    vm_id: str
    version: int
    query_at_s: float


class Configuration:
    """Holds the newest accepted texts; the version never decreases within a process's lifetime.

    :param parse: pure function from texts and version to an inventory, ``None`` if not valid.
    :param adopt: called with each inventory that comes into force.
    :param append: appends a snapshot to the log.
    :param send_query: sends a query to a peer.
    """

    def __init__(
        self,
        context: Context,
        parse: ParseConfiguration,
        adopt: Adopt,
        append: AppendSnapshot,
        send_query: SendQuery,
    ) -> None:
        self._context = context
        self._parse = parse
        self._adopt = adopt
        self._append = append
        self._send_query = send_query
        self.log = ConfigurationLog()
        self.texts: AcceptedTexts | None = None
        self.inventory: Inventory | None = None
        self._peer_ahead: _PeerAhead | None = None
        self._last_log_read_at_s: float | None = None
        self._unanchored_since_s: float | None = None
        self._snapshot_at_s: float | None = None

    @property
    def version(self) -> int:
        """Return the newest known accepted version; 0 before the first."""
        return 0 if self.texts is None else self.texts.version

    @property
    def version_in_force(self) -> int:
        """Return the version in use; it is older than ``version`` if newer texts did not parse."""
        return 0 if self.inventory is None else self.inventory.version

    def on_log_read(self, event: LogRead, now_s: float) -> None:
        """Apply records of the configuration stream."""
        mismatches = self.log.mismatch_count
        if self.log.read(event.records, event.first_offset, event.next_offset):
            self._context.count(Counter.CONFIGURATION_GAPS)
            self._context.log("configuration records expired unread", offset=event.first_offset)
        self._count_mismatches(mismatches)
        self._last_log_read_at_s = now_s
        self._update_unanchored_since(now_s)
        if self.log.texts is not None:
            self._apply_texts(self.log.texts, now_s)

    def on_peer_version(self, vm_id: str, version: int, now_s: float) -> None:
        """Schedule a query to a peer with a newer version, in case the log does not deliver it."""
        if version <= self.version or not self._context.is_enabled("configuration-spread"):
            return
        peer_ahead = self._peer_ahead
        if peer_ahead is None or version > peer_ahead.version:
            query_at_s = now_s + self._context.settings.configuration_ask_s
            self._peer_ahead = _PeerAhead(
                vm_id,
                version,
                query_at_s if peer_ahead is None else min(peer_ahead.query_at_s, query_at_s),
            )

    def answer_query(self, query: ConfigurationQuery) -> ConfigurationReply | None:
        """Return the newest accepted texts if the sender of the query has an older version."""
        if self.texts is None or self.version <= query.version:
            return None
        offset_known = self.log.anchored and self.log.version == self.version
        return ConfigurationReply(
            self._snapshot(self.log.next_offset if offset_known else NO_OFFSET)
        )

    def on_reply(self, reply: ConfigurationReply, now_s: float) -> None:
        """Apply the texts of a peer that is ahead."""
        snapshot = reply.snapshot
        texts = AcceptedTexts(
            snapshot.history, snapshot.inventory_text, snapshot.rules_text, snapshot.format
        )
        if not self.log.anchored and snapshot.through_offset != NO_OFFSET:
            self.log.allowed_format = max(self.log.allowed_format, snapshot.allowed_format)
            self.log.anchor(texts, snapshot.through_offset)
            self._update_unanchored_since(now_s)
            if self.log.texts is not None:
                self._apply_texts(self.log.texts, now_s)
        if texts.version > self.version:
            self._context.count(Counter.CONFIGURATIONS_FROM_PEER)
            self._apply_texts(texts, now_s)

    def on_tick(self, now_s: float) -> None:
        """Query a peer that is ahead, and write a snapshot if one is due."""
        peer_ahead = self._peer_ahead
        if peer_ahead is not None and peer_ahead.version <= self.version:
            self._peer_ahead = None
        elif peer_ahead is not None and now_s >= peer_ahead.query_at_s:
            # If this peer does not reply, the next heartbeat with a newer version sets it again.
            self._peer_ahead = None
            self._context.count(Counter.CONFIGURATION_ASKS)
            address = self._context.identity.peer_address
            self._send_query(peer_ahead.vm_id, ConfigurationQuery(self.version, address))
        if self._context.is_enabled("configuration-snapshot"):
            self._write_due_snapshot(now_s)

    def _apply_texts(self, texts: AcceptedTexts, now_s: float) -> None:
        if texts.version <= self.version:
            return
        before = self.version
        self.texts = texts
        assert self.version > before, "configuration version did not increase"
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
        assert (
            inventory.version == texts.version
        ), "parsed inventory has a different version than its texts"
        assert (
            inventory.version > self.version_in_force
        ), "configuration version in force did not increase"
        self.inventory = inventory
        self._context.count(Counter.CONFIGURATIONS_ADOPTED)
        self._adopt(inventory, now_s)

    def _count_mismatches(self, before: int) -> None:
        found = self.log.mismatch_count - before
        if found:
            self._context.count(Counter.CONFIGURATION_MISMATCHES, found)
            self._context.log("configuration history differs", version=self.version)

    def _update_unanchored_since(self, now_s: float) -> None:
        if self.log.anchored:
            self._unanchored_since_s = None
        elif self._unanchored_since_s is None:
            self._unanchored_since_s = now_s

    def _snapshot(self, through_offset: int) -> ConfigurationSnapshot:
        assert self.texts is not None, "snapshot requested before the first configuration"
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

        Every VM draws its own delay and checks again when it ends, so that only one or two VMs
        write and no VM needs to be elected for it. A duplicate snapshot is harmless.
        """
        if not self._snapshot_due(now_s):
            self._snapshot_at_s = None
            return
        if self._snapshot_at_s is None:
            self._snapshot_at_s = now_s + self._context.rng.random() * self._max_snapshot_delay_s
        if now_s < self._snapshot_at_s:
            return
        # If this append is not read back because of an outage, wait a full period before retrying.
        self._snapshot_at_s = now_s + self._context.settings.configuration_snapshot_s
        through_offset = self.log.next_offset if self.log.anchored else self.log.contiguous_from
        self._context.count(Counter.CONFIGURATION_SNAPSHOTS)
        self._context.log("configuration appended again", version=self.version)
        self._append(self._snapshot(through_offset), now_s)

    @property
    def _max_snapshot_delay_s(self) -> float:
        settings = self._context.settings
        if not self.log.anchored:
            return settings.configuration_recover_s
        return settings.configuration_snapshot_s * SNAPSHOT_DELAY_SHARE

    def _snapshot_due(self, now_s: float) -> bool:
        settings = self._context.settings
        if self.texts is None or self._last_log_read_at_s is None:
            return False
        if self._unanchored_since_s is not None:
            return now_s - self._unanchored_since_s >= settings.configuration_recover_s
        if self.log.version != self.version:
            return False
        return now_s - self.log.last_written_at_s >= settings.configuration_snapshot_s
