"""Helpers shared by the benchmarks: checkouts, order of rounds, ratios and memory samples."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.checkouts import ROOT, package_of
from benchmarks.long_bodies_memory import MemorySample, MemorySampler
from benchmarks.request_rate import PairedRatio, alternate_order, median_ratio


def test_package_of_this_checkout_is_sandhatch() -> None:
    assert package_of(ROOT) == "sandhatch"


def test_checkout_older_than_the_renaming_has_the_former_package_name(tmp_path: Path) -> None:
    (tmp_path / "larkweir").mkdir()
    assert package_of(tmp_path) == "larkweir"


def test_order_of_targets_is_reversed_every_other_round() -> None:
    assert [alternate_order(["relay", "balancer"], turn) for turn in range(3)] == [
        ["balancer", "relay"],
        ["relay", "balancer"],
        ["balancer", "relay"],
    ]


def test_median_ratio_is_the_median_of_per_round_ratios() -> None:
    assert median_ratio([1.0, 30.0, 2.0], [2.0, 10.0, 2.0]) == pytest.approx(1.0)


def test_paired_ratio_has_the_standard_error_of_the_mean_ratio() -> None:
    ratio = PairedRatio.of([1.0, 30.0, 2.0, 4.0], [1.0, 10.0, 2.0, 4.0])
    assert ratio.median == pytest.approx(1.0)
    # The ratios 1, 3, 1 and 1 have the standard deviation 1, and the mean of the four has half of that.
    assert ratio.standard_error == pytest.approx(0.5)
    assert str(ratio) == "1.000 +- 0.500"


def test_single_round_has_a_standard_error_of_zero() -> None:
    assert PairedRatio.of([3.0], [2.0]) == PairedRatio(1.5, 0.0)


def test_median_ratio_rejects_sequences_of_different_length() -> None:
    with pytest.raises(ValueError, match="argument 2 is shorter"):
        median_ratio([1.0, 2.0], [1.0])


def test_memory_summary_excludes_warm_up_and_tail() -> None:
    sampler = MemorySampler()
    for second in range(101):
        resident_mib = 500.0 if second < 20 or second > 90 else 40.0 + second
        sampler.samples.append(MemorySample(float(second), resident_mib, 2.0))
    assert sampler.summary(0.0, 100.0) == (
        "resident 60.0 to 130.0 MiB, slope +60.00 a minute;"
        " reserved by bodies 2.0 to 2.0 MiB, slope +0.00 a minute;"
        " maximum of each third 82.0, 106.0, 130.0 (71 samples)"
    )
