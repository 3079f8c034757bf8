"""Rendezvous hashing: stable choices that every VM makes alike without talking.

Each pair of names gets a score; the highest scores win. When a name goes away, only the choices
that fell on it change (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

SCORE_BYTES = 8
LOAD_ALLOWANCE = 1.25


def score(first: str, second: str) -> int:
    """Return the score of a pair of names; the order of the two matters."""
    digest = blake2b(f"{first}|{second}".encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def spread(names: Iterable[str], voters: Iterable[str], count: int) -> dict[str, list[str]]:
    """Return for each name the ``count`` voters with the highest scores that are not yet full.

    A voter is full at a little over its even share (Mirrokni, Thorup and Zadimoghaddam,
    "Consistent hashing with bounded loads", 2018); the scores alone would load some voters with
    several times the mean.
    """
    chosen: dict[str, list[str]] = {}
    ordered = sorted(names)
    load = dict.fromkeys(voters, 0)
    if not load:
        return chosen
    wanted = min(count, len(load))
    limit = math.ceil(wanted * len(ordered) / len(load) * LOAD_ALLOWANCE)
    for name in ordered:
        ranked = sorted(load, key=lambda voter: score(name, voter), reverse=True)
        open_voters = [voter for voter in ranked if load[voter] < limit]
        full_voters = [voter for voter in ranked if load[voter] >= limit]
        chosen[name] = (open_voters + full_voters)[:wanted]
        for voter in chosen[name]:
            load[voter] += 1
    return chosen


def ring_of(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in an order that looks random but is the same at every VM."""
    return sorted(names, key=lambda name: score(key, name))


def ring_neighbours(ring: list[str], name: str) -> list[str]:
    """Return the names 1, 2, 4, 8, ... places behind a name on its ring.

    Every VM is the neighbour of as many as it has (the fingers of Stoica et al., "Chord", 2001),
    and what one tells reaches all in about as many rounds as the count of places has bits.
    """
    place = ring.index(name)
    neighbours = []
    step = 1
    while step < len(ring):
        neighbours.append(ring[(place + step) % len(ring)])
        step *= 2
    return neighbours
