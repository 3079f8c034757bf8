"""The operator's configuration, in the form of the users' page."""

from __future__ import annotations

from typing import Any

from replicas import HEALTH_PATH

HOST = "site.example"
TENANT = "tenant-1"


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route; its requests go to the path of its name."""
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
        "timeout_ms": 15_000, "target_latency_ms": 500, "priority": 0, "max_attempts": 1,
        "public": False, "gap_target_ms": 500, **more,
    }  # fmt: skip


def service(name: str, engine_slots: int = 0) -> dict[str, Any]:
    """Return a service."""
    fields: dict[str, Any] = {"name": name, "health_path": HEALTH_PATH, "max_conns": 370}
    return fields | ({"engine": {"slots": engine_slots}} if engine_slots else {})


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]], keys: list[str]
) -> dict[str, Any]:
    """Return a version of the configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": TENANT, "api_keys": keys, "unit": "token_count", "plain_tokens": 200,
                "rate_per_s": 0, "burst": 0,
            }
        ],
    }  # fmt: skip
