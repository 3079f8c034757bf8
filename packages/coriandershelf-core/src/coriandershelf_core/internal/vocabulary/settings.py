"""Settings of the core."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any


def documented(default: float, doc: str, minimum: float = 0.0) -> Any:
    """Declare a setting with its default, description and minimum."""
    return field(default=default, metadata={"doc": doc, "minimum": minimum})


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Limits and periods of the core; field names end in their unit."""

    connect_limit_s: float = documented(1.0, "Longest wait for an upstream's response head.", 0.01)
    first_token_limit_s: float = documented(10.0, "Longest wait for a first token.", 0.01)
    token_gap_limit_s: float = documented(2.0, "Longest silence between two tokens.", 0.01)
    plain_answer_limit_s: float = documented(10.0, "Longest wait for a plain service.", 0.01)
    stall_typical_factor: float = documented(
        5.0, "Multiple of a replica's typical token gap after which it may be stalled.", 1.0
    )
    stall_peak_factor: float = documented(
        1.25, "Multiple of a replica's longest normal token gap after which it is stalled.", 1.0
    )
    stall_floor_s: float = documented(0.06, "Least silence that counts as a stall.", 0.001)
    first_token_factor: float = documented(
        1.5, "Multiple of the expected first-token time after which a hedge may start.", 1.0
    )
    own_pause_s: float = documented(
        0.3, "Time between two checks after which silence is put down to this VM itself.", 0.06
    )
    ejected_max_share: float = documented(0.5, "Share of a service's slots ejected at most.", 0.0)
    probe_after_s: float = documented(0.5, "Wait before an ejected replica is tried.", 0.01)
    probe_after_max_s: float = documented(8.0, "Longest wait between two tries.", 0.01)
    hedge_share: float = documented(0.025, "Hedged work as a share of work done.", 0.0)
    hedge_reserve_tokens: int = documented(2000, "Hedged work held in reserve at most.", 0)
    reconnect_floor_s: float = documented(
        0.25, "Least silence of one stream, while others move, before a fresh connection.", 0.01
    )
    suspicion_keep_s: float = documented(
        600.0, "How long a request that crashed upstreams is refused.", 1.0
    )
    retry_share: float = documented(0.2, "Retries as a share of successes.", 0.0)
    retry_reserve_count: int = documented(30, "Retries held in reserve at most.", 1)
    retry_backoff_s: float = documented(0.1, "Wait before a second retry; it doubles.", 0.0)
    retry_backoff_max_s: float = documented(2.0, "Longest wait before a retry.", 0.0)
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
    append_refused_resend_s: float = documented(
        0.2, "Wait before an append refused by the log's rate limit is repeated.", 0.01
    )
    append_spacing_s: float = documented(
        0.03, "Least time between two records that one entry VM appends to a stream.", 0.0
    )
    log_appends_per_s: float = documented(
        300.0, "Appends a second that all entry VMs together may ask of the log.", 1.0
    )
    append_max_bytes: int = documented(262_144, "Entries of one record by size, about.", 1024)
    key_window_s: float = documented(86400.0, "How long an idempotency key is remembered.", 1.0)
    key_refuse_s: float = documented(
        604_800.0, "How long after its claim a key past its window is still refused.", 1.0
    )
    claim_late_s: float = documented(
        60.0, "A claim that the log takes later than this after it was made is void.", 1.0
    )
    claim_open_max_s: float = documented(
        30.0, "Age after which a claim without a result is told as unknown.", 1.0
    )
    claim_result_max_bytes: int = documented(
        65_536, "Largest answer of a claimed call that is kept for repeats.", 0
    )
    repeat_wait_s: float = documented(
        5.0, "Longest wait of a repeated call for the result of the running one.", 0.0
    )
    ticket_life_s: float = documented(
        21_600.0, "How long tickets are valid; at most half of log_retention_s counts.", 1.0
    )
    ticket_ask_s: float = documented(
        0.5, "Period in which a silent owner of a ticket is asked again.", 0.01
    )
    tickets_max_count: int = documented(1000, "Tickets of one grant at the most.", 1)
    ledger_fresh_s: float = documented(
        3.0, "Age of the last read to the ledger's end at which refusals still rest on it.", 0.1
    )
    log_retention_s: float = documented(
        86400.0, "How long the platform's log keeps records; set it no higher.", 1.0
    )
    job_output_keep_s: float = documented(3600.0, "How long a finished job's output is kept.", 1.0)
    job_copy_resend_s: float = documented(
        0.5, "Wait before output that was not acknowledged is copied again.", 0.01
    )
    job_copy_limit_s: float = documented(
        2.0, "Wait for an acknowledgement before another VM is chosen for the copy.", 0.01
    )
    job_retry_s: float = documented(1.0, "Wait before a job without a replica is tried again.", 0.0)
    job_snapshot_s: float = documented(
        21600.0,
        "Age at which a job's record is written forward; well below the log's retention.",
        1.0,
    )
    heartbeat_s: float = documented(1.0, "Period of heartbeats between entry VMs.", 0.01)
    peer_lost_s: float = documented(5.0, "Silence after which a peer counts as lost.", 0.01)
    heartbeat_fanout_count: int = documented(
        2, "Neighbours of the zone that get a heartbeat each period.", 1
    )
    member_forget_s: float = documented(
        120.0, "How long a VM is missing from the list and silent before it is forgotten.", 1.0
    )
    watchers_count: int = documented(2, "Entry VMs that poll one replica's load.", 1)
    load_poll_s: float = documented(1.0, "Period of polling a watched replica's load.", 0.01)
    notice_keep_s: float = documented(
        600.0, "How long past its time a reclaim notice is kept and believed.", 1.0
    )
    pause_suspect_s: float = documented(
        1.0, "Gap between two steps after which this VM counts as having been paused.", 0.1
    )
    wake_hold_limit_s: float = documented(
        1.0, "Longest hold of new dispatches while a VM that was paused asks for notices.", 0.0
    )
    configuration_ask_s: float = documented(
        0.5, "Wait before a VM that is behind asks a peer for the configuration.", 0.01
    )
    configuration_snapshot_s: float = documented(
        21600.0, "Age at which the configuration is appended again; a quarter of retention.", 0.1
    )
    configuration_recover_s: float = documented(
        30.0, "Wait for a snapshot after records were missed, before one is written.", 0.01
    )
    readiness_lag_s: float = documented(3.0, "Wait for the balancer after readiness is lost.", 0.0)
    lease_valid_s: float = documented(10.0, "How long a lease is valid without renewal.", 0.1)
    order_limit_s: float = documented(30.0, "Longest wait for an upstream's order answer.", 0.1)
    orders_max_count: int = documented(2, "Orders under way at once in an availability zone.", 1)
    spending_period_s: float = documented(5.0, "Period of deciding on purchases.", 0.1)
    purchases_max_count: int = documented(4, "VMs bought at most in one period.", 1)
    start_refused_wait_s: float = documented(
        120.0, "How long an offer is passed over after the cloud refused it.", 0.1
    )
    start_resend_s: float = documented(10.0, "Wait before an unanswered start is repeated.", 0.1)
    start_limit_s: float = documented(900.0, "Longest wait for a started VM to serve.", 1.0)
    control_snapshot_s: float = documented(
        3600.0, "Period of writing leases and purchases forward in the log.", 1.0
    )
    trace_keep_count: int = documented(2000, "Request traces kept for explain.", 1)

    def __post_init__(self) -> None:
        """Check every field against its minimum.

        :raises ValueError: if a value is too low; names the setting, its value and the minimum.
        """
        for item in fields(self):
            value = getattr(self, item.name)
            minimum = item.metadata["minimum"]
            if value < minimum:
                raise ValueError(f"{item.name}={value} is below {minimum}; raise it")
