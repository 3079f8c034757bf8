"""Which replicas probably hold a prompt's prefix in their cache: a hint, never the truth."""

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
    """Remembers where prefixes were sent; the least recently used are forgotten."""

    def __init__(self) -> None:
        self._holders: OrderedDict[int, dict[str, None]] = OrderedDict()

    def note(self, prefix_hashes: tuple[int, ...], replica_id: str) -> None:
        """Remember that a replica computed these prefixes."""
        for prefix in prefix_hashes:
            holders = self._holders.setdefault(prefix, {})
            holders.pop(replica_id, None)
            holders[replica_id] = None
            if len(holders) > REPLICAS_PER_PREFIX_MAX_COUNT:
                del holders[next(iter(holders))]
            self._holders.move_to_end(prefix)
        while len(self._holders) > PREFIXES_MAX_COUNT:
            self._holders.popitem(last=False)

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> dict[str, int]:
        """Return the prompt tokens that each replica probably holds."""
        found: dict[str, int] = {}
        for index in range(len(prefix_hashes) - 1, -1, -1):
            for replica_id in self._holders.get(prefix_hashes[index], ()):
                found.setdefault(replica_id, (index + 1) * BLOCK_TOKENS)
        return found

    def forget_replica(self, replica_id: str) -> None:
        """Drop what is remembered of a replica that lost its cache."""
        for holders in self._holders.values():
            holders.pop(replica_id, None)


def home_of(prefix: int, slots: dict[str, int]) -> str:
    """Return the replica on which all entry VMs place a prefix first, larger ones more often.

    Weighted rendezvous hashing (Thaler and Ravishankar, 1996): entry VMs agree without talking,
    and a replica that leaves moves only its own prefixes.

    :param slots: slots of each replica that may be chosen, by id.
    """

    def weight(name: str) -> float:
        drawn = (xxhash.xxh64_intdigest(f"{prefix}:{name}".encode()) + 1) / HASH_RANGE
        return -slots[name] / math.log(drawn)

    return max(slots, key=weight)
