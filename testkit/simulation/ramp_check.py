"""How far the attempts sent to a server went beyond its slow start.

It only counts. Source: the rate of a ramp in `TierPlan`, integrated over each window of time.
"""

from __future__ import annotations

import math

from testkit.simulation.plan import TierPlan


def attempts_beyond_ramp(plan: TierPlan, started_ms: float, sent_ms: list[float]) -> float:
    """The most attempts, in any window, that were sent beyond the integral of the ramp's rate over it.

    Up to the ramp's burst is as it should be.

    Args:
        plan: has the ramp's rate, its initial share and its length.
        started_ms: when the server started.
        sent_ms: when each attempt was sent to it.
    """
    most = 0.0
    least = math.inf
    during_ramp = sorted(time_ms for time_ms in sent_ms if time_ms < started_ms + plan.warm_up_ms)
    for count, time_ms in enumerate(during_ramp):
        allowed = _allowed_attempts(plan, time_ms - started_ms)
        least = min(least, count - allowed)
        most = max(most, count + 1 - allowed - least)
    return most


def _allowed_attempts(plan: TierPlan, age_ms: float) -> float:
    """The integral of the ramp's rate from a server's start to this age."""
    ramp_ms = min(max(0.0, age_ms), plan.warm_up_ms)
    share = plan.initial_capacity_share
    area = share * ramp_ms + (1.0 - share) * ramp_ms * ramp_ms / (2.0 * plan.warm_up_ms)
    return plan.ramp_per_s / 1000.0 * area
