"""The core's settings as one documented object."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any


def documented(default: float, doc: str, minimum: float = 0.0) -> Any:
    """Declare a setting with its default, meaning and least allowed value."""
    return field(default=default, metadata={"doc": doc, "minimum": minimum})


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Limits and periods of the core; every field names its unit."""

    connect_limit_s: float = documented(1.0, "Longest wait for an upstream's response head.", 0.01)
    first_token_limit_s: float = documented(10.0, "Longest wait for a first token.", 0.01)
    token_gap_limit_s: float = documented(2.0, "Longest silence between two tokens.", 0.01)
    plain_answer_limit_s: float = documented(10.0, "Longest wait for a plain service.", 0.01)
    attempts_max_count: int = documented(4, "Attempts of one request at the most.", 1)
    wait_limit_s: float = documented(
        1.0, "Estimated wait for a replica above which short work is refused.", 0.01
    )
    engine_wait_target_s: float = documented(
        0.1, "Wait inside an engine above which less short work is sent there.", 0.001
    )
    digest_period_s: float = documented(
        0.05, "Shortest time between two digests of works in flight to other entry VMs.", 0.01
    )
    long_floor_share: float = documented(0.3, "Share of slots that long work always may hold.", 0.0)
    long_reserve_share: float = documented(0.2, "Share of slots kept free of long work.", 0.0)
    usage_memory_s: float = documented(10.0, "How long use counts against a customer's share.", 0.1)
    queue_max_count: int = documented(2000, "Requests that wait at the most.", 1)
    claim_wait_s: float = documented(2.0, "Longest wait for a claim to be read back.", 0.01)
    append_resend_s: float = documented(1.0, "Wait before an uncertain append is repeated.", 0.01)
    key_window_s: float = documented(86400.0, "How long an idempotency key is remembered.", 1.0)
    job_output_keep_s: float = documented(3600.0, "How long a finished job's output is kept.", 1.0)
    heartbeat_s: float = documented(1.0, "Period of heartbeats between entry VMs.", 0.01)
    peer_lost_s: float = documented(5.0, "Silence after which a peer counts as lost.", 0.01)
    readiness_lag_s: float = documented(3.0, "Wait for the balancer after readiness is lost.", 0.0)
    trace_keep_count: int = documented(2000, "Request traces kept for explain.", 1)

    def __post_init__(self) -> None:
        """Check every field against its least allowed value.

        :raises ValueError: names the setting, its value and what is allowed.
        """
        for item in fields(self):
            value = getattr(self, item.name)
            minimum = item.metadata["minimum"]
            if value < minimum:
                raise ValueError(f"{item.name}={value} is below {minimum}; raise it")
