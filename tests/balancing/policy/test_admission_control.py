"""Admission control: the window, the capacity and what is rejected first."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from sandhatch.balancing.events import (
    Outcome,
)
from sandhatch.balancing.settings import (
    Settings,
    Tenant,
)
from tests.balancing.policy.harness import (
    PLAIN,
    make_driver,
    sends,
)


def served_under_overload(settings: Settings) -> Counter[tuple[int, bool]]:
    driver = make_driver(settings, servers=10)
    served: Counter[tuple[int, bool]] = Counter()
    for n in range(2000):
        tenant = 0 if n % 4 else 1
        served[tenant, bool(sends(driver.request(1, tenant=tenant)))] += 1
        driver.advance(1.0)
        tries = driver.open_attempts()
        for request, attempt in tries:
            if driver.now - driver.requests[request].attempts[attempt].sent_ms > 10.0 + 2.0 * len(tries):
                driver.end_attempt(request, attempt, Outcome.OK)
    return served


def test_under_overload_traffic_over_its_quota_is_rejected_first() -> None:
    served = served_under_overload(replace(PLAIN, tenants=(Tenant(100.0), Tenant(300.0))))
    retained = served[1, True] / (served[1, True] + served[1, False])
    over = served[0, True] / (served[0, True] + served[0, False])
    assert retained > 0.9
    assert over < 0.6


def test_inner_tiers_do_not_reject() -> None:
    served = served_under_overload(replace(PLAIN, tenants=(Tenant(100.0), Tenant(300.0)), tier=1, tiers=2))
    assert served[0, False] == served[1, False] == 0


def test_a_window_below_one_attempt_admits_a_part_of_the_requests() -> None:
    # Guards against hundreds of instances that each may always have some attempts in flight.
    driver = make_driver(replace(PLAIN, instances=100), servers=10)
    served = []
    for _ in range(120):
        served.append(bool(sends(driver.request(1))))
        driver.advance(40.0)  # every attempt times out at its objective, some 100 ms after its send
    assert 0 < sum(served[60:]) < 45


def test_attempts_in_flight_for_long_stay_below_what_overloads_servers() -> None:
    # Guards against latency as the only guide: far from the objective, it admits more than servers can take.
    driver = make_driver(servers=4)
    outs = []
    for n in range(3000):  # 90 attempts would be in flight if all were admitted
        driver.request(1)
        driver.request(1)
        driver.advance(1.0)
        for request, attempt in driver.open_attempts():
            if driver.now - driver.requests[request].attempts[attempt].sent_ms >= 45.0:
                driver.end_attempt(request, attempt, Outcome.OK)
        if n > 2000:
            outs.append(len(driver.open_attempts()))
    assert 8 < sum(outs) / len(outs) < 4 * 8


def test_a_burst_shorter_than_it_takes_to_overload_is_admitted() -> None:
    # Guards the other side: a bound at each moment would reject what the servers work off in time.
    driver = make_driver(servers=4)
    for _ in range(200):
        driver.request(1)
        driver.advance(10.0)
        for request, attempt in driver.open_attempts():
            if driver.now - driver.requests[request].attempts[attempt].sent_ms >= 40.0:
                driver.end_attempt(request, attempt, Outcome.OK)
    driver.balancer.admission.window = 100.0  # latency allows it
    before = driver.next_id
    for _ in range(50):
        driver.request(1)
        driver.advance(1.0)
    assert all(driver.requests[n].attempts for n in range(before + 1, driver.next_id + 1))


def mean_in_flight(instances: int, spent_ms: float) -> float:
    """Attempts in flight on four servers, of an instance that gets two hinted requests a millisecond."""
    driver = make_driver(replace(PLAIN, instances=instances), servers=4)
    outs = []
    for n in range(2500):
        driver.request(1, hint_ms=25.0)
        driver.request(1, hint_ms=25.0)
        driver.advance(1.0)
        for request, attempt in driver.open_attempts():
            if driver.now - driver.requests[request].attempts[attempt].sent_ms >= spent_ms:
                driver.end_attempt(request, attempt, Outcome.OK)
        if n > 1500:
            outs.append(len(driver.open_attempts()))
    return sum(outs) / len(outs)


def test_an_instance_takes_over_the_shares_of_others_while_nothing_queues() -> None:
    # Guards the restart of one instance of two: the other gets all traffic, and the servers could serve it.
    assert mean_in_flight(2, 38.0) > 0.8 * mean_in_flight(1, 38.0)


def test_an_instance_keeps_to_its_share_while_requests_queue() -> None:
    # Guards served_under_overload: each of two instances would take what both together may.
    assert mean_in_flight(2, 62.0) < 0.65 * mean_in_flight(1, 62.0)
