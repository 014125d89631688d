"""Grants on a server's ramp never sum to more than the leased shares."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.planning.grant_ledger import GrantLedger
from sandhatch.planning.lessors import ZERO_AMOUNT, Lessors, RampAmount


def test_a_grant_is_limited_to_the_amount_not_granted_to_others() -> None:
    ledger = GrantLedger(0, {})
    requested = RampAmount(0.7, 2.0)
    leased = RampAmount(1.0, 3.0)
    assert ledger.grant("a", 1, requested, leased, 0.0, 2_000.0) == requested
    second = ledger.grant("b", 2, requested, leased, 0.0, 2_000.0)
    assert (second.rate, second.burst) == (pytest.approx(0.3), 1.0)
    assert ledger.grant("c", 3, requested, leased, 0.0, 2_000.0) == ZERO_AMOUNT


def test_a_reduction_frees_capacity_only_after_the_forwarder_has_applied_it() -> None:
    applied: dict[str, int] = {}
    ledger = GrantLedger(0, applied)
    leased = RampAmount(1.0, 10.0)
    ledger.grant("a", 1, RampAmount(1.0, 5.0), leased, 0.0, 2_000.0)
    ledger.grant("a", 2, RampAmount(0.2, 1.0), leased, 100.0, 2_100.0)
    assert ledger.granted("a", 200.0) == RampAmount(1.0, 5.0)
    assert ledger.grant("b", 3, RampAmount(1.0, 5.0), leased, 200.0, 2_200.0) == ZERO_AMOUNT
    applied["a"] = 2
    assert ledger.granted("a", 200.0) == RampAmount(0.2, 1.0)  # the call removes superseded grants
    assert ledger.grant("b", 4, RampAmount(1.0, 5.0), leased, 200.0, 2_200.0) == RampAmount(0.8, 5.0)


def test_a_forwarder_that_stops_reporting_holds_its_share_until_the_grant_expires() -> None:
    ledger = GrantLedger(0, {})
    leased = RampAmount(1.0, 4.0)
    ledger.grant("a", 1, RampAmount(1.0, 4.0), leased, 0.0, 2_000.0)
    assert ledger.grant("b", 2, RampAmount(0.5, 2.0), leased, 1_999.0, 4_000.0) == ZERO_AMOUNT
    assert ledger.grant("b", 3, RampAmount(0.5, 2.0), leased, 2_000.0, 4_000.0) == RampAmount(0.5, 2.0)


def test_grants_of_a_previous_incarnation_are_not_granted_to_others() -> None:
    ledger = GrantLedger(0, {})
    requested = RampAmount(0.5, 2.0)
    leased = RampAmount(1.0, 5.0)
    ledger.record_previous_grant("a", RampAmount(0.9, 4.0), 0.0, 3_000.0)
    reduced = ledger.grant("b", 1, requested, leased, 0.0, 2_000.0)
    assert (reduced.rate, reduced.burst) == (pytest.approx(0.1), 1.0)
    assert ledger.grant("b", 2, requested, leased, 3_000.0, 5_000.0) == requested


@dataclass(frozen=True)
class ReceivedGrant:
    """A grant that a forwarder has received."""

    forwarder: str
    version: int
    amount: RampAmount
    until_ms: float


class LeaseModel:
    """Model of forwarders that use their largest grant and lessors that wait until their leases expire."""

    INSTANCES = 5
    BURST = 5.0
    LABEL = 3
    GRANT_MS = 500.0
    SHARE_LEASE_MS = 700.0

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._applied: dict[str, int] = {}
        self._ledger = GrantLedger(self.LABEL, self._applied)
        self._lessors = Lessors(self.INSTANCES, self.BURST)
        self._lease_ends_ms: dict[int, float] = {}  # earliest end of each lease, by its lessor's index
        self._received: list[ReceivedGrant] = []
        self._version = 0

    def lease(self, index: int) -> None:
        until_ms = self.now_ms + self.SHARE_LEASE_MS
        self._lessors.lease(index, until_ms)
        self._lease_ends_ms[index] = until_ms

    def end(self, index: int) -> None:
        """End a lease at the planner; the lessor still waits until the lease expires."""
        self._lessors.end(index)

    def apply(self, index: int) -> None:
        """Let a forwarder apply the last received advice, which supersedes the forwarder's earlier grants."""
        name = str(index)
        own = [grant for grant in self._received if grant.forwarder == name]
        applied = max((grant.version for grant in own), default=0)
        self._applied[name] = applied
        self._received = [
            grant for grant in self._received if grant.forwarder != name or grant.version == applied
        ]

    def grant(self, index: int, amount: float) -> None:
        self._version += 1
        until_ms = self.now_ms + self.GRANT_MS
        requested = RampAmount(amount, self.BURST * amount)
        leased = self._lessors.leased(self.LABEL, until_ms)
        granted = self._ledger.grant(str(index), self._version, requested, leased, self.now_ms, until_ms)
        if granted.burst:
            self._received.append(ReceivedGrant(str(index), self._version, granted, until_ms))

    def usable(self) -> RampAmount:
        """Sum, over the forwarders, of the largest valid grant of each."""
        valid: dict[str, list[RampAmount]] = {}
        for grant in self._received:
            if grant.until_ms > self.now_ms:
                valid.setdefault(grant.forwarder, []).append(grant.amount)
        rate = sum(max(amount.rate for amount in amounts) for amounts in valid.values())
        burst = sum(max(amount.burst for amount in amounts) for amounts in valid.values())
        return RampAmount(rate, burst)

    def leased(self) -> RampAmount:
        """Sum of the ramp shares that are leased now, and so not used by their lessors."""
        lessors = sum(end_ms > self.now_ms for end_ms in self._lease_ends_ms.values())
        return RampAmount(lessors / self.INSTANCES, lessors * self.BURST / self.INSTANCES)


@settings(max_examples=400, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["grant", "apply", "lease", "end"]),
            st.integers(0, LeaseModel.INSTANCES - 1),
            st.floats(0.0, 1.0),
            st.sampled_from([0.0, 1.0, 20.0]) | st.floats(0.0, 400.0),
        ),
        max_size=80,
    )
)
def test_usable_grants_never_sum_to_more_than_the_leased_shares(
    steps: list[tuple[str, int, float, float]],
) -> None:
    model = LeaseModel()
    for kind, index, amount, pause_ms in steps:
        model.now_ms += pause_ms
        match kind:
            case "lease":
                model.lease(index)
            case "end":
                model.end(index)
            case "apply":
                model.apply(index)
            case "grant":
                model.grant(index, amount)
        usable = model.usable()
        leased = model.leased()
        assert usable.rate <= leased.rate + 1e-9
        assert usable.burst <= leased.burst + 1e-9
