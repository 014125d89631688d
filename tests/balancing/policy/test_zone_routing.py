"""Zone-aware routing: draws from the own zone and overflow to other zones."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from sandhatch.balancing.events import (
    ListKind,
    Outcome,
    ServerEntry,
)
from tests.balancing.driver import Driver
from tests.balancing.policy.harness import (
    PLAIN,
    sends,
)


def zones_drawn(price: float, home: Outcome) -> Counter[int]:
    driver = Driver(replace(PLAIN, zones=2, own_zone=1, price_cross_zone=price, tier=1, tiers=2), 4)
    driver.update_list(ListKind.FULL, tuple(ServerEntry(n, zone=n % 2) for n in range(20)))
    drawn: Counter[int] = Counter()
    for n in range(300):
        (server,) = sends(driver.request(class_index=1))
        drawn[server % 2] += n >= 200
        driver.end_attempt(driver.next_id, 0, home if server % 2 else Outcome.OK)
        driver.advance(10.0)
    return drawn


def test_cross_zone_price_makes_draws_stay_in_a_healthy_own_zone() -> None:
    assert zones_drawn(0.02, Outcome.OK)[1] > 90
    assert 30 < zones_drawn(0.0, Outcome.OK)[1] < 70


def test_requests_overflow_to_other_zones_while_the_own_zone_has_a_higher_cost() -> None:
    # Guards against requests that stay in a zone with more traffic than its servers can serve: low-rate
    # instances always believe some of these servers idle.
    assert zones_drawn(0.02, Outcome.ERROR)[0] > 30
