"""A simulated forwarder: the program's own balancer and planning state machine in the simulated tier.

Makes no decisions itself: it passes events to the program's state machines and carries out their actions.
Source: none; written for this project. `dispatch.dispatcher` does the same with real sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Action, Fail, GuidanceRejected, Reject, Send, SetTimer, WatchList
from sandhatch.balancing.events import Event, ListUpdate, TimerFired
from sandhatch.balancing.settings import Settings
from sandhatch.planning.actions import Action as PlanningAction
from sandhatch.planning.actions import EndSession, LogLine, NotifyBalancer, SendReport
from sandhatch.planning.forwarder import Forwarder
from sandhatch.planning.messages import Report
from sandhatch.planning.observer import Observer
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.discovery import SimDiscovery
from testkit.simulation.network import Network
from testkit.simulation.plan import POOL, TierPlan
from testkit.simulation.planning_link import PlanningLink, forwarder_name, planner_names
from testkit.simulation.server import SimServer
from testkit.simulation.workload import Workload

TICK_MS = 50.0


@dataclass(frozen=True, slots=True)
class TierComponents:
    """Components that all forwarders of a tier share."""

    plan: TierPlan
    settings: Settings
    clock: SimulatedClock
    servers: list[SimServer]
    workload: Workload
    network: Network
    discovery: SimDiscovery
    link: PlanningLink


class SimForwarder:
    """One forwarder.

    Attributes:
        number: Number of the forwarder in its tier.
        up: Whether the forwarder runs.
        settings: Settings of its balancer.
        balancer: The program's balancer.
        observer: Observer that collects the data for reports.
        machine: The program's planning state machine; None without planners.
        sessions: Number of the session with each planner, by the planner's name.
        alter_report: Function that changes reports on their way to a planner; set by tests.
        guidance_rejections: Reasons why the balancer rejected advice.
        log_lines: Log lines of the planning state machine, each preceded by its time.
    """

    def __init__(
        self, components: TierComponents, number: int, balancer_seed: int, previous_lease_ms: float
    ) -> None:
        """Creates a forwarder without an endpoint list.

        Args:
            components: Components shared with the tier's other forwarders.
            number: Number of the forwarder in its tier.
            balancer_seed: Seed of the balancer's random choices.
            previous_lease_ms: Milliseconds for which slow-start shares may still be leased to an earlier
                incarnation.
        """
        settings = components.settings
        plan = components.plan
        clock = components.clock
        self._components = components
        self._clock = clock
        self.number: int = number
        self.up: bool = True
        self.settings = replace(settings, instance_index=number % settings.instances)
        self.balancer: Balancer = Balancer(self.settings, balancer_seed)
        self.observer = Observer([cls.name for cls in self.settings.classes], plan.warm_up_ms)
        self.machine: Forwarder | None = None
        self.sessions: dict[str, int] = {}
        self.alter_report: Callable[[Report], Report] = lambda report: report
        self.guidance_rejections: list[str] = []
        self.log_lines: list[str] = []
        if plan.planners:
            names = planner_names(plan)
            self.machine = Forwarder(
                forwarder_name(number), names, clock.now_ms, plan.forwarder_terms, previous_lease_ms
            )
            self.perform_planning_actions(self.machine.add_pool(POOL, self.settings, self.observer))

    # ------------------------------------------------ the balancer

    def feed(self, event: Event) -> None:
        """Passes an event to the balancer and carries out its actions."""
        actions = self.balancer.handle(self._clock.now_ms, event)
        self.observer.on_event(event, actions)
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Send():
                self._components.network.send(self, action)
            case SetTimer():
                self._clock.after(action.delay_ms, partial(self.feed, TimerFired(action.cookie)))
            case Reject() | Fail():
                self._components.workload.complete(action.request, served=False)
            case WatchList():
                self._components.discovery.poll(self)
            case GuidanceRejected():
                self._on_guidance_rejected(action)
            case _:
                pass  # other actions of the balancer have no counterpart in the simulation

    def _on_guidance_rejected(self, action: GuidanceRejected) -> None:
        self.guidance_rejections.append(action.why)
        if self.machine is not None:
            actions = self.machine.guidance_rejected(action.planner, action.why, self._clock.now_ms)
            self.perform_planning_actions(actions)

    def on_endpoint_list(self, update: ListUpdate) -> None:
        """Passes an endpoint list to the balancer, unless the forwarder has died."""
        if not self.up:
            return
        servers = self._components.servers
        addresses = [servers[entry.server].address for entry in update.entries]
        self.observer.on_endpoint_list(update, addresses)
        self.feed(update)

    # ------------------------------------------------ planning

    def tick(self) -> None:
        """Connects to reachable planners and ticks the planning state machine, now and every `TICK_MS`."""
        if self.machine is None or not self.up:
            return
        link = self._components.link
        for name in self.machine.peers:
            if name not in self.sessions and link.reaches(self, name):
                link.connect(self, name)
        self.perform_planning_actions(self.machine.tick(self._clock.now_ms))
        self._clock.after(TICK_MS, self.tick)

    def perform_planning_actions(self, actions: list[PlanningAction]) -> None:
        """Carries out the actions of the planning state machine."""
        for action in actions:
            match action:
                case SendReport():
                    self._components.link.report(self, action.planner, self.alter_report(action.report))
                case NotifyBalancer():
                    self.feed(action.event)
                case EndSession():
                    self._components.link.disconnect(self, action.planner)
                case LogLine():
                    self.log_lines.append(f"{self._clock.now_ms:.0f} {action.text}")
