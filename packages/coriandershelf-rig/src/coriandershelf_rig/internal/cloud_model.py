"""A model of the cloud API without I/O; it can refuse starts and lose answers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.events import CloudResponse


@dataclass(slots=True)
class CloudVm:
    """A VM that was started and may have ended."""

    token: str
    service: str
    zone: str
    machine_class: str
    purchase: str
    started_at_s: float
    ended_at_s: float | None = None


class CloudModel:
    """The cloud's running and ended VMs.

    :param startup_s: time from the start of a VM until it serves.
    """

    def __init__(self, rng: random.Random, startup_s: float = 90.0) -> None:
        self._rng = rng
        self.startup_s = startup_s
        self.refuses_start: Callable[[str, str], bool] = lambda zone, purchase: False
        self.lost_answer_share = 0.0
        self.vms: dict[str, CloudVm] = {}

    def start(
        self,
        token: str,
        service: str,
        zone: str,
        machine_class: str,
        purchase: str,
        now_s: float,
    ) -> CloudResponse:
        """Start a VM; a repeat with the same token starts no second one."""
        if token not in self.vms:
            if self.refuses_start(zone, purchase):
                return CloudResponse.REFUSED
            self.vms[token] = CloudVm(token, service, zone, machine_class, purchase, now_s)
        return self._answer()

    def stop(self, token: str, now_s: float) -> CloudResponse:
        """Stop a VM; a repeat or an unknown token has no effect."""
        self._end(token, now_s)
        return self._answer()

    def reclaim(self, token: str, now_s: float) -> None:
        """Reclaim a VM."""
        self._end(token, now_s)

    def running(self, now_s: float) -> list[CloudVm]:
        """Return the VMs that are billed now."""
        return [vm for vm in self.vms.values() if vm.ended_at_s is None]

    def serving(self, now_s: float) -> list[CloudVm]:
        """Return the running VMs that have finished starting."""
        return [vm for vm in self.running(now_s) if vm.started_at_s + self.startup_s <= now_s]

    def _end(self, token: str, now_s: float) -> None:
        vm = self.vms.get(token)
        if vm is not None and vm.ended_at_s is None:
            vm.ended_at_s = now_s

    def _answer(self) -> CloudResponse:
        is_lost = self._rng.random() < self.lost_answer_share
        return CloudResponse.LOST if is_lost else CloudResponse.ACCEPTED
