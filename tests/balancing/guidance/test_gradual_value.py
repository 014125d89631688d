"""Linear interpolation of a value to a new target."""

from __future__ import annotations

from sandhatch.balancing.guidance.gradual_value import GradualValue


def test_value_changes_linearly_and_a_repeated_target_has_no_effect() -> None:
    value = GradualValue(1.0)
    value.change_to(0.0, 100.0, 100.0)
    assert value.value_at(150.0) == 0.5
    value.change_to(0.0, 150.0, 100.0)
    assert value.value_at(200.0) == 0.0
    value.change_to(1.0, 150.0, 100.0)
    assert value.value_at(200.0) == 0.75


def test_value_falls_at_once_and_rises_linearly() -> None:
    value = GradualValue(1.0)
    value.fall_or_rise_to(0.25, 100.0, 100.0)
    assert value.value_at(100.0) == 0.25
    value.fall_or_rise_to(1.0, 100.0, 100.0)
    assert value.value_at(150.0) == 0.625
