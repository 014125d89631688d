"""The endpoint list: servers that may be drawn."""

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


def test_draining_and_removed_servers_receive_no_request() -> None:
    driver = make_driver(servers=3)
    driver.update_list(
        ListKind.DELTA, (ServerEntry(0, ServerState.DRAINING), ServerEntry(1, ServerState.GONE))
    )
    for _ in range(20):
        assert set(sends(driver.request())) <= {2}


def test_full_list_removes_servers_missing_from_it() -> None:
    driver = make_driver(servers=3)
    driver.update_list(ListKind.FULL, (ServerEntry(2),))
    assert sends(driver.request()) == [2]
