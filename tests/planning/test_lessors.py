"""Lessors, which are instances that have leased their shares to the planner.

The sum of their shares counts only leases that last until a given time.
"""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from sandhatch.balancing.guidance.ramp_allocation import default_allocation
from sandhatch.planning.lessors import Lessors


def lessors_of(instances: int, burst: float, *instance_indices: int) -> Lessors:
    lessors = Lessors(instances, burst)
    for index in instance_indices:
        lessors.lease(index, 3_000.0)
    return lessors


@given(
    st.integers(1, 30),
    st.floats(1.0, 60.0),
    st.integers(0, 2**32),
    st.sets(st.integers(0, 29)),
)
def test_the_leased_amount_is_the_sum_of_the_lessors_own_shares(
    instances: int, burst: float, label: int, indices: set[int]
) -> None:
    indices = {index for index in indices if index < instances}
    own_shares = [default_allocation(instances, index, burst, label) for index in indices]
    leased = lessors_of(instances, burst, *indices).leased(label, 1_000.0)
    assert math.isclose(leased.rate, sum(allocation.rate for allocation in own_shares), abs_tol=1e-9)
    assert math.isclose(leased.burst, sum(allocation.burst for allocation in own_shares), abs_tol=1e-9)


def test_an_instance_counts_only_if_its_lease_lasts_until_the_given_time() -> None:
    lessors = lessors_of(4, 4.0, 0, 1)
    lessors.lease(2, 5_000.0)
    assert lessors.count(3_000.0) == 3
    assert lessors.count(3_001.0) == 1
    lessors.lease(0, 4_000.0)
    lessors.end(2)
    assert lessors.count(3_500.0) == 1
