"""Authenticates a request by its API key."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.inventory import Customer, Inventory
from coriandershelf_core.internal.vocabulary.outcome import NotRun
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason


def authenticate(inventory: Inventory | None, credential_hash: str) -> Customer | NotRun:
    """Return the customer who owns the key, or the refusal."""
    if inventory is None:
        return NotRun(RefusalReason.NO_CONFIGURATION, retry_after_s=2.0)
    customer = inventory.customer_of(credential_hash)
    if customer is None:
        return NotRun(RefusalReason.UNKNOWN_KEY)
    return customer
