"""A simulated forwarder: the program's own balancer and planning machine between the simulated parts.

It decides nothing: it gives events to the program's machines and carries out their actions.
Source: the project's own; `dispatch.dispatcher` does the same with real sockets.
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
class Surroundings:
    """What all forwarders of a tier share."""

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

    Tests set `alter_report`, which changes its reports on their way, and read `guidance_rejections` (why its
    balancer rejected advice) and `notes` (what its planning machine logged, each behind the time).
    """

    def __init__(self, surroundings: Surroundings, number: int, balancer_seed: int, quiet_ms: float) -> None:
        """Creates a forwarder without an endpoint list.

        Args:
            surroundings: what it shares with the others.
            number: its own.
            balancer_seed: of the balancer's random draws.
            quiet_ms: how long an earlier incarnation's ramp shares may still be leased.
        """
        settings = surroundings.settings
        plan = surroundings.plan
        clock = surroundings.clock
        self._surroundings = surroundings
        self._clock = clock
        self.number: int = number
        self.up: bool = True
        self.settings = replace(settings, instance_index=number % settings.instances)
        self.balancer: Balancer = Balancer(self.settings, balancer_seed)
        self.observer = Observer([cls.name for cls in self.settings.classes], plan.warm_up_ms)
        self.machine: Forwarder | None = None
        self.sessions: dict[str, int] = {}  # by planner, the session's number
        self.alter_report: Callable[[Report], Report] = lambda report: report
        self.guidance_rejections: list[str] = []
        self.notes: list[str] = []
        if plan.planners:
            names = planner_names(plan)
            self.machine = Forwarder(
                forwarder_name(number), names, clock.now_ms, plan.forwarder_terms, quiet_ms
            )
            self.perform_planning_actions(self.machine.add_pool(POOL, self.settings, self.observer))

    # ------------------------------------------------ the balancer

    def feed(self, event: Event) -> None:
        """Gives the balancer an event and carries out its actions."""
        actions = self.balancer.handle(self._clock.now_ms, event)
        self.observer.on_event(event, actions)
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Send():
                self._surroundings.network.send(self, action)
            case SetTimer():
                self._clock.after(action.delay_ms, partial(self.feed, TimerFired(action.cookie)))
            case Reject() | Fail():
                self._surroundings.workload.complete(action.request, served=False)
            case WatchList():
                self._surroundings.discovery.poll(self)
            case GuidanceRejected():
                self._on_guidance_rejected(action)
            case _:
                pass  # the simulation has no counterpart of the others

    def _on_guidance_rejected(self, action: GuidanceRejected) -> None:
        self.guidance_rejections.append(action.why)
        if self.machine is not None:
            actions = self.machine.guidance_rejected(action.planner, action.why, self._clock.now_ms)
            self.perform_planning_actions(actions)

    def on_endpoint_list(self, update: ListUpdate) -> None:
        """Gives the balancer an endpoint list, unless the forwarder has died."""
        if not self.up:
            return
        servers = self._surroundings.servers
        addresses = [servers[entry.server].address for entry in update.entries]
        self.observer.on_endpoint_list(update, addresses)
        self.feed(update)

    # ------------------------------------------------ planning

    def tick(self) -> None:
        """Connects to the planners that it reaches and ticks the planning machine, now and from now on."""
        if self.machine is None or not self.up:
            return
        link = self._surroundings.link
        for name in self.machine.peers:
            if name not in self.sessions and link.reaches(self, name):
                link.connect(self, name)
        self.perform_planning_actions(self.machine.tick(self._clock.now_ms))
        self._clock.after(TICK_MS, self.tick)

    def perform_planning_actions(self, actions: list[PlanningAction]) -> None:
        """Carries out what the planning machine decided."""
        for action in actions:
            match action:
                case SendReport():
                    self._surroundings.link.report(self, action.planner, self.alter_report(action.report))
                case NotifyBalancer():
                    self.feed(action.event)
                case EndSession():
                    self._surroundings.link.disconnect(self, action.planner)
                case LogLine():
                    self.notes.append(f"{self._clock.now_ms:.0f} {action.text}")
