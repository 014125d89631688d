"""Slow start: what servers that are warming up are sent."""

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
def test_servers_that_warm_up_together_stay_within_their_budget(instances: int) -> None:
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
    hits: Counter[int] = Counter()
    rng = Random(5)
    for _ in range(400):  # two seconds at 200 requests a second, all servers just started
        driver = fleet[rng.randrange(instances)]
        for server in sends(driver.request()):
            hits[server] += 1
            driver.end_attempt(*driver.open_attempts()[-1], Outcome.OK)
    # Warm servers would get 50 each; a tenth of that is what these can do, and three times it topples them.
    assert max(hits.values()) < 3 * 0.1 * 50 + 2


def test_idle_reports_that_come_together_do_not_overspend_the_credit_of_a_server_warming_up() -> None:
    made = Driver(replace(PROBING, warm_up_ms=3000.0, initial_capacity_share=0.2), seed=1)
    made.update_list(ListKind.DELTA, (ServerEntry(0, started_ms=made.now),))
    for _ in range(12):  # earn a credit of 2.4; each that is drawn awaits a report
        made.request()
    assert len(made.probes) > 3
    while made.probes:
        made.respond_to_probe((0.0, 0.0))
    # A drawn phase of less than one comes on top of what was earned.
    assert made.warming_sends <= 3


def test_a_restarted_server_warms_up_anew_and_another_does_not() -> None:
    driver = make_driver(
        replace(PLAIN, tier=1, tiers=2, initial_capacity_share=0.05, warm_up_ms=50_000.0), servers=2
    )
    driver.update_list(ListKind.DELTA, (ServerEntry(0, started_ms=driver.now),))
    got: Counter[int] = Counter()
    for _ in range(200):
        for server in sends(driver.request()):
            got[server] += 1
            driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert 0 < got[0] < 20 < got[1]
