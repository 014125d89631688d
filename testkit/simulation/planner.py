"""A simulated planner, and scripts for the advice that it sends.

It decides nothing itself: the program's own planning machine does. Source: the project's own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sandhatch.planning.messages import Advice
from sandhatch.planning.planner import Planner
from testkit.simulation.plan import TierPlan


@dataclass(frozen=True, slots=True)
class ArrivingMessage:
    """What a forwarder receives in place of a planner's advice.

    Attributes:
        delay_ms: how late it arrives, beside the link's own delay.
        advice: the advice; None for a message that can't be decoded.
    """

    delay_ms: float
    advice: Advice | None


# A fault of a planner: given a piece of advice, it returns what arrives in its place.
Script = Callable[[Advice], Iterable[ArrivingMessage]]


def passes_advice(advice: Advice) -> Iterable[ArrivingMessage]:
    """The script of a planner without a fault."""
    return [ArrivingMessage(0.0, advice)]


def delays_advice(delay_ms: float) -> Script:
    """The script of a planner whose advice arrives late by `delay_ms`."""
    return lambda advice: [ArrivingMessage(delay_ms, advice)]


def sends_garbage(advice: Advice) -> Iterable[ArrivingMessage]:  # noqa: ARG001 - a `Script`
    """The script of a planner whose messages can't be decoded."""
    return [ArrivingMessage(0.0, None)]


class RepeatsFirstAdvice:
    """The script of a planner that sends its first advice again and again."""

    def __init__(self) -> None:
        """Creates a script that has seen no advice."""
        self._first: Advice | None = None

    def __call__(self, advice: Advice) -> Iterable[ArrivingMessage]:
        """Sends the first advice in place of this."""
        if self._first is None:
            self._first = advice
        return [ArrivingMessage(0.0, self._first)]


class SimPlanner:
    """One incarnation of a planner."""

    def __init__(self, name: str, epoch: int, now_ms: float, plan: TierPlan) -> None:
        """Creates a planner without a fault, with nothing in its memory."""
        self.machine = Planner(name, epoch, now_ms, plan.planner_terms)
        self.up = True
        self.script: Script = passes_advice
