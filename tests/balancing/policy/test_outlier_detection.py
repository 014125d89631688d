"""Servers that fail or are slow lose their token, and the worst are ejected."""

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


def test_a_server_that_fails_at_once_does_not_attract_requests() -> None:
    # Guards against the fast failure that regains its token first.
    driver = make_driver(servers=10)
    got: Counter[int] = Counter()
    for _ in range(400):
        driver.request(1)
        driver.advance(5.0)
        for request, attempt in driver.open_attempts():
            server = driver.requests[request].attempts[attempt].server
            got[server] += 1
            driver.end_attempt(request, attempt, Outcome.ERROR if server == 0 else Outcome.OK)
    assert got[0] < 15


def test_a_client_error_fails_the_request_at_once_and_does_not_count_against_the_server() -> None:
    # Guards the servers against callers whose requests no server will take.
    driver = make_driver(servers=2)
    for _ in range(50):
        driver.request(0)
        number = driver.next_id
        server = driver.balancer.server_list.servers[driver.requests[number].attempts[0].server]
        driver.end_attempt(number, 0, Outcome.CLIENT_ERROR)
        assert driver.requests[number].over
        assert len(driver.requests[number].attempts) == 1
        assert (server.consecutive_failures, server.outstanding, server.token) == (0, 0, True)
    assert driver.balancer.outliers.failure_rate <= 0.1
    assert not driver.balancer.requests


def test_a_full_server_does_not_regain_its_token_at_once() -> None:
    driver = make_driver(servers=2)
    driver.request(1)
    full = driver.requests[1].attempts[0].server
    driver.end_attempt(1, 0, Outcome.FULL)
    assert [t.server for t in driver.requests[1].attempts] == [full, 1 - full]
    driver.end_attempt(1, 1, Outcome.OK)
    assert set(sends(driver.request(1)) + sends(driver.request(1))) == {1 - full}


def test_when_everything_fails_nothing_is_ejected() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=6)
    for _ in range(300):
        driver.request(1)
        driver.end_attempt(*driver.open_attempts()[-1], Outcome.ERROR)
        driver.advance(1.0)
    driver.advance(60.0)  # past the short pause after each failure
    got = set()
    for _ in range(6):
        got |= set(sends(driver.request(1)))
    assert len(got) >= 4


def visits_by_server(slow_ms: float) -> Counter[int]:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10)
    seen: Counter[int] = Counter()
    for _ in range(1500):
        (server,) = sends(driver.request(class_index=1))
        seen[server] += 1
        driver.advance(slow_ms if server == 0 else 10.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    return seen


def test_a_slower_server_is_visited_less_by_an_instance_whose_requests_run_one_at_a_time() -> None:
    # Guards against slow kinds and servers that stay slow once crowded: even draws would fill them.
    assert visits_by_server(40.0)[0] < 75
    assert visits_by_server(10.0)[0] > 120


def test_an_ejection_outlasts_the_time_between_two_visits() -> None:
    # Guards against ejections that are over before an instance of low rate would have come by again.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10)
    for _ in range(30):
        driver.request(class_index=1)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
        driver.advance(300.0)
    (bad,) = sends(driver.request(class_index=1))
    driver.end_attempt(driver.next_id, 0, Outcome.ERROR)
    seen = set()
    for _ in range(8):
        driver.advance(300.0)
        seen |= set(sends(driver.request(class_index=1)))
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert bad not in seen


def test_a_server_that_fails_one_class_still_serves_the_others() -> None:
    # Guards against a server whose successes in other classes clear it: it would go on failing this one.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=5)
    drawn: Counter[tuple[int, int]] = Counter()
    for n in range(2000):
        at = n % 2
        (server,) = sends(driver.request(class_index=at, time_left_ms=400.0))
        drawn[at, server] += 1
        driver.advance(5.0)
        driver.end_attempt(driver.next_id, 0, Outcome.ERROR if (at, server) == (1, 0) else Outcome.OK)
        while tries := driver.open_attempts():
            driver.end_attempt(*tries[0], Outcome.OK)
    assert drawn[1, 0] < 60
    assert drawn[0, 0] > 60


@pytest.mark.parametrize("warm_up_ms", [0.0, 30_000.0])
def test_a_server_that_mostly_fails_is_avoided_however_many_attempts_are_in_flight(warm_up_ms: float) -> None:
    # Guards against the chance success that clears it, against draws without a token, which would go to the
    # server that failed its attempts at once, and against a span that hangs on an unrelated setting.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2, warm_up_ms=warm_up_ms), servers=4)
    chance = Random(5)
    got: Counter[int] = Counter()
    for _ in range(1500):
        driver.request(1)
        driver.advance(20.0)
        for request, attempt in driver.open_attempts():
            one = driver.requests[request].attempts[attempt]
            if one.server == 0:
                driver.end_attempt(request, attempt, Outcome.OK if chance.random() < 0.1 else Outcome.ERROR)
            elif driver.now - one.sent_ms >= 50.0:
                driver.end_attempt(request, attempt, Outcome.OK)
            got[one.server] += 1
    assert got[0] < 30


def test_timeouts_of_a_crowded_tier_eject_no_server() -> None:
    # Guards against the cascade: ejected for the load of the whole tier, servers leave theirs to the rest.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=6)
    for _ in range(400):  # nearly all is well
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
