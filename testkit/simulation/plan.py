"""Description of a simulated tier: sizes, rates, times and terms, and the matching settings of its balancers.

Holds values only. Source: none; written for this project. The settings are those of `balancing.settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.terms import ForwarderTerms, PlannerTerms

POOL = "core"  # name of the tier's only pool
REQUEST_CLASS = "view"  # name of the tier's only request class


@dataclass
class TierPlan:
    """The description of a tier. Times are in milliseconds of simulated time.

    Attributes:
        forwarders: Number of forwarders at the start.
        instances: Number of configured instances; equal to `forwarders` if 0.
        servers: Number of servers at the start.
        planners: Number of planners; 0 for a tier without planning.
        rate_per_s: Request rate of all forwarders together.
        work_ms: Mean time that a request occupies a core.
        cores: Number of attempts that a server runs concurrently.
        objective_ms: Latency objective of requests.
        deadline_ms: Deadline of requests.
        ramp_per_s: Slow-start rate of a server at the end of its warm-up; 0 for no slow start.
        ramp_burst: Number of attempts that slow start permits at once; the settings' default if 0.
        initial_capacity_share: Capacity of a server at its start, as a share of its full capacity.
        warm_up_ms: Duration of a server's warm-up.
        link_ms: Delay of a message between forwarder and planner.
        link_loss: Share of messages that are lost; the loss of a message ends its session.
        reconnect_ms: Maximum random delay before a connection to a planner is established.
        demand: Relative share of the requests that each forwarder receives, by number; 1 by default.
        max_queued: Number of attempts that may wait at a server before it rejects further ones.
        max_attempts: Maximum number of attempts of a request.
        list_call_ms: Time that a poll occupies discovery; 0 if lists are pushed to all forwarders at once.
        list_notice_ms: Time from a change until subscribers are notified.
        poll_interval_ms: Maximum time between two polls.
        overload_attempts: Number of concurrent attempts that, after a while, make a server three times
            slower; 0 for servers that are never overloaded.
        tier: Number of the tier.
        hints: Whether requests state their expected work.
        heavy_tail: Whether a few percent of the requests have most of the work.
        planner_terms: Terms of the planners' state machines.
        forwarder_terms: Terms of the forwarders' planning state machines.
    """

    forwarders: int = 5
    instances: int = 0
    servers: int = 20
    planners: int = 0
    rate_per_s: float = 500.0
    work_ms: float = 20.0
    cores: int = 2
    objective_ms: float = 150.0
    deadline_ms: float = 1_000.0
    ramp_per_s: float = 50.0
    ramp_burst: float = 0.0
    initial_capacity_share: float = 0.1
    warm_up_ms: float = 20_000.0
    link_ms: float = 1.0
    link_loss: float = 0.0
    reconnect_ms: float = 200.0
    demand: dict[int, float] = field(default_factory=dict)
    max_queued: int = 64
    max_attempts: int = 2
    list_call_ms: float = 0.0
    list_notice_ms: float = 1_000.0
    poll_interval_ms: float = 10_000.0
    overload_attempts: int = 0
    tier: int = 1
    hints: bool = True
    heavy_tail: bool = False
    planner_terms: PlannerTerms = field(default_factory=PlannerTerms)
    forwarder_terms: ForwarderTerms = field(default_factory=ForwarderTerms)


def settings_of(plan: TierPlan) -> Settings:
    """Returns the settings that all balancers of the tier share."""
    request_class = RequestClass(
        objective_ms=plan.objective_ms,
        deadline_ms=plan.deadline_ms,
        effect=Effect.IDEMPOTENT,
        name=REQUEST_CLASS,
    )
    return Settings(
        classes=[request_class],
        instances=plan.instances or plan.forwarders,
        tier=plan.tier,
        tiers=plan.tier + 1,
        initial_capacity_share=plan.initial_capacity_share,
        warm_up_ms=plan.warm_up_ms,
        ramp_per_s=plan.ramp_per_s,
        ramp_burst=plan.ramp_burst,
        max_attempts=plan.max_attempts,
        polled_discovery=plan.list_call_ms > 0.0,
        poll_interval_ms=plan.poll_interval_ms,
        retry_advice=True,
        max_retry_after_ms=2_000.0,
    )
