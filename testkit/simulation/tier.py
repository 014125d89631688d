"""A tier in simulated time: assembly of its components, and the events that a test causes.

Reads no clock, so runs with the same seed are identical. Source: none; written for this project.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from random import Random

from sandhatch.balancing.events import ListKind, ListUpdate
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.discovery import SimDiscovery
from testkit.simulation.forwarder import SimForwarder, TierComponents
from testkit.simulation.network import Network
from testkit.simulation.plan import TierPlan, settings_of
from testkit.simulation.planner import Script, SimPlanner
from testkit.simulation.planning_link import LinkEnds, PlanningLink
from testkit.simulation.server import SimServer
from testkit.simulation.workload import Workload

FIRST_TICK_MS = 50.0  # maximum random delay of a forwarder's first tick


class Tier:
    """One run of a tier. Usage: create it, schedule faults with `at`, then call `run`."""

    def __init__(self, plan: TierPlan, seed: int = 1, previous_lease_ms: float = 0.0) -> None:
        """Creates a tier at the start of a run.

        Args:
            plan: Description of the tier.
            seed: Seed of all random choices.
            previous_lease_ms: Milliseconds for which slow-start shares may still be leased to earlier
                incarnations of the forwarders.
        """
        self.plan = plan
        self.rng = Random(seed)
        self.settings = settings_of(plan)
        self.clock = SimulatedClock()
        self.servers = [SimServer(number, plan, self.clock) for number in range(plan.servers)]
        self.forwarders: list[SimForwarder] = []
        self.discovery = SimDiscovery(self.clock, self.servers, plan.list_call_ms, plan.list_notice_ms)
        self.link = PlanningLink(plan, self.clock, self.rng)
        self.workload = Workload(plan, self.clock, self.forwarders, Random(seed + 1))
        self._components = TierComponents(
            plan=plan,
            settings=self.settings,
            clock=self.clock,
            servers=self.servers,
            workload=self.workload,
            network=Network(plan, self.clock, self.servers, self.workload),
            discovery=self.discovery,
            link=self.link,
        )
        self._previous_lease_ms = previous_lease_ms
        self._list_version = 0
        for _ in range(plan.forwarders):
            self.join()
        for name in self.planners:
            self.link.tick(name)
        self.workload.schedule_arrival()

    # ------------------------------------------------ time

    @property
    def now(self) -> float:
        """Simulated time in milliseconds; starts at `clock.START_MS`."""
        return self.clock.now_ms

    def at(self, ms: float, call: Callable[[], object]) -> None:
        """Schedules a call `ms` after the start of the run."""
        self.clock.at(ms, call)

    def run(self, until_ms: float) -> None:
        """Runs until `until_ms` after the start of the run."""
        self.clock.run(until_ms)

    # ------------------------------------------------ forwarders and servers

    def join(self) -> SimForwarder:
        """Adds a forwarder whose endpoint list has the servers that are up now."""
        number = len(self.forwarders)
        forwarder = SimForwarder(self._components, number, self.rng.getrandbits(32), self._previous_lease_ms)
        self.forwarders.append(forwarder)
        kind = ListKind.CACHED if self.plan.list_call_ms else ListKind.FULL
        forwarder.on_endpoint_list(self._list([server for server in self.servers if server.up], kind))
        self.clock.after(self.rng.random() * FIRST_TICK_MS, forwarder.tick)
        return forwarder

    def leave(self, number: int) -> None:
        """Kills a forwarder without notice to its peers."""
        forwarder = self.forwarders[number]
        forwarder.up = False
        for name in list(forwarder.sessions):
            self.link.disconnect(forwarder, name)

    def restart(self, number: int) -> None:
        """Restarts a server, which loses its attempts and warms up; publishes the change at once."""
        server = self.servers[number]
        server.restart()
        self._publish([server])

    def add(self) -> SimServer:
        """Adds a server, which warms up."""
        server = SimServer(len(self.servers), self.plan, self.clock)
        server.started_ms = self.now
        self.servers.append(server)
        self._publish([server])
        return server

    def replace(self, number: int) -> SimServer:
        """Removes a server, which completes its attempts, and adds another server, which warms up."""
        self.servers[number].up = False
        self._publish([self.servers[number]])
        return self.add()

    def _publish(self, servers: list[SimServer]) -> None:
        if self.plan.list_call_ms:
            self.discovery.change(servers)
            return
        for forwarder in self.forwarders:
            forwarder.on_endpoint_list(self._list(servers, ListKind.DELTA))

    def _list(self, servers: Iterable[SimServer], kind: ListKind) -> ListUpdate:
        self._list_version += 1
        return ListUpdate(kind, self._list_version, [server.entry() for server in servers])

    # ------------------------------------------------ planners

    @property
    def planners(self) -> dict[str, SimPlanner]:
        """The planners by name."""
        return self.link.planners

    def kill_planner(self, name: str) -> None:
        """Kills a planner's process."""
        self.link.kill_planner(name, self.forwarders)

    def start_planner(self, name: str) -> None:
        """Starts a new incarnation of a planner, without the state of the previous one."""
        self.link.start_planner(name)

    def follow(self, name: str, script: Script) -> None:
        """Passes a planner's advice through this script from now on."""
        self.link.follow(name, script)

    def partition(self, pairs: Iterable[LinkEnds]) -> None:
        """Partitions exactly these pairs of a forwarder and a planner."""
        self.link.partition(pairs, self.forwarders)

    # ------------------------------------------------ results

    def goodput_share(self, begin_ms: float = 0.0, end_ms: float = math.inf) -> float:
        """Returns the share served in time of the completed requests that arrived in the interval.

        The share is 0 if there are no such requests.
        """
        return self.workload.goodput_share(begin_ms, end_ms)
