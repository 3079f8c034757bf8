"""The list of models, for standard chat clients."""

from __future__ import annotations

from coriandershelf_core import NotRun, RefusalReason
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_entry.internal.caller_handlers import CallerHandler


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """Answer with the model services of the configuration in force."""
        inventory = self.shared.context.inventory
        if inventory is None:
            self.refuse(NotRun(RefusalReason.NO_CONFIGURATION))
            return
        if inventory.customer_of(self.credential_hash) is None:
            self.refuse(NotRun(RefusalReason.UNKNOWN_KEY))
            return
        models = [item.name for item in inventory.services if item.kind is ServiceKind.MODEL]
        self.write(
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model", "created": 0, "owned_by": "coriandershelf"}
                    for name in models
                ],
            }
        )
