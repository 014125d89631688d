"""How a planner weights the servers of a pool, from latency, failures and outstanding attempts.

Latency and failures change a weight slowly, on evidence; outstanding attempts change it at once, by as much
as removes a server's excess over the mean within `DRAIN_MS`. (With attempts of 20 ms and a third of the
servers slow, following latency at once lost 0.02 of the goodput.) No I/O, no clock. Source:
docs/design/planning.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sandhatch.planning.server_view import ServerView

MEMORY_MS = 10_000.0  # time constant of the decay of evidence
MIN_ATTEMPTS = 8.0  # decayed count before a server is assessed
TOLERATED_SLOWNESS = 1.5  # multiple of the median latency up to which a server is not slow
TOLERATED_EXCESS_FAILURES = 0.05  # failure rate beyond the bound that does not count against a server
MIN_WEIGHT = 0.1
MIN_LOAD_FACTOR = 0.3
DRAIN_MS = 1_000.0  # within which outstanding attempts beyond the mean should be gone
FEEDBACK_LAG_MS = 500.0  # from an attempt to the draws that take account of it
MERIT_STEP_PER_S = 0.3
MIN_REPORTED_FAILURE_RATE = 0.01  # divisor at least, where a failure rate is given as a ratio

# Reasons for a weight, as advice and the planner's status state them.
SLOW = "slow"
FAILING = "failing"
CROWDED = "crowded"


@dataclass(slots=True, frozen=True)
class Merit:
    """The weight that evidence on a server justifies, the reason and its ratio to the tier's baseline."""

    weight: float
    reason: str = ""
    ratio: float = 1.0


@dataclass(slots=True, frozen=True)
class _TierBaseline:
    """What the warm servers of a pool have in common.

    Attributes:
        slowness: Median of their slowness.
        mean_outstanding: Mean of their outstanding attempts.
        failure_rate: Of all their attempts together.
        drained_per_server: Attempts that a server completes within the time in which an excess should go.
    """

    slowness: float
    mean_outstanding: float
    failure_rate: float
    drained_per_server: float


@dataclass(slots=True, frozen=True)
class _Candidate:
    """A server with its weight before it is normalized by the median."""

    view: ServerView
    weight: float
    reason: str
    ratio: float


def median(values: Iterable[float]) -> float:
    """The upper median; 0 of no values."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0


def assess_servers(warm: list[ServerView], median_latency_ms: float, span_ms: float) -> bool:
    """Update the weights of the warm servers of a pool.

    Args:
        warm: The servers, at least one.
        median_latency_ms: Median of the forwarders' mean response times; 0 if unknown.
        span_ms: Time since the last update, which bounds the change of a merit; infinite for no bound.

    Returns:
        Whether a weight changed.
    """
    baseline = _baseline(warm, median_latency_ms)
    max_step = MERIT_STEP_PER_S * span_ms / 1000.0
    candidates = [_candidate(view, baseline, max_step) for view in warm]
    candidates.sort(key=lambda candidate: candidate.weight)
    # Half of the servers keep a weight near the maximum: this guards a tier that is bad as a whole, and the
    # servers that would receive all the traffic of those whose weight is reduced.
    median_weight = candidates[len(candidates) // 2].weight
    changed = False
    for candidate in candidates:
        weight = max(MIN_WEIGHT, min(1.0, candidate.weight / median_weight))
        changed |= candidate.view.assess(weight, candidate.reason, candidate.ratio)
    return changed


def _baseline(warm: list[ServerView], median_latency_ms: float) -> _TierBaseline:
    slowness = median(view.slowness for view in warm if view.attempts >= MIN_ATTEMPTS) or 1.0
    mean_outstanding = sum(view.mean_outstanding for view in warm) / len(warm)
    attempts = sum(view.attempts for view in warm)
    failure_rate = sum(view.failure_rate * view.attempts for view in warm) / (attempts or 1.0)
    # A reported number of outstanding attempts is out of date on arrival, the more so the shorter the
    # attempts are: then it is followed slowly, so that noise does not steer.
    latency_ms = median_latency_ms or 1.0
    drain_ms = DRAIN_MS * max(1.0, FEEDBACK_LAG_MS / latency_ms)
    drained_per_server = max(1.0, attempts / len(warm) / MEMORY_MS * drain_ms)
    return _TierBaseline(slowness, mean_outstanding, failure_rate, drained_per_server)


def _candidate(view: ServerView, baseline: _TierBaseline, max_step: float) -> _Candidate:
    target = merit_of(view, baseline.slowness, baseline.failure_rate)
    view.merit += max(-max_step, min(max_step, target.weight - view.merit))
    excess = (view.mean_outstanding - baseline.mean_outstanding) / baseline.drained_per_server
    load_factor = max(MIN_LOAD_FACTOR, min(2.0 - MIN_LOAD_FACTOR, 1.0 - excess))
    reason = target.reason
    ratio = target.ratio
    if load_factor < view.merit:
        reason = CROWDED
        ratio = (view.mean_outstanding + 1.0) / (baseline.mean_outstanding + 1.0)
    return _Candidate(view, view.merit * load_factor, reason, ratio)


def merit_of(view: ServerView, median_slowness: float, tier_failure_rate: float) -> Merit:
    """The weight that a server's latency and failures justify.

    Args:
        view: The server.
        median_slowness: Median over the tier's warm servers.
        tier_failure_rate: Of all the tier's attempts together.
    """
    weight = 1.0
    reason = ""
    ratio = 1.0
    if view.attempts >= MIN_ATTEMPTS:
        relative_slowness = view.slowness / median_slowness
        if relative_slowness > TOLERATED_SLOWNESS:
            weight = TOLERATED_SLOWNESS / relative_slowness
            reason = SLOW
            ratio = relative_slowness
        excess_failures = view.failure_rate - 2.0 * tier_failure_rate - 1.0 / view.attempts
        if excess_failures > TOLERATED_EXCESS_FAILURES and 1.0 - excess_failures < weight:
            weight = 1.0 - excess_failures
            reason = FAILING
            ratio = view.failure_rate / max(tier_failure_rate, MIN_REPORTED_FAILURE_RATE)
    return Merit(max(MIN_WEIGHT, weight), reason, ratio)
