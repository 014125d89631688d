"""The guidance from planners that counts now, for one balancer.

It takes guidance in, complete or not at all, and answers what it changes in a draw or in admission. It never
draws a server itself, does no I/O and reads no clock. See the package's docstring for what guidance may do.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from random import Random

from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Guidance, ServerWeight
from sandhatch.balancing.guidance.bounds import violation
from sandhatch.balancing.guidance.gradual_value import GradualValue
from sandhatch.balancing.guidance.ramp_allocation import ramp_burst
from sandhatch.balancing.guidance.server_weights import FOLLOW_MS, ServerWeights
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.guidance.warm_up import Listed
from sandhatch.balancing.settings import Settings


class GuidanceState:
    """The guidance that counts now, for one balancer.

    A server of weight w that was drawn is passed over with probability 1 - w. Where every draw ends so, the
    caller leaves the weights aside, and chooses as it would without guidance.

    Attributes:
        weights: The servers' weights.
        ramp: This instance's share of the warming servers' ramps; None where the settings state no ramp.
    """

    # Bounds of an instance's share of the tier's capacity, in even shares.
    LEAST_PART = 0.5
    MAX_PART = 8.0
    OWN_SHARE_CHANGE_MS = 3_000.0  # over which that share moves to a new value

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Start without any guidance. The balancer's own random numbers decide who is passed over."""
        self._settings = settings
        self._rng = rng
        self._even_share = 1.0 / settings.instances
        self._own_share = GradualValue(self._even_share)
        self._own_share_until_ms = math.inf
        self.weights = ServerWeights()
        self.ramp = SharedRamp(settings) if settings.ramp_per_s > 0.0 else None

    # ------------------------------------------------ guidance in

    def take(
        self, event: Guidance, servers: Mapping[int, Listed], warm: Sequence[int], now_ms: float
    ) -> GuidanceRejected | None:
        """Take guidance, complete or not at all.

        Args:
            event: What a planner sent.
            servers: The balancer's servers; what is advised of others is ignored.
            warm: The ready servers that are not warming up.
            now_ms: The present time.

        Returns:
            Why none of it counts, where it is out of bounds.
        """
        if now_ms >= event.until_ms:
            return None  # it has expired: ignored
        reason = violation(
            event,
            warm,
            ramp_burst(self._settings),
            self.LEAST_PART * self._even_share,
            min(1.0, self.MAX_PART * self._even_share),
        )
        if reason is not None:
            return GuidanceRejected(event.planner, reason)
        if event.weights is None:
            self.weights.extend(event.planner, event.until_ms)
        else:
            weights = _normalized(event.weights, servers, len(warm))
            self.weights.advise(event.planner, weights, event.until_ms)
        self.weights.combine(now_ms, FOLLOW_MS)
        if event.leased:
            self._take_leased_shares(event, servers, now_ms)
        return None

    def _take_leased_shares(self, event: Guidance, servers: Mapping[int, Listed], now_ms: float) -> None:
        if self.ramp is not None:
            shares = [share for share in event.parts if share.server in servers]
            self.ramp.grant(shares, event.report_sent_ms, event.until_ms, event.leased_until_ms, now_ms)
        if event.own_part is not None:
            self._own_share_until_ms = event.until_ms
            self._own_share.change_to(event.own_part, now_ms, self.OWN_SHARE_CHANGE_MS)
        elif self._own_share_until_ms < math.inf:
            self._own_share_until_ms = event.until_ms  # the share granted before counts on

    def lease_own_shares(self, until_ms: float, now_ms: float) -> None:
        """Lease this instance's own shares of ramps to others until then."""
        if self.ramp is not None:
            self.ramp.lease_own_shares(until_ms, now_ms)

    # ------------------------------------------------ taking over from another balancer

    def fits(self, other: GuidanceState) -> bool:
        """Whether the settings that guidance depends on are the same."""
        return _relevant_settings(self._settings) == _relevant_settings(other._settings)

    def inherit(self, previous: GuidanceState) -> None:
        """Take over the guidance that counts for another balancer, whose settings differ."""
        self.weights.inherit(previous.weights)
        if self.ramp is not None and previous.ramp is not None:
            self.ramp.inherit(previous.ramp)

    # ------------------------------------------------ what counts now

    def weight(self, server: int, now_ms: float) -> float:
        """The present weight of a server, from 0 to 1."""
        return self.weights.weight(server, now_ms)

    def declines(self, server: int, now_ms: float) -> bool:
        """Whether a server that was drawn is passed over because of its weight."""
        if server not in self.weights.changes:
            return False
        weight = self.weights.weight(server, now_ms)
        return weight < 1.0 and self._rng.random() >= weight

    def own_part(self, now_ms: float) -> float:
        """This instance's share of the tier's capacity; an even one without guidance."""
        if now_ms >= self._own_share_until_ms:
            self._own_share.change_to(self._even_share, self._own_share_until_ms, self.OWN_SHARE_CHANGE_MS)
            self._own_share_until_ms = math.inf
        return self._own_share.value_at(now_ms)


def _normalized(
    weights: Sequence[ServerWeight], servers: Mapping[int, Listed], warm_count: int
) -> dict[int, float]:
    """The weights by server, scaled so that the highest weight of any server is 1.

    A planner that finds all servers slow thereby changes nothing. Servers that are not named have the weight
    1, so that nothing is scaled where fewer servers are named than are warm.
    """
    unnamed_weight = 1.0 if len(weights) < warm_count else 0.0
    highest = max([unnamed_weight, *(weight.weight for weight in weights)])
    scale = 1.0 / highest if highest else 1.0
    return {weight.server: min(1.0, weight.weight * scale) for weight in weights if weight.server in servers}


def _relevant_settings(settings: Settings) -> tuple[float, ...]:
    """The settings that guidance depends on."""
    return (
        settings.instances,
        settings.instance_index,
        settings.initial_capacity_share,
        settings.warm_up_ms,
        settings.ramp_per_s,
        settings.ramp_burst,
    )
