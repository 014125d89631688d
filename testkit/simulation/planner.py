"""A simulated planner, and scripts for the advice that it sends.

All decisions are made by the program's own planner state machine. Source: none; written for this project.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sandhatch.planning.messages import Advice
from sandhatch.planning.planner import Planner
from testkit.simulation.plan import TierPlan


@dataclass(frozen=True, slots=True)
class ArrivingMessage:
    """A message that a forwarder receives in place of a planner's advice.

    Attributes:
        delay_ms: Delay of the message in addition to the link's delay.
        advice: Advice in the message; None for a message that can't be decoded.
    """

    delay_ms: float
    advice: Advice | None


# Behaviour of a planner, with or without a fault: maps each advice to the messages that arrive in place of
# the advice.
Script = Callable[[Advice], Iterable[ArrivingMessage]]


def passes_advice(advice: Advice) -> Iterable[ArrivingMessage]:
    """The script of a planner without faults."""
    return [ArrivingMessage(0.0, advice)]


def delays_advice(delay_ms: float) -> Script:
    """Returns the script of a planner whose advice arrives `delay_ms` late."""
    return lambda advice: [ArrivingMessage(delay_ms, advice)]


def sends_garbage(advice: Advice) -> Iterable[ArrivingMessage]:  # noqa: ARG001 - a `Script`
    """The script of a planner whose messages can't be decoded."""
    return [ArrivingMessage(0.0, None)]


class RepeatsFirstAdvice:
    """The script of a planner that repeats its first advice forever."""

    def __init__(self) -> None:
        """Creates a script that has received no advice yet."""
        self._first: Advice | None = None

    def __call__(self, advice: Advice) -> Iterable[ArrivingMessage]:
        """Returns the first advice in place of the given advice."""
        if self._first is None:
            self._first = advice
        return [ArrivingMessage(0.0, self._first)]


class SimPlanner:
    """One incarnation of a planner."""

    def __init__(self, name: str, epoch: int, now_ms: float, plan: TierPlan) -> None:
        """Creates a planner without faults and without state of an earlier incarnation."""
        self.machine = Planner(name, epoch, now_ms, plan.planner_terms)
        self.up = True
        self.script: Script = passes_advice
