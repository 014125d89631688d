"""The grants on a server's ramp never sum to more than what was leased."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.planning.grant_ledger import GrantLedger
from sandhatch.planning.lessors import NOTHING, Lessors, RampAmount


def test_a_grant_leaves_what_others_may_hold() -> None:
    ledger = GrantLedger(0, {})
    wanted = RampAmount(0.7, 2.0)
    leased = RampAmount(1.0, 3.0)
    assert ledger.grant("a", 1, wanted, leased, 0.0, 2_000.0) == wanted
    second = ledger.grant("b", 2, wanted, leased, 0.0, 2_000.0)
    assert (second.rate, second.burst) == (pytest.approx(0.3), 1.0)
    assert ledger.grant("c", 3, wanted, leased, 0.0, 2_000.0) == NOTHING


def test_a_reduced_share_is_free_only_once_the_forwarder_has_applied_the_reduction() -> None:
    applied: dict[str, int] = {}
    ledger = GrantLedger(0, applied)
    leased = RampAmount(1.0, 10.0)
    ledger.grant("a", 1, RampAmount(1.0, 5.0), leased, 0.0, 2_000.0)
    ledger.grant("a", 2, RampAmount(0.2, 1.0), leased, 100.0, 2_100.0)
    assert ledger.granted("a", 200.0) == RampAmount(1.0, 5.0)
    assert ledger.grant("b", 3, RampAmount(1.0, 5.0), leased, 200.0, 2_200.0) == NOTHING
    applied["a"] = 2
    assert ledger.granted("a", 200.0) == RampAmount(0.2, 1.0)  # refreshed whenever the forwarder reports
    assert ledger.grant("b", 4, RampAmount(1.0, 5.0), leased, 200.0, 2_200.0) == RampAmount(0.8, 5.0)


def test_a_silent_forwarder_holds_its_share_until_its_grant_ends() -> None:
    ledger = GrantLedger(0, {})
    leased = RampAmount(1.0, 4.0)
    ledger.grant("a", 1, RampAmount(1.0, 4.0), leased, 0.0, 2_000.0)
    assert ledger.grant("b", 2, RampAmount(0.5, 2.0), leased, 1_999.0, 4_000.0) == NOTHING
    assert ledger.grant("b", 3, RampAmount(0.5, 2.0), leased, 2_000.0, 4_000.0) == RampAmount(0.5, 2.0)


def test_claims_from_a_previous_incarnation_are_not_granted_to_others() -> None:
    ledger = GrantLedger(0, {})
    wanted = RampAmount(0.5, 2.0)
    leased = RampAmount(1.0, 5.0)
    ledger.claim("a", RampAmount(0.9, 4.0), 0.0, 3_000.0)
    reduced = ledger.grant("b", 1, wanted, leased, 0.0, 2_000.0)
    assert (reduced.rate, reduced.burst) == (pytest.approx(0.1), 1.0)
    assert ledger.grant("b", 2, wanted, leased, 3_000.0, 5_000.0) == wanted


@dataclass(frozen=True)
class HeldGrant:
    """A grant as its forwarder holds it."""

    forwarder: str
    version: int
    amount: RampAmount
    until_ms: float


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["grant", "apply", "lease", "end"]),
            st.integers(0, 4),
            st.floats(0.0, 1.0),
            st.floats(0.0, 400.0),
        ),
        max_size=80,
    )
)
def test_at_every_moment_what_may_be_held_is_at_most_what_is_leased(
    steps: list[tuple[str, int, float, float]],
) -> None:
    """Forwarders hold their largest grant, and a lessor waits for the end of its lease."""
    grant_ms, lease_ms = 500.0, 700.0
    applied: dict[str, int] = {}
    ledger, lessors = GrantLedger(3, applied), Lessors(5, 5.0)
    lease_ends_ms: dict[int, float] = {}  # by instance index, as the lessor counts at the least
    held: list[HeldGrant] = []
    now, version = 0.0, 0
    for kind, index, amount, pause in steps:
        now += pause
        name = str(index)
        if kind == "lease":
            lessors.lease(index, now + lease_ms)
            lease_ends_ms[index] = now + lease_ms
        elif kind == "end":
            lessors.end(index)  # the lessor still waits until its end
        elif kind == "apply":
            versions = [grant.version for grant in held if grant.forwarder == name]
            applied[name] = max(versions, default=0)
            held = [grant for grant in held if grant.forwarder != name or grant.version == applied[name]]
        else:
            version += 1
            until = now + grant_ms
            wanted = RampAmount(amount, 5.0 * amount)
            granted = ledger.grant(name, version, wanted, lessors.leased(3, until), now, until)
            if granted.burst:
                held.append(HeldGrant(name, version, granted, until))
        valid = [grant for grant in held if grant.until_ms > now]
        holders = {grant.forwarder for grant in valid}
        rate = sum(max(g.amount.rate for g in valid if g.forwarder == holder) for holder in holders)
        burst = sum(max(g.amount.burst for g in valid if g.forwarder == holder) for holder in holders)
        leased = sum(end_ms > now for end_ms in lease_ends_ms.values())
        assert rate <= leased / 5.0 + 1e-9
        assert burst <= leased + 1e-9
