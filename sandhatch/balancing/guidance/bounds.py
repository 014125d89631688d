"""Bounds checks for guidance, which limit the harm that a faulty planner can do.

Guidance is checked before any of it takes effect. The checks change no state: they return a description of
the violation, and the caller rejects the guidance.
"""

from __future__ import annotations

from collections.abc import Sequence

from sandhatch.balancing.events import Guidance, RampShare, ServerWeight

# At least MIN_SERVERS_SHARE of the ready, warm servers must have at least MIN_WEIGHT_SHARE of the highest
# weight.
MIN_SERVERS_SHARE = 0.5
MIN_WEIGHT_SHARE = 0.5

# Relative tolerance for sums of shares, because sums of floating-point numbers are not exact.
ROUNDING_TOLERANCE = 1e-9


def find_violation(
    guidance: Guidance,
    warm_servers: Sequence[int],
    ramp_burst: float,
    min_own_share: float,
    max_own_share: float,
) -> str | None:
    """Describe the first bound that guidance violates; None if it violates none.

    Args:
        guidance: The guidance that a planner sent.
        warm_servers: Ids of the ready servers that are not warming up.
        ramp_burst: Number of requests that all instances together may send a warming server at once.
        min_own_share: Lower bound of an instance's share of the tier's capacity.
        max_own_share: Upper bound of an instance's share of the tier's capacity.
    """
    weights = guidance.weights or ()
    return (
        _find_weight_violation(weights)
        or _find_ramp_violation(guidance.parts, ramp_burst)
        or _find_own_share_violation(guidance.own_part, min_own_share, max_own_share)
        or _find_concentration_violation(weights, warm_servers)
    )


def _find_weight_violation(weights: Sequence[ServerWeight]) -> str | None:
    if any(not 0.0 <= weight.weight <= 1.0 for weight in weights):
        return "a weight is not between 0 and 1"
    return None


def _find_ramp_violation(shares: Sequence[RampShare], ramp_burst: float) -> str | None:
    for share in shares:
        if not (0.0 <= share.rate <= 1.0 and 0.0 <= share.burst <= ramp_burst):
            return f"a ramp share is not between 0 and 1, or its burst is not between 0 and {ramp_burst:g}"
    return None


def _find_own_share_violation(own_share: float | None, minimum: float, maximum: float) -> str | None:
    if own_share is None or minimum * (1.0 - ROUNDING_TOLERANCE) <= own_share <= maximum * (
        1.0 + ROUNDING_TOLERANCE
    ):
        return None
    return f"the share of the tier's capacity is {own_share:g}, not between {minimum:g} and {maximum:g}"


def _find_concentration_violation(weights: Sequence[ServerWeight], warm_servers: Sequence[int]) -> str | None:
    """Guard against weights that concentrate the tier's traffic on few servers."""
    weight_by_server = {weight.server: weight.weight for weight in weights}
    if len(weight_by_server) != len(weights):
        return "a server has two weights"
    warm_weights = [weight_by_server.get(server, 1.0) for server in warm_servers]
    if not warm_weights:
        return None
    highest_weight = max(warm_weights)
    high_weight_count = sum(weight >= MIN_WEIGHT_SHARE * highest_weight for weight in warm_weights)
    if highest_weight > 0.0 and high_weight_count < MIN_SERVERS_SHARE * len(warm_weights):
        return f"only {high_weight_count} of {len(warm_weights)} ready servers keep half of the most weight"
    return None
