"""Periods, bounds and shares of the gateway's decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Figures that the deployment states, with the values of the smaller sites as defaults.

    :param keys_age_max_s: age of the knowledge of keys beyond which keyed requests are refused;
        what the deployment allows less the time that a request may take to reach a replica.
    :param denial_age_max_s: age of the configuration beyond which an unknown route or key is
        answered as not run rather than as denied.
    :param grace_s: time between the request to stop and the end of the process.
    """

    retry_ratio: float = 0.2
    retry_slack_count: float = 56.0
    retry_window_s: float = 10.0
    keys_age_max_s: float = 4.4
    denial_age_max_s: float = 1.6
    usage_window_s: float = 5.0
    grace_s: float = 8.0


# Parts of the budgets that are used, since VMs see requests and repeats at slightly other times.
RETRY_USE = 0.75
