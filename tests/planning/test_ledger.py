"""What a planner grants never sums to more than it was lent."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.balancing.guidance.ramp_allocation import safe_part
from sandhatch.planning.ledger import Ledger, Lenders


def lenders(copies: int, burst: float, *places: int) -> Lenders:
    found = Lenders(copies, burst)
    for me in places:
        found.lend(me, 3_000.0)
    return found


@given(
    st.integers(1, 30),
    st.floats(1.0, 60.0),
    st.integers(0, 2**32),
    st.sets(st.integers(0, 29)),
)
def test_what_is_lent_is_the_sum_of_the_lenders_own_parts(
    copies: int, burst: float, label: int, places: set[int]
) -> None:
    places = {me for me in places if me < copies}
    own = [safe_part(copies, me, burst, label) for me in places]
    rate, calls = lenders(copies, burst, *places).parts(label, 1_000.0)
    assert math.isclose(rate, sum(allocation.rate for allocation in own), abs_tol=1e-9)
    assert math.isclose(calls, sum(allocation.burst for allocation in own), abs_tol=1e-9)


def test_a_place_counts_only_where_it_is_lent_for_as_long_as_the_grant_may_live() -> None:
    found = lenders(4, 4.0, 0, 1)
    found.lend(2, 5_000.0)
    assert found.number(3_000.0) == 3
    assert found.number(3_001.0) == 1
    found.lend(0, 4_000.0)
    found.end(2)
    assert found.number(3_500.0) == 1


def test_a_grant_leaves_what_others_may_hold() -> None:
    ledger = Ledger(0, {})
    assert ledger.grant("a", 1, (0.7, 2.0), (1.0, 3.0), 0.0, 2_000.0) == (0.7, 2.0)
    assert ledger.grant("b", 2, (0.7, 2.0), (1.0, 3.0), 0.0, 2_000.0) == (pytest.approx(0.3), 1.0)
    assert ledger.grant("c", 3, (0.7, 2.0), (1.0, 3.0), 0.0, 2_000.0) == (0.0, 0.0)


def test_a_smaller_share_is_free_only_when_the_forwarder_is_known_to_have_taken_it() -> None:
    taken: dict[str, int] = {}
    ledger = Ledger(0, taken)
    leased = (1.0, 10.0)
    ledger.grant("a", 1, (1.0, 5.0), leased, 0.0, 2_000.0)
    ledger.grant("a", 2, (0.2, 1.0), leased, 100.0, 2_100.0)
    assert ledger.held("a", 200.0) == (1.0, 5.0)
    assert ledger.grant("b", 3, (1.0, 5.0), leased, 200.0, 2_200.0) == (0.0, 0.0)
    taken["a"] = 2
    assert ledger.held("a", 200.0) == (0.2, 1.0)  # each looks at its own when it reports
    assert ledger.grant("b", 4, (1.0, 5.0), leased, 200.0, 2_200.0) == (0.8, 5.0)


def test_a_forwarder_that_is_silent_holds_its_share_until_its_lease_ends() -> None:
    ledger = Ledger(0, {})
    ledger.grant("a", 1, (1.0, 4.0), (1.0, 4.0), 0.0, 2_000.0)
    assert ledger.grant("b", 2, (0.5, 2.0), (1.0, 4.0), 1_999.0, 4_000.0) == (0.0, 0.0)
    assert ledger.grant("b", 3, (0.5, 2.0), (1.0, 4.0), 2_000.0, 4_000.0) == (0.5, 2.0)


def test_nothing_is_granted_while_a_claim_of_an_earlier_life_counts() -> None:
    ledger = Ledger(0, {})
    ledger.claim("a", 0.9, 4.0, 0.0, 3_000.0)
    assert ledger.grant("b", 1, (0.5, 2.0), (1.0, 5.0), 0.0, 2_000.0) == (pytest.approx(0.1), 1.0)
    assert ledger.grant("b", 2, (0.5, 2.0), (1.0, 5.0), 3_000.0, 5_000.0) == (0.5, 2.0)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["grant", "take", "lend", "end"]),
            st.integers(0, 4),
            st.floats(0.0, 1.0),
            st.floats(0.0, 400.0),
        ),
        max_size=80,
    )
)
def test_at_every_moment_what_may_be_held_is_at_most_what_is_lent(
    steps: list[tuple[str, int, float, float]],
) -> None:
    """The forwarders hold whichever of their grants is the largest, and a lender's end is kept to."""
    lease, lend = 500.0, 700.0
    taken: dict[str, int] = {}
    ledger, found = Ledger(3, taken), Lenders(5, 5.0)
    ends: dict[int, float] = {}  # until when a place is lent, as its owner counts at the least
    held: list[tuple[str, int, float, float, float]] = []
    now, version = 0.0, 0
    for kind, me, amount, pause in steps:
        now += pause
        if kind == "lend":
            found.lend(me, now + lend)
            ends[me] = now + lend
        elif kind == "end":
            found.end(me)  # the owner still waits until its end
        elif kind == "take":
            versions = [row[1] for row in held if row[0] == str(me)]
            taken[str(me)] = max(versions, default=0)
            held = [row for row in held if row[0] != str(me) or row[1] == taken[str(me)]]
        else:
            version += 1
            until = now + lease
            given = ledger.grant(str(me), version, (amount, 5.0 * amount), found.parts(3, until), now, until)
            if given[1]:
                held.append((str(me), version, *given, until))
        alive = [row for row in held if row[4] > now]
        rate = sum(max(row[2] for row in alive if row[0] == name) for name in {row[0] for row in alive})
        calls = sum(max(row[3] for row in alive if row[0] == name) for name in {row[0] for row in alive})
        leased = sum(end > now for end in ends.values())
        assert rate <= leased / 5.0 + 1e-9
        assert calls <= leased + 1e-9
