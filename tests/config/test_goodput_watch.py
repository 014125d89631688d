"""The goodput watch after a change: what it reports as a fall and what it must not report."""

from __future__ import annotations

from random import Random

from sandhatch.config.goodput_watch import ALL, GoodputDrop, GoodputWatch

BLOCK_MS = 500.0


class Run:
    """Feeds a watch block by block; the goodput and the load of each block are the test's."""

    def __init__(self, seed: int = 1, before_ms: float = 30_000.0) -> None:
        self.watch = GoodputWatch(BLOCK_MS, before_ms)
        self.rng = Random(seed)
        self.now = 0.0

    def block(
        self, in_time: float, requests: int = 20, pool: str = "web", name: str = "order"
    ) -> GoodputDrop | None:
        for n in range(requests):
            arrived = self.now + BLOCK_MS * (n + 0.5) / requests
            self.watch.request_arrived(arrived, name, pool, 5.0)
            good = self.rng.random() < in_time
            self.watch.request_ended(arrived, name, pool, 5.0, good, not good)
        self.now += BLOCK_MS
        return self.watch.close(self.now, 2_000.0)

    def begin(self, **more: frozenset[str]) -> None:
        self.watch.begin(self.now, 30_000.0, 0.001, 0.05, **more)


def noisy(rng: Random) -> float:
    """A goodput that is mostly high, and in one block of six much lower: one burst fails many requests."""
    return rng.uniform(0.3, 0.8) if rng.random() < 0.16 else rng.uniform(0.93, 1.0)


def test_a_fall_is_found_within_half_of_the_window_and_described() -> None:
    run = Run(1, 60_000.0)
    for _ in range(120):
        assert run.block(noisy(run.rng)) is None
    run.begin()
    drops = [run.block(0.4) for _ in range(30)]
    at = next(n for n, drop in enumerate(drops) if drop)
    drop = drops[at]
    assert drop is not None
    assert drop.name == ALL
    assert drop.before > 0.85
    assert drop.after < 0.6
    assert drop.rejected_after > 0.3
    assert "the goodput of all classes fell from 0." in str(drop)


def test_a_fall_of_one_class_is_found_though_the_other_classes_are_well() -> None:
    run = Run()
    for after in range(100):
        if after == 60:
            run.begin()
        for n in range(30):
            arrived = run.now + BLOCK_MS * (n + 0.5) / 30
            name = "order" if n % 30 == 0 else "look"
            run.watch.request_arrived(arrived, name, "web", 1.0)
            run.watch.request_ended(arrived, name, "web", 1.0, name == "look" or after < 60, False)
        run.now += BLOCK_MS
        drop = run.watch.close(run.now, 2_000.0)
        if drop:
            break
    assert drop is not None
    assert drop.name == "order"


def test_two_hundred_good_changes_under_noise_raise_no_alarm() -> None:
    """False alarms over whole watches, with bursts that affect blocks before and after alike."""
    alarms = 0
    for seed in range(200):
        run = Run(seed)
        for _ in range(60):
            run.block(noisy(run.rng), run.rng.randrange(5, 30))
        run.begin()
        alarms += any(run.block(noisy(run.rng), run.rng.randrange(5, 30)) for _ in range(60))
    assert alarms == 0


def test_two_hundred_good_changes_under_bursts_longer_than_a_block_raise_no_alarm() -> None:
    """A burst affects up to eight blocks in a row, before and after alike: one sample, and not eight. The
    watch knows of them only if it has seen one, so it looks back a minute, as it does by default.
    """
    alarms = 0
    for seed in range(200):
        run = Run(seed, 60_000.0)
        left = 0

        def bursty(run: Run = run) -> float:
            nonlocal left
            if left == 0 and run.rng.random() < 0.06:
                left = run.rng.randrange(1, 9)
            left = max(0, left - 1)
            return 0.4 if left else 0.98

        for _ in range(120):
            run.block(bursty(), run.rng.randrange(5, 30))
        run.begin()
        alarms += any([run.block(bursty(), run.rng.randrange(5, 30)) for _ in range(60)])  # noqa: C419
    # Blocks ranked one by one, without the worst stretch seen, give 10.
    assert alarms == 0


def test_a_collapse_is_found_at_once_even_under_bursts() -> None:
    run = Run()
    for n in range(60):
        run.block(0.5 if n % 12 < 3 else 0.98)
    run.begin()
    drops = [run.block(0.0) for _ in range(12)]
    at = next(n for n, drop in enumerate(drops) if drop)
    assert at <= 9
    assert "a collapse over" in str(drops[at])


def test_a_rise_of_load_that_fills_the_pool_is_no_fall() -> None:
    """Three times the requests, of which as many as before are served: the change made nothing worse."""
    run = Run()
    for _ in range(60):
        run.block(0.98, 20)
    run.begin()
    assert not any(run.block(0.34, 60) for _ in range(40))
    worse = Run()
    for _ in range(60):
        worse.block(0.98, 20)
    worse.begin()
    assert any(worse.block(0.1, 60) for _ in range(40))  # more load, and less served than before


def test_only_the_pools_that_a_change_touches_are_compared() -> None:
    run = Run()
    for _ in range(60):
        run.block(0.98, 20, "other")
    run.begin(only_pools=frozenset(["web"]))
    assert not any(run.block(0.2, 20, "other") for _ in range(40))


def test_too_few_blocks_before_a_change_report_nothing() -> None:
    run = Run()
    for _ in range(5):
        run.block(1.0)
    run.begin()
    assert not any(run.block(0.0) for _ in range(20))


def test_blocks_wait_for_slow_requests_but_not_beyond_the_longest_objective() -> None:
    watch = GoodputWatch(BLOCK_MS, 30_000.0)
    for n in range(40):
        watch.request_arrived(n * BLOCK_MS, "order", "web", 1.0)
        watch.request_ended(n * BLOCK_MS, "order", "web", 1.0, True, False)
    watch.close(40 * BLOCK_MS, 2_000.0)
    watch.begin(40 * BLOCK_MS, 30_000.0, 0.01, 0.05)
    for n in range(41, 52):  # answers never come
        for _ in range(20):
            watch.request_arrived(n * BLOCK_MS + 1.0, "order", "web", 1.0)
    assert watch.close(52 * BLOCK_MS, 10_000_000.0) is None
    drop = watch.close(52 * BLOCK_MS + 2_000.0, 2_000.0)
    assert drop is not None
    assert drop.after == 0.0
    watch.request_ended(45 * BLOCK_MS, "order", "web", 1.0, True, False)  # too late to count


def test_after_a_confirmation_the_blocks_since_are_those_before_the_next_change() -> None:
    run = Run()
    for _ in range(60):
        run.block(1.0)
    run.begin()
    for _ in range(60):
        run.block(0.97)
    run.watch.end()
    run.begin()
    assert not any(run.block(0.97) for _ in range(30))
