"""Zone-aware routing: draws stay in the own zone unless its extra cost exceeds the cross-zone price."""

from dataclasses import dataclass
from random import Random

from sandhatch.balancing.events import NEVER_RAN, AttemptEnded, Outcome
from sandhatch.balancing.records import Attempt, Request
from sandhatch.balancing.settings import Settings

EWMA_WEIGHT = 1.0 / 16.0  # weight of a new sample in the mean costs
NEVER_RAN_COST = 0.5  # cost of a failed attempt that never ran, in objectives; 1 if it may have run
WORSE_FACTOR = 1.5  # ratio of own-zone to other-zone attempt cost, above which draws leave the own zone
# Minimum fraction of rounds of draws that cover all zones, to learn the cost of attempts in other zones.
MIN_CROSS_ZONE_FRACTION = 0.02
OVERFLOW_STEP = 0.1  # per ended attempt, step of the fraction of cross-zone draws towards 0 or 1
MAX_OWN_ZONE_PROBES = 2  # maximum probes in the own zone before a round of draws covers all zones


@dataclass
class ZoneRouting:
    """Mean cost of attempts in the own zone and in other zones, and the resulting overflow fraction.

    Running out of tokens does not show that a zone has more traffic than its own servers can take, because a
    low-rate instance always finds a server with a token there. The cost of attempts shows it.

    Attributes:
        settings: Settings of the instance.
        rng: Source of randomness.
        own_cost: Mean cost of attempts in the own zone, in objectives.
        other_cost: Mean cost of attempts in other zones, in objectives.
        overflow_fraction: Fraction of the rounds of draws that cover all zones.
    """

    settings: Settings
    rng: Random
    own_cost: float = 0.0
    other_cost: float = 0.0
    overflow_fraction: float = 0.0

    def draws_cross_zone(self) -> bool:
        """Return at random whether a round of draws covers all zones."""
        return self.rng.random() < max(MIN_CROSS_ZONE_FRACTION, self.overflow_fraction)

    def prefers_own_zone(self, request: Request) -> bool:
        """Return whether servers of the own zone are drawn first."""
        costly = self.settings.price_cross_zone > 0.0
        return costly and request.probes < MAX_OWN_ZONE_PROBES and not request.cross_zone

    def record_outcome(self, event: AttemptEnded, request: Request, attempt: Attempt) -> None:
        """Update the mean costs with the outcome of an attempt that is evidence about its server."""
        if self.settings.price_cross_zone <= 0.0:
            return
        if event.outcome is Outcome.OK:
            cost = min(1.0, event.spent_ms / request.request_class.objective_ms)
        else:
            cost = NEVER_RAN_COST if event.outcome in NEVER_RAN else 1.0
        if attempt.zone == self.settings.own_zone:
            self.own_cost += EWMA_WEIGHT * (cost - self.own_cost)
        else:
            self.other_cost += EWMA_WEIGHT * (cost - self.other_cost)
        # Few attempts go to other zones, so their mean cost is noisy: without a margin between the mean
        # costs, chance would send half of the traffic across zones.
        if self.own_cost > WORSE_FACTOR * self.other_cost + self.settings.price_cross_zone:
            self.overflow_fraction += OVERFLOW_STEP * (1.0 - self.overflow_fraction)
        else:
            self.overflow_fraction -= OVERFLOW_STEP * self.overflow_fraction
