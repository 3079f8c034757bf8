"""The plain way of serving that experiments compare with."""

from __future__ import annotations

# First in, first out, round robin over replicas with a free slot by the sender's own count.
PLAIN_WAY = frozenset(
    {
        "fair-queue",
        "length-classes",
        "limits",
        "admission",
        "engine-priority",
        "routing",
        "affinity",
    }
)
