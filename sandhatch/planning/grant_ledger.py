"""What a planner granted of one server's ramp: never more than the shares that were leased to it.

A forwarder leases its own shares to one planner at a time, and a planner grants only out of shares leased to
it. Two planners thus grant shares of different forwarders, and need neither a leader nor agreement. No I/O,
no clock.

Each side of a lease measures from the event that is safe for it (Gray and Cheriton 1989). A grantee counts
from when it sent the report that the advice answers, the planner from when it sent the advice. A lessor takes
its shares back one lease time after it received the advice that its last report acknowledged; the planner
counts from when it sent that advice. A grant is made only of shares that stay leased for as long as the grant
may be valid. At every moment the valid grants of all forwarders therefore sum to at most what is leased,
whatever the network delays and however often either side restarts; only the clocks' rates are trusted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from sandhatch.planning.lessors import NOTHING, RampAmount

PREVIOUS_INCARNATION_VERSION = 0  # below that of any advice, so that the first applied advice supersedes it


class Grant(NamedTuple):
    """One grant: the version of the advice that carried it, its amount and its end."""

    version: int
    amount: RampAmount
    until_ms: float


class GrantLedger:
    """Grants on one server's ramp.

    Attributes:
        label: Number of the server, the same at all forwarders and planners.
    """

    def __init__(self, label: int, applied_versions: Mapping[str, int]) -> None:
        """Start without grants.

        Args:
            label: Number of the server.
            applied_versions: By forwarder, the version of the last advice it is known to have applied while
                its shares were leased; kept up to date by the caller. Earlier grants are superseded.
        """
        self.label = label
        self._applied_versions = applied_versions
        self._grants: dict[str, list[Grant]] = {}
        # Sums are maintained incrementally: with hundreds of forwarders and of servers warming up, each
        # advice would otherwise visit all grants. Grants that ended since the last full pass are still
        # included, which errs on the safe side.
        self._max_granted: dict[str, RampAmount] = {}
        self._total_rate = 0.0
        self._total_burst = 0.0
        self._next_pass_ms = math.inf  # when the first of the grants ends

    @property
    def holders(self) -> list[str]:
        """Forwarders with grants."""
        return list(self._grants)

    def granted(self, forwarder: str, now_ms: float) -> RampAmount:
        """The most that a forwarder may use, over its grants that are valid and not superseded."""
        self._drop_ended(now_ms)
        return self._refresh(forwarder, now_ms)

    def granted_to_others(self, forwarder: str, now_ms: float) -> RampAmount:
        """The most that all other forwarders may use together."""
        own = self.granted(forwarder, now_ms)
        rate = max(0.0, self._total_rate - own.rate)
        burst = max(0.0, self._total_burst - own.burst)
        return RampAmount(rate, burst)

    def grant(
        self,
        forwarder: str,
        version: int,
        wanted: RampAmount,
        leased: RampAmount,
        now_ms: float,
        until_ms: float,
    ) -> RampAmount:
        """Grant as much of `wanted` as is leased until `until_ms` and not granted to other forwarders.

        A burst of less than one attempt grants nothing.
        """
        others = self.granted_to_others(forwarder, now_ms)
        rate = min(wanted.rate, leased.rate - others.rate)
        burst = min(wanted.burst, leased.burst - others.burst)
        if rate <= 0.0 or burst < 1.0:
            return NOTHING
        amount = RampAmount(rate, burst)
        self._add(forwarder, Grant(version, amount, until_ms))
        self._refresh(forwarder, now_ms)
        return amount

    def claim(self, forwarder: str, amount: RampAmount, now_ms: float, until_ms: float) -> None:
        """Record what a forwarder reports to have from this planner's previous incarnation."""
        self._add(forwarder, Grant(PREVIOUS_INCARNATION_VERSION, amount, until_ms))
        self._refresh(forwarder, now_ms)

    def _add(self, forwarder: str, grant: Grant) -> None:
        self._grants.setdefault(forwarder, []).append(grant)
        self._next_pass_ms = min(self._next_pass_ms, grant.until_ms)

    def _refresh(self, forwarder: str, now_ms: float) -> RampAmount:
        """Drop a forwarder's ended and superseded grants; returns the most that it may still use."""
        before = self._max_granted.pop(forwarder, NOTHING)
        self._total_rate -= before.rate
        self._total_burst -= before.burst
        grants = self._grants.get(forwarder)
        if not grants:
            return NOTHING
        applied = self._applied_versions.get(forwarder, 0)
        grants[:] = [grant for grant in grants if grant.until_ms > now_ms and grant.version >= applied]
        if not grants:
            del self._grants[forwarder]
            return NOTHING
        most = grants[0].amount
        if len(grants) > 1:
            most_rate = max([grant.amount.rate for grant in grants])
            most_burst = max([grant.amount.burst for grant in grants])
            most = RampAmount(most_rate, most_burst)
        self._max_granted[forwarder] = most
        self._total_rate += most.rate
        self._total_burst += most.burst
        return most

    def _drop_ended(self, now_ms: float) -> None:
        """Form the sums again once the first of the grants has ended."""
        if now_ms < self._next_pass_ms:
            return
        self._max_granted = {}
        self._total_rate = 0.0
        self._total_burst = 0.0
        for forwarder in list(self._grants):
            self._refresh(forwarder, now_ms)
        ends = (grant.until_ms for grants in self._grants.values() for grant in grants)
        self._next_pass_ms = min(ends, default=math.inf)
