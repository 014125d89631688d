"""What a simulated tier is made of: sizes, rates, times and terms, and the balancers' settings for them.

It holds values and decides nothing. Source: the project's own; the settings are `balancing.settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.forwarder import ForwarderTerms
from sandhatch.planning.planner import PlannerTerms

POOL = "core"  # the name of the tier's one pool
REQUEST_CLASS = "view"  # the name of its one class


@dataclass
class TierPlan:
    """A tier's description. Times are in milliseconds of the run.

    Attributes:
        forwarders: how many there are at the start.
        places: configured instances; as many as forwarders if 0.
        servers: how many there are at the start.
        planners: how many there are; 0 for a tier without planning.
        rate_per_s: requests that come to all forwarders together.
        work_ms: the average time that a request takes of one core.
        cores: attempts that a server runs at once.
        aim_ms: the latency objective.
        deadline_ms: a request's.
        ramp_per_s: a server's rate in slow start, when it is warm; 0 for none.
        ramp_burst: attempts that may come at once in slow start; the settings' default if 0.
        cold_share: a server's capacity at its start, as a share of its full one.
        cold_ms: how long a server warms up.
        link_ms: the delay of a message between forwarder and planner.
        link_loss: the share of messages that are lost; a lost one breaks its session.
        reconnect_ms: the longest random delay of a connection to a planner.
        demand: forwarders' shares of the requests, by number; 1 for each that is not named.
        queue: attempts that wait at a server, beyond which it rejects.
        max_attempts: for each request.
        list_call_ms: the time that a poll takes of discovery; 0 if lists are pushed to all at once.
        list_notice_ms: from a change until subscribers are notified.
        ask_within_ms: the longest time between two polls.
        choke: attempts held for long, from which a server gets three times slower; 0 if it never does.
        tier: the tier's number.
        planner_terms: terms of the planners' machines.
        forwarder_terms: terms of the forwarders' planning machines.
    """

    forwarders: int = 5
    places: int = 0
    servers: int = 20
    planners: int = 0
    rate_per_s: float = 500.0
    work_ms: float = 20.0
    cores: int = 2
    aim_ms: float = 150.0
    deadline_ms: float = 1_000.0
    ramp_per_s: float = 50.0
    ramp_burst: float = 0.0
    cold_share: float = 0.1
    cold_ms: float = 20_000.0
    link_ms: float = 1.0
    link_loss: float = 0.0
    reconnect_ms: float = 200.0
    demand: dict[int, float] = field(default_factory=dict)
    queue: int = 64
    max_attempts: int = 2
    list_call_ms: float = 0.0
    list_notice_ms: float = 1_000.0
    ask_within_ms: float = 10_000.0
    choke: int = 0
    tier: int = 1
    planner_terms: PlannerTerms = field(default_factory=PlannerTerms)
    forwarder_terms: ForwarderTerms = field(default_factory=ForwarderTerms)


def settings_of(plan: TierPlan) -> Settings:
    """The settings that all of the tier's balancers share."""
    request_class = RequestClass(
        objective_ms=plan.aim_ms,
        deadline_ms=plan.deadline_ms,
        effect=Effect.IDEMPOTENT,
        name=REQUEST_CLASS,
    )
    return Settings(
        classes=[request_class],
        instances=plan.places or plan.forwarders,
        tier=plan.tier,
        tiers=plan.tier + 1,
        initial_capacity_share=plan.cold_share,
        warm_up_ms=plan.cold_ms,
        ramp_per_s=plan.ramp_per_s,
        ramp_burst=plan.ramp_burst,
        max_attempts=plan.max_attempts,
        polled_discovery=plan.list_call_ms > 0.0,
        poll_interval_ms=plan.ask_within_ms,
        retry_advice=True,
        max_retry_after_ms=2_000.0,
    )
