"""Probing: when a drawn server is probed, and the effect of its load report."""

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


def test_idle_report_sends_the_request_and_busy_report_draws_another_server() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    assert sends(driver.respond_to_probe((0.9, 2.0))) == []
    assert driver.probes[0] != first
    second = driver.probes[0]
    assert sends(driver.respond_to_probe((0.0, 0.0))) == [second]


def test_probe_without_a_response_counts_as_busy() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    driver.advance(30.0)
    assert driver.probes[1] != first


def test_request_with_little_time_left_gets_a_response_while_a_probe_is_in_flight() -> None:
    driver = make_driver(replace(PROBING, tick_ms=5.0))
    driver.request(time_left_ms=12.0)
    driver.advance(40.0)
    assert driver.requests[1].responses == 1


def test_two_requests_do_not_share_one_load_report() -> None:
    driver = make_driver(PROBING, servers=2)
    driver.request()
    driver.request()
    assert driver.probes[0] != driver.probes[1]


def test_request_is_queued_while_servers_are_busy_and_rejected_before_its_objective() -> None:
    driver = make_driver(PROBING, servers=4)
    driver.request()
    for _ in range(400):
        driver.advance(1.0)
        while driver.probes:
            driver.respond_to_probe((1.0, 1.0))
    assert driver.requests[1].responses == 1
    assert not driver.requests[1].attempts
    assert any(isinstance(a, Reject) for a in driver.actions)


def test_probe_rate_falls_while_almost_no_server_is_idle() -> None:
    # Guards against a thundering herd: many instances see by probes that a single server has become idle.
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
def test_no_probe_is_sent_if_reports_do_not_show_idle_servers(fields: tuple[str, ...]) -> None:
    driver = make_driver(replace(PROBING, report_fields=fields))
    assert len(sends(driver.request())) == 1
    assert not driver.probes


def test_probe_whose_price_exceeds_its_gain_is_not_sent() -> None:
    driver = make_driver(replace(PROBING, price_probe=0.5))
    for _ in range(200):
        driver.request()
        if driver.open_attempts():
            driver.end_attempt(*driver.open_attempts()[0], Outcome.OK)
    assert sum(isinstance(a, Probe) for a in driver.actions) < 20


def test_server_that_drains_while_it_is_probed_receives_no_request() -> None:
    driver = make_driver(PROBING, servers=1)
    driver.request()
    driver.feed(ListUpdate(ListKind.DELTA, 2, (ServerEntry(0, ServerState.DRAINING),)))
    assert sends(driver.respond_to_probe((0.0, 0.0))) == []


def test_queued_request_probes_two_servers_per_round_instead_of_eight() -> None:
    # Guards against a thundering herd: under overload the probes of all instances meet at each idle server.
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
