"""The baseline configuration that experiments compare with."""

from __future__ import annotations

# Mechanisms disabled in the baseline. What remains is a FIFO queue and round robin over replicas
# that have a free slot by the sender's own count.
BASELINE_DISABLED = frozenset(
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
