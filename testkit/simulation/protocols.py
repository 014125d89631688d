"""The forwarder's interface for the other components of a simulated tier, which avoids circular imports.

Contains declarations only. Source: none; written for this project. Implemented by `forwarder.SimForwarder`.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import Event, ListUpdate
from sandhatch.planning.actions import Action as PlanningAction
from sandhatch.planning.forwarder import Forwarder


class ForwarderPort(Protocol):
    """The interface of a forwarder for the network, the workload, discovery and the planning link."""

    number: int
    up: bool
    balancer: Balancer
    machine: Forwarder | None
    sessions: dict[str, int]

    def feed(self, event: Event) -> None:
        """Passes an event to the balancer and carries out its actions."""

    def on_endpoint_list(self, update: ListUpdate) -> None:
        """Passes an endpoint list to the balancer."""

    def perform_planning_actions(self, actions: list[PlanningAction]) -> None:
        """Carries out the actions of the planning state machine."""
