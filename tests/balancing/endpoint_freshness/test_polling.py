"""When a balancer polls discovery, through its `Freshness`."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import ListKind, ListUpdate, Outcome
from tests.balancing.driver import Driver
from tests.balancing.policy.harness import PLAIN, make_driver


def polls(driver: Driver) -> int:
    """Number of polls so far."""
    return sum(isinstance(action, WatchList) for action in driver.actions)


def test_an_instance_subscribes_in_time_and_keeps_polls_apart_after_failures() -> None:
    settings = replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0, drain_grace_ms=2000.0)
    driver = make_driver(settings)
    driver.advance(2000.0)
    assert [action for action in driver.actions if isinstance(action, WatchList)] == [WatchList(True)]
    gaps = [gap_after_a_failure(driver) for _ in range(12)]
    # A change counts as notified 6 s after discovery has it, whatever failed, and a poll half the grace
    # later is answered within the grace: no pause is longer. None is short enough to be a storm.
    assert min(gaps[1:]) >= 2_000.0
    assert max(gaps) <= 7_000.0 + 100.0
    assert sum(gaps[6:]) / 6 > 4_000.0


def gap_after_a_failure(driver: Driver, step_ms: float = 50.0) -> float:
    """Return the time from a failed poll to the next one."""
    begin = driver.now
    driver.feed(ListUpdate(ListKind.FAILED))
    before = polls(driver)
    while polls(driver) == before:
        driver.advance(step_ms)
    return driver.now - begin


def test_a_broken_watch_is_reopened_at_once_and_each_retry_comes_within_the_bound() -> None:
    # What a broken watch misses counts as notified 6 s after discovery has it: the first poll comes at once
    # where no other instances poll too, and a second one, and a third, in what is left of that.
    settings = replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0)
    for seed in range(20):
        driver = make_driver(settings, seed=seed)
        driver.advance(2000.0)
        driver.feed(ListUpdate(ListKind.DELTA, 2))  # the watch lives, and breaks
        gaps = [gap_after_a_failure(driver) for _ in range(18)]
        assert gaps[0] <= 550.0
        assert gaps[0] + gaps[1] <= 4_600.0
        assert max(gaps) <= 6_000.0 + 50.0
        assert gaps[-1] >= 2_950.0


def test_fresh_instances_do_not_all_poll_discovery_at_once() -> None:
    settings = replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0, instances=40)
    first_poll_ms = []
    for seed in range(40):
        driver = make_driver(settings, seed=seed)
        first_poll_ms.append(driver.timers[0][0] - driver.now)
    assert max(first_poll_ms) <= 0.9 * 6_000.0  # in the bound on the list's age, and a turn is left
    # Of forty in a second and more, half were rejected, or none was served.
    assert max(first_poll_ms) - min(first_poll_ms) > 3_000.0


def test_a_fresh_instance_polls_soon_when_its_cached_list_proves_old() -> None:
    # Guards the first seconds after a restart: servers on the old list are gone, and new ones not on it. Not
    # at once: forty instances that start together would all poll together.
    for seed in range(20):
        driver = make_driver(
            replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0, instances=40), seed=seed
        )
        for request in range(1, 5):
            driver.request()
            driver.end_attempt(request, 0, Outcome.CONNECT_FAILED)
        driver.advance(250.0)
        assert polls(driver) == 1
        driver.advance(4000.0)
        assert polls(driver) == 1


def test_an_instance_that_starts_alone_does_not_wait_for_others() -> None:
    # Guards the same: where no other instance starts with it, there are no polls to spread.
    for seed in range(20):
        driver = make_driver(replace(PLAIN, polled_discovery=True, poll_interval_ms=8000.0), seed=seed)
        driver.advance(500.0)
        assert WatchList(True) in driver.actions
