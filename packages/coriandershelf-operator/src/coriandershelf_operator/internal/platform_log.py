"""The operator's view of the configuration stream of the platform's log."""

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
from coriandershelf_operator.internal.http import NoAnswer, fetch_json
from coriandershelf_wire import Malformed, decode_record, encode_record

READ_MAX_COUNT = 50
READ_LIMIT_S = 10.0


class LogView:
    """Reads the stream from its oldest record on and keeps every text that it met.

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

    async def refresh(self) -> NoAnswer | None:
        """Read every record appended since the last call; ``None`` if the log answered."""
        while True:
            url = f"{self._url}?from={self.log.next_offset}&max={READ_MAX_COUNT}"
            answer = await fetch_json(url, limit_s=READ_LIMIT_S)
            if isinstance(answer, NoAnswer):
                return answer
            records = self._decode(answer["records"])
            self.log.read(records, answer["first_offset"], answer["next_offset"])
            if not answer["records"]:
                return None

    async def append(self, proposal: ConfigurationProposed) -> NoAnswer | None:
        """Append a proposal; ``None`` if the log said that it took it."""
        # The publish id is the writer: appended twice, readers take the first.
        record = encode_record(proposal.publish_id, 1, 1, (proposal,))
        answer = await fetch_json(self._url, record)
        return answer if isinstance(answer, NoAnswer) else None

    def verdict(self, publish_id: str) -> Verdict | None:
        """Return the verdict on a proposal, or ``None`` where none is known."""
        return self.log.verdicts.get(publish_id)

    def texts_in_force(self) -> tuple[str, str]:
        """Return inventory and rules in force; empty before the first version."""
        texts = self.log.texts
        return ("", "") if texts is None else (texts.inventory_text, texts.rules_text)

    def texts_of(self, version: int) -> tuple[str, str] | None:
        """Return the texts of a version, or ``None`` where the log no longer keeps them."""
        if version == self.version:
            return self.texts_in_force()
        change = next((item for item in self.log.history if item.version == version), None)
        proposal = self._proposals.get(change.publish_id) if change is not None else None
        return None if proposal is None else (proposal.inventory_text, proposal.rules_text)

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the last accepted changes, oldest first."""
        return self.log.history

    def _decode(self, raw: list[dict[str, Any]]) -> tuple[Record, ...]:
        records = []
        for item in raw:
            data = base64.b64decode(item["data"])
            record = decode_record(data, item["offset"], item["time_s"])
            if isinstance(record, Malformed):
                continue
            records.append(record)
            for entry in record.entries:
                if isinstance(entry, ConfigurationProposed):
                    self._proposals.setdefault(entry.publish_id, entry)
        return tuple(records)
