"""Admission control by adaptive concurrency, as in Envoy: the first tier rejects before work is spent."""

import math
from dataclasses import dataclass
from random import Random

from sandhatch.balancing.events import AttemptEnded, Outcome
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.guidance.state import GuidanceState
from sandhatch.balancing.policy.latency_estimates import LatencyEstimates
from sandhatch.balancing.policy.servers import ServerList
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.records import Request
from sandhatch.balancing.settings import Settings

# Attempts of all instances that a server can take. Guards against queues that the latency allows and the
# servers don't: a server of two cores on which 8 to 14 wait turns three times slower and stays so.
SERVER_CAPACITY = 7.0
UNQUEUED_SLOWDOWN = 1.8  # times its work that a request takes through all tiers, with no queues
QUEUED_SLOWDOWN = 2.2  # the same with some
LOAD_MEMORY_MS = 1_000.0  # over which the load is averaged: it takes a server longer than that to turn slow
MIN_INITIAL_WINDOW = 0.5  # until there is evidence
MIN_WINDOW = 0.1  # part of a request, admitted by chance: instances of low rate must be able to reject too
WINDOW_MEMORY = 1.0 / 8.0
WINDOW_GAIN = 0.2  # of the window, a round trip, for a latency off by the whole target
USED_FRACTION = 0.6  # of the window: one that is used less says nothing
TARGET_FRACTION = 0.5  # of the way from the latency at low load to the objective: the target of the latency
MAX_TARGET_FACTOR = 3.0  # of the latency at low load: what queues and crowding may add
MAX_OVER_QUOTA_FRACTION = 0.9  # of the window, open to traffic over its tenant's quota
OVER_QUOTA_STEP = 0.05  # by which that part closes with each rejection of a request within its quota
OVER_QUOTA_RISE = 0.02  # share of such rejections at which it stands still


@dataclass
class AdmissionControl:
    """A window of attempts in flight, moved by latency, and the load over time, bounded by the capacity."""

    settings: Settings
    rng: Random
    servers: ServerList
    latency: LatencyEstimates
    guidance_state: GuidanceState
    slow_start: SlowStart | SharedRamp
    window: float = MIN_INITIAL_WINDOW  # attempts that may be in flight at once
    window_opened: bool = False  # by the first list with ready servers
    mean_in_flight: float = 0.0  # as arrivals find it
    load: float = 0.0  # the same over LOAD_MEMORY_MS
    over_quota_fraction: float = MAX_OVER_QUOTA_FRACTION  # of the window

    def open_window(self, now_ms: float) -> None:
        """Open it to the capacity, once, as soon as servers are ready."""
        if not self.window_opened and self.servers.ready_count:
            self.window_opened = True
            self.window = max(MIN_INITIAL_WINDOW, self.capacity(now_ms))

    def record_arrival(self, gap_ms: float) -> None:
        """Bring the load up to date after a time without requests."""
        self.load += (1.0 - math.exp(-gap_ms / LOAD_MEMORY_MS)) * (self.servers.in_flight - self.load)

    def admits(self, over_quota: bool, now_ms: float) -> bool:
        """Return whether a request is admitted: not where the attempts in flight fill the window.

        Traffic over its quota may fill a part of the window only, which closes while others are rejected.
        """
        if self.settings.tier:
            return True
        # The mean, and a rejection by chance, not a hard limit: an instance of low rate has none or a few in
        # flight by chance alone, and its window may be below one.
        self.mean_in_flight += WINDOW_MEMORY * (self.servers.in_flight - self.mean_in_flight)
        limit = self.window * (0.8 + 0.6 * self.rng.random())
        if over_quota:
            limit = min(limit, self.capacity(now_ms))
            return self.mean_in_flight < limit * self.over_quota_fraction
        full = self.mean_in_flight >= limit
        if not full:
            full = self.load >= self.capacity(now_ms) * (0.8 + 0.4 * self.rng.random())
        step = -OVER_QUOTA_STEP if full else OVER_QUOTA_STEP * OVER_QUOTA_RISE
        self.over_quota_fraction = min(MAX_OVER_QUOTA_FRACTION, max(0.0, self.over_quota_fraction + step))
        return not full

    def is_loaded(self, now_ms: float) -> bool:
        """Return whether over half of the own capacity has been in flight for long, at any request rate."""
        own_part = self.guidance_state.own_part
        return self.load > 0.5 * SERVER_CAPACITY * self._warm_servers(now_ms) * own_part(now_ms)

    def is_lightly_loaded(self, now_ms: float) -> bool:
        """Return whether less than half of the capacity has been in flight for long."""
        return self.load < 0.5 * self.capacity(now_ms)

    def server_limit(self, now_ms: float) -> float:
        """Return how many own attempts one server may have: guards the few left when others fail or start."""
        return math.inf if self.settings.tier else max(1.0, SERVER_CAPACITY * self._capacity_share(now_ms))

    def record_outcome(self, event: AttemptEnded, request: Request) -> None:
        """Move the window by how far a latency is from its target; a failure counts as a whole objective."""
        objective_ms = request.request_class.objective_ms
        if event.outcome is Outcome.CONNECT_FAILED:
            return
        if event.outcome is Outcome.OK:
            low_load_ms = min(self.latency.update_low_load_ms(request.class_index), objective_ms)
            target_ms = low_load_ms + TARGET_FRACTION * (objective_ms - low_load_ms)
            target_ms = min(target_ms, MAX_TARGET_FACTOR * low_load_ms)
            step = WINDOW_GAIN * max(-min(1.0, self.window), 1.0 - event.spent_ms / target_ms)
        elif event.outcome is not Outcome.FULL:
            step = -WINDOW_GAIN * min(1.0, self.window, event.spent_ms / objective_ms)
        elif len(request.attempts) < 2:
            return  # one full server is nothing that another attempt would not mend
        else:
            # One too many is in flight; rejections come fast, so they must weigh more than slow answers.
            step = -min(1.0, 0.25 * self.window)
        if step < 0.0 or self.servers.in_flight + 1.0 >= USED_FRACTION * self.window:
            self.window = max(MIN_WINDOW, self.window + step)

    def _warm_servers(self, now_ms: float) -> float:
        """Return the ready servers, in warm ones: guards the few that are, in a release of most of a tier."""
        return max(1.0, self.servers.ready_count - self.slow_start.warm_up_deficit(now_ms))

    def _capacity_share(self, now_ms: float) -> float:
        """Return this instance's share, and its part of another one's while nothing queues.

        While that one restarts, its traffic comes to the others. No more: each would take all for its own.
        """
        queued = (self.latency.slowdown - UNQUEUED_SLOWDOWN) / (QUEUED_SLOWDOWN - UNQUEUED_SLOWDOWN)
        queued = min(1.0, max(0.0, queued))
        own = self.guidance_state.own_part(now_ms)
        instances = self.settings.instances
        return own * (queued + (1.0 - queued) * instances / max(1, instances - 1))

    def capacity(self, now_ms: float) -> float:
        """Return how many attempts this instance may have in flight for long."""
        return SERVER_CAPACITY * self._warm_servers(now_ms) * self._capacity_share(now_ms)
