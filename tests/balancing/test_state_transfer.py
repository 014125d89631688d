"""State that a balancer inherits from its predecessor when the settings change."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sandhatch.balancing.events import ListKind, Outcome, ServerEntry
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.settings import Tenant
from sandhatch.balancing.state_transfer import inherit_state
from tests.balancing.driver import Driver
from tests.balancing.policy.harness import IDEMPOTENT, PLAIN, make_driver


def successor_of(driver: Driver, servers: int, **changes: object) -> Driver:
    """Return a driver with the same clock, the same settings with `changes`, and its own endpoint list."""
    successor = Driver(replace(driver.settings, **changes), 2, driver.now)  # type: ignore[arg-type]
    successor.update_list(ListKind.CACHED, tuple(ServerEntry(number) for number in range(servers)))
    return successor


def test_failures_and_withheld_tokens_are_inherited() -> None:
    driver = make_driver(servers=3)
    driver.request(1)
    failed = driver.requests[1].attempts[0].server
    driver.end_attempt(1, 0, Outcome.ERROR)
    successor = successor_of(driver, 4)
    assert inherit_state(successor.balancer, driver.balancer) == 3
    server = successor.balancer.server_list.servers[failed]
    assert server.consecutive_failures == 1
    assert not server.has_token
    assert server.circuits == driver.balancer.server_list.servers[failed].circuits != {}


def test_token_of_a_server_with_attempts_in_flight_is_withheld_for_one_mean_latency() -> None:
    driver = make_driver(servers=2)
    driver.request(1)
    busy = driver.requests[1].attempts[0].server
    successor = successor_of(driver, 2)
    inherit_state(successor.balancer, driver.balancer)
    server = successor.balancer.server_list.servers[busy]
    assert server.withheld_until_ms == successor.now + max(successor.balancer.latency.mean_ms)
    assert not server.has_token


def test_restarted_server_inherits_nothing() -> None:
    driver = make_driver(servers=1)
    driver.request(1)
    driver.end_attempt(1, 0, Outcome.ERROR)
    successor = Driver(driver.settings, 2, driver.now)
    successor.update_list(ListKind.CACHED, (ServerEntry(0, started_ms=5.0),))
    assert inherit_state(successor.balancer, driver.balancer) == 0
    assert successor.balancer.server_list.servers[0].consecutive_failures == 0


@pytest.mark.parametrize("servers", [2, 8])
def test_window_is_scaled_by_the_number_of_ready_servers(servers: int) -> None:
    driver = make_driver(servers=4)
    successor = successor_of(driver, servers)
    inherit_state(successor.balancer, driver.balancer)
    assert successor.balancer.admission.window == driver.balancer.admission.window * servers / 4


def test_latency_is_inherited_only_between_the_same_classes() -> None:
    driver = make_driver(servers=2)
    driver.request(0)
    driver.advance(10.0)
    driver.end_attempt(1, 0, Outcome.OK)
    same = successor_of(driver, 2)
    inherit_state(same.balancer, driver.balancer)
    assert same.balancer.latency.mean_ms == driver.balancer.latency.mean_ms
    assert same.balancer.latency.mean_ms is not driver.balancer.latency.mean_ms
    other = successor_of(driver, 2, classes=(IDEMPOTENT,))
    inherit_state(other.balancer, driver.balancer)
    assert other.balancer.latency.responses == [0]


def test_tenant_shares_are_inherited_only_between_the_same_tenants() -> None:
    tenants = (Tenant(100.0), Tenant(100.0))
    driver = make_driver(replace(PLAIN, tenants=tenants))
    for _ in range(10):
        driver.request(0, tenant=1)
    same = successor_of(driver, 10)
    inherit_state(same.balancer, driver.balancer)
    assert same.balancer.quotas.shares == driver.balancer.quotas.shares
    other = successor_of(driver, 10, tenants=(Tenant(100.0),))
    inherit_state(other.balancer, driver.balancer)
    assert other.balancer.quotas.shares == [1.0]


def test_only_transferred_idle_connections_are_inherited() -> None:
    driver = make_driver(servers=2)
    for request in (1, 2):
        driver.request(0)
        driver.end_attempt(request, 0, Outcome.OK)
    successor = successor_of(driver, 2)
    inherit_state(successor.balancer, driver.balancer, frozenset([1]))
    connected = {s.id for s in successor.balancer.server_list.servers.values() if s.connected}
    assert connected == {1}


def test_slow_start_credit_is_inherited_when_the_number_of_instances_changes() -> None:
    driver = Driver(replace(PLAIN, warm_up_ms=20_000.0, instances=2), 1)
    entries = (ServerEntry(0, started_ms=driver.now),)
    driver.update_list(ListKind.FULL, entries)
    before = driver.balancer.slow_start
    assert isinstance(before, SlowStart)
    before.credits[0] = (0.125, before.earned_credit)
    successor = Driver(replace(driver.settings, instances=3), 2, driver.now)
    successor.update_list(ListKind.FULL, entries)
    inherit_state(successor.balancer, driver.balancer)
    after = successor.balancer.slow_start
    assert isinstance(after, SlowStart)
    assert after.credits[0][0] == 0.125
