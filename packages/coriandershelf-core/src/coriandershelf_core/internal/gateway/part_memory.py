"""Which replicas have read which parts of prompts lately."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from coriandershelf_core.internal.gateway.request import PromptPart

# A part is taken to be cached at a replica for this long after its last use there.
PART_KEEP_S = 30.0
PARTS_MAX_COUNT = 4096


class PartMemory:
    """Reads of parts by replica, of the latest parts."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> None:
        """Remember that a replica reads these parts."""
        for part in parts:
            self._parts.setdefault(part.part_id, {})[replica_id] = now_s
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > PARTS_MAX_COUNT:
            self._parts.popitem(last=False)

    def knows(self, part_id: str) -> bool:
        """Return whether any replica was seen to read a part."""
        return part_id in self._parts

    def cached_tokens(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> int:
        """Return the tokens of the leading parts that a replica still keeps."""
        tokens_count = 0
        for part in parts:
            read_at_s = self._parts.get(part.part_id, {}).get(replica_id)
            if read_at_s is None or now_s - read_at_s > PART_KEEP_S:
                break
            tokens_count += part.tokens_count
        return tokens_count
