"""Division of a ramp (rate of sends to a warming server) among instances without guidance."""

from __future__ import annotations

import math

import pytest

from sandhatch.balancing.guidance.ramp_allocation import default_allocation


@pytest.mark.parametrize("instances", [1, 2, 7, 20])
@pytest.mark.parametrize("burst", [0.0, 1.0, 2.5, 19.0, 40.0])
def test_default_allocations_of_all_instances_sum_to_the_complete_ramp(instances: int, burst: float) -> None:
    for label in (0, 3, 12_345_678):
        allocations = [
            default_allocation(instances, index, burst or instances, label) for index in range(instances)
        ]
        assert math.isclose(sum(allocation.rate for allocation in allocations), 1.0)
        assert math.isclose(sum(allocation.burst for allocation in allocations), burst or instances)
        assert all(allocation.burst == 0.0 or allocation.burst >= 1.0 for allocation in allocations)
