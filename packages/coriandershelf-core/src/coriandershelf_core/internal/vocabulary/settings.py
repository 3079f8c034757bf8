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
    plain_answer_limit_s: float = documented(
        10.0, "Longest wait for the response of a plain service.", 0.01
    )
    stall_typical_factor: float = documented(
        5.0, "Multiple of a replica's typical token gap after which it may be stalled.", 1.0
    )
    stall_peak_factor: float = documented(
        1.25, "Multiple of a replica's longest normal token gap after which it is stalled.", 1.0
    )
    stall_floor_s: float = documented(0.06, "Shortest silence that counts as a stall.", 0.001)
    first_token_factor: float = documented(
        1.5, "Multiple of the expected first-token time after which a hedge may start.", 1.0
    )
    own_pause_s: float = documented(
        0.3,
        "Gap between two stall checks above which silence is attributed to this VM.",
        0.06,
    )
    ejected_max_share: float = documented(
        0.5, "Maximum share of a service's slots that may be ejected.", 0.0
    )
    probe_after_s: float = documented(
        0.5, "Wait before the first probe of an ejected replica.", 0.01
    )
    probe_after_max_s: float = documented(8.0, "Longest wait between two probes.", 0.01)
    hedge_share: float = documented(0.025, "Hedge budget as a share of completed work.", 0.0)
    hedge_reserve_tokens: int = documented(
        2000, "Maximum hedge budget that can accumulate, in tokens.", 0
    )
    reconnect_floor_s: float = documented(
        0.25,
        "Shortest silence of one stream, while others progress, before it is reconnected.",
        0.01,
    )
    suspicion_keep_s: float = documented(
        600.0, "How long a suspicion or verdict of crashing upstreams is kept.", 1.0
    )
    retry_share: float = documented(0.2, "Retry budget as a share of successful requests.", 0.0)
    retry_reserve_count: int = documented(30, "Maximum retry budget that can accumulate.", 1)
    retry_backoff_s: float = documented(
        0.1, "Backoff before a second retry; doubles with each further one.", 0.0
    )
    retry_backoff_max_s: float = documented(2.0, "Maximum backoff before a retry.", 0.0)
    attempts_max_count: int = documented(4, "Maximum number of attempts per request.", 1)
    wait_limit_s: float = documented(
        1.0, "Estimated wait for a replica above which short work is refused.", 0.01
    )
    engine_wait_target_s: float = documented(
        0.1, "Queueing delay in an engine above which it is sent less short work.", 0.001
    )
    digest_period_s: float = documented(
        0.05, "Minimum interval between digests of in-flight work sent to other entry VMs.", 0.01
    )
    long_floor_share: float = documented(0.3, "Share of slots that long work may always use.", 0.0)
    long_reserve_share: float = documented(0.2, "Share of slots reserved for short work.", 0.0)
    usage_memory_s: float = documented(
        10.0, "Decay time of the usage counted against a customer's share.", 0.1
    )
    queue_max_count: int = documented(2000, "Maximum number of queued requests.", 1)
    claim_wait_s: float = documented(2.0, "Longest wait for a claim to be read back.", 0.01)
    append_resend_s: float = documented(
        1.0, "Wait before an append without a response is repeated.", 0.01
    )
    append_refused_resend_s: float = documented(
        0.2, "Wait before an append refused by the log's rate limit is repeated.", 0.01
    )
    append_spacing_s: float = documented(
        0.03, "Minimum interval between two records that one entry VM appends to a stream.", 0.0
    )
    log_appends_per_s: float = documented(
        300.0, "Appends per second that all entry VMs together may send to the log.", 1.0
    )
    append_max_bytes: int = documented(262_144, "Approximate maximum size of one record.", 1024)
    key_window_s: float = documented(86400.0, "How long an idempotency key is remembered.", 1.0)
    key_refuse_s: float = documented(
        604_800.0, "How long after its claim an expired idempotency key is still refused.", 1.0
    )
    claim_late_s: float = documented(
        60.0, "Delay between making and appending a claim above which the claim is void.", 1.0
    )
    claim_open_max_s: float = documented(
        30.0, "Age after which a claim without a result is reported as unknown.", 1.0
    )
    claim_result_max_bytes: int = documented(
        65_536, "Largest response of a claimed call that is kept for repeated calls.", 0
    )
    repeat_wait_s: float = documented(
        5.0, "Longest wait of a repeated call for the result of the running one.", 0.0
    )
    ticket_life_s: float = documented(
        21_600.0, "How long tickets are valid; limited to half of log_retention_s.", 1.0
    )
    ticket_ask_s: float = documented(
        0.5, "Interval at which a call is resent to a ticket owner that does not respond.", 0.01
    )
    tickets_max_count: int = documented(1000, "Maximum number of tickets per grant.", 1)
    ledger_fresh_s: float = documented(
        3.0, "Maximum age of the last read to the ledger's end for a refusal to rely on it.", 0.1
    )
    log_retention_s: float = documented(
        86400.0, "How long the platform's log keeps records; do not set it higher.", 1.0
    )
    job_output_keep_s: float = documented(3600.0, "How long a finished job's output is kept.", 1.0)
    job_copy_resend_s: float = documented(
        0.5, "Wait before output that was not acknowledged is copied again.", 0.01
    )
    job_copy_limit_s: float = documented(
        2.0, "Wait for an acknowledgement before another VM is chosen for the copy.", 0.01
    )
    job_retry_s: float = documented(1.0, "Wait before a job without a replica is retried.", 0.0)
    job_snapshot_s: float = documented(
        21600.0,
        "Age at which a job's record is rewritten; keep it well below the log's retention.",
        1.0,
    )
    heartbeat_s: float = documented(1.0, "Period of heartbeats between entry VMs.", 0.01)
    peer_lost_s: float = documented(5.0, "Silence after which a peer is considered lost.", 0.01)
    heartbeat_fanout_count: int = documented(
        2, "Peers in the same zone that receive a heartbeat each period.", 1
    )
    member_forget_s: float = documented(
        120.0, "How long a VM must be missing from the list and silent before it is removed.", 1.0
    )
    watchers_count: int = documented(2, "Entry VMs that poll one replica's load.", 1)
    load_poll_s: float = documented(1.0, "Period of polling a watched replica's load.", 0.01)
    notice_keep_s: float = documented(
        600.0, "How long a reclaim notice is kept and applied after its reclaim time.", 1.0
    )
    pause_suspect_s: float = documented(
        1.0, "Gap between two steps above which this VM is assumed to have been paused.", 0.1
    )
    wake_hold_limit_s: float = documented(
        1.0, "Longest hold of new dispatches while a resumed VM asks for reclaim notices.", 0.0
    )
    configuration_ask_s: float = documented(
        0.5, "Wait before a VM with an outdated configuration requests it from a peer.", 0.01
    )
    configuration_snapshot_s: float = documented(
        21600.0,
        "Age at which the configuration is appended again; a quarter of the log's retention.",
        0.1,
    )
    configuration_recover_s: float = documented(
        30.0, "Wait for another VM's snapshot after missed records, before writing one.", 0.01
    )
    readiness_lag_s: float = documented(
        3.0, "How long a stopping VM accepts work while the load balancer reacts.", 0.0
    )
    lease_valid_s: float = documented(10.0, "How long a lease is valid without renewal.", 0.1)
    order_limit_s: float = documented(
        30.0, "Longest wait for an upstream's response to an order.", 0.1
    )
    orders_max_count: int = documented(
        2, "Maximum number of concurrent orders per availability zone.", 1
    )
    spending_period_s: float = documented(5.0, "Interval between purchase decisions.", 0.1)
    purchases_max_count: int = documented(4, "Maximum number of VMs bought per period.", 1)
    start_refused_wait_s: float = documented(
        120.0, "How long an offer is skipped after the cloud refused it.", 0.1
    )
    start_resend_s: float = documented(10.0, "Wait before an unanswered start is repeated.", 0.1)
    start_limit_s: float = documented(900.0, "Longest wait for a started VM to begin serving.", 1.0)
    control_snapshot_s: float = documented(
        3600.0, "Interval at which leases and purchases are rewritten to the log.", 1.0
    )
    trace_keep_count: int = documented(2000, "Request traces kept for the explain command.", 1)

    def __post_init__(self) -> None:
        """Check every field against its minimum.

        :raises ValueError: if a value is too low; names the setting, its value and the minimum.
        """
        for item in fields(self):
            value = getattr(self, item.name)
            minimum = item.metadata["minimum"]
            if value < minimum:
                raise ValueError(f"{item.name}={value} is below {minimum}; raise it")
