"""Settings of the gateway."""

from __future__ import annotations

from msgspec import Struct


class GatewaySettings(Struct, frozen=True):
    """Settings from the deployment; the defaults are those of the smaller sites.

    :param retry_ratio: retries allowed per request in ``retry_window_s``.
    :param retry_slack_count: retries allowed in addition, over all entry VMs.
    :param keys_age_max_s: age of the configuration beyond which requests with an API key are
        refused; the deployment's limit less the time that a request may take to reach a replica.
    :param denial_age_max_s: age of the configuration beyond which an unknown route or key is
        answered as not run rather than as denied.
    :param usage_window_s: length of a usage window.
    :param expose_share: share of a service's requests that a version without a verdict may get.
    :param canary_slack_count: requests that it may get in addition, over all entry VMs.
    :param rollback_s: time after a version's 50th bad answer within which it must get no more.
    :param expects_rollouts: whether the deployment bounds what a version without a verdict may get.
    :param replica_heartbeat_s: period at which replicas renew their registrations.
    :param grace_s: time between the stop request and the end of the process.
    """

    retry_ratio: float = 0.2
    retry_slack_count: float = 56.0
    retry_window_s: float = 10.0
    keys_age_max_s: float = 4.4
    denial_age_max_s: float = 1.6
    usage_window_s: float = 5.0
    grace_s: float = 8.0
    replica_heartbeat_s: float = 1.2
    expose_share: float = 0.1
    canary_slack_count: float = 50.0
    rollback_s: float = 5.0
    expects_rollouts: bool = True


# Share of the retry budget that is used, since VMs see requests and retries at slightly different
# times.
RETRY_BUDGET_SHARE = 0.75
