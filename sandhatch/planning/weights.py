"""Weights of the servers of a pool, computed from latency, failures and outstanding attempts.

Latency and failures change a weight slowly, as evidence accumulates: with attempts of 20 ms and a third of
the servers slow, following latency at once cost 0.02 of the goodput. Outstanding attempts change a weight at
once, by the amount that removes a server's excess over the mean within `EXCESS_REMOVAL_MS`. No I/O, no clock.
Source: docs/design/planning.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sandhatch.planning.server_view import ServerView

EVIDENCE_DECAY_MS = 10_000.0  # time constant of the decay of evidence
MIN_ATTEMPTS = 8.0  # decayed number of attempts below which a server is not assessed
MAX_TOLERATED_RELATIVE_LATENCY = 1.5  # multiple of the median latency up to which a server is not slow
# Excess over twice the tier's failure rate, plus one failure, that does not reduce a weight.
MAX_TOLERATED_EXCESS_FAILURE_RATE = 0.05
MIN_WEIGHT = 0.1
MIN_LOAD_FACTOR = 0.3  # lower bound of the factor for outstanding attempts; 2.0 minus it is the upper bound
EXCESS_REMOVAL_MS = 1_000.0  # time in which outstanding attempts in excess of the mean should complete
FEEDBACK_LAG_MS = 500.0  # delay from an attempt to the use of a weight that reflects the attempt
MERIT_STEP_PER_S = 0.3  # maximum change of a server's merit per second
MIN_REPORTED_FAILURE_RATE = 0.01  # minimum divisor of the reported ratio of failure rates

# Reasons for a weight, used in advice and in the planner's status.
SLOW = "slow"
FAILING = "failing"
CROWDED = "crowded"


@dataclass(slots=True, frozen=True)
class Merit:
    """Weight justified by a server's latency and failures.

    Attributes:
        weight: Target weight, at most 1.
        reason: Reason for a weight below 1; empty at weight 1.
        ratio: Ratio of the server's latency or failure rate to that of the tier.
    """

    weight: float
    reason: str = ""
    ratio: float = 1.0


@dataclass(slots=True, frozen=True)
class _TierBaseline:
    """Aggregate values of the warm servers of a pool.

    Attributes:
        median_relative_latency: Median of the servers' relative latencies.
        mean_outstanding: Mean number of outstanding attempts per server.
        failure_rate: Fraction of all attempts that failed.
        completed_per_server: Mean number of attempts that a server completes in the time for removing an
            excess.
    """

    median_relative_latency: float
    mean_outstanding: float
    failure_rate: float
    completed_per_server: float


@dataclass(slots=True, frozen=True)
class _Candidate:
    """Weight of a server before normalization by the median weight."""

    view: ServerView
    weight: float
    reason: str
    ratio: float


def median(values: Iterable[float]) -> float:
    """Upper median of the values; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0


def assess_servers(warm: list[ServerView], median_latency_ms: float, span_ms: float) -> bool:
    """Update the weights of the warm servers of a pool.

    Args:
        warm: Warm servers, at least one.
        median_latency_ms: Median of the forwarders' mean response times; 0 if unknown.
        span_ms: Time since the last update, to which the maximum change of a server's merit (weight justified
            by latency and failures) is proportional; infinite for no bound.

    Returns:
        Whether a weight changed.
    """
    baseline = _baseline(warm, median_latency_ms)
    max_step = MERIT_STEP_PER_S * span_ms / 1000.0
    candidates = [_candidate(view, baseline, max_step) for view in warm]
    candidates.sort(key=lambda candidate: candidate.weight)
    # Half of the servers have a weight near the maximum. This protects a tier in which all servers are slow
    # or failing, and the servers that would receive all the traffic of those with a reduced weight.
    median_weight = candidates[len(candidates) // 2].weight
    changed = False
    for candidate in candidates:
        weight = max(MIN_WEIGHT, min(1.0, candidate.weight / median_weight))
        changed |= candidate.view.assess(weight, candidate.reason, candidate.ratio)
    return changed


def _baseline(warm: list[ServerView], median_latency_ms: float) -> _TierBaseline:
    median_relative_latency = (
        median(view.relative_latency for view in warm if view.attempts >= MIN_ATTEMPTS) or 1.0
    )
    mean_outstanding = sum(view.mean_outstanding for view in warm) / len(warm)
    attempts = sum(view.attempts for view in warm)
    failure_rate = sum(view.failure_rate * view.attempts for view in warm) / (attempts or 1.0)
    # A reported number of outstanding attempts is already out of date on arrival, the more so the shorter the
    # attempts are. Weights therefore react more slowly to short attempts, so that they do not follow noise.
    latency_ms = median_latency_ms or 1.0
    removal_ms = EXCESS_REMOVAL_MS * max(1.0, FEEDBACK_LAG_MS / latency_ms)
    completed_per_server = max(1.0, attempts / len(warm) / EVIDENCE_DECAY_MS * removal_ms)
    return _TierBaseline(median_relative_latency, mean_outstanding, failure_rate, completed_per_server)


def _candidate(view: ServerView, baseline: _TierBaseline, max_step: float) -> _Candidate:
    target = compute_merit(view, baseline.median_relative_latency, baseline.failure_rate)
    view.merit += max(-max_step, min(max_step, target.weight - view.merit))
    excess = (view.mean_outstanding - baseline.mean_outstanding) / baseline.completed_per_server
    load_factor = max(MIN_LOAD_FACTOR, min(2.0 - MIN_LOAD_FACTOR, 1.0 - excess))
    reason = target.reason
    ratio = target.ratio
    if load_factor < view.merit:
        reason = CROWDED
        ratio = (view.mean_outstanding + 1.0) / (baseline.mean_outstanding + 1.0)
    return _Candidate(view, view.merit * load_factor, reason, ratio)


def compute_merit(view: ServerView, median_relative_latency: float, tier_failure_rate: float) -> Merit:
    """Weight that a server's latency and failures justify.

    Args:
        view: Evidence on the server.
        median_relative_latency: Median of the relative latencies of the tier's warm servers.
        tier_failure_rate: Fraction of all the tier's attempts that failed.
    """
    weight = 1.0
    reason = ""
    ratio = 1.0
    if view.attempts >= MIN_ATTEMPTS:
        ratio_to_median = view.relative_latency / median_relative_latency
        if ratio_to_median > MAX_TOLERATED_RELATIVE_LATENCY:
            weight = MAX_TOLERATED_RELATIVE_LATENCY / ratio_to_median
            reason = SLOW
            ratio = ratio_to_median
        excess_failure_rate = view.failure_rate - 2.0 * tier_failure_rate - 1.0 / view.attempts
        if excess_failure_rate > MAX_TOLERATED_EXCESS_FAILURE_RATE and 1.0 - excess_failure_rate < weight:
            weight = 1.0 - excess_failure_rate
            reason = FAILING
            ratio = view.failure_rate / max(tier_failure_rate, MIN_REPORTED_FAILURE_RATE)
    return Merit(max(MIN_WEIGHT, weight), reason, ratio)
