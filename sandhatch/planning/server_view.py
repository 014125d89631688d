"""What a planner knows of one server of a pool, over all forwarders' reports.

Keeps decaying totals and the weight last advised. It decides nothing (`weights` does), does no I/O and reads
no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

WEIGHT_STEP = 0.05  # weights are rounded to it, so that small changes are not sent again and again
MAX_LATENCY_RATIO = 8.0  # bounds on what one report may say of a server's latency, times the baseline
MIN_LATENCY_RATIO = 0.125
MIN_SUCCESSES = 0.5  # decayed count below which latency is taken to be the baseline


@dataclass(slots=True, frozen=True)
class Assessment:
    """The weight advised for a server, and the evidence.

    Attributes:
        weight: Fraction of its draws that the server should keep.
        reason: What speaks against the server; empty at weight 1.
        ratio: How many times the tier's baseline the measure is.
        reports: Reports that mentioned the server since the previous update.
    """

    weight: float
    reason: str = ""
    ratio: float = 0.0
    reports: int = 0


class ServerView:
    """One server, over all forwarders of the pool.

    Attributes:
        address: Its address as `host:port`.
        outstanding: Attempts in flight, of all forwarders.
        listed_in: Forwarders that list it as ready.
        warming_up_in: Those of them that report it to be warming up.
        reports: Reports that mentioned it since the last update of the weights.
        assessment: The weight last advised.
        attempts: Ended attempts, decayed.
        mean_outstanding: Outstanding attempts, averaged over time.
        merit: Weight that its latency and failures justify, before its outstanding attempts are considered.
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
        self._latency_ratio_sum = 0.0  # over ended attempts, response time by the forwarder's baseline
        self._failed = 0.0
        self.mean_outstanding = 0.0
        self.merit = 1.0

    @property
    def warming_up(self) -> bool:
        """Whether it is warming up: two forwarders must report it where two list it."""
        return 0 < self.warming_up_in >= min(2, self.listed_in)

    def add(self, ok: int, failed: int, spent_ms: float, sample_weight: float, baseline_ms: float) -> None:
        """Add attempts that ended at this server, as one forwarder reports them.

        Args:
            ok: Attempts that succeeded.
            failed: Attempts that failed.
            spent_ms: Sum of the response times of the successful ones.
            sample_weight: As how many attempts each of them counts.
            baseline_ms: That forwarder's mean response time over all servers; 0 if unknown.
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

    def decay(self, keep: float, smoothing: float) -> None:
        """Keep a fraction of the evidence, and move the mean of outstanding attempts by `smoothing`."""
        self.attempts = self.attempts * keep
        self._failed = self._failed * keep
        self._latency_ratio_sum = self._latency_ratio_sum * keep
        self.mean_outstanding += smoothing * (self.outstanding - self.mean_outstanding)

    @property
    def slowness(self) -> float:
        """Mean latency of its successful attempts, in multiples of the forwarders' baselines."""
        successes = self.attempts - self._failed
        return self._latency_ratio_sum / successes if successes > MIN_SUCCESSES else 1.0

    @property
    def failure_rate(self) -> float:
        """Fraction of its attempts that fail."""
        return self._failed / self.attempts if self.attempts else 0.0

    def assess(self, weight: float, reason: str, ratio: float) -> bool:
        """Set its weight, rounded; returns whether the advice on it changed."""
        weight = min(1.0, max(0.0, round(weight / WEIGHT_STEP) * WEIGHT_STEP))
        changed = weight != self.assessment.weight
        if changed or (weight < 1.0 and reason != self.assessment.reason):
            shown_reason = reason if weight < 1.0 else ""
            self.assessment = Assessment(weight, shown_reason, ratio, self.reports)
        return changed
