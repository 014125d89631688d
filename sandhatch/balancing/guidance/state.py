"""The guidance from planners that is in effect for one balancer.

`GuidanceState` applies guidance completely or not at all, and computes its effect on draws and on admission.
It draws no server, does no I/O and reads no clock. The package's docstring states what guidance may change.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from random import Random

from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Guidance, ServerWeight
from sandhatch.balancing.guidance.bounds import find_violation
from sandhatch.balancing.guidance.gradual_value import GradualValue
from sandhatch.balancing.guidance.ramp_allocation import ramp_burst
from sandhatch.balancing.guidance.server_weights import WEIGHT_CHANGE_MS, ServerWeights
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.guidance.warm_up import ListedServer
from sandhatch.balancing.settings import Settings


class GuidanceState:
    """The guidance that is in effect for one balancer.

    A drawn server of weight w is passed over with probability 1 - w. If every drawn server is passed over,
    the caller ignores the weights and chooses as it would without guidance.

    Attributes:
        weights: Weights of the servers.
        ramp: This instance's share of the warming servers' ramps; None if the settings define no ramp.
    """

    # Bounds of an instance's share of the tier's capacity, as multiples of an even share.
    MIN_OWN_SHARE_FACTOR = 0.5
    MAX_OWN_SHARE_FACTOR = 8.0
    OWN_SHARE_CHANGE_MS = 3_000.0  # duration of a change of the instance's share of the tier's capacity

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Start without guidance; the balancer's own `rng` decides which servers are passed over."""
        self._settings = settings
        self._rng = rng
        self._even_share = 1.0 / settings.instances
        self._own_share = GradualValue(self._even_share)
        self._own_share_until_ms = math.inf
        self.weights = ServerWeights()
        self.ramp = SharedRamp(settings) if settings.ramp_per_s > 0.0 else None

    # ------------------------------------------------ applying guidance

    def apply(
        self, event: Guidance, servers: Mapping[int, ListedServer], warm: Sequence[int], now_ms: float
    ) -> GuidanceRejected | None:
        """Apply guidance from a planner, completely or not at all.

        Args:
            event: Guidance that a planner sent; ignored if it has expired.
            servers: The balancer's servers; guidance on other servers is ignored.
            warm: Ids of the ready servers that are not warming up.
            now_ms: The present time.

        Returns:
            The rejection with its reason if the guidance is out of bounds, and None otherwise.
        """
        if now_ms >= event.until_ms:
            return None
        reason = find_violation(
            event,
            warm,
            ramp_burst(self._settings),
            self.MIN_OWN_SHARE_FACTOR * self._even_share,
            min(1.0, self.MAX_OWN_SHARE_FACTOR * self._even_share),
        )
        if reason is not None:
            return GuidanceRejected(event.planner, reason)
        if event.weights is None:
            self.weights.extend_lease(event.planner, event.until_ms)
        else:
            weights = _normalized(event.weights, servers, len(warm))
            self.weights.set_advised(event.planner, weights, event.until_ms)
        self.weights.update_targets(now_ms, WEIGHT_CHANGE_MS)
        if event.leased:
            self._apply_leased_shares(event, servers, now_ms)
        return None

    def _apply_leased_shares(
        self, event: Guidance, servers: Mapping[int, ListedServer], now_ms: float
    ) -> None:
        if self.ramp is not None:
            shares = [share for share in event.parts if share.server in servers]
            self.ramp.grant(shares, event.report_sent_ms, event.until_ms, event.leased_until_ms, now_ms)
        if event.own_part is not None:
            self._own_share_until_ms = event.until_ms
            self._own_share.change_to(event.own_part, now_ms, self.OWN_SHARE_CHANGE_MS)
        elif self._own_share_until_ms < math.inf:
            self._own_share_until_ms = event.until_ms  # also extends a share of the capacity granted earlier

    def lease_own_shares(self, until_ms: float, now_ms: float) -> None:
        """Lease this instance's own shares of ramps to others until `until_ms`."""
        if self.ramp is not None:
            self.ramp.lease_own_shares(until_ms, now_ms)

    # ------------------------------------------------ taking over from another balancer

    def has_same_settings(self, other: GuidanceState) -> bool:
        """Return whether both states have the same settings, as far as guidance depends on them."""
        return _guidance_settings(self._settings) == _guidance_settings(other._settings)

    def inherit(self, previous: GuidanceState) -> None:
        """Take over the guidance in effect for another balancer, whose settings differ."""
        self.weights.inherit(previous.weights)
        if self.ramp is not None and previous.ramp is not None:
            self.ramp.inherit(previous.ramp)

    # ------------------------------------------------ guidance in effect

    def weight(self, server: int, now_ms: float) -> float:
        """Return the present weight of a server, from 0 to 1."""
        return self.weights.weight(server, now_ms)

    def is_passed_over(self, server: int, now_ms: float) -> bool:
        """Return whether to pass over a drawn server because of its weight; random."""
        if server not in self.weights.by_server:
            return False
        weight = self.weights.weight(server, now_ms)
        return weight < 1.0 and self._rng.random() >= weight

    def own_share(self, now_ms: float) -> float:
        """Return this instance's share of the tier's capacity; an even share without guidance."""
        if now_ms >= self._own_share_until_ms:
            self._own_share.change_to(self._even_share, self._own_share_until_ms, self.OWN_SHARE_CHANGE_MS)
            self._own_share_until_ms = math.inf
        return self._own_share.value_at(now_ms)


def _normalized(
    weights: Sequence[ServerWeight], servers: Mapping[int, ListedServer], warm_count: int
) -> dict[int, float]:
    """Return the weights by server, scaled so that the highest weight of any server is 1.

    The scaling makes guidance that finds all servers slow a no-op. Servers without a weight have the weight
    1, so weights for fewer servers than are warm are not scaled.
    """
    unnamed_weight = 1.0 if len(weights) < warm_count else 0.0
    highest_weight = max([unnamed_weight, *(weight.weight for weight in weights)])
    scale = 1.0 / highest_weight if highest_weight else 1.0
    return {weight.server: min(1.0, weight.weight * scale) for weight in weights if weight.server in servers}


def _guidance_settings(settings: Settings) -> tuple[float, ...]:
    """Return the settings that guidance depends on."""
    return (
        settings.instances,
        settings.instance_index,
        settings.initial_capacity_share,
        settings.warm_up_ms,
        settings.ramp_per_s,
        settings.ramp_burst,
    )
