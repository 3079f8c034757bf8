"""Counts of started requests by customer and usage window, for the usage reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.digest import Digest

WINDOWS_KEEP_COUNT = 8
WINDOWS_SENT_COUNT = 3


@dataclass(slots=True)
class UsageCounts:
    """This VM's own counts and those from the digests of other VMs.

    :param window_s: length of a usage window.
    """

    window_s: float
    _own: dict[int, dict[str, int]] = field(default_factory=dict)
    _others: dict[tuple[str, int], dict[int, dict[str, int]]] = field(default_factory=dict)

    def window_of(self, true_s: float) -> int:
        """Return the number of the window that contains a Unix time."""
        return int(true_s // self.window_s)

    def count_started(self, customer: str, true_s: float) -> None:
        """Count a request that started to run at a Unix time."""
        counts = self._own.setdefault(self.window_of(true_s), {})
        counts[customer] = counts.get(customer, 0) + 1

    def latest_windows(self) -> dict[int, dict[str, int]]:
        """Return this VM's counts of the latest windows, for its digest."""
        latest = sorted(self._own)[-WINDOWS_SENT_COUNT:]
        return {window: self._own[window] for window in latest}

    def on_digest(self, digest: Digest) -> None:
        """Merge another VM's counts, which only rise within one incarnation."""
        windows = self._others.setdefault((digest.vm_id, digest.incarnation), {})
        windows.update(digest.begun)

    def total(self, window: int, customers: list[str]) -> dict[str, int]:
        """Return the counts of all VMs for a window, with 0 for customers without requests."""
        total = dict.fromkeys(customers, 0)
        for windows in [self._own, *self._others.values()]:
            for name, count in windows.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def expire(self, true_s: float) -> None:
        """Remove windows whose reports are long past."""
        oldest = self.window_of(true_s) - WINDOWS_KEEP_COUNT
        for windows in [self._own, *self._others.values()]:
            for window in [window for window in windows if window < oldest]:
                del windows[window]
        self._others = {source: windows for source, windows in self._others.items() if windows}
