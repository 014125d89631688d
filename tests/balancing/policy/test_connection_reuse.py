"""Connection reuse: the idle limit and expired connections."""

from __future__ import annotations

from sandhatch.balancing.actions import CloseIdle, Send
from sandhatch.balancing.events import (
    ListKind,
    Outcome,
    ServerEntry,
)
from tests.balancing.policy.harness import (
    make_driver,
    sends,
)


def test_loss_on_an_idle_connection_lowers_the_idle_limit() -> None:
    # Guards against requests lost on connections that were dropped silently while idle: after one loss, idle
    # connections are closed sooner.
    driver = make_driver(servers=1)
    driver.request()
    driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.advance(3000.0)
    assert not any(isinstance(a, CloseIdle) for a in driver.request(class_index=1))
    driver.end_attempt(driver.next_id, 0, Outcome.RESET)
    driver.advance(100.0)
    driver.request()
    driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.advance(3000.0)
    actions = driver.request(class_index=1)
    kinds = [type(a) for a in actions]
    assert kinds.index(CloseIdle) < kinds.index(Send)


def test_refused_connects_at_many_servers_close_idle_connections() -> None:
    # Guards against connection tables filled by the idle connections of hundreds of instances.
    driver = make_driver(servers=50)
    for _ in range(6):
        driver.request()
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    for _ in range(2):
        actions = driver.request()
        while sends(actions):
            actions = driver.end_attempt(
                driver.next_id, len(driver.requests[driver.next_id].attempts) - 1, Outcome.CONNECT_FAILED
            )
    driver.advance(200.0)
    closed = {a.server for _ in range(8) for a in driver.request() if isinstance(a, CloseIdle)}
    assert len(closed) >= 2


def test_connection_of_a_restarted_server_is_discarded() -> None:
    # Guards against treating the connection of an ended process as that of its successor.
    driver = make_driver(servers=3)
    for _ in range(9):
        driver.request()
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.update_list(ListKind.DELTA, tuple(ServerEntry(n, started_ms=driver.now - 1e6) for n in (0, 1)))
    for outcome in [Outcome.OK, Outcome.RESET, Outcome.RESET] * 6:
        driver.request(class_index=1)
        driver.end_attempt(driver.next_id, 0, outcome)
    assert len(driver.balancer.connections.connected) <= 3
