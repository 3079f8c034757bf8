"""The small deployment and the settings of the soak."""

from __future__ import annotations

from coriandershelf_core import CoreSettings
from coriandershelf_rig.internal.deployments import CustomerSpec, Deployment, ReplicaSpec
from coriandershelf_rig.internal.soak_plan import (
    UPSTREAM_COUNT,
    VM_COUNT,
    entry_name,
    upstream_name,
)

CUSTOMER = "depot"
PATH = "orders/new"
RETENTION_S = 20.0
SOAK_SETTINGS = CoreSettings(
    plain_answer_limit_s=4.0,
    claim_wait_s=1.0,
    append_resend_s=0.4,
    claim_late_s=3.0,
    claim_open_max_s=8.0,
    key_window_s=30.0,
    key_refuse_s=600.0,
    repeat_wait_s=2.0,
    ledger_fresh_s=1.0,
    log_retention_s=RETENTION_S,
)


def soak_deployment() -> Deployment:
    """Return a deployment of two zones, each with two entry VMs and one plain-service replica."""
    zones = ("zone-a", "zone-b")
    replicas = tuple(
        ReplicaSpec(
            upstream_name(index), "orders", zones[index], None, "plain", "on-demand", 0.3, False
        )
        for index in range(UPSTREAM_COUNT)
    )
    return Deployment(
        name="soak",
        region="soak",
        zones=zones,
        entries=tuple((entry_name(vm), zones[vm % 2]) for vm in range(VM_COUNT)),
        model="model",
        plain="orders",
        non_idempotent_paths=("orders",),
        replicas=replicas,
        customers=(CustomerSpec(CUSTOMER, 1.0, 0),),
        zone_latency_s=0.001,
        budget_per_hour=0.0,
    )
