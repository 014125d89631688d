"""The requests that arrive at a simulated tier, and their outcomes.

Does not depend on the state of the balancers. Source: none; written for this project. Arrivals are a seeded
Poisson process.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from sandhatch.balancing.events import RequestArrived
from testkit.simulation.clock import START_MS, SimulatedClock
from testkit.simulation.plan import TierPlan
from testkit.simulation.protocols import ForwarderPort

# Work that every request has, as a share of the plan's mean work; a random part adds the rest on average.
FIXED_WORK_SHARE = 0.25
# Index of the Pareto distribution of the work of requests with a heavy tail; at 2 its variance would be
# infinite.
TAIL_INDEX = 2.1


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request of the workload that has not had its final response."""

    arrived_ms: float
    work_ms: float


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A request that has had its final response."""

    arrived_ms: float
    in_time: bool  # whether the request was served within the latency objective


class Workload:
    """Sends requests to the forwarders by their demand, and records the outcome of each request."""

    def __init__(
        self, plan: TierPlan, clock: SimulatedClock, forwarders: Sequence[ForwarderPort], rng: Random
    ) -> None:
        """Creates a workload that has not started.

        Args:
            plan: Description of the tier.
            clock: Clock of the run.
            forwarders: Forwarders of the tier; the list is shared, so that forwarders added later get
                requests too.
            rng: Random generator for arrivals alone, so that all variants of a plan get the same arrivals.
        """
        self.completed: list[CompletedRequest] = []
        self._plan = plan
        self._clock = clock
        self._forwarders = forwarders
        self._rng = rng
        self._pending: dict[int, PendingRequest] = {}
        self._last_request = 0

    def schedule_arrival(self) -> None:
        """Schedules the next request, whose arrival schedules the one after it."""
        self._clock.after(self._rng.expovariate(self._plan.rate_per_s / 1000.0), self._arrive)

    def _arrive(self) -> None:
        self.schedule_arrival()
        work_ms = self._draw_work_ms()
        demand = [
            self._plan.demand.get(forwarder.number, 1.0) if forwarder.up else 0.0
            for forwarder in self._forwarders
        ]
        forwarder = self._rng.choices(self._forwarders, demand)[0]
        self._last_request += 1
        self._pending[self._last_request] = PendingRequest(self._clock.now_ms, work_ms)
        expected_ms = work_ms if self._plan.hints else 0.0
        forwarder.feed(RequestArrived(self._last_request, 0, self._plan.deadline_ms, expected_ms=expected_ms))

    def _draw_work_ms(self) -> float:
        if self._plan.heavy_tail:
            random_part = self._rng.paretovariate(TAIL_INDEX) * (TAIL_INDEX - 1.0) / TAIL_INDEX
        else:
            random_part = self._rng.expovariate(1.0)
        return (FIXED_WORK_SHARE + (1.0 - FIXED_WORK_SHARE) * random_part) * self._plan.work_ms

    def work_ms_of(self, request: int) -> float:
        """Returns the work of a request; for a completed request, the plan's mean work."""
        pending = self._pending.get(request)
        return pending.work_ms if pending is not None else self._plan.work_ms

    def complete(self, request: int, served: bool) -> None:
        """Records the final response of a request; a second response is ignored."""
        pending = self._pending.pop(request, None)
        if pending is None:
            return
        in_time = served and self._clock.now_ms - pending.arrived_ms <= self._plan.objective_ms
        self.completed.append(CompletedRequest(pending.arrived_ms, in_time))

    def goodput_share(self, begin_ms: float = 0.0, end_ms: float = math.inf) -> float:
        """Returns the share served in time of the completed requests that arrived in the interval.

        The share is 0 if there are no such requests.
        """
        in_time = [
            request.in_time
            for request in self.completed
            if begin_ms <= request.arrived_ms - START_MS < end_ms
        ]
        return sum(in_time) / len(in_time) if in_time else 0.0
