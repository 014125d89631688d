"""Latency estimates, and the objective derived from the time left."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.actions import Reject, Send
from sandhatch.balancing.events import (
    Outcome,
)
from tests.balancing.policy.harness import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    PLAIN,
    make_driver,
)


def test_attempt_times_out_just_before_the_objective_if_late_responses_have_no_value() -> None:
    driver = make_driver()
    (send,) = [a for a in driver.request(1) if isinstance(a, Send)]
    assert 90.0 < send.timeout_ms < 100.0
    late = make_driver(replace(PLAIN, classes=(replace(NON_IDEMPOTENT, late_priority_weight=0.5),)))
    (send,) = [a for a in late.request() if isinstance(a, Send)]
    assert send.timeout_ms == 400.0


def test_unusual_time_left_does_not_shorten_the_objective_of_first_attempts() -> None:
    # Guards against time-outs of a few milliseconds when the maximum time left is taken as the common one.
    driver = make_driver(servers=40)
    for _ in range(20):
        driver.request(1, time_left_ms=250.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.request(1, time_left_ms=390.0)
    driver.end_attempt(driver.next_id, 0, Outcome.OK)
    (send,) = [a for a in driver.request(1, time_left_ms=250.0) if isinstance(a, Send)]
    assert send.timeout_ms > 90.0
    # With 210 ms left, 190 ms of the deadline have passed, and with them the whole latency objective.
    late = driver.request(1, time_left_ms=210.0)
    assert [type(a) for a in late] == [Reject]


def test_new_instance_learns_the_latency_from_its_first_responses() -> None:
    # The initial latency estimate is a third of the objective, here 1000 ms; the real latency is 100 ms.
    # Guards against an instance that keeps the initial estimate in spite of its first responses.
    driver = make_driver(
        replace(PLAIN, classes=(IDEMPOTENT, replace(NON_IDEMPOTENT, objective_ms=3000.0, deadline_ms=9000.0)))
    )
    for _ in range(5):
        driver.request(1)
        driver.advance(100.0)
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    assert driver.balancer.latency.mean_ms[1] < 300.0
