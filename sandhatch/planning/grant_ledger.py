"""Ledger of a planner's grants on one server's ramp, whose sum never exceeds the leased shares.

A forwarder leases its own shares to one planner at a time, and a planner grants only from shares leased to
it. Two planners therefore grant shares of different forwarders, and need neither a leader nor agreement. No
I/O, no clock.

Each side of a lease measures time from the event that is safe for it (Gray and Cheriton 1989). A grantee
measures from the sending of the report to which the advice responds; the planner measures from the sending of
the advice. A lessor takes its shares back one lease time after it received the advice that its last report
acknowledged; the planner measures from the sending of that advice. A grant is made only from shares that stay
leased for as long as the grant may be valid. At every moment the valid grants of all forwarders therefore sum
to at most the leased shares, regardless of network delays and of restarts of either side; the only assumption
is on the rates of the clocks.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from sandhatch.planning.lessors import ZERO_AMOUNT, RampAmount

# This version is lower than that of any advice, so that the first applied advice supersedes the grants.
PREVIOUS_INCARNATION_VERSION = 0


class Grant(NamedTuple):
    """One grant.

    Attributes:
        version: Version of the advice that carried the grant.
        amount: Granted share of the ramp.
        until_ms: Expiry time.
    """

    version: int
    amount: RampAmount
    until_ms: float


class GrantLedger:
    """Grants on one server's ramp.

    Attributes:
        label: Number of the server, identical at all forwarders and planners.
    """

    def __init__(self, label: int, applied_versions: Mapping[str, int]) -> None:
        """Start without grants.

        Args:
            label: Number of the server.
            applied_versions: Version of the last advice that each forwarder is known to have applied while
                its shares were leased, by forwarder; updated by the caller. Grants of earlier versions are
                superseded.
        """
        self.label = label
        self._applied_versions = applied_versions
        self._grants: dict[str, list[Grant]] = {}
        # Sums are maintained incrementally: with hundreds of forwarders and hundreds of servers warming up,
        # each advice would otherwise visit all grants. The sums still include grants that have expired since
        # the sums were last recomputed, which can only make new grants smaller.
        self._max_granted: dict[str, RampAmount] = {}
        self._total_rate = 0.0
        self._total_burst = 0.0
        self._next_pass_ms = math.inf  # earliest time at which a grant expires

    @property
    def holders(self) -> list[str]:
        """Names of the forwarders with grants."""
        return list(self._grants)

    def granted(self, forwarder: str, now_ms: float) -> RampAmount:
        """Maximum over a forwarder's grants that are valid and not superseded."""
        self._recompute_if_ended(now_ms)
        return self._refresh(forwarder, now_ms)

    def granted_to_others(self, forwarder: str, now_ms: float) -> RampAmount:
        """Sum of the maximum amounts that all other forwarders may use."""
        own = self.granted(forwarder, now_ms)
        rate = max(0.0, self._total_rate - own.rate)
        burst = max(0.0, self._total_burst - own.burst)
        return RampAmount(rate, burst)

    def grant(
        self,
        forwarder: str,
        version: int,
        requested: RampAmount,
        leased: RampAmount,
        now_ms: float,
        until_ms: float,
    ) -> RampAmount:
        """Grant as much of the ramp share `requested` as is leased until `until_ms` and not granted yet.

        Nothing is granted if the burst would be less than one attempt.
        """
        others = self.granted_to_others(forwarder, now_ms)
        rate = min(requested.rate, leased.rate - others.rate)
        burst = min(requested.burst, leased.burst - others.burst)
        if rate <= 0.0 or burst < 1.0:
            return ZERO_AMOUNT
        amount = RampAmount(rate, burst)
        self._add(forwarder, Grant(version, amount, until_ms))
        self._refresh(forwarder, now_ms)
        return amount

    def record_previous_grant(
        self, forwarder: str, amount: RampAmount, now_ms: float, until_ms: float
    ) -> None:
        """Record a grant that a forwarder reports to hold from this planner's previous incarnation."""
        self._add(forwarder, Grant(PREVIOUS_INCARNATION_VERSION, amount, until_ms))
        self._refresh(forwarder, now_ms)

    def _add(self, forwarder: str, grant: Grant) -> None:
        self._grants.setdefault(forwarder, []).append(grant)
        self._next_pass_ms = min(self._next_pass_ms, grant.until_ms)

    def _refresh(self, forwarder: str, now_ms: float) -> RampAmount:
        """Remove a forwarder's expired and superseded grants; returns the maximum that it may still use."""
        previous = self._max_granted.pop(forwarder, ZERO_AMOUNT)
        self._total_rate -= previous.rate
        self._total_burst -= previous.burst
        grants = self._grants.get(forwarder)
        if not grants:
            return ZERO_AMOUNT
        applied = self._applied_versions.get(forwarder, 0)
        grants[:] = [grant for grant in grants if grant.until_ms > now_ms and grant.version >= applied]
        if not grants:
            del self._grants[forwarder]
            return ZERO_AMOUNT
        max_amount = grants[0].amount
        if len(grants) > 1:
            max_rate = max([grant.amount.rate for grant in grants])
            max_burst = max([grant.amount.burst for grant in grants])
            max_amount = RampAmount(max_rate, max_burst)
        self._max_granted[forwarder] = max_amount
        self._total_rate += max_amount.rate
        self._total_burst += max_amount.burst
        return max_amount

    def _recompute_if_ended(self, now_ms: float) -> None:
        """Recompute the sums once the earliest grant has expired."""
        if now_ms < self._next_pass_ms:
            return
        self._max_granted = {}
        self._total_rate = 0.0
        self._total_burst = 0.0
        for forwarder in list(self._grants):
            self._refresh(forwarder, now_ms)
        ends = (grant.until_ms for grants in self._grants.values() for grant in grants)
        self._next_pass_ms = min(ends, default=math.inf)
