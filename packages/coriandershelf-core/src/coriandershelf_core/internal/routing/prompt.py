"""Token count estimates and prefix hashes computed from a prompt's text."""

from __future__ import annotations

import xxhash

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 256
PREFIX_BLOCKS_MAX_COUNT = 64


def estimate_tokens(text: str) -> int:
    """Return the estimated token count of a text, at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Return the hashes of a text's prefixes that end at a block boundary, shortest first."""
    digest = xxhash.xxh64()
    hashes = []
    last = min(len(text) // PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS_MAX_COUNT)
    for index in range(last):
        start = index * PREFIX_BLOCK_CHARACTERS
        digest.update(text[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)
