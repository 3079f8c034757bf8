"""The build of this program, and the protocol levels by which entry VMs of two builds agree.

A behaviour that needs all VMs names the level from which on builds support it, and is in effect
while the lowest level of the fleet is at least that. docs/design/mixed-builds.md lists the levels.
"""

from __future__ import annotations

from collections.abc import Iterable

VERSION = "0.1.0"
# 0: builds that send no level. 2: messages about stored origins of streams. Raised by one in a
# landing with behaviour that needs all VMs.
PROTOCOL_LEVEL = 2
BUILD = f"{VERSION}+{PROTOCOL_LEVEL}"
LEVEL_DIGITS_MAX_COUNT = 4


def level_of(build: str) -> int:
    """Return the protocol level in a build, ``VERSION+LEVEL``; 0 if it names none."""
    digits = build.rpartition("+")[2]
    if digits.isascii() and digits.isdigit() and len(digits) <= LEVEL_DIGITS_MAX_COUNT:
        return int(digits) if digits != build else 0
    return 0


def lowest_level(peer_levels: Iterable[int]) -> int:
    """Return the level that this VM and all peers support."""
    return min([PROTOCOL_LEVEL, *peer_levels])
