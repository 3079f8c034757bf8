"""Codes of refusal and retry reasons, and the counters."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Why a request was answered without its result.

    Each member holds its code, the HTTP status and the remedy returned to the caller.
    """

    UNKNOWN_KEY = ("unknown-key", 401, "Send a bearer key that is listed in the inventory.")
    UNKNOWN_SERVICE = ("unknown-service", 404, "Name a service that is listed in the inventory.")
    UNKNOWN_JOB = ("unknown-job", 404, "Check the job id; outputs are kept for a limited time.")
    BAD_REQUEST = ("bad-request", 400, "Correct the request as described in the message.")
    BODY_TOO_LARGE = ("body-too-large", 413, "Send a smaller body.")
    KEY_MISSING = ("key-missing", 400, "Send an Idempotency-Key with a non-idempotent call.")
    KEY_REUSED = ("key-reused", 422, "Use a new Idempotency-Key for a different body.")
    KEY_EXPIRED = ("key-expired", 422, "Use a new Idempotency-Key; this one has expired.")
    IN_PROGRESS = ("in-progress", 409, "Retry with the same Idempotency-Key after the stated time.")
    RESULT_NOT_KEPT = (
        "result-not-kept",
        409,
        "Do not retry; the call ran once and its response was too large to keep.",
    )
    OVERLOADED = ("overloaded", 429, "Retry after the stated time.")
    OVER_SHARE = ("over-share", 429, "Retry after the stated time or send fewer requests at once.")
    DEADLINE = ("deadline", 504, "Set a later deadline or retry after the stated time.")
    NO_UPSTREAM = ("no-upstream", 503, "Retry after the stated time.")
    LOG_UNAVAILABLE = ("log-unavailable", 503, "Retry after the stated time.")
    NO_CONFIGURATION = ("no-configuration", 503, "Retry after the stated time.")
    STOPPING = ("stopping", 503, "Retry immediately; another entry VM will answer.")
    POISON = ("poison", 422, "Do not retry this request; it crashed upstreams.")
    RETRIES_EXHAUSTED = ("retries-exhausted", 503, "Retry after the stated time.")
    OUTCOME_LOST = (
        "outcome-lost",
        504,
        "Retry with the same Idempotency-Key; the call may have run.",
    )

    def __init__(self, code: str, status: int, remedy: str) -> None:
        self.code = code
        self.status = status
        self.remedy = remedy


class RetryReason(Enum):
    """Why another attempt was started for a request.

    Each member holds its code and meaning.
    """

    CONNECT_FAILED = ("connect-failed", "The upstream refused or did not accept the connection.")
    CONNECTION_LOST = ("connection-lost", "The connection closed before the end marker.")
    FIRST_TOKEN_LATE = ("first-token-late", "No first token arrived within the limit.")
    TOKEN_GAP = ("token-gap", "A stream was silent for longer than the limit.")
    UPSTREAM_REFUSED = (
        "upstream-refused",
        "The upstream refused the work because it was overloaded.",
    )
    UPSTREAM_ERROR = ("upstream-error", "The upstream responded with a server error.")
    UPSTREAM_LEAVING = ("upstream-leaving", "The upstream is being reclaimed or drained.")
    ORDER_UNANSWERED = ("order-unanswered", "An upstream did not answer an order in time.")
    START_UNANSWERED = ("start-unanswered", "The cloud's response to a start or stop was lost.")
    HEDGE = ("hedge", "A second attempt ran in parallel with a slow first one.")
    RECONNECTED = ("reconnected", "A silent stream was resumed over a new connection.")
    MOVED = ("moved", "A stream was migrated off a stalled replica with its KV cache.")

    def __init__(self, code: str, meaning: str) -> None:
        self.code = code
        self.meaning = meaning


class Counter(Enum):
    """Counters other than those of refusal and retry reasons.

    Each member holds its statsd name and what it counts.
    """

    REQUESTS = ("requests", "Requests received.")
    ANSWERS_DONE = ("answers.done", "Requests answered with their result.")
    ANSWERS_UNKNOWN = ("answers.unknown", "Requests answered with an unknown outcome.")
    CALLER_GONE = ("caller-gone", "Callers that disconnected before their response was complete.")
    TOKENS_RELAYED = ("tokens.relayed", "Tokens relayed to callers.")
    TOKENS_DROPPED = (
        "tokens.dropped",
        "Tokens dropped as late, repeated, out of order or of another attempt.",
    )
    APPENDS = ("log.appends", "Records appended to the log.")
    APPEND_ENTRIES = ("log.entries", "Entries in the appended records.")
    APPENDS_UNCERTAIN = ("log.appends-uncertain", "Appends whose response was lost.")
    CLAIMS_WON = ("claims.won", "Claims of this VM that acquired their key.")
    CLAIMS_LOST = ("claims.lost", "Claims of this VM whose key was already claimed.")
    CLAIMS_VOID = ("claims.void", "Claims appended to the log too late to be valid.")
    CLAIMS_RELEASED = ("claims.released", "Claims released before anything was sent.")
    CLAIMS_KEPT = ("claims.kept", "Keys rewritten to the log before their records expire.")
    REPEATS_ATTACHED = (
        "claims.repeats-attached",
        "Repeated calls that waited for the running call.",
    )
    TICKETS_GRANTED = ("tickets.granted", "Tickets granted to callers by this VM.")
    TICKETS_USED = ("tickets.used", "Calls run by this VM under a ticket that it owns.")
    TICKETS_FORWARDED = ("tickets.forwarded", "Calls forwarded to the owner of their ticket.")
    LEDGER_GAPS = ("log.gaps", "Times that log records expired before this VM read them.")
    HEDGES_OVER_BUDGET = (
        "hedges.over-budget",
        "Hedges not started because the budget was exhausted.",
    )
    RETRIES_OVER_BUDGET = (
        "retries.over-budget",
        "Retries not started because the budget was exhausted.",
    )
    SUSPECTS = ("suspects", "Requests in flight at a replica when it crashed.")
    SUSPECTS_HELD = ("suspects.held", "Suspected requests held until they can be tried alone.")
    SUSPECTS_CLEARED = ("suspects.cleared", "Suspected requests that ran without a crash.")
    TRIALS = ("suspects.trials", "Suspected requests tried with no other suspect on the replica.")
    ATTEMPTS_LOST = ("attempts.lost", "Attempts cancelled because another one answered first.")
    EJECTIONS = ("ejections", "Replicas ejected because they stalled.")
    EJECTIONS_FLOOR = (
        "ejections.floor",
        "Ejections skipped because too few replicas would remain.",
    )
    EJECTION_HINTS = (
        "ejections.hints",
        "Replicas ejected because another entry VM reported a stall.",
    )
    PROBES = ("ejections.probes", "Requests sent to an ejected replica as a probe.")
    READMISSIONS = ("ejections.readmitted", "Ejected replicas readmitted to new work.")
    EMPTY_VM_LISTS = ("membership.empty-lists", "Empty VM lists received and ignored.")
    DISPUTED_VMS = (
        "membership.disputed",
        "VMs that still respond although the list reports them gone.",
    )
    NOTICES = ("membership.notices", "Reclaim notices received from the platform or a peer.")
    NOTICES_FROM_PEER = (
        "membership.notices-from-peer",
        "Reclaim notices that a peer delivered first.",
    )
    LOAD_POLLS = ("membership.load-polls", "Load polls of watched replicas.")
    WAKE_HOLDS = ("membership.wake-holds", "Holds of new dispatches after a clock jump.")
    WAKE_HOLDS_UNANSWERED = (
        "membership.wake-holds-unanswered",
        "Holds that ended without a response from the platform or a peer.",
    )
    STOP_CUT = ("stop.cut", "Responses cut off at the stop deadline before they were complete.")
    JOBS_HANDED_OVER = (
        "jobs.handed-over",
        "Jobs that another entry VM took over from a stopping one.",
    )
    JOBS_TAKEN_OVER = ("jobs.taken-over", "Jobs taken over from a lost holder with their output.")
    JOBS_RESTARTED = (
        "jobs.restarted",
        "Jobs restarted from the beginning because their output was lost.",
    )
    JOBS_FENCED = ("jobs.fenced", "Jobs that this VM stopped because the log names another holder.")
    JOBS_RETRIED = ("jobs.retried", "Accepted jobs retried after their attempts were exhausted.")
    JOB_COPIES = ("jobs.copies", "Chunks of job output sent to the VM that keeps the copy.")
    PREEMPTED = (
        "preempted",
        "Work items preempted at a full replica in favour of a short request.",
    )
    LENGTH_MISJUDGED = ("length-misjudged", "Short work items reclassified as long while they ran.")
    CONFIGURATIONS_ADOPTED = (
        "configuration.adopted",
        "Configurations that took effect on this VM.",
    )
    CONFIGURATIONS_FROM_PEER = (
        "configuration.from-peer",
        "Configurations received from a peer before they were read from the log.",
    )
    CONFIGURATION_ASKS = ("configuration.asks", "Requests to peers for a newer configuration.")
    CONFIGURATION_SNAPSHOTS = (
        "configuration.snapshots",
        "Configurations appended again before their records expire.",
    )
    CONFIGURATION_GAPS = (
        "configuration.gaps",
        "Times that configuration records expired before this VM read them.",
    )
    CONFIGURATION_NOT_UNDERSTOOD = (
        "configuration.not-understood",
        "Accepted configurations that this software could not read.",
    )
    CONFIGURATION_MISMATCHES = (
        "configuration.mismatches",
        "Peers or snapshots that gave a different change for a known version.",
    )
    LEASES_ACQUIRED = ("leases.acquired", "Leases that this VM acquired.")
    LEASES_LAPSED = ("leases.lapsed", "Leases that this VM could not renew in time.")
    ORDERS_SENT = ("orders.sent", "Orders sent to upstreams.")
    ORDERS_FENCED = (
        "orders.fenced",
        "Orders that an upstream refused for an outdated fencing number.",
    )
    PURCHASES_MADE = ("purchases.made", "VMs that the cloud started for this VM's purchases.")
    PURCHASES_REFUSED = ("purchases.refused", "Starts that the cloud refused.")
    PURCHASES_OVER_BUDGET = (
        "purchases.over-budget",
        "Purchases not made because the budget was exhausted.",
    )
    PURCHASES_ENDED = (
        "purchases.ended",
        "Purchases that ended: VM given back, reclaimed or refused.",
    )
    PEER_MESSAGES = ("peer.messages", "Messages sent to other entry VMs.")

    def __init__(self, code: str, meaning: str) -> None:
        self.code = code
        self.meaning = meaning


def counter_names() -> dict[str, str]:
    """Return every counter name with its meaning; the documentation lists all of them."""
    names = {f"refusal.{reason.code}": reason.remedy for reason in RefusalReason}
    names.update({f"retry.{reason.code}": reason.meaning for reason in RetryReason})
    names.update({counter.code: counter.meaning for counter in Counter})
    return names
