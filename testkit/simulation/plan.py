"""What a simulated tier is made of: sizes, rates, times and terms, and the balancers' settings for them.

It holds values and decides nothing. Source: the project's own; the settings are `balancing.settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.terms import ForwarderTerms, PlannerTerms

POOL = "core"  # the name of the tier's one pool
REQUEST_CLASS = "view"  # the name of its one class


@dataclass
class TierPlan:
    """A tier's description. Times are in milliseconds of the run.

    Attributes:
        forwarders: how many there are at the start.
        instances: configured ones; as many as forwarders if 0.
        servers: how many there are at the start.
        planners: how many there are; 0 for a tier without planning.
        rate_per_s: requests that come to all forwarders together.
        work_ms: the average time that a request takes of one core.
        cores: attempts that a server runs at once.
        objective_ms: the latency objective.
        deadline_ms: a request's.
        ramp_per_s: a server's rate in slow start, when it is warm; 0 for none.
        ramp_burst: attempts that may come at once in slow start; the settings' default if 0.
        initial_capacity_share: a server's capacity at its start, as a share of its full one.
        warm_up_ms: how long a server warms up.
        link_ms: the delay of a message between forwarder and planner.
        link_loss: the share of messages that are lost; a lost one breaks its session.
        reconnect_ms: the longest random delay of a connection to a planner.
        demand: forwarders' shares of the requests, by number; 1 for each that is not named.
        queue: attempts that wait at a server, beyond which it rejects.
        max_attempts: for each request.
        list_call_ms: the time that a poll takes of discovery; 0 if lists are pushed to all at once.
        list_notice_ms: from a change until subscribers are notified.
        poll_interval_ms: the longest time between two polls.
        overload_attempts: attempts at a server at once that, after a while, make it three times slower; 0 for
            a server that never is overloaded.
        tier: the tier's number.
        hints: whether requests tell their expected work.
        heavy_tail: whether a few requests in a hundred have most of the work.
        planner_terms: terms of the planners' machines.
        forwarder_terms: terms of the forwarders' planning machines.
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
    queue: int = 64
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
    """The settings that all of the tier's balancers share."""
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
