"""Connection reuse: how long an idle connection is trusted."""

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


def test_a_loss_on_an_idle_connection_shortens_the_time_such_ones_are_trusted() -> None:
    # Guards against connections dropped unseen while idle: each is lost once, then closed before it is used.
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


def test_unused_connections_are_closed_where_connects_to_many_servers_fail() -> None:
    # Guards against hundreds of instances filling the servers' connection tables with idle connections.
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


def test_the_connection_of_a_restarted_server_is_forgotten() -> None:
    # Guards against the connection of a process that has ended being taken for its successor's.
    driver = make_driver(servers=3)
    for _ in range(9):
        driver.request()
        driver.end_attempt(driver.next_id, 0, Outcome.OK)
    driver.update_list(ListKind.DELTA, tuple(ServerEntry(n, started_ms=driver.now - 1e6) for n in (0, 1)))
    for outcome in [Outcome.OK, Outcome.RESET, Outcome.RESET] * 6:
        driver.request(class_index=1)
        driver.end_attempt(driver.next_id, 0, outcome)
    assert len(driver.balancer.connections.connected) <= 3
