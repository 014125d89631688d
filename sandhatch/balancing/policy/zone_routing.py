"""Zone-aware routing: draws stay in the own zone as far as it does no worse than crossing costs."""

from dataclasses import dataclass
from random import Random

from sandhatch.balancing.events import NEVER_RAN, AttemptEnded, Outcome
from sandhatch.balancing.records import Attempt, Request
from sandhatch.balancing.settings import Settings

MEMORY = 1.0 / 16.0
NEVER_RAN_COST = 0.5  # in objectives; of an attempt that may have run and failed: 1
WORSE_FACTOR = 1.5  # times the cost elsewhere, from which the own zone does worse
MIN_CROSS_ZONE_FRACTION = 0.02  # although the own zone does well, to learn of the others
OVERFLOW_STEP = 0.1  # towards all or none of the rounds of draws, with each attempt that ends
MAX_HOME_PROBES = 2  # of servers in the own zone, before a round of draws goes over all


@dataclass
class ZoneRouting:
    """The mean cost of attempts in the own zone and in others, in objectives, and the overflow it justifies.

    Guards against a zone with more traffic than its own servers can take: an instance of low rate always
    finds a token there, so running out of tokens does not show it.
    """

    settings: Settings
    rng: Random
    own_cost: float = 0.0
    other_cost: float = 0.0
    overflow: float = 0.0  # part of the rounds of draws that go over all zones

    def draws_cross_zone(self) -> bool:
        """Draw whether a round of draws goes over all zones."""
        return self.rng.random() < max(MIN_CROSS_ZONE_FRACTION, self.overflow)

    def stays_home(self, request: Request) -> bool:
        """Return whether servers of the own zone are drawn before others."""
        costly = self.settings.price_cross_zone > 0.0
        return costly and request.probes < MAX_HOME_PROBES and not request.cross_zone

    def record_outcome(self, event: AttemptEnded, request: Request, attempt: Attempt) -> None:
        """Learn from the end of an attempt that says something of its server."""
        if self.settings.price_cross_zone <= 0.0:
            return
        if event.outcome is Outcome.OK:
            cost = min(1.0, event.spent_ms / request.request_class.objective_ms)
        else:
            cost = NEVER_RAN_COST if event.outcome in NEVER_RAN else 1.0
        if attempt.zone == self.settings.own_zone:
            self.own_cost += MEMORY * (cost - self.own_cost)
        else:
            self.other_cost += MEMORY * (cost - self.other_cost)
        # Few attempts show either: the own zone must do clearly worse, else chance would send half across.
        if self.own_cost > WORSE_FACTOR * self.other_cost + self.settings.price_cross_zone:
            self.overflow += OVERFLOW_STEP * (1.0 - self.overflow)
        else:
            self.overflow -= OVERFLOW_STEP * self.overflow
