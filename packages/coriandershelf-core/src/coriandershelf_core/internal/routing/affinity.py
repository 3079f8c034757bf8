"""Which replicas probably have a prompt's prefix in their KV cache; a hint that may be wrong."""

from __future__ import annotations

import math
from collections import OrderedDict

import xxhash

from coriandershelf_core.internal.routing.prompt import (
    CHARACTERS_PER_TOKEN,
    PREFIX_BLOCK_CHARACTERS,
)

BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
HASH_RANGE = 2.0**64 + 2.0**12
PREFIXES_MAX_COUNT = 20_000
REPLICAS_PER_PREFIX_MAX_COUNT = 4


class Affinity:
    """LRU table of the replicas that each prefix was sent to."""

    def __init__(self) -> None:
        self._replicas_by_prefix: OrderedDict[int, dict[str, None]] = OrderedDict()

    def record(self, prefix_hashes: tuple[int, ...], replica_id: str) -> None:
        """Record that a prompt with these prefixes was sent to a replica."""
        for prefix in prefix_hashes:
            replica_ids = self._replicas_by_prefix.setdefault(prefix, {})
            replica_ids.pop(replica_id, None)
            replica_ids[replica_id] = None
            if len(replica_ids) > REPLICAS_PER_PREFIX_MAX_COUNT:
                del replica_ids[next(iter(replica_ids))]
            self._replicas_by_prefix.move_to_end(prefix)
        while len(self._replicas_by_prefix) > PREFIXES_MAX_COUNT:
            self._replicas_by_prefix.popitem(last=False)

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> dict[str, int]:
        """Return the number of prompt tokens that each replica probably has cached."""
        found: dict[str, int] = {}
        for index in range(len(prefix_hashes) - 1, -1, -1):
            for replica_id in self._replicas_by_prefix.get(prefix_hashes[index], ()):
                found.setdefault(replica_id, (index + 1) * BLOCK_TOKENS)
        return found


def preferred_replica_id(prefix: int, slots: dict[str, int]) -> str:
    """Return the replica that all entry VMs prefer for a prefix, weighted by slots.

    Weighted rendezvous hashing (Thaler and Ravishankar, 1996): entry VMs agree without exchanging
    messages, and the removal of a replica moves only its own prefixes.

    :param slots: slots of each candidate replica, by id.
    """

    def weight(name: str) -> float:
        uniform = (xxhash.xxh64_intdigest(f"{prefix}:{name}".encode()) + 1) / HASH_RANGE
        return -slots[name] / math.log(uniform)

    return max(slots, key=weight)
