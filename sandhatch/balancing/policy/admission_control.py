"""Admission control by adaptive concurrency, as in Envoy.

Instances of tier 0, which clients call, reject requests before any server works on them.
"""

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

# Attempts, of all instances together, that one server can have in flight. It limits queues that the latency
# target alone would allow: a server of two cores with 8 to 14 waiting requests becomes three times slower and
# stays so.
MAX_ATTEMPTS_PER_SERVER = 7.0
UNQUEUED_SLOWDOWN = 1.8  # ratio of latency through all tiers to hinted work, without queues
QUEUED_SLOWDOWN = 2.2  # ratio of latency through all tiers to hinted work, with queues
# Averaging time of the attempts in flight; overload must last longer to make a server slow.
LOAD_TIME_CONSTANT_MS = 1_000.0
MIN_INITIAL_WINDOW = 0.5  # lower bound, in attempts, of the window before any outcome is known
# In attempts. Below 1, requests are admitted by chance, so that low-rate instances can reject requests too.
MIN_WINDOW = 0.1
IN_FLIGHT_EWMA_WEIGHT = 1.0 / 8.0  # weight of a new sample in the mean of attempts in flight
WINDOW_GAIN = 0.2  # change of the window per round trip, as a fraction, if latency is off by the whole target
# Used fraction of the window, below which latency doesn't show whether the window is too small.
MIN_WINDOW_UTILIZATION = 0.6
TARGET_FRACTION = 0.5  # target latency, as a fraction of the way from the low-load latency to the objective
MAX_TARGET_FACTOR = 3.0  # maximum ratio of target to low-load latency; limits queuing and contention
MAX_OVER_QUOTA_FRACTION = 0.9  # maximum fraction of the window for traffic over its tenant's quota
OVER_QUOTA_STEP = 0.05  # reduction of the over-quota fraction per rejected request within quota
# Rejected fraction of the requests within quota at which the over-quota fraction is constant.
OVER_QUOTA_EQUILIBRIUM = 0.02


@dataclass
class AdmissionControl:
    """A concurrency window that is adjusted by latency, and a bound on the mean load by the tier's capacity.

    Attributes:
        settings: Settings of the instance.
        rng: Source of randomness.
        servers: Endpoint list of the tier.
        latency: Latency estimates by request class.
        guidance_state: Guidance of the planners, with this instance's share of the capacity.
        slow_start: Slow start, which gives the capacity that servers warming up still lack.
        window: Number of attempts that may be in flight at once.
        window_opened: Whether a list with ready servers has set the initial window.
        mean_in_flight: Mean number of attempts in flight, as seen by arriving requests.
        load: Mean number of attempts in flight over `LOAD_TIME_CONSTANT_MS`.
        over_quota_fraction: Fraction of the window open to traffic over its tenant's quota.
    """

    settings: Settings
    rng: Random
    servers: ServerList
    latency: LatencyEstimates
    guidance_state: GuidanceState
    slow_start: SlowStart | SharedRamp
    window: float = MIN_INITIAL_WINDOW
    window_opened: bool = False
    mean_in_flight: float = 0.0
    load: float = 0.0
    over_quota_fraction: float = MAX_OVER_QUOTA_FRACTION

    def open_window(self, now_ms: float) -> None:
        """Set the window to the capacity, once, as soon as servers are ready."""
        if not self.window_opened and self.servers.ready_count:
            self.window_opened = True
            self.window = max(MIN_INITIAL_WINDOW, self.capacity(now_ms))

    def record_arrival(self, interarrival_ms: float) -> None:
        """Update the mean number of attempts in flight for the time since the previous request."""
        self.load += (1.0 - math.exp(-interarrival_ms / LOAD_TIME_CONSTANT_MS)) * (
            self.servers.in_flight - self.load
        )

    def admits(self, over_quota: bool, now_ms: float) -> bool:
        """Return whether a request is admitted: only while the attempts in flight don't fill the window.

        Traffic over its quota may fill only a fraction of the window, which shrinks while requests within
        their quota are rejected.
        """
        if self.settings.tier:
            return True
        # The mean is compared with a randomized limit, not the current number with a hard limit: a low-rate
        # instance has none or a few attempts in flight by chance alone, and its window may be below one.
        self.mean_in_flight += IN_FLIGHT_EWMA_WEIGHT * (self.servers.in_flight - self.mean_in_flight)
        limit = self.window * (0.8 + 0.6 * self.rng.random())
        if over_quota:
            limit = min(limit, self.capacity(now_ms))
            return self.mean_in_flight < limit * self.over_quota_fraction
        is_full = self.mean_in_flight >= limit
        if not is_full:
            is_full = self.load >= self.capacity(now_ms) * (0.8 + 0.4 * self.rng.random())
        step = -OVER_QUOTA_STEP if is_full else OVER_QUOTA_STEP * OVER_QUOTA_EQUILIBRIUM
        self.over_quota_fraction = min(MAX_OVER_QUOTA_FRACTION, max(0.0, self.over_quota_fraction + step))
        return not is_full

    def is_loaded(self, now_ms: float) -> bool:
        """Return whether the mean load exceeds half of this instance's capacity, at any request rate."""
        own_share = self.guidance_state.own_share
        return self.load > 0.5 * MAX_ATTEMPTS_PER_SERVER * self._warm_equivalents(now_ms) * own_share(now_ms)

    def is_lightly_loaded(self, now_ms: float) -> bool:
        """Return whether the mean load is below half of the capacity."""
        return self.load < 0.5 * self.capacity(now_ms)

    def server_limit(self, now_ms: float) -> float:
        """Return this instance's limit of attempts in flight at one server; infinite beyond the first tier.

        Protects the few warm servers while others fail or start.
        """
        return (
            math.inf
            if self.settings.tier
            else max(1.0, MAX_ATTEMPTS_PER_SERVER * self._capacity_share(now_ms))
        )

    def record_outcome(self, event: AttemptEnded, request: Request) -> None:
        """Adjust the window by the difference between a response's latency and its target.

        A failure lowers the window in proportion to the time spent, at most by as much as a whole objective.
        A rejection by a full server lowers it by a fixed step, and only from the second attempt on. A failed
        connection changes nothing.
        """
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
            return  # a single full server: another attempt is likely to succeed
        else:
            # A rejection by a full server shows one attempt too many in flight. Rejections arrive fast, so
            # each must weigh more than a slow response.
            step = -min(1.0, 0.25 * self.window)
        if step < 0.0 or self.servers.in_flight + 1.0 >= MIN_WINDOW_UTILIZATION * self.window:
            self.window = max(MIN_WINDOW, self.window + step)

    def _warm_equivalents(self, now_ms: float) -> float:
        """Return the ready servers' capacity in units of warm servers.

        Prevents overload of the few warm servers during a release that replaces most of a tier.
        """
        return max(1.0, self.servers.ready_count - self.slow_start.warm_up_deficit(now_ms))

    def _capacity_share(self, now_ms: float) -> float:
        """Return this instance's share of the tier's capacity, plus part of another's while nothing queues.

        While one instance restarts, its traffic goes to the others. The share grows by no more than that;
        otherwise each instance would claim the whole capacity.
        """
        queued_fraction = (self.latency.slowdown - UNQUEUED_SLOWDOWN) / (QUEUED_SLOWDOWN - UNQUEUED_SLOWDOWN)
        queued_fraction = min(1.0, max(0.0, queued_fraction))
        own_share = self.guidance_state.own_share(now_ms)
        instances = self.settings.instances
        return own_share * (queued_fraction + (1.0 - queued_fraction) * instances / max(1, instances - 1))

    def capacity(self, now_ms: float) -> float:
        """Return the upper bound for this instance's mean number of attempts in flight."""
        return MAX_ATTEMPTS_PER_SERVER * self._warm_equivalents(now_ms) * self._capacity_share(now_ms)
