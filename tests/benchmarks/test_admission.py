"""The comparison of admission control with fixed limits."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from benchmarks import admission
from benchmarks.admission import FixedLimit, Scenario, best_fixed_limit, fixed_limit, goodput
from sandhatch.balancing.policy import admission_control

OVERLOAD = Scenario(cores=1, instances=1, load=1.2, heavy_tail=False)


@pytest.fixture(autouse=True)
def short_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admission, "END_MS", 6_000.0)


def test_fixed_limit_applies_only_within_its_block() -> None:
    before = admission_control.MAX_ATTEMPTS_PER_SERVER
    with fixed_limit(before + 1.0):
        within = admission_control.MAX_ATTEMPTS_PER_SERVER
    assert (within, admission_control.MAX_ATTEMPTS_PER_SERVER) == (before + 1.0, before)


def test_same_seeds_give_the_same_goodput() -> None:
    assert goodput(OVERLOAD, [1, 2]) == goodput(OVERLOAD, [1, 2])


def test_lower_limit_gives_higher_goodput_under_overload() -> None:
    with fixed_limit(2.0):
        low = goodput(OVERLOAD, [1])
    with fixed_limit(28.0):
        high = goodput(OVERLOAD, [1])
    assert low > high + 0.2


def test_best_fixed_limit_is_the_one_with_the_highest_goodput() -> None:
    with patch.object(admission, "FIXED_LIMITS", (2.0, 28.0)):
        best = best_fixed_limit(OVERLOAD, [1])
    with fixed_limit(2.0):
        assert best == FixedLimit(goodput(OVERLOAD, [1]), 2.0)
