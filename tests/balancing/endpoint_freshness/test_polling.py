"""Times at which a balancer polls discovery, as decided by its `Freshness`."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import ListKind, ListUpdate, Outcome
from tests.balancing.driver import Driver
from tests.balancing.policy.harness import PLAIN, make_driver


def count_polls(driver: Driver) -> int:
    """Return the number of polls so far."""
    return sum(isinstance(action, WatchList) for action in driver.actions)


def test_instance_subscribes_in_time_and_spaces_its_polls_after_failures() -> None:
    settings = replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0, drain_grace_ms=2000.0)
    driver = make_driver(settings)
    driver.advance(2000.0)
    assert [action for action in driver.actions if isinstance(action, WatchList)] == [WatchList(True)]
    gaps = [measure_gap_after_failure(driver) for _ in range(12)]
    # An instance is taken to know of a change 6 s after discovery has the change, whatever failed and whether
    # or not the list has reached the instance. A poll that is sent at most half the grace period after these
    # 6 s gets its response within the grace period, so the gap from a failed poll to the next poll is at most
    # 6 s and half the grace period. From the second failure on, no gap is short enough for a retry storm.
    assert min(gaps[1:]) >= 2_000.0
    assert max(gaps) <= 7_000.0 + 100.0
    assert sum(gaps[6:]) / 6 > 4_000.0


def measure_gap_after_failure(driver: Driver, step_ms: float = 50.0) -> float:
    """Return the time in ms from a poll's failure to the next poll."""
    begin = driver.now
    driver.feed(ListUpdate(ListKind.FAILED))
    before = count_polls(driver)
    while count_polls(driver) == before:
        driver.advance(step_ms)
    return driver.now - begin


def test_broken_watch_is_reopened_at_once_and_retried_within_the_bound() -> None:
    # An instance is taken to know of a change 6 s after discovery has it, even if its broken watch missed the
    # change. Without other polling instances, the first poll after the break is sent at once, and a second
    # and a third poll within these 6 s.
    settings = replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0)
    for seed in range(20):
        driver = make_driver(settings, seed=seed)
        driver.advance(2000.0)
        driver.feed(ListUpdate(ListKind.DELTA, 2))  # the watch works before the failures that follow
        gaps = [measure_gap_after_failure(driver) for _ in range(18)]
        assert gaps[0] <= 550.0
        assert gaps[0] + gaps[1] <= 4_600.0
        assert max(gaps) <= 6_000.0 + 50.0
        assert gaps[-1] >= 2_950.0


def test_first_polls_of_starting_instances_are_spread() -> None:
    settings = replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0, instances=40)
    first_poll_ms = []
    for seed in range(40):
        driver = make_driver(settings, seed=seed)
        first_poll_ms.append(driver.timers[0][0] - driver.now)
    # Each first poll is sent within the 6 s bound on the list's age, with time left for discovery's response.
    assert max(first_poll_ms) <= 0.9 * 6_000.0
    # Guards against forty polls in little more than a second: discovery then rejects half of them, or serves
    # none.
    assert max(first_poll_ms) - min(first_poll_ms) > 3_000.0


def test_starting_instance_polls_early_when_its_cached_list_is_out_of_date() -> None:
    # Guards against a late first poll after a restart, when servers of the cached list are gone and new
    # servers are missing from the list. The poll is not sent at once: forty instances that start together
    # would poll together.
    for seed in range(20):
        driver = make_driver(
            replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0, instances=40), seed=seed
        )
        for request in range(1, 5):
            driver.request()
            driver.end_attempt(request, 0, Outcome.CONNECT_FAILED)
        driver.advance(250.0)
        assert count_polls(driver) == 1
        driver.advance(4000.0)
        assert count_polls(driver) == 1


def test_instance_that_starts_alone_polls_without_a_spread() -> None:
    # Guards against a late first poll after a restart: polls are spread only over instances that start
    # together, and here there is one.
    for seed in range(20):
        driver = make_driver(replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0), seed=seed)
        driver.advance(500.0)
        assert WatchList(True) in driver.actions
