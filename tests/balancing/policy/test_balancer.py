"""The balancer's common path, its final responses and its contract."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from sandhatch.balancing.actions import Reject
from sandhatch.balancing.errors import ContractError
from sandhatch.balancing.events import (
    AnswerStarted,
    AttemptEnded,
    ListKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    ServerEntry,
)
from sandhatch.balancing.policy.balancer import Balancer
from tests.balancing.policy.harness import (
    IDEMPOTENT,
    PLAIN,
    PROBING,
    chi_square,
    make_driver,
    sends,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_draw_is_uniform_among_token_holders(seed: int) -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10, seed=seed)
    for _ in range(4):
        driver.request()  # four servers are no longer believed idle: their attempts don't end
    busy = {t.server for o in driver.requests.values() for t in o.attempts}
    counts: Counter[int] = Counter()
    for _ in range(6000):
        (server,) = sends(driver.request())
        counts[server] += 1
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert len(busy) == 4
    assert not busy & counts.keys()
    # 20.5 is the limit of chi-square for 5 degrees of freedom and a probability of 0.001.
    assert chi_square([counts[n] for n in range(10) if n not in busy]) < 20.5


def test_draw_without_tokens_is_uniform_among_ready_servers() -> None:
    counts: Counter[int] = Counter()
    for seed in range(3000):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=3, seed=seed)
        for _ in range(3):
            driver.request()
        (server,) = sends(driver.request())
        counts[server] += 1
    # 13.9 is the limit of chi-square for 2 degrees of freedom and a probability of 0.001.
    assert chi_square([counts[n] for n in range(3)]) < 13.9


def test_token_returns_only_when_no_attempt_is_outstanding() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2)
    driver.request()
    driver.request()  # each server now has one attempt in flight
    (third,) = sends(driver.request())  # no server is believed idle: a second attempt at one server
    first = next(r for r, o in driver.requests.items() if o.attempts[0].server == third)
    # The third request's attempt is still in flight at the same server.
    driver.end_attempt(first, 0, Outcome.OK)
    other = next(r for r, o in driver.requests.items() if o.attempts[0].server != third)
    driver.end_attempt(other, 0, Outcome.OK)
    (fourth,) = sends(driver.request())
    assert fourth != third


def test_sequential_requests_of_an_instance_visit_every_server() -> None:
    # Guards against a low-rate instance that always returns to its first server, the only one believed idle.
    driver = make_driver(servers=10)
    seen = set()
    for _ in range(100):
        (server,) = sends(driver.request())
        seen.add(server)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert len(seen) == 10


def test_attempts_without_tokens_are_spread_evenly() -> None:
    # Guards against uneven load when no server is believed idle: a third attempt at one server while another
    # server has one attempt.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=5)
    for _ in range(10):
        driver.request()
    load = Counter(t.server for o in driver.requests.values() for t in o.attempts)
    assert set(load.values()) == {2}


def test_fewest_attempts_rule_applies_only_while_attempts_outnumber_servers() -> None:
    # Guards against a server that gets no requests after a failure although no server is believed idle (has
    # a token): then any ready server may be drawn, also the failed server, whose token is withheld.
    counts: Counter[bool] = Counter()
    for seed in range(600):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=3, seed=seed)
        for _ in range(3):
            driver.request(class_index=1)
        withheld = driver.requests[1].attempts[0].server
        driver.end_attempt(1, 0, Outcome.ERROR)
        counts[sends(driver.request()) == [withheld]] += 1
    assert 150 < counts[True] < 250


def test_slow_servers_share_the_load_while_attempts_outnumber_servers() -> None:
    # Guards against a pile-up: without slow servers all requests go to the rest, which become slow in turn.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=4)
    # These requests show the balancer that servers 0 to 2 are slow: it stops believing at least two servers
    # idle (withholds their tokens).
    for _ in range(200):
        (server,) = sends(driver.request(class_index=1))
        driver.advance(5.0 if server == 3 else 20.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert sum(s.withheld_until_ms > driver.now for s in driver.balancer.server_list.servers.values()) >= 2
    for _ in range(40):
        driver.request(class_index=1)
    load = Counter(driver.requests[r].attempts[0].server for r, _ in driver.open_attempts())
    assert max(load.values()) <= 2 * min(load.values())
    assert len(load) == 4


def test_same_seed_and_events_give_the_same_actions() -> None:
    runs = []
    for _ in range(2):
        driver = make_driver(PROBING, seed=9)
        for n in range(50):
            driver.request(n % 2)
            if driver.probes:
                driver.respond_to_probe((0.1, float(n % 3)))
            driver.advance(7.0)
        runs.append(driver.actions)
    assert runs[0] == runs[1]


def test_request_without_servers_is_queued_and_gets_a_final_response_in_time() -> None:
    driver = make_driver(servers=0)
    driver.request()
    assert not driver.requests[1].finished
    driver.update_list(ListKind.DELTA, (ServerEntry(4),))
    driver.advance(20.0)
    assert [t.server for t in driver.requests[1].attempts] == [4]
    empty = make_driver(servers=0)
    empty.request(1)
    empty.advance(500.0)
    assert empty.requests[1].responses == 1


def test_reset_after_a_streamed_response_has_started_causes_no_action() -> None:
    driver = make_driver(replace(PLAIN, classes=(replace(IDEMPOTENT, streaming=True),)))
    driver.request()
    driver.feed(AnswerStarted(1, 0, driver.requests[1].attempts[0].server))
    driver.requests[1].finished = True
    driver.requests[1].attempts[0].outcome = Outcome.RESET
    assert driver.feed(AttemptEnded(1, 0, driver.requests[1].attempts[0].server, Outcome.RESET, True)) == []


def test_every_rejection_carries_a_bounded_retry_wait() -> None:
    # Guards against clients that retry at once: no server is free before about one request's time has passed.
    driver = make_driver(replace(PLAIN, max_retry_after_ms=2000.0), servers=2)
    for _ in range(30):
        driver.request(0)
        driver.advance(10.0)
        for request, attempt in driver.open_attempts():
            driver.end_attempt(request, attempt, Outcome.FULL)
    driver.advance(20_000.0)
    rejected = [action for action in driver.actions if isinstance(action, Reject)]
    assert rejected
    assert all(10.0 < action.wait_ms <= 2000.0 for action in rejected)


def test_rejection_wait_leaves_time_for_a_retry_or_is_the_maximum() -> None:
    # Guards against a suggested wait beyond the latency objective: servers could have taken the retry sooner.
    settings = replace(
        PLAIN,
        max_retry_after_ms=2000.0,
        classes=(replace(IDEMPOTENT, objective_ms=600.0, deadline_ms=900.0),),
    )
    driver = make_driver(settings, servers=2)
    for _ in range(50):
        driver.request(0)
        driver.advance(40.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.balancer.admission.load = 1000.0  # far above the tier's capacity, so that requests are rejected
    (early,) = [a for a in driver.request(0) if isinstance(a, Reject)]
    assert 20.0 <= early.wait_ms < 200.0
    # The next request arrives with 5 ms left, too late to be served within its latency objective.
    (late,) = [a for a in driver.request(0, time_left_ms=5.0) if isinstance(a, Reject)]
    assert late.wait_ms == 2000.0


def test_request_without_time_for_a_response_is_rejected_at_once() -> None:
    # Guards against attempts sent with too little time left: servers work for results that come too late,
    # and the attempts time out.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2)
    mean_ms = driver.balancer.latency.mean_ms[0]
    driver.request(0, time_left_ms=0.2 * mean_ms)
    assert driver.requests[1].finished
    assert not driver.requests[1].attempts
    driver.request(0, time_left_ms=0.5 * mean_ms)
    assert len(driver.requests[2].attempts) == 1


def test_contract_violation_raises_an_error_that_names_it() -> None:
    balancer = Balancer(PLAIN, 1)
    balancer.handle(5.0, RequestArrived(1, 0, 100.0))
    with pytest.raises(ContractError, match="twice"):
        balancer.handle(5.0, RequestArrived(1, 0, 100.0))
    with pytest.raises(ContractError, match="time went back"):
        balancer.handle(4.0, ProbeEnded(1, Outcome.OK))
    with pytest.raises(ContractError, match="class 9"):
        balancer.handle(6.0, RequestArrived(2, 9, 100.0))
    with pytest.raises(ContractError, match="unknown event"):
        balancer.handle(6.0, "hello")  # type: ignore[arg-type]


def test_events_of_unknown_requests_and_probes_are_ignored() -> None:
    driver = make_driver()
    assert driver.feed(AttemptEnded(99, 0, 0, Outcome.OK, True)) == []
    assert driver.feed(ProbeEnded(77, Outcome.OK, 1.0, ())) == []
