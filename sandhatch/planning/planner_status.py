"""Planner output for operators: status, and the evidence behind a server's weight and grants.

The functions return values for JSON; their keys are part of the interface of `sandhatch planner status` and
documented in docs/operators/planning.md. No I/O, no clock.
"""

from __future__ import annotations

from typing import Any

from sandhatch.planning.lessors import ZERO_AMOUNT
from sandhatch.planning.membership import Member
from sandhatch.planning.pool_plan import PoolPlan
from sandhatch.runtime.address import server_label


def explain_server(plan: PoolPlan, address: str, now_ms: float, until_ms: float) -> dict[str, Any] | None:
    """Evidence, weight and grants of one server.

    Args:
        plan: Plan of the server's pool.
        address: Address of the server.
        now_ms: Current time.
        until_ms: Expiry time of a grant made now.

    Returns:
        Values by the keys of the JSON output; None if no forwarder has reported the server.
    """
    view = plan.load.servers.get(address)
    if view is None:
        return None
    ledger = plan.ledgers.get(address)
    granted = {}
    if ledger is not None:
        granted = {name: ledger.granted(name, now_ms) for name in ledger.holders}
    leased = ZERO_AMOUNT
    if plan.lessors is not None:
        leased = plan.lessors.leased(server_label(address), until_ms)
    return {
        "pool": plan.load.name,
        "server": address,
        "listed_by": view.listed_in,
        "cold": view.warming_up,
        "outstanding": view.outstanding,
        "load": round(view.mean_outstanding, 2),
        "slowness": round(view.relative_latency, 3),
        "failing": round(view.failure_rate, 4),
        "calls": round(view.attempts, 1),
        "weight": view.assessment.weight,
        "why": view.assessment.reason or "nothing speaks against it",
        "ratio": round(view.assessment.ratio, 3),
        "reports": view.assessment.reports,
        "ramp_lent": round(leased.rate, 4),
        "ramp_granted": {name: round(amount.rate, 4) for name, amount in granted.items()},
    }


def member_status(member: Member, now_ms: float) -> dict[str, Any]:
    """Status of one forwarder, by the keys of the JSON output."""
    return {
        "name": member.name,
        "heard_ms_ago": round(now_ms - member.last_report_ms),
        "advice": member.version,
        "taken": member.applied.version,
        "conflict": member.conflict,
    }


def pool_status(name: str, plan: PoolPlan) -> dict[str, Any]:
    """Status of one pool, by the keys of the JSON output."""
    demand_per_s = sum(load.demand_per_s for load in plan.load.members.values())
    return {
        "pool": name,
        "forwarders": len(plan.load.members),
        "of": plan.lessors.instances if plan.lessors is not None else 0,
        "servers": len(plan.load.servers),
        "cold": len(plan.load.warming_up),
        "weighed_down": len(plan.load.reduced_weights()),
        "demand_per_s": round(demand_per_s, 1),
    }
