"""Measurement of how far the attempts sent to a server exceeded its slow-start ramp.

Only counts attempts and doesn't influence them. Source: the rate of a ramp in `TierPlan`, integrated over
each window of time.
"""

from __future__ import annotations

import math

from testkit.simulation.plan import TierPlan


def attempts_beyond_ramp(plan: TierPlan, started_ms: float, sent_ms: list[float]) -> float:
    """Returns the maximum, over all windows, of attempts in excess of the integral of the ramp's rate.

    The ramp (slow start) permits an excess of up to its burst.

    Args:
        plan: Tier description with the ramp's rate, initial share and duration.
        started_ms: Start time of the server.
        sent_ms: Time at which each attempt was sent to the server.
    """
    max_excess = 0.0
    min_balance = math.inf
    during_ramp = sorted(time_ms for time_ms in sent_ms if time_ms < started_ms + plan.warm_up_ms)
    for count, time_ms in enumerate(during_ramp):
        allowed = _allowed_attempts(plan, time_ms - started_ms)
        min_balance = min(min_balance, count - allowed)
        max_excess = max(max_excess, count + 1 - allowed - min_balance)
    return max_excess


def _allowed_attempts(plan: TierPlan, age_ms: float) -> float:
    """Returns the integral of the slow-start ramp's rate from a server's start to this age."""
    ramp_ms = min(max(0.0, age_ms), plan.warm_up_ms)
    share = plan.initial_capacity_share
    area = share * ramp_ms + (1.0 - share) * ramp_ms * ramp_ms / (2.0 * plan.warm_up_ms)
    return plan.ramp_per_s / 1000.0 * area
