"""When a drawn server is probed, and what its load report leads to."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sandhatch.balancing.actions import Probe, Reject
from sandhatch.balancing.events import (
    ListKind,
    ListUpdate,
    Outcome,
    ServerEntry,
    ServerState,
)
from sandhatch.balancing.settings import (
    Effect,
    RequestClass,
)
from tests.balancing.policy.harness import (
    PROBING,
    make_driver,
    sends,
)


def test_an_idle_report_confirms_the_token_and_a_busy_one_draws_another() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    assert sends(driver.respond_to_probe((0.9, 2.0))) == []
    assert driver.probes[0] != first
    second = driver.probes[0]
    assert sends(driver.respond_to_probe((0.0, 0.0))) == [second]


def test_silence_counts_as_busy() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    driver.advance(30.0)
    assert driver.probes[1] != first


def test_a_request_with_little_time_left_is_not_lost_while_a_report_is_awaited() -> None:
    driver = make_driver(replace(PROBING, tick_ms=5.0))
    driver.request(time_left_ms=12.0)
    driver.advance(40.0)
    assert driver.requests[1].responses == 1


def test_one_report_never_admits_two_requests() -> None:
    driver = make_driver(PROBING, servers=2)
    driver.request()
    driver.request()
    assert driver.probes[0] != driver.probes[1]


def test_requests_are_queued_while_all_drawn_servers_are_busy_and_rejected_before_the_objective() -> None:
    driver = make_driver(PROBING, servers=4)
    driver.request()
    for _ in range(400):
        driver.advance(1.0)
        while driver.probes:
            driver.respond_to_probe((1.0, 1.0))
    assert driver.requests[1].responses == 1
    assert not driver.requests[1].attempts
    assert any(isinstance(a, Reject) for a in driver.actions)


def test_probes_thin_out_while_next_to_nothing_is_idle() -> None:
    # Guards against a herd on the one server that falls idle, seen by many instances at once.
    driver = make_driver(
        replace(PROBING, classes=(RequestClass(2000.0, 4000.0, Effect.IDEMPOTENT),)), servers=200
    )
    driver.request()
    counts = []
    for _ in range(4):
        driver.actions.clear()
        for _ in range(300):
            driver.advance(1.0)
            while driver.probes:
                driver.respond_to_probe((0.0, 1.0))
        counts.append(sum(isinstance(a, Probe) for a in driver.actions))
    assert 0 < counts[-1] < counts[0] / 2


@pytest.mark.parametrize("fields", [(), ("waiting",), ("svc_ms", "served_ps"), ("cpu_share",)])
def test_reports_that_do_not_show_idleness_are_not_paid_for(fields: tuple[str, ...]) -> None:
    driver = make_driver(replace(PROBING, report_fields=fields))
    assert len(sends(driver.request())) == 1
    assert not driver.probes


def test_an_expensive_probe_that_can_save_little_is_not_sent() -> None:
    driver = make_driver(replace(PROBING, price_probe=0.5))
    for _ in range(200):
        driver.request()
        if driver.open_attempts():
            driver.end_attempt(*driver.open_attempts()[0], Outcome.OK)
    assert sum(isinstance(a, Probe) for a in driver.actions) < 20


def test_a_server_that_drains_while_its_report_is_awaited_gets_nothing() -> None:
    driver = make_driver(PROBING, servers=1)
    driver.request()
    driver.feed(ListUpdate(ListKind.DELTA, 2, (ServerEntry(0, ServerState.DRAINING),)))
    assert sends(driver.respond_to_probe((0.0, 0.0))) == []


def test_a_queued_request_probes_two_servers_not_eight() -> None:
    # Guards against a herd: in a jam the probes of all instances met at each server that fell idle.
    driver = make_driver(
        replace(PROBING, classes=(RequestClass(2000.0, 4000.0, Effect.IDEMPOTENT),)), servers=100
    )
    rounds = []
    driver.request()
    for _ in range(3):
        probed = 0
        while driver.probes:
            probed += 1
            driver.respond_to_probe((0.0, 1.0))
        rounds.append(probed)
        while not driver.probes:
            driver.advance(1.0)
    assert rounds == [8, 2, 2]
