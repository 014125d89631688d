"""Tests how endpoint list entries change a server: its grace period, and whether its process is the same."""

from __future__ import annotations

import pytest

from sandhatch.balancing.events import ServerState
from sandhatch.upstream.server import UpstreamServer

ADDRESS = ("127.0.0.1", 8080)
OTHER_ADDRESS = ("127.0.0.1", 8081)
READY = ServerState.READY
DRAINING = ServerState.DRAINING


def ready_server() -> UpstreamServer:
    return UpstreamServer(1, ADDRESS, READY, 100.0)


@pytest.mark.parametrize(
    ("address", "state", "started_ms", "same_process"),
    [
        (ADDRESS, READY, 100.0, True),
        (ADDRESS, DRAINING, 100.0, True),
        (ADDRESS, READY, 200.0, False),
        (ADDRESS, DRAINING, 200.0, True),  # start time ignored: a draining server does not restart
        (OTHER_ADDRESS, READY, 100.0, False),
        (OTHER_ADDRESS, DRAINING, 100.0, False),
    ],
)
def test_connections_are_reusable_only_to_the_same_server_process(
    address: tuple[str, int], state: ServerState, started_ms: float, same_process: bool
) -> None:
    assert ready_server().update(address, state, started_ms, 50.0) is same_process


def test_grace_period_runs_from_the_first_notice() -> None:
    server = ready_server()
    server.update(ADDRESS, DRAINING, 100.0, 50.0)
    server.update(ADDRESS, ServerState.GONE, 100.0, 70.0)
    assert server.notified_ms == 50.0


def test_return_to_ready_resets_the_grace_period() -> None:
    server = ready_server()
    server.update(ADDRESS, DRAINING, 100.0, 50.0)
    server.update(ADDRESS, READY, 100.0, 70.0)
    assert server.notified_ms == 0.0
    server.update(ADDRESS, DRAINING, 100.0, 90.0)
    assert server.notified_ms == 90.0
