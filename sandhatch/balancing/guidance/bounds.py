"""The bounds that guidance must keep before any of it counts: limits on what a wrong planner can do.

Nothing here changes state: a check says what is out of bounds, and the caller rejects the guidance.
"""

from __future__ import annotations

from collections.abc import Sequence

from sandhatch.balancing.events import Guidance, RampShare, ServerWeight

# Of the ready and warm servers, so many must keep at least this share of the highest weight.
LEAST_SERVERS_SHARE = 0.5
LEAST_WEIGHT_SHARE = 0.5

# For sums of shares that were divided before: these are not exact.
ROUNDING = 1e-9


def violation(
    guidance: Guidance,
    warm_servers: Sequence[int],
    ramp_burst: float,
    least_own_share: float,
    most_own_share: float,
) -> str | None:
    """What is out of bounds in guidance; None if nothing is.

    Args:
        guidance: What the planner sent.
        warm_servers: The ready servers that are not warming up.
        ramp_burst: Requests that all instances together may send a warming server at once.
        least_own_share: The least share of the tier's capacity that an instance keeps.
        most_own_share: The most that it may get.
    """
    weights = guidance.weights or ()
    return (
        _weight_violation(weights)
        or _ramp_violation(guidance.parts, ramp_burst)
        or _own_share_violation(guidance.own_part, least_own_share, most_own_share)
        or _concentration_violation(weights, warm_servers)
    )


def _weight_violation(weights: Sequence[ServerWeight]) -> str | None:
    if any(not 0.0 <= weight.weight <= 1.0 for weight in weights):
        return "a weight is not between 0 and 1"
    return None


def _ramp_violation(shares: Sequence[RampShare], ramp_burst: float) -> str | None:
    for share in shares:
        if not (0.0 <= share.rate <= 1.0 and 0.0 <= share.burst <= ramp_burst):
            return f"a share of a ramp is not between 0 and 1, or its burst not up to {ramp_burst:g}"
    return None


def _own_share_violation(own_share: float | None, least: float, most: float) -> str | None:
    if own_share is None or least * (1.0 - ROUNDING) <= own_share <= most * (1.0 + ROUNDING):
        return None
    return f"the share of the tier's capacity is {own_share:g}, not between {least:g} and {most:g}"


def _concentration_violation(weights: Sequence[ServerWeight], warm_servers: Sequence[int]) -> str | None:
    """Guards against weights that would leave the tier's traffic to few servers."""
    by_server = {weight.server: weight.weight for weight in weights}
    if len(by_server) != len(weights):
        return "a server has two weights"
    warm_weights = [by_server.get(server, 1.0) for server in warm_servers]
    if not warm_weights:
        return None
    highest = max(warm_weights)
    retained = sum(weight >= LEAST_WEIGHT_SHARE * highest for weight in warm_weights)
    if highest > 0.0 and retained < LEAST_SERVERS_SHARE * len(warm_weights):
        return f"only {retained} of {len(warm_weights)} ready servers keep half of the most weight"
    return None
