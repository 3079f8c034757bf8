"""Health statistics of one replica, from the token gaps and first-token times of this VM."""

from __future__ import annotations

import math
from dataclasses import dataclass

RECENT_WEIGHT = 0.1
FIRST_TOKEN_WEIGHT = 0.2
PEAK_DECAY_S = 60.0
PEAK_TYPICAL_MAX = 6.0
TYPICAL_WEIGHT = 0.005
TYPICAL_GROWTH_MAX = 2.0
PREFILL_SAMPLE_TOKENS = 64
PREFILL_GROWTH_MAX = 1.5
DEFAULT_GAP_S = 0.02
DEFAULT_PREFILL_S_PER_TOKEN = 0.0001


@dataclass(slots=True)
class Health:
    """Health of a replica as measured by this VM.

    :param gap_s: moving average of the time between two tokens of a stream; 0 before the first.
    :param typical_gap_s: long-term moving average of the same, while not ejected.
    :param gap_count: number of token gaps measured while not ejected.
    :param peak_gap_s: decaying maximum of such gaps, set by batch steps that include prefill.
    :param progress_at_s: when any stream of the replica last received a token.
    :param prefill_s_per_token: moving average of first-token time, less one gap, per prompt token.
    :param ejected: whether new work is withheld from the replica.
    :param probe_at_s: when an ejected replica may next be probed.
    :param eject_count: consecutive ejections and failed probes, for the backoff.
    :param probe_id: id of the attempt that probes the ejected replica, or empty.
    :param unreachable_until_s: until when no new work is sent after a failed connection.
    :param probe_passed_count: consecutive tokens that the probe received in time.
    """

    gap_s: float = 0.0
    typical_gap_s: float = 0.0
    gap_count: int = 0
    peak_gap_s: float = 0.0
    peak_at_s: float = 0.0
    progress_at_s: float = 0.0
    prefill_s_per_token: float = 0.0
    ejected: bool = False
    ejected_at_s: float = 0.0
    probe_at_s: float = 0.0
    eject_count: int = 0
    probe_id: str = ""
    probe_passed_count: int = 0
    unreachable_until_s: float = 0.0

    def on_gap(self, gap_s: float, now_s: float) -> None:
        """Update the averages from the time between two tokens.

        They are not updated while the replica is ejected, and a gap far above the typical one is
        capped at a multiple of it: a stall must not raise the typical gap, but a lasting change
        must.
        """
        self.progress_at_s = now_s
        if self.ejected:
            return
        self.gap_s = gap_s if not self.gap_s else _moving_average(self.gap_s, gap_s, RECENT_WEIGHT)
        previous_s = self.typical_gap_s or DEFAULT_GAP_S
        self.gap_count += 1
        weight = max(TYPICAL_WEIGHT, 1.0 / (1.0 + self.gap_count))
        self.typical_gap_s = _moving_average(
            previous_s, min(gap_s, previous_s * TYPICAL_GROWTH_MAX), weight
        )
        decayed_s = self.peak_gap_s * math.exp((self.peak_at_s - now_s) / PEAK_DECAY_S)
        self.peak_gap_s = max(decayed_s, min(gap_s, self.typical_gap_s * PEAK_TYPICAL_MAX))
        self.peak_at_s = now_s

    def on_first_token(self, waited_s: float, prompt_tokens: int, now_s: float) -> None:
        """Update the prefill average from the time to a first token."""
        self.progress_at_s = max(self.progress_at_s, now_s)
        if self.ejected or prompt_tokens < PREFILL_SAMPLE_TOKENS:
            return
        sample = max(0.0, waited_s - self.expected_gap_s) / prompt_tokens
        previous = self.prefill_s_per_token or DEFAULT_PREFILL_S_PER_TOKEN
        sample = min(sample, PREFILL_GROWTH_MAX * previous)
        self.prefill_s_per_token = _moving_average(previous, sample, FIRST_TOKEN_WEIGHT)

    @property
    def expected_gap_s(self) -> float:
        """Return the expected time between two tokens."""
        return self.gap_s or DEFAULT_GAP_S

    def stall_limit_s(self, typical_factor: float, peak_factor: float, floor_s: float) -> float:
        """Return the time without tokens after which the replica counts as stalled.

        :param typical_factor: allowed multiple of the typical gap.
        :param peak_factor: allowed multiple of the longest normal gap.
        :param floor_s: lower bound of the result.
        """
        typical_s = self.typical_gap_s or DEFAULT_GAP_S
        return max(floor_s, typical_factor * typical_s, peak_factor * self.peak_gap_s)

    @property
    def prefill_cost_s(self) -> float:
        """Return the engine's prefill time per prompt token."""
        return self.prefill_s_per_token or DEFAULT_PREFILL_S_PER_TOKEN

    def expected_first_token_s(self, uncached_tokens: float) -> float:
        """Return the expected time to first token, excluding any wait for a slot."""
        return 2 * self.expected_gap_s + uncached_tokens * self.prefill_cost_s


def _moving_average(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old)
