"""Explains the reasons in the log lines of entry VMs, and names where to look next."""

from __future__ import annotations

REFUSAL_REASONS = {
    "no-configuration": (
        "the VM could not confirm recently enough that its configuration is current",
        "lines 'store lost' and 'store regained' of the VM; the VM's configuration age metric",
    ),
    "stale-keys": (
        "the VM could not confirm recently enough that the key is still valid",
        "lines 'store lost' of the same VM",
    ),
    "no-route": (
        "no route of the configuration in force matches this host and path",
        "whether the version in the line is the published one; when it came into force here",
    ),
    "unknown-key": (
        "the key belongs to no customer of the configuration in force",
        "whether a newer version removed the key",
    ),
    "body-too-large": (
        "the body is larger than the configuration in force allows",
        "the limit in the configuration; send less or ask the operators to raise it",
    ),
    "no-memory": (
        "bodies that the VM holds took the memory that they may take together",
        "the size of bodies and how many arrive at once; larger VMs, or a lower limit",
    ),
    "header-too-large": (
        "the header fields are larger than the configuration in force allows",
        "the limit in the configuration; send fewer or shorter fields",
    ),
    "cap": (
        "the customer has used up its cap across all entry VMs",
        "the customer's cap and its requests in the last window",
    ),
    "no-replica": (
        "no registered replica of the service accepts new work",
        "lines 'replica gone from the registry' and 'replicas ordered'",
    ),
    "no-room": (
        "every replica known to be in order was full",
        "'running' of the lines around; 'replicas ordered' and its status",
    ),
    "replica-refused": (
        "a replica reported that it did not run the request, and no further attempt was allowed",
        "the attempt limit of the route and the retry budget",
    ),
    "no-version": (
        "no replica of the software version that began the stream accepts new work",
        "'version' of the line; lines 'replica registered' and 'replica gone from the registry'",
    ),
    "unknown-version": (
        "neither a VM nor the store knows which software version began the stream",
        "lines 'origins read' and 'starting' of all VMs; counter stream_origins",
    ),
    "poison": (
        "every replica that ran this request failed; it is not sent to another one",
        "lines 'sent again' with reason 'failed' for earlier ids of the same caller",
    ),
    "stopping": ("the VM was about to stop", "line 'stop signal' of the same VM"),
    "timeout": (
        "the time limit expired while a replica worked on the request",
        "'expected_ms', 'waiting' and 'running' of the attempt, and the replica's other lines",
    ),
    "unknown-outcome": (
        "a replica was sent the request and gave no complete response; the request may have run",
        "the replica's lines: unreachable, shut out, gone",
    ),
}

RETRY_REASONS = {
    "connect": "the replica could not be reached; nothing was sent",
    "misdirected": "another replica now has the address; nothing ran",
    "not-run": "the replica reported that it did not run the request",
    "failed": "the replica broke off its response; the route allows a retry",
    "server-error": "the replica answered with an error; the route allows a retry",
    "silent": "the replica sent nothing for too long; the route allows a retry",
    "resumed": (
        "the replica broke off its response; the stream resumed after its last complete event"
    ),
    "left": "the replica was removed before it had finished",
    "unconfirmed": "its response ended with its connection, and nothing shows that it is whole",
    "other-start": "the replica has started again, perhaps at another software version",
}
