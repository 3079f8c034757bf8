"""Keys and hashes that identify non-idempotent calls."""

from __future__ import annotations

import hashlib
import uuid

from coriandershelf_core.internal.vocabulary.request import Request

UUID_TIMESTAMP_VERSION = 7


def claim_key(customer: str, request: Request) -> str:
    """Return the key under which a call is claimed, scoped to its customer and service."""
    text = f"{customer}\0{request.service}\0{request.idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def body_hash(request: Request) -> str:
    """Return a hash of path and body that detects a key reused for another request."""
    return hashlib.sha256(request.path.encode() + b"\0" + request.body).hexdigest()


def key_created_at_s(key: str | None) -> float | None:
    """Return the creation time in a key that is a version 7 UUID, or ``None``.

    The time is in seconds since the Unix epoch.
    """
    try:
        parsed = uuid.UUID(key or "")
    except ValueError:
        return None
    if parsed.version != UUID_TIMESTAMP_VERSION:
        return None
    return (parsed.int >> 80) / 1000
