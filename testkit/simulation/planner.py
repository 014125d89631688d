"""A simulated planner, and scripts for the advice that it sends.

It decides nothing itself: the program's own planning machine does. Source: the project's own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from sandhatch.planning.messages import Advice
from sandhatch.planning.planner import Planner
from testkit.simulation.plan import TierPlan

# A fault of a planner: given a piece of advice and the time, it returns what arrives in its place, as pairs
# of a delay in milliseconds and a message. None in place of a message is one that can't be decoded.
Script = Callable[[Advice, float], Iterable[tuple[float, Advice | None]]]


def honest(advice: Advice, now_ms: float) -> Iterable[tuple[float, Advice | None]]:  # noqa: ARG001 - a `Script`
    """The script of a planner without a fault."""
    return [(0.0, advice)]


def delays_advice(delay_ms: float) -> Script:
    """The script of a planner whose advice arrives late by `delay_ms`."""

    def script(advice: Advice, now_ms: float) -> Iterable[tuple[float, Advice | None]]:  # noqa: ARG001 - a `Script`
        return [(delay_ms, advice)]

    return script


class SimPlanner:
    """One incarnation of a planner."""

    def __init__(self, name: str, epoch: int, now_ms: float, plan: TierPlan) -> None:
        """Creates a planner without a fault, with nothing in its memory."""
        self.machine = Planner(name, epoch, now_ms, plan.planner_terms)
        self.up = True
        self.script: Script = honest
