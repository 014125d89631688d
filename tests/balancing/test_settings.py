"""Balancer settings that are inconsistent with each other."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sandhatch.balancing.errors import SettingsError
from tests.balancing.guidance.harness import SETTINGS


def test_instance_index_out_of_range_and_burst_below_one_request_are_rejected() -> None:
    with pytest.raises(SettingsError, match="instance_index: 4 is not below the number of instances, 4"):
        replace(SETTINGS, instance_index=4)
    with pytest.raises(SettingsError, match=r"ramp_burst: 0\.5"):
        replace(SETTINGS, ramp_burst=0.5)
