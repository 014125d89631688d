"""Outlier detection: withheld tokens (marks of idle servers), circuits, and ejections of outliers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from sandhatch.balancing.events import (
    Outcome,
)
from tests.balancing.policy.harness import (
    PLAIN,
    make_driver,
    sends,
)


def test_fast_failing_server_does_not_attract_requests() -> None:
    # Guards against a server that attracts requests by failing fast: it would be believed idle again first.
    driver = make_driver(servers=10)
    sends_by_server: Counter[int] = Counter()
    for _ in range(400):
        driver.request(1)
        driver.advance(5.0)
        for request, attempt in driver.open_attempts():
            server = driver.requests[request].attempts[attempt].server
            sends_by_server[server] += 1
            driver.end_attempt(request, attempt, Outcome.ERROR if server == 0 else Outcome.OK)
    assert sends_by_server[0] < 15


def test_client_error_fails_the_request_and_does_not_count_against_the_server() -> None:
    # Guards against blaming a server for invalid requests, which every server rejects.
    driver = make_driver(servers=2)
    for _ in range(50):
        driver.request(0)
        number = driver.next_id
        server = driver.balancer.server_list.servers[driver.requests[number].attempts[0].server]
        driver.end_attempt(number, 0, Outcome.CLIENT_ERROR)
        assert driver.requests[number].finished
        assert len(driver.requests[number].attempts) == 1
        assert (server.consecutive_failures, server.outstanding, server.has_token) == (0, 0, True)
    assert driver.balancer.outliers.failure_rate <= 0.1
    assert not driver.balancer.requests


def test_token_of_a_full_server_is_withheld() -> None:
    driver = make_driver(servers=2)
    driver.request(1)
    full = driver.requests[1].attempts[0].server
    driver.end_attempt(1, 0, Outcome.FULL)
    assert [t.server for t in driver.requests[1].attempts] == [full, 1 - full]
    driver.end_attempt(1, 1, Outcome.OK)
    assert set(sends(driver.request(1)) + sends(driver.request(1))) == {1 - full}


def test_no_server_is_ejected_when_all_servers_fail() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=6)
    for _ in range(300):
        driver.request(1)
        driver.end_attempt(*driver.open_attempts()[-1], Outcome.ERROR)
        driver.advance(1.0)
    driver.advance(60.0)  # the short pause of each server after its last failure has passed
    drawn_servers = set()
    for _ in range(6):
        drawn_servers |= set(sends(driver.request(1)))
    assert len(drawn_servers) >= 4


def visits_by_server(slow_ms: float) -> Counter[int]:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10)
    sends_by_server: Counter[int] = Counter()
    for _ in range(1500):
        (server,) = sends(driver.request(class_index=1))
        sends_by_server[server] += 1
        driver.advance(slow_ms if server == 0 else 10.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    return sends_by_server


def test_sequential_requests_visit_a_slower_server_less_often() -> None:
    # Guards against overload of slow servers, which even draws send as many requests as others and keep slow.
    assert visits_by_server(40.0)[0] < 75
    assert visits_by_server(10.0)[0] > 120


def test_ejection_lasts_longer_than_the_time_between_two_visits() -> None:
    # Guards against ejections that end before a low-rate instance would visit the server again.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10)
    for _ in range(30):
        driver.request(class_index=1)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
        driver.advance(300.0)
    (failed,) = sends(driver.request(class_index=1))
    driver.end_attempt(driver.next_id, 0, Outcome.ERROR)
    seen = set()
    for _ in range(8):
        driver.advance(300.0)
        seen |= set(sends(driver.request(class_index=1)))
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert failed not in seen


def test_server_that_fails_one_class_still_serves_the_others() -> None:
    # Guards against successes in other classes that clear a server which still fails this class.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=5)
    drawn: Counter[tuple[int, int]] = Counter()
    for n in range(2000):
        class_index = n % 2
        (server,) = sends(driver.request(class_index=class_index, time_left_ms=400.0))
        drawn[class_index, server] += 1
        driver.advance(5.0)
        driver.end_attempt(
            driver.next_id, 0, Outcome.ERROR if (class_index, server) == (1, 0) else Outcome.OK
        )
        while attempts := driver.open_attempts():
            driver.end_attempt(*attempts[0], Outcome.OK)
    assert drawn[1, 0] < 60
    assert drawn[0, 0] > 60


@pytest.mark.parametrize("warm_up_ms", [0.0, 30_000.0])
def test_mostly_failing_server_is_avoided_at_any_number_of_attempts_in_flight(warm_up_ms: float) -> None:
    # Guards against a random success that clears the server, against draws without a token, which would
    # prefer a server that failed at once, and against an ejection time that depends on an unrelated setting.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2, warm_up_ms=warm_up_ms), servers=4)
    rng = Random(5)
    sends_by_server: Counter[int] = Counter()
    for _ in range(1500):
        driver.request(1)
        driver.advance(20.0)
        for request, attempt in driver.open_attempts():
            record = driver.requests[request].attempts[attempt]
            if record.server == 0:
                driver.end_attempt(request, attempt, Outcome.OK if rng.random() < 0.1 else Outcome.ERROR)
            elif driver.now - record.sent_ms >= 50.0:
                driver.end_attempt(request, attempt, Outcome.OK)
            sends_by_server[record.server] += 1
    assert sends_by_server[0] < 30


def test_timeouts_in_an_overloaded_tier_eject_no_server() -> None:
    # Guards against a cascade: each server ejected for the load of the whole tier adds to that of the rest.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=6)
    for _ in range(400):  # no attempt fails before the time-outs below
        driver.request(1)
        driver.advance(2.0)
        while len(driver.open_attempts()) > 30:
            driver.end_attempt(*driver.open_attempts()[0], Outcome.OK)
    for request, attempt in driver.open_attempts():
        if driver.requests[request].attempts[attempt].server < 2:
            driver.end_attempt(request, attempt, Outcome.TIMEOUT)
    before = driver.next_id
    for _ in range(60):
        driver.request(1)
    load = Counter(driver.requests[n].attempts[0].server for n in range(before + 1, driver.next_id + 1))
    assert len(load) == 6
