"""Admission control: the window, the capacity, and the order of rejection."""

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


def count_served_under_overload(settings: Settings) -> Counter[tuple[int, bool]]:
    driver = make_driver(settings, servers=10)
    served: Counter[tuple[int, bool]] = Counter()
    for n in range(2000):
        tenant = 0 if n % 4 else 1
        served[tenant, bool(sends(driver.request(1, tenant=tenant)))] += 1
        driver.advance(1.0)
        attempts = driver.open_attempts()
        for request, attempt in attempts:
            if driver.now - driver.requests[request].attempts[attempt].sent_ms > 10.0 + 2.0 * len(attempts):
                driver.end_attempt(request, attempt, Outcome.OK)
    return served


def test_overload_rejects_traffic_over_its_quota_first() -> None:
    served = count_served_under_overload(replace(PLAIN, tenants=(Tenant(100.0), Tenant(300.0))))
    within_quota_fraction = served[1, True] / (served[1, True] + served[1, False])
    over_quota_fraction = served[0, True] / (served[0, True] + served[0, False])
    assert within_quota_fraction > 0.9
    assert over_quota_fraction < 0.6


def test_inner_tiers_do_not_reject() -> None:
    served = count_served_under_overload(
        replace(PLAIN, tenants=(Tenant(100.0), Tenant(300.0)), tier=1, tiers=2)
    )
    assert served[0, False] == served[1, False] == 0


def test_window_below_one_attempt_admits_a_fraction_of_the_requests() -> None:
    # Guards against overload by hundreds of instances that may each always have some attempts in flight.
    driver = make_driver(replace(PLAIN, instances=100), servers=10)
    served = []
    for _ in range(120):
        served.append(bool(sends(driver.request(1))))
        driver.advance(40.0)  # every attempt times out at its objective, about 100 ms after its send
    assert 0 < sum(served[60:]) < 45


def test_mean_attempts_in_flight_stay_below_the_servers_capacity() -> None:
    # Guards against admission by latency alone: while latency is far below the objective, more attempts would
    # be admitted than servers can run at once.
    driver = make_driver(servers=4)
    in_flight_counts = []
    for n in range(3000):  # 90 attempts would be in flight if all were admitted
        driver.request(1)
        driver.request(1)
        driver.advance(1.0)
        for request, attempt in driver.open_attempts():
            if driver.now - driver.requests[request].attempts[attempt].sent_ms >= 45.0:
                driver.end_attempt(request, attempt, Outcome.OK)
        if n > 2000:
            in_flight_counts.append(len(driver.open_attempts()))
    assert 8 < sum(in_flight_counts) / len(in_flight_counts) < 4 * 8


def test_burst_too_short_to_overload_servers_is_admitted() -> None:
    # Guards against a limit on the current load, which would reject bursts that servers complete in time.
    driver = make_driver(servers=4)
    for _ in range(200):
        driver.request(1)
        driver.advance(10.0)
        for request, attempt in driver.open_attempts():
            if driver.now - driver.requests[request].attempts[attempt].sent_ms >= 40.0:
                driver.end_attempt(request, attempt, Outcome.OK)
    driver.balancer.admission.window = 100.0  # attempts; a wide window, as low latency would permit
    before = driver.next_id
    for _ in range(50):
        driver.request(1)
        driver.advance(1.0)
    assert all(driver.requests[n].attempts for n in range(before + 1, driver.next_id + 1))


def mean_attempts_in_flight(instances: int, spent_ms: float) -> float:
    """Return the mean attempts in flight at four servers under two hinted requests per millisecond."""
    driver = make_driver(replace(PLAIN, instances=instances), servers=4)
    in_flight_counts = []
    for n in range(2500):
        driver.request(1, hint_ms=25.0)
        driver.request(1, hint_ms=25.0)
        driver.advance(1.0)
        for request, attempt in driver.open_attempts():
            if driver.now - driver.requests[request].attempts[attempt].sent_ms >= spent_ms:
                driver.end_attempt(request, attempt, Outcome.OK)
        if n > 1500:
            in_flight_counts.append(len(driver.open_attempts()))
    return sum(in_flight_counts) / len(in_flight_counts)


def test_instance_uses_the_shares_of_others_while_nothing_queues() -> None:
    # While one of two instances restarts, the other receives all traffic, which the servers can serve.
    assert mean_attempts_in_flight(2, 38.0) > 0.8 * mean_attempts_in_flight(1, 38.0)


def test_instance_is_limited_to_its_share_while_requests_queue() -> None:
    # Guards against overload by two instances that each use the capacity share of both instances.
    assert mean_attempts_in_flight(2, 62.0) < 0.65 * mean_attempts_in_flight(1, 62.0)
