"""Rendezvous hashing: stable choices on which all VMs agree without exchanging messages.

Each pair of names gets a score, and the highest scores win. When a name is removed, only the
choices that fell on it change (Thaler and Ravishankar, "A name-based mapping scheme for
rendezvous", 1996).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

SCORE_BYTES = 8
LOAD_SLACK_FACTOR = 1.25


def score(first: str, second: str) -> int:
    """Return the score of an ordered pair of names."""
    digest = blake2b(f"{first}|{second}".encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def assign_bounded(names: Iterable[str], nodes: Iterable[str], count: int) -> dict[str, list[str]]:
    """Return for each name the ``count`` nodes with the highest scores that are not yet full.

    A node is full at ``LOAD_SLACK_FACTOR`` times its even share (Mirrokni, Thorup and
    Zadimoghaddam, "Consistent hashing with bounded loads", 2018); by the scores alone, some nodes
    would get several times the mean.
    """
    chosen: dict[str, list[str]] = {}
    ordered = sorted(names)
    load = dict.fromkeys(nodes, 0)
    if not load:
        return chosen
    wanted = min(count, len(load))
    limit = math.ceil(wanted * len(ordered) / len(load) * LOAD_SLACK_FACTOR)
    for name in ordered:
        ranked = sorted(load, key=lambda node: score(name, node), reverse=True)
        open_nodes = [node for node in ranked if load[node] < limit]
        full_nodes = [node for node in ranked if load[node] >= limit]
        chosen[name] = (open_nodes + full_nodes)[:wanted]
        for node in chosen[name]:
            load[node] += 1
    return chosen


def ring_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in a pseudo-random order that is the same at every VM."""
    return sorted(names, key=lambda name: score(key, name))


def ring_neighbours(ring: list[str], name: str) -> list[str]:
    """Return the names 1, 2, 4, 8, ... positions after a name on its ring.

    Every VM is the neighbour of as many VMs as it has neighbours (the fingers of Stoica et al.,
    "Chord", 2001), and a message from one reaches all in about log2(ring size) rounds.
    """
    position = ring.index(name)
    neighbours = []
    step = 1
    while step < len(ring):
        neighbours.append(ring[(position + step) % len(ring)])
        step *= 2
    return neighbours
