"""The goodput watch after a change: drops that it must report, and cases that it must not report."""

from __future__ import annotations

from random import Random

from sandhatch.config.goodput_watch import ALL_CLASSES, GoodputDrop, GoodputWatch

BLOCK_MS = 500.0


class WatchDriver:
    """Feeds a watch block by block; the test sets the goodput and the load of each block."""

    def __init__(self, seed: int = 1, before_ms: float = 30_000.0) -> None:
        self.watch = GoodputWatch(BLOCK_MS, before_ms)
        self.rng = Random(seed)
        self.now_ms = 0.0

    def add_block(
        self, goodput: float, requests: int = 20, pool: str = "web", class_name: str = "order"
    ) -> GoodputDrop | None:
        for n in range(requests):
            arrived_ms = self.now_ms + BLOCK_MS * (n + 0.5) / requests
            self.watch.request_arrived(arrived_ms, class_name, pool, 5.0)
            served_in_time = self.rng.random() < goodput
            self.watch.request_ended(arrived_ms, class_name, pool, 5.0, served_in_time, not served_in_time)
        self.now_ms += BLOCK_MS
        return self.watch.close(self.now_ms, 2_000.0)

    def begin(self, **options: frozenset[str]) -> None:
        self.watch.begin(self.now_ms, 30_000.0, 0.001, 0.05, **options)


def noisy_goodput(rng: Random) -> float:
    """Return a goodput that is mostly high, but much lower in one of six blocks: a burst fails requests."""
    return rng.uniform(0.3, 0.8) if rng.random() < 0.16 else rng.uniform(0.93, 1.0)


def test_a_goodput_drop_is_detected_within_half_of_the_window_and_described() -> None:
    driver = WatchDriver(1, 60_000.0)
    for _ in range(120):
        assert driver.add_block(noisy_goodput(driver.rng)) is None
    driver.begin()
    drops = [driver.add_block(0.4) for _ in range(30)]
    first_drop_index = next(n for n, drop in enumerate(drops) if drop)
    drop = drops[first_drop_index]
    assert drop is not None
    assert drop.name == ALL_CLASSES
    assert drop.before > 0.85
    assert drop.after < 0.6
    assert drop.rejected_after > 0.3
    assert "the goodput of all classes fell from 0." in str(drop)


def test_a_drop_of_one_class_is_detected_while_the_other_classes_are_healthy() -> None:
    driver = WatchDriver()
    for after in range(100):
        if after == 60:
            driver.begin()
        for n in range(30):
            arrived_ms = driver.now_ms + BLOCK_MS * (n + 0.5) / 30
            class_name = "order" if n % 30 == 0 else "look"
            driver.watch.request_arrived(arrived_ms, class_name, "web", 1.0)
            driver.watch.request_ended(
                arrived_ms, class_name, "web", 1.0, class_name == "look" or after < 60, False
            )
        driver.now_ms += BLOCK_MS
        drop = driver.watch.close(driver.now_ms, 2_000.0)
        if drop:
            break
    assert drop is not None
    assert drop.name == "order"


def test_two_hundred_harmless_changes_under_noise_raise_no_false_alarm() -> None:
    """No watch of a harmless change reports a drop, with bursts of failures before and after the change."""
    false_alarms = 0
    for seed in range(200):
        driver = WatchDriver(seed)
        for _ in range(60):
            driver.add_block(noisy_goodput(driver.rng), driver.rng.randrange(5, 30))
        driver.begin()
        false_alarms += any(
            driver.add_block(noisy_goodput(driver.rng), driver.rng.randrange(5, 30)) for _ in range(60)
        )
    assert false_alarms == 0


def test_bursts_longer_than_a_block_raise_no_false_alarm_over_two_hundred_changes() -> None:
    """Guards against counting a burst, which lasts up to eight consecutive blocks, as eight samples.

    The watch must have seen bursts to allow for them, so it compares with a minute before the change, as by
    default.
    """
    false_alarms = 0
    for seed in range(200):
        driver = WatchDriver(seed, 60_000.0)
        burst_blocks_left = 0

        def bursty_goodput(driver: WatchDriver = driver) -> float:
            nonlocal burst_blocks_left
            if burst_blocks_left == 0 and driver.rng.random() < 0.06:
                burst_blocks_left = driver.rng.randrange(1, 9)
            burst_blocks_left = max(0, burst_blocks_left - 1)
            return 0.4 if burst_blocks_left else 0.98

        for _ in range(120):
            driver.add_block(bursty_goodput(), driver.rng.randrange(5, 30))
        driver.begin()
        false_alarms += any(
            [driver.add_block(bursty_goodput(), driver.rng.randrange(5, 30)) for _ in range(60)]  # noqa: C419
        )
    # Ranking single blocks, without the comparison with the worst window before the change, gives 10 false
    # alarms.
    assert false_alarms == 0


def test_a_collapse_is_detected_within_ten_blocks_even_under_bursts() -> None:
    driver = WatchDriver()
    for n in range(60):
        driver.add_block(0.5 if n % 12 < 3 else 0.98)
    driver.begin()
    drops = [driver.add_block(0.0) for _ in range(12)]
    first_drop_index = next(n for n, drop in enumerate(drops) if drop)
    assert first_drop_index <= 9
    assert "a collapse over" in str(drops[first_drop_index])


def test_a_load_increase_that_fills_the_pool_is_not_reported() -> None:
    """Three times as many requests arrive and the same number is served: the change made nothing worse."""
    driver = WatchDriver()
    for _ in range(60):
        driver.add_block(0.98, 20)
    driver.begin()
    assert not any(driver.add_block(0.34, 60) for _ in range(40))
    worse = WatchDriver()
    for _ in range(60):
        worse.add_block(0.98, 20)
    worse.begin()
    # More requests arrive, but fewer are served than before the change.
    assert any(worse.add_block(0.1, 60) for _ in range(40))


def test_only_the_pools_that_a_change_affects_are_compared() -> None:
    driver = WatchDriver()
    for _ in range(60):
        driver.add_block(0.98, 20, "other")
    driver.begin(only_pools=frozenset(["web"]))
    assert not any(driver.add_block(0.2, 20, "other") for _ in range(40))


def test_no_drop_is_reported_with_too_few_blocks_before_a_change() -> None:
    driver = WatchDriver()
    for _ in range(5):
        driver.add_block(1.0)
    driver.begin()
    assert not any(driver.add_block(0.0) for _ in range(20))


def test_a_block_waits_for_slow_requests_at_most_for_the_longest_objective() -> None:
    watch = GoodputWatch(BLOCK_MS, 30_000.0)
    for n in range(40):
        watch.request_arrived(n * BLOCK_MS, "order", "web", 1.0)
        watch.request_ended(n * BLOCK_MS, "order", "web", 1.0, True, False)
    watch.close(40 * BLOCK_MS, 2_000.0)
    watch.begin(40 * BLOCK_MS, 30_000.0, 0.01, 0.05)
    for n in range(41, 52):  # requests that do not end, except for one that ends too late
        for _ in range(20):
            watch.request_arrived(n * BLOCK_MS + 1.0, "order", "web", 1.0)
    assert watch.close(52 * BLOCK_MS, 10_000_000.0) is None
    drop = watch.close(52 * BLOCK_MS + 2_000.0, 2_000.0)
    assert drop is not None
    assert drop.after == 0.0
    watch.request_ended(45 * BLOCK_MS, "order", "web", 1.0, True, False)  # the request ends too late to count


def test_blocks_of_a_confirmed_change_become_the_baseline_of_the_next_change() -> None:
    driver = WatchDriver()
    for _ in range(60):
        driver.add_block(1.0)
    driver.begin()
    for _ in range(60):
        driver.add_block(0.97)
    driver.watch.end()
    driver.begin()
    assert not any(driver.add_block(0.97) for _ in range(30))
