"""Slow start: the number of sends to servers that are warming up."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from sandhatch.balancing.events import (
    ListKind,
    Outcome,
    ServerEntry,
)
from tests.balancing.driver import Driver
from tests.balancing.policy.harness import (
    PLAIN,
    PROBING,
    make_driver,
    sends,
)


@pytest.mark.parametrize("instances", [1, 40])
def test_sends_to_servers_warming_up_together_stay_within_their_budget(instances: int) -> None:
    settings = replace(
        PLAIN,
        tier=1,
        tiers=2,
        instances=instances,
        initial_capacity_share=0.1,
        warm_up_ms=20_000.0,
        overload_multiple=3.0,
    )
    fleet = [make_driver(settings, servers=8, seed=n, started_ms=999.0) for n in range(instances)]
    sends_by_server: Counter[int] = Counter()
    rng = Random(5)
    for _ in range(400):  # two seconds at 200 requests per second, all servers just started
        driver = fleet[rng.randrange(instances)]
        for server in sends(driver.request()):
            sends_by_server[server] += 1
            driver.end_attempt(*driver.open_attempts()[-1], Outcome.OK)
    # Warm servers would receive 50 requests each. The starting servers have a tenth of a warm server's
    # capacity, and three times their own capacity makes them fail.
    assert max(sends_by_server.values()) < 3 * 0.1 * 50 + 2


def test_simultaneous_idle_reports_do_not_overspend_the_credit_of_a_warming_server() -> None:
    driver = Driver(replace(PROBING, warm_up_ms=3000.0, initial_capacity_share=0.2), seed=1)
    driver.update_list(ListKind.DELTA, (ServerEntry(0, started_ms=driver.now),))
    # The requests earn credit for 2.4 sends to the warming server; drawn requests wait for a load report.
    for _ in range(12):
        driver.request()
    assert len(driver.probes) > 3
    while driver.probes:
        driver.respond_to_probe((0.0, 0.0))
    # A random initial credit of less than one send is added to the credit earned by the requests.
    assert driver.warming_sends <= 3


def test_only_the_restarted_server_warms_up_again() -> None:
    driver = make_driver(
        replace(PLAIN, tier=1, tiers=2, initial_capacity_share=0.05, warm_up_ms=50_000.0), servers=2
    )
    driver.update_list(ListKind.DELTA, (ServerEntry(0, started_ms=driver.now),))
    sends_by_server: Counter[int] = Counter()
    for _ in range(200):
        for server in sends(driver.request()):
            sends_by_server[server] += 1
            driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert 0 < sends_by_server[0] < 20 < sends_by_server[1]
