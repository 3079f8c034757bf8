"""Codes of refusal and retry reasons, and the counters."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Why a request was answered without its result.

    Each member holds its code, the HTTP status and the remedy returned to the caller.
    """

    UNKNOWN_KEY = ("unknown-key", 401, "Send a bearer key that the inventory lists.")
    UNKNOWN_SERVICE = ("unknown-service", 404, "Name a service that the inventory lists.")
    UNKNOWN_JOB = ("unknown-job", 404, "Check the job id; outputs are kept for a limited time.")
    BAD_REQUEST = ("bad-request", 400, "Mend the request as the message says.")
    BODY_TOO_LARGE = ("body-too-large", 413, "Send a smaller body.")
    KEY_MISSING = ("key-missing", 400, "Send an Idempotency-Key with a non-idempotent call.")
    KEY_REUSED = ("key-reused", 422, "Use a new Idempotency-Key for another body.")
    KEY_EXPIRED = ("key-expired", 422, "Use a new Idempotency-Key; this one is past its window.")
    IN_PROGRESS = ("in-progress", 409, "Ask again with the same key after the stated time.")
    RESULT_NOT_KEPT = (
        "result-not-kept",
        409,
        "Do not send it again; it ran once and its answer was too large to keep.",
    )
    OVERLOADED = ("overloaded", 429, "Come back after the stated time.")
    OVER_SHARE = ("over-share", 429, "Come back after the stated time or send less at once.")
    DEADLINE = ("deadline", 504, "Send a later deadline or come back after the stated time.")
    NO_UPSTREAM = ("no-upstream", 503, "Come back after the stated time.")
    LOG_UNAVAILABLE = ("log-unavailable", 503, "Come back after the stated time.")
    NO_CONFIGURATION = ("no-configuration", 503, "Come back after the stated time.")
    STOPPING = ("stopping", 503, "Send again at once; another entry VM answers.")
    POISON = ("poison", 422, "Do not send this request again; it crashed upstreams.")
    RETRIES_EXHAUSTED = ("retries-exhausted", 503, "Come back after the stated time.")
    OUTCOME_LOST = ("outcome-lost", 504, "Ask again with the same key; it may have run.")

    def __init__(self, code: str, status: int, remedy: str) -> None:
        self.code = code
        self.status = status
        self.remedy = remedy


class RetryReason(Enum):
    """Why another attempt was started for a request.

    Each member holds its code and meaning.
    """

    CONNECT_FAILED = ("connect-failed", "The upstream refused or did not take the connection.")
    CONNECTION_LOST = ("connection-lost", "The connection closed before the end marker.")
    FIRST_TOKEN_LATE = ("first-token-late", "No first token came within the limit.")
    TOKEN_GAP = ("token-gap", "A stream went silent for longer than the limit.")
    UPSTREAM_REFUSED = ("upstream-refused", "The upstream refused the work as overloaded.")
    UPSTREAM_ERROR = ("upstream-error", "The upstream answered with a server error.")
    UPSTREAM_LEAVING = ("upstream-leaving", "The upstream is being reclaimed or drained.")
    ORDER_UNANSWERED = ("order-unanswered", "An upstream did not answer an order in time.")
    START_UNANSWERED = ("start-unanswered", "The cloud's answer to a start or stop was lost.")
    HEDGE = ("hedge", "A second attempt ran beside a slow first one.")
    RECONNECTED = ("reconnected", "A silent stream went on over a fresh connection.")
    MOVED = ("moved", "A stream was moved off a stalled replica with its KV cache.")

    def __init__(self, code: str, meaning: str) -> None:
        self.code = code
        self.meaning = meaning


class Counter(Enum):
    """Counters other than those of refusal and retry reasons.

    Each member holds its statsd name and what it counts.
    """

    REQUESTS = ("requests", "Requests that arrived.")
    ANSWERS_DONE = ("answers.done", "Requests answered with their result.")
    ANSWERS_UNKNOWN = ("answers.unknown", "Requests answered with an unknown outcome.")
    CALLER_GONE = ("caller-gone", "Callers that closed before their answer was whole.")
    TOKENS_RELAYED = ("tokens.relayed", "Tokens relayed to callers.")
    TOKENS_DROPPED = ("tokens.dropped", "Late, crossed or repeated tokens dropped.")
    APPENDS = ("log.appends", "Records appended to the log.")
    APPEND_ENTRIES = ("log.entries", "Entries inside the appended records.")
    APPENDS_UNCERTAIN = ("log.appends-uncertain", "Appends whose answer was lost.")
    CLAIMS_WON = ("claims.won", "Claims of this VM that won their key.")
    CLAIMS_LOST = ("claims.lost", "Claims of this VM whose key was taken before.")
    CLAIMS_VOID = ("claims.void", "Claims that the log took too late to count.")
    CLAIMS_RELEASED = ("claims.released", "Claims given up before anything was sent.")
    CLAIMS_KEPT = ("claims.kept", "Keys written forward before their records expire.")
    REPEATS_ATTACHED = ("claims.repeats-attached", "Repeats that waited for the running call.")
    TICKETS_GRANTED = ("tickets.granted", "Tickets granted to callers by this VM.")
    TICKETS_USED = ("tickets.used", "Calls run under a ticket by this VM, its owner.")
    TICKETS_FORWARDED = ("tickets.forwarded", "Calls passed to the owner of their ticket.")
    LEDGER_GAPS = ("log.gaps", "Times that records expired before they were read here.")
    HEDGES_OVER_BUDGET = ("hedges.over-budget", "Hedges not started for want of budget.")
    RETRIES_OVER_BUDGET = ("retries.over-budget", "Retries not started for want of budget.")
    SUSPECTS = ("suspects", "Requests in flight at a replica that crashed.")
    SUSPECTS_HELD = ("suspects.held", "Suspected requests held until they may be tried alone.")
    SUSPECTS_CLEARED = ("suspects.cleared", "Suspected requests that ran without a crash.")
    TRIALS = ("suspects.trials", "Suspected requests tried with no other suspect beside them.")
    ATTEMPTS_LOST = ("attempts.lost", "Slower attempts cancelled because another one answered.")
    EJECTIONS = ("ejections", "Replicas kept from new work because they stalled.")
    EJECTIONS_FLOOR = ("ejections.floor", "Ejections not done: too few replicas would be left.")
    EJECTION_HINTS = ("ejections.hints", "Ejections on the word of another entry VM.")
    PROBES = ("ejections.probes", "Requests sent to an ejected replica to try it.")
    READMISSIONS = ("ejections.readmitted", "Ejected replicas that take new work again.")
    EMPTY_VM_LISTS = ("membership.empty-lists", "Empty VM lists, which change nothing.")
    DISPUTED_VMS = ("membership.disputed", "VMs that the list calls gone while they answer.")
    NOTICES = ("membership.notices", "Reclaim notices learnt, from the platform or a peer.")
    NOTICES_FROM_PEER = ("membership.notices-from-peer", "Those of them that a peer told first.")
    LOAD_POLLS = ("membership.load-polls", "Polls of watched replicas' loads.")
    WAKE_HOLDS = ("membership.wake-holds", "Holds of new dispatches after a jump of the clock.")
    WAKE_HOLDS_UNANSWERED = (
        "membership.wake-holds-unanswered",
        "Holds that ended without an answer from the platform or a peer.",
    )
    STOP_CUT = ("stop.cut", "Answers ended early because the notice was shorter than their rest.")
    JOBS_HANDED_OVER = ("jobs.handed-over", "Jobs that another entry VM took from a leaving one.")
    JOBS_TAKEN_OVER = ("jobs.taken-over", "Jobs taken over from a lost holder with its output.")
    JOBS_RESTARTED = ("jobs.restarted", "Jobs whose output was lost, started from the beginning.")
    JOBS_FENCED = ("jobs.fenced", "Jobs that a former holder stopped after reading their move.")
    JOBS_RETRIED = ("jobs.retried", "Accepted jobs tried again after their attempts were spent.")
    JOB_COPIES = ("jobs.copies", "Pieces of job output sent to the VM that keeps the copy.")
    PREEMPTED = ("preempted", "Works that gave their slot at a full replica to a question.")
    LENGTH_MISJUDGED = ("length-misjudged", "Short works that turned out long while they ran.")
    CONFIGURATIONS_ADOPTED = ("configuration.adopted", "Configurations that came into force here.")
    CONFIGURATIONS_FROM_PEER = (
        "configuration.from-peer",
        "Configurations learnt from a peer before the log.",
    )
    CONFIGURATION_ASKS = ("configuration.asks", "Peers asked for a newer configuration.")
    CONFIGURATION_SNAPSHOTS = (
        "configuration.snapshots",
        "Configurations appended again before the log's retention passes.",
    )
    CONFIGURATION_GAPS = (
        "configuration.gaps",
        "Times that configuration records expired before they were read.",
    )
    CONFIGURATION_NOT_UNDERSTOOD = (
        "configuration.not-understood",
        "Accepted configurations that this software could not read.",
    )
    CONFIGURATION_MISMATCHES = (
        "configuration.mismatches",
        "Peers or snapshots that named another change under a known version.",
    )
    LEASES_ACQUIRED = ("leases.acquired", "Leases that this VM acquired.")
    LEASES_LAPSED = ("leases.lapsed", "Leases that this VM could not renew in time.")
    ORDERS_SENT = ("orders.sent", "Orders sent to upstreams.")
    ORDERS_FENCED = ("orders.fenced", "Orders that an upstream refused for an old number.")
    PURCHASES_MADE = ("purchases.made", "VMs that the cloud started for this VM's orders.")
    PURCHASES_REFUSED = ("purchases.refused", "Starts that the cloud refused.")
    PURCHASES_OVER_BUDGET = ("purchases.over-budget", "Purchases not made for lack of budget.")
    PURCHASES_ENDED = ("purchases.ended", "VMs given back or reclaimed.")
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
