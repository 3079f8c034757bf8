"""What identifies a call that may not be repeated."""

from __future__ import annotations

import hashlib
import uuid

from coriandershelf_core.internal.vocabulary.request import Request

UUID_TIME_VERSION = 7


def claim_key(customer: str, request: Request) -> str:
    """Return the key under which a call is claimed, unique to its customer and service."""
    text = f"{customer}\0{request.service}\0{request.idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def body_hash(request: Request) -> str:
    """Return the hash that tells two bodies under one key apart."""
    return hashlib.sha256(request.path.encode() + b"\0" + request.body).hexdigest()


def key_made_at_s(key: str | None) -> float | None:
    """Return when a key was made if it is a UUID that tells its time (version 7)."""
    try:
        parsed = uuid.UUID(key or "")
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION:
        return None
    return (parsed.int >> 80) / 1000
