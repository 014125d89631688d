"""Retry rules and the retry budget."""

from __future__ import annotations

import math
from dataclasses import replace

from sandhatch.balancing.actions import Fail, Reject, Send
from sandhatch.balancing.events import (
    ListKind,
    Outcome,
    ServerEntry,
)
from sandhatch.balancing.policy.retry_rules import RetryRules
from sandhatch.balancing.records import Attempt, Request, Server
from sandhatch.balancing.settings import (
    DeduplicationScope,
    Effect,
    RequestClass,
    Settings,
)
from tests.balancing.driver import Driver
from tests.balancing.policy.harness import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    PLAIN,
    make_driver,
    sends,
)

KEYED = RequestClass(
    200.0,
    400.0,
    Effect.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_ms=300.0,
)


def test_non_idempotent_request_is_retried_only_after_proof_that_it_never_ran() -> None:
    driver = make_driver(servers=5)
    driver.request(1)
    assert len(sends(driver.end_attempt(1, 0, Outcome.CONNECT_FAILED))) == 1
    actions = driver.end_attempt(1, 1, Outcome.RESET)
    assert actions == [Fail(1)]


def test_keyed_request_with_zone_scope_stays_in_the_zone_of_its_first_server() -> None:
    for seed in range(30):
        driver = Driver(replace(PLAIN, classes=(KEYED,), zones=3), seed)
        driver.update_list(ListKind.FULL, tuple(ServerEntry(n, zone=n % 3) for n in range(9)))
        driver.request()
        driver.end_attempt(1, 0, Outcome.RESET)
        zones = {attempt.zone for attempt in driver.requests[1].attempts}
        assert len(zones) == 1
        assert len(driver.requests[1].attempts) == 2


class AttemptedRequest:
    """A request with attempts at one server, sent at 100 ms, of the given outcomes (None: in flight)."""

    def __init__(
        self, settings: Settings, request_class: RequestClass, outcomes: list[Outcome | None]
    ) -> None:
        self._rules = RetryRules(settings)
        self._request = Request(1, request_class, 0, 5000.0, 5000.0)
        self._server = Server.from_entry(ServerEntry(1))
        for outcome in outcomes:
            attempt = Attempt(self._server, self._server.zone, self._server.cell, 100.0)
            attempt.outcome = outcome
            self._request.attempts.append(attempt)
            self._request.outstanding += outcome is None

    def may_send(self, now_ms: float) -> bool:
        """Return whether the rules allow a further attempt at the server."""
        return self._rules.may_send(self._request, self._server, now_ms)

    def may_reject(self, retry_ms: float = 110.0) -> bool:
        """Return whether the rules allow a rejection after which the client retries at this time."""
        return self._rules.may_reject(self._request, retry_ms)

    def write_deadline_ms(self, attempt_number: int) -> float:
        """Return the time before which the request of an attempt must be written."""
        return self._rules.write_deadline_ms(self._request, self._request.attempts[attempt_number])


def test_keyed_request_is_not_retried_after_the_deduplication_time_of_its_first_send() -> None:
    keyed = replace(KEYED, deadline_ms=5000.0, deduplication_scope=DeduplicationScope.ALL)
    request = AttemptedRequest(PLAIN, keyed, [Outcome.RESET])
    assert request.may_send(390.0)
    assert not request.may_send(400.0)
    never_ran = AttemptedRequest(PLAIN, keyed, [Outcome.FULL])
    assert never_ran.may_send(4000.0)


def test_keyed_attempt_must_be_written_before_the_key_of_any_other_attempt_may_be_forgotten() -> None:
    # Guards against a second run by an attempt that was decided in time and written late.
    keyed = replace(KEYED, deadline_ms=5000.0, deduplication_scope=DeduplicationScope.ALL)
    request = AttemptedRequest(PLAIN, keyed, [Outcome.ERROR, None])
    assert request.write_deadline_ms(1) == 100.0 + 300.0 - PLAIN.tick_ms
    # The attempt that was sent first may be the one that is written last.
    request = AttemptedRequest(replace(PLAIN, hedging_allowed=True), keyed, [None, Outcome.OK])
    assert request.write_deadline_ms(0) == 100.0 + 300.0 - PLAIN.tick_ms


def test_attempt_has_no_write_deadline_without_another_that_may_have_run() -> None:
    keyed = replace(KEYED, deadline_ms=5000.0)
    assert AttemptedRequest(PLAIN, keyed, [None]).write_deadline_ms(0) == math.inf
    assert AttemptedRequest(PLAIN, keyed, [Outcome.CONNECT_FAILED, None]).write_deadline_ms(1) == math.inf
    assert AttemptedRequest(PLAIN, IDEMPOTENT, [Outcome.ERROR, None]).write_deadline_ms(1) == math.inf


def test_hedged_attempt_is_sent_only_if_the_settings_allow_it() -> None:
    request = AttemptedRequest(PLAIN, IDEMPOTENT, [None])
    assert not request.may_send(110.0)
    request = AttemptedRequest(replace(PLAIN, hedging_allowed=True), IDEMPOTENT, [None])
    assert request.may_send(110.0)


def test_attempts_without_proof_that_they_never_ran_forbid_retry_and_rejection() -> None:
    for outcome in (None, Outcome.CANCELLED, Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
        request = AttemptedRequest(replace(PLAIN, hedging_allowed=True), NON_IDEMPOTENT, [outcome])
        assert not request.may_send(110.0)
        assert not request.may_reject()
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DISCARDED):
        request = AttemptedRequest(PLAIN, NON_IDEMPOTENT, [outcome])
        assert request.may_send(110.0)
        assert request.may_reject()


def test_keyed_request_is_not_rejected_if_the_client_would_retry_after_its_key_is_forgotten() -> None:
    # Guards against a rejection that has the client repeat, without harm as it is told, what has run.
    keyed = replace(KEYED, deadline_ms=5000.0, deduplication_scope=DeduplicationScope.ALL)
    request = AttemptedRequest(PLAIN, keyed, [Outcome.ERROR])
    assert request.may_reject(390.0)
    assert not request.may_reject(400.0)
    assert AttemptedRequest(PLAIN, keyed, [Outcome.FULL]).may_reject(4000.0)


def test_suggested_wait_of_a_keyed_request_ends_before_its_key_is_forgotten() -> None:
    # Guards against a Retry-After beyond the window, inside of which the rejection itself is allowed.
    for deduplication_ms, expected in ((300.0, Fail), (30_000.0, Reject)):
        keyed = RequestClass(
            5000.0,
            5000.0,
            Effect.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_ms=deduplication_ms,
        )
        driver = Driver(replace(PLAIN, classes=(keyed,), max_attempts=1, max_retry_after_ms=1000.0), 1)
        driver.update_list(ListKind.FULL, (ServerEntry(1),))
        driver.request()
        driver.advance(250.0)
        (action,) = driver.end_attempt(1, 0, Outcome.ERROR)
        assert isinstance(action, expected)


def test_number_of_attempts_is_limited_by_max_attempts() -> None:
    request = AttemptedRequest(PLAIN, IDEMPOTENT, [Outcome.RESET] * 4)
    assert not request.may_send(110.0)


def test_retries_stop_when_the_retry_budget_is_spent() -> None:
    driver = make_driver(servers=20)
    for _ in range(200):
        driver.request()
        while driver.open_attempts():
            driver.end_attempt(*driver.open_attempts()[0], Outcome.RESET)
    attempts = sum(len(request.attempts) for request in driver.requests.values())
    assert attempts < 200 * 1.3 + 10


def test_attempts_that_never_ran_cost_less_of_the_retry_budget() -> None:
    def attempts(outcome: Outcome) -> int:
        driver = make_driver(servers=40)
        for _ in range(100):
            driver.request()
            while driver.open_attempts():
                driver.end_attempt(*driver.open_attempts()[0], outcome)
        return sum(len(request.attempts) for request in driver.requests.values())

    assert attempts(Outcome.CONNECT_FAILED) > 1.4 * attempts(Outcome.RESET)


def test_retry_goes_to_another_server_than_the_failed_one() -> None:
    # Guards against a request that fails after four attempts at the same dead server.
    for seed in range(50):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=4, seed=seed)
        for _ in range(4):
            driver.request(1)  # after the loop each server has an attempt in flight
        driver.request(1)
        while len(driver.requests[driver.next_id].attempts) < 4:
            driver.end_attempt(
                driver.next_id, len(driver.requests[driver.next_id].attempts) - 1, Outcome.CONNECT_FAILED
            )
        tried = [attempt.server for attempt in driver.requests[driver.next_id].attempts]
        assert len(set(tried)) == 4


def test_idempotent_request_without_a_response_is_retried_in_time() -> None:
    # Guards against spending a request's whole time left on one attempt that gets no response.
    settings = replace(
        PLAIN, classes=(replace(IDEMPOTENT, objective_ms=300.0), replace(NON_IDEMPOTENT, objective_ms=300.0))
    )
    driver = make_driver(settings)
    for _ in range(200):
        for class_index in (0, 1):
            driver.request(class_index)
            driver.advance(20.0)
            driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.request(0)
    driver.advance(150.0)
    assert [attempt.outcome for attempt in driver.requests[driver.next_id].attempts] == [
        Outcome.TIMEOUT,
        None,
    ]
    driver.request(1)
    driver.advance(150.0)
    assert [attempt.outcome for attempt in driver.requests[driver.next_id].attempts] == [None]


def test_slow_idempotent_attempt_is_not_aborted_while_servers_are_full() -> None:
    # Guards against retries that add to the load of full servers.
    settings = replace(
        PLAIN, classes=(replace(IDEMPOTENT, objective_ms=300.0), replace(NON_IDEMPOTENT, objective_ms=300.0))
    )
    driver = make_driver(settings)
    for _ in range(200):
        driver.request(0)
        driver.advance(20.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    for _ in range(60):
        driver.request(1)
        driver.advance(2.0)
    driver.balancer.admission.load = 60.0
    (send,) = [action for action in driver.request(0) if isinstance(action, Send)]
    assert send.timeout_ms > 250.0
