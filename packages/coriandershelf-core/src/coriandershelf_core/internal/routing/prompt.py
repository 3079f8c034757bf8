"""Estimates made from a prompt's text: its tokens and the hashes of its growing prefixes."""

from __future__ import annotations

import xxhash

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 256
PREFIX_BLOCKS_MAX_COUNT = 64


def estimate_tokens(text: str) -> int:
    """Return the estimated count of tokens of a text, at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Return a hash for each whole block's prefix of a text, shortest first."""
    digest = xxhash.xxh64()
    hashes = []
    last = min(len(text) // PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS_MAX_COUNT)
    for index in range(last):
        start = index * PREFIX_BLOCK_CHARACTERS
        digest.update(text[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)
