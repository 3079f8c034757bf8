"""Index of the prompt parts that replicas are likely to have in their KV cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from coriandershelf_core.internal.gateway.request import PromptPart

# A part counts as cached for this long after its last use at the replica.
CACHED_MAX_AGE_S = 30.0
PARTS_MAX_COUNT = 4096


class PromptCacheIndex:
    """Last use of each prompt part by replica; least recently used parts are evicted."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, dict[str, float]] = OrderedDict()

    def add(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> None:
        """Record that a replica prefills these parts."""
        for part in parts:
            self._parts.setdefault(part.part_id, {})[replica_id] = now_s
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > PARTS_MAX_COUNT:
            self._parts.popitem(last=False)

    def contains(self, part_id: str) -> bool:
        """Return whether a part was used at any replica."""
        return part_id in self._parts

    def cached_tokens(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> int:
        """Return the tokens of the leading parts that a replica has cached."""
        tokens_count = 0
        for part in parts:
            used_at_s = self._parts.get(part.part_id, {}).get(replica_id)
            if used_at_s is None or now_s - used_at_s > CACHED_MAX_AGE_S:
                break
            tokens_count += part.tokens_count
        return tokens_count
