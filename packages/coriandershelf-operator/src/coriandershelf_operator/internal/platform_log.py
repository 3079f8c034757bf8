"""Reads and writes the configuration stream of the platform's log."""

from __future__ import annotations

import base64
from typing import Any

from coriandershelf_core.internal.configuration.configuration_log import ConfigurationLog, Verdict
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    AcceptedChange,
    ConfigurationProposed,
    Record,
)
from coriandershelf_operator.internal.http import RequestFailure, fetch_json
from coriandershelf_wire import Malformed, decode_record, encode_record

READ_MAX_COUNT = 50
READ_TIMEOUT_S = 10.0


class ConfigurationStream:
    """Reads the stream from its oldest record on and keeps the texts of every proposal.

    :param address: ``host:port`` of the platform's log service.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/streams/{CONFIGURATION_STREAM}"
        self.log = ConfigurationLog()
        self._proposals: dict[str, ConfigurationProposed] = {}

    @property
    def version(self) -> int:
        """Return the version in force as of the last read."""
        return self.log.version

    async def refresh(self) -> RequestFailure | None:
        """Read the records appended since the last call; ``None`` on success."""
        while True:
            url = f"{self._url}?from={self.log.next_offset}&max={READ_MAX_COUNT}"
            response = await fetch_json(url, timeout_s=READ_TIMEOUT_S)
            if isinstance(response, RequestFailure):
                return response
            records = self._decode(response["records"])
            self.log.read(records, response["first_offset"], response["next_offset"])
            if not response["records"]:
                return None

    async def append(self, proposal: ConfigurationProposed) -> RequestFailure | None:
        """Append a proposal; ``None`` if the log acknowledged it."""
        # The publish id serves as the writer, so that readers drop a duplicate of the same record.
        record = encode_record(proposal.publish_id, 1, 1, (proposal,))
        response = await fetch_json(self._url, record)
        return response if isinstance(response, RequestFailure) else None

    def verdict(self, publish_id: str) -> Verdict | None:
        """Return the verdict on a proposal, or ``None`` if it is not known."""
        return self.log.verdicts.get(publish_id)

    def texts_in_force(self) -> tuple[str, str]:
        """Return the inventory and rules in force; empty before the first version."""
        texts = self.log.texts
        return ("", "") if texts is None else (texts.inventory_text, texts.rules_text)

    def texts_of(self, version: int) -> tuple[str, str] | None:
        """Return the texts of a version, or ``None`` if the log no longer holds them."""
        if version == self.version:
            return self.texts_in_force()
        change = next((item for item in self.log.history if item.version == version), None)
        proposal = self._proposals.get(change.publish_id) if change is not None else None
        return None if proposal is None else (proposal.inventory_text, proposal.rules_text)

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the most recent accepted changes, oldest first."""
        return self.log.history

    def _decode(self, items: list[dict[str, Any]]) -> tuple[Record, ...]:
        records = []
        for item in items:
            data = base64.b64decode(item["data"])
            record = decode_record(data, item["offset"], item["time_s"])
            if isinstance(record, Malformed):
                continue
            records.append(record)
            for entry in record.entries:
                if isinstance(entry, ConfigurationProposed):
                    self._proposals.setdefault(entry.publish_id, entry)
        return tuple(records)
