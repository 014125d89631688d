"""What the parts of a simulated tier need of a forwarder; it breaks the circle between them.

It holds no code that runs. Source: the project's own; `forwarder.SimForwarder` is what implements it.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import Event, ListUpdate
from sandhatch.planning.forwarder import Action as PlanningAction
from sandhatch.planning.forwarder import Forwarder


class ForwarderPort(Protocol):
    """A forwarder, as servers, workload, discovery and planners see it."""

    number: int
    up: bool
    balancer: Balancer
    machine: Forwarder | None
    sessions: dict[str, int]

    def feed(self, event: Event) -> None:
        """Gives the balancer an event and carries out its actions."""

    def on_endpoint_list(self, update: ListUpdate) -> None:
        """Gives the balancer an endpoint list."""

    def perform_planning_actions(self, actions: list[PlanningAction]) -> None:
        """Carries out what the planning machine decided."""
