"""Aggregate of all forwarders' reports on one server of a pool.

Stores decaying totals and the weight last advised; `weights` computes the weight. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

WEIGHT_STEP = 0.05  # rounding step of weights, so that small changes are not sent repeatedly
# Bounds on the ratio of a server's latency to the forwarder's baseline in one report.
MAX_LATENCY_RATIO = 8.0
MIN_LATENCY_RATIO = 0.125
MIN_SUCCESSES = 0.5  # decayed count of successes below which the latency is assumed to equal the baseline


@dataclass(slots=True, frozen=True)
class Assessment:
    """Weight advised for a server, with the evidence for it.

    Attributes:
        weight: Fraction of the server's random selections that should be accepted.
        reason: Reason for the reduced weight; empty at weight 1.
        ratio: Ratio of the measured value behind `reason` to the tier's baseline.
        reports: Number of reports that mentioned the server since the previous update.
    """

    weight: float
    reason: str = ""
    ratio: float = 0.0
    reports: int = 0


class ServerView:
    """State of one server, aggregated over all forwarders of the pool.

    Attributes:
        address: Address of the server as `host:port`.
        outstanding: Attempts in flight from all forwarders.
        listed_in: Number of forwarders that list the server as ready.
        warming_up_in: Number of forwarders that list the server as ready and report it to be warming up.
        reports: Number of reports that mentioned the server since the last update of the weights.
        assessment: Weight last advised, with the evidence.
        attempts: Decayed number of ended attempts.
        mean_outstanding: Moving average of the outstanding attempts.
        merit: Weight justified by latency and failures, before outstanding attempts are considered.
    """

    __slots__ = (
        "_failed",
        "_latency_ratio_sum",
        "address",
        "assessment",
        "attempts",
        "listed_in",
        "mean_outstanding",
        "merit",
        "outstanding",
        "reports",
        "warming_up_in",
    )

    def __init__(self, address: str) -> None:
        """Start with weight 1 and no evidence."""
        self.address = address
        self.outstanding = 0
        self.listed_in = 0
        self.warming_up_in = 0
        self.reports = 0
        self.assessment = Assessment(1.0)
        self.attempts = 0.0
        self._latency_ratio_sum = 0.0  # decayed sum of response times divided by the forwarder's baseline
        self._failed = 0.0
        self.mean_outstanding = 0.0
        self.merit = 1.0

    @property
    def warming_up(self) -> bool:
        """Whether the server is warming up; two forwarders must report so if at least two list the server."""
        return 0 < self.warming_up_in >= min(2, self.listed_in)

    def add(self, ok: int, failed: int, spent_ms: float, sample_weight: float, baseline_ms: float) -> None:
        """Add attempts at this server that one forwarder reports to have ended.

        Args:
            ok: Number of attempts that succeeded.
            failed: Number of attempts that failed.
            spent_ms: Sum of the response times of the successful attempts.
            sample_weight: Weight of each of these attempts.
            baseline_ms: Mean response time of the forwarder over all servers; 0 if unknown.
        """
        self.reports += 1
        self.attempts += (ok + failed) * sample_weight
        self._failed += failed * sample_weight
        if ok:
            ratio = spent_ms / ok / baseline_ms if baseline_ms else 1.0
            if ratio > MAX_LATENCY_RATIO:
                ratio = MAX_LATENCY_RATIO
            elif ratio < MIN_LATENCY_RATIO:
                ratio = MIN_LATENCY_RATIO
            self._latency_ratio_sum += ratio * ok * sample_weight

    def decay(self, decay_factor: float, smoothing: float) -> None:
        """Decay the evidence and update the moving average of outstanding attempts.

        Args:
            decay_factor: Fraction of the evidence that remains.
            smoothing: Weight of the current number of outstanding attempts in the average.
        """
        self.attempts = self.attempts * decay_factor
        self._failed = self._failed * decay_factor
        self._latency_ratio_sum = self._latency_ratio_sum * decay_factor
        self.mean_outstanding += smoothing * (self.outstanding - self.mean_outstanding)

    @property
    def relative_latency(self) -> float:
        """Mean latency of successful attempts, in multiples of the forwarders' baselines."""
        successes = self.attempts - self._failed
        return self._latency_ratio_sum / successes if successes > MIN_SUCCESSES else 1.0

    @property
    def failure_rate(self) -> float:
        """Fraction of attempts that failed."""
        return self._failed / self.attempts if self.attempts else 0.0

    def assess(self, weight: float, reason: str, ratio: float) -> bool:
        """Set the server's advised weight, rounded to `WEIGHT_STEP`; returns whether the weight changed."""
        weight = min(1.0, max(0.0, round(weight / WEIGHT_STEP) * WEIGHT_STEP))
        changed = weight != self.assessment.weight
        if changed or (weight < 1.0 and reason != self.assessment.reason):
            shown_reason = reason if weight < 1.0 else ""
            self.assessment = Assessment(weight, shown_reason, ratio, self.reports)
        return changed
