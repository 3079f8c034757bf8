"""The configuration in force, folded from the log in its order."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.inventory import Inventory
from coriandershelf_core.internal.records import ConfigurationProposed

ParseConfiguration = Callable[[str, str, int], Inventory | None]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a proposal; ``version`` is the one in force after it."""

    publish_id: str
    accepted: bool
    version: int
    operator: str
    at_s: float
    detail: str = ""


class Configuration:
    """Compare-and-set on the base version, decided by the log's order alone.

    :param parse: pure function from texts and version to an inventory, ``None`` if not valid.
    """

    def __init__(self, parse: ParseConfiguration) -> None:
        self._parse = parse
        self.inventory: Inventory | None = None
        self.verdicts: dict[str, Verdict] = {}

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return 0 if self.inventory is None else self.inventory.version

    def apply(self, proposal: ConfigurationProposed) -> Inventory | None:
        """Apply a proposal read from the log; return the inventory if it came into force."""
        if proposal.publish_id in self.verdicts:
            return None
        inventory = None
        detail = ""
        if proposal.base_version != self.version:
            detail = f"based on version {proposal.base_version}, in force is {self.version}"
        else:
            inventory = self._parse(proposal.inventory_text, proposal.rules_text, self.version + 1)
            detail = "" if inventory is not None else "not valid"
        if inventory is not None:
            assert inventory.version == self.version + 1, "versions rise by one"
            self.inventory = inventory
        self.verdicts[proposal.publish_id] = Verdict(
            proposal.publish_id,
            inventory is not None,
            self.version,
            proposal.operator,
            proposal.at_s,
            detail,
        )
        return inventory
