"""The endpoint list: which servers may be drawn at all."""

from __future__ import annotations

from sandhatch.balancing.events import (
    ListKind,
    ServerEntry,
    ServerState,
)
from tests.balancing.policy.harness import (
    make_driver,
    sends,
)


def test_nothing_goes_to_a_draining_or_removed_server() -> None:
    driver = make_driver(servers=3)
    driver.update_list(
        ListKind.DELTA, (ServerEntry(0, ServerState.DRAINING), ServerEntry(1, ServerState.GONE))
    )
    for _ in range(20):
        assert set(sends(driver.request())) <= {2}


def test_a_full_list_removes_the_servers_it_does_not_name() -> None:
    driver = make_driver(servers=3)
    driver.update_list(ListKind.FULL, (ServerEntry(2),))
    assert sends(driver.request()) == [2]
