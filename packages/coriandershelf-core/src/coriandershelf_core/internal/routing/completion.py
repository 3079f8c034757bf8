"""Detects the last payload of a generated answer."""

from __future__ import annotations

import json
from collections.abc import Sequence


def is_last(payload: bytes) -> bool:
    """Return whether only the end marker follows this payload."""
    # This runs for each token, so the common case is decided without parsing. A quote inside
    # generated text is escaped and cannot match.
    if b"finish_reason" not in payload or b'"finish_reason":null' in payload:
        return False
    try:
        choices = json.loads(payload)["choices"]
        return any(choice.get("finish_reason") is not None for choice in choices)
    except (ValueError, TypeError, KeyError, AttributeError):
        return False


def is_complete(payloads: Sequence[bytes]) -> bool:
    """Return whether an output is complete, even if its end marker is missing.

    Resuming after the last payload would make the engine send another one with a
    finish reason.
    """
    return bool(payloads) and is_last(payloads[-1])
