"""Retry budget: bounds the attempts beyond the first one of each request."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field


class _ServiceWindow(Struct):
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryAllowance:
    """This VM's share of the retry budget of all entry VMs.

    The share is proportional to the VM's own requests, and the fixed slack is divided by the number
    of entry VMs, so the sum over all VMs stays within the budget without communication, also during
    network partitions.

    :param ratio: retries allowed per request in the window.
    :param slack_count: retries allowed in addition, over all entry VMs.
    """

    def __init__(self, ratio: float, slack_count: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack_count = slack_count
        self._window_s = window_s
        self._services: dict[str, _ServiceWindow] = {}

    def note_request(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        self._window(service, now_s).requests.append(now_s)

    def take(self, service: str, entry_vms_count: int, now_s: float) -> bool:
        """Return whether a retry is within the budget, and count it if so."""
        window = self._window(service, now_s)
        allowed = self._ratio * len(window.requests)
        allowed += self._slack_count / max(1, entry_vms_count)
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now_s)
        return True

    def _window(self, service: str, now_s: float) -> _ServiceWindow:
        window = self._services.setdefault(service, _ServiceWindow())
        for times in (window.requests, window.retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
        return window
