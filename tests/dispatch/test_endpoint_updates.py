"""Tests endpoint lists applied to a pool: removal of servers, withdrawal of servers by a newer
configuration, and snapshots of the list."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.dispatch.endpoint_updates import EndpointUpdates
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.upstream.connection_pool import ConnectionLimits, ConnectionPool
from tests.event_loop import run

READY = ServerState.READY
DRAINING = ServerState.DRAINING


def listing(kind: ListKind, *states: tuple[int, ServerState]) -> Listing:
    entries = tuple(ServerEntry(number, state) for number, state in states)
    addresses = tuple(("127.0.0.1", 8000 + number) for number, _ in states)
    return Listing(kind, 1, entries, addresses)


@pytest.fixture
def updates() -> EndpointUpdates:
    """Endpoint updates of a pool that has no endpoint list yet."""
    created: list[EndpointUpdates] = []

    async def make() -> None:
        shared = SharedResources(asyncio.get_running_loop(), "test", 64, 1_000.0, 100)
        limits = ConnectionLimits(10, 60_000.0, 500.0, 1_000.0)
        pool = ConnectionPool(shared.clock, shared.memory_budget, shared.descriptors, limits)
        settings = Settings([RequestClass(1_000.0, 1_000.0, Effect.IDEMPOTENT)])
        created.append(EndpointUpdates(settings, pool))

    run(make())
    return created[0]


def states(updates: EndpointUpdates) -> dict[int, ServerState]:
    return {number: server.state for number, server in updates._connection_pool.servers.items()}


def test_complete_list_removes_absent_servers_and_a_delta_does_not(updates: EndpointUpdates) -> None:
    updates.apply(listing(ListKind.FULL, (1, READY), (2, READY)), 0.0)
    updates.apply(listing(ListKind.DELTA, (3, READY)), 0.0)
    assert set(states(updates)) == {1, 2, 3}
    updates.apply(listing(ListKind.FULL, (2, READY)), 0.0)
    assert set(states(updates)) == {2}
    assert [entry.server for entry in updates.snapshot().entries] == [2]


def test_pool_is_ready_only_while_a_server_is_ready(updates: EndpointUpdates) -> None:
    assert not updates.has_ready_server
    updates.apply(listing(ListKind.FULL, (1, READY)), 0.0)
    assert updates.has_ready_server
    updates.apply(listing(ListKind.DELTA, (1, DRAINING)), 0.0)
    assert not updates.has_ready_server


def test_withdrawn_servers_stay_draining_when_the_source_lists_them_as_ready(
    updates: EndpointUpdates,
) -> None:
    updates.apply(listing(ListKind.FULL, (1, READY), (2, READY)), 0.0)
    drained = updates.withdraw(frozenset((2,)), 50.0)
    assert [(entry.server, entry.state) for entry in drained] == [(1, DRAINING)]
    assert updates._connection_pool.servers[1].notified_ms == 50.0
    for_balancer = updates.apply(listing(ListKind.FULL, (1, READY), (2, READY), (3, READY)), 60.0)
    assert [entry.state for entry in for_balancer.entries] == [DRAINING, READY, DRAINING]
    assert states(updates) == {1: DRAINING, 2: READY, 3: DRAINING}


def test_restored_servers_are_ready_once_the_source_lists_them(updates: EndpointUpdates) -> None:
    updates.apply(listing(ListKind.FULL, (1, READY)), 0.0)
    assert not updates.restore()  # no withdrawal by a configuration is in force
    updates.withdraw(frozenset(), 50.0)
    assert updates.restore()
    updates.apply(listing(ListKind.FULL, (1, READY)), 60.0)
    assert states(updates) == {1: READY}
    assert updates._connection_pool.servers[1].notified_ms == 0.0


def test_snapshot_has_the_addresses_of_its_entries(updates: EndpointUpdates) -> None:
    updates.apply(listing(ListKind.FULL, (1, READY), (2, DRAINING)), 0.0)
    snapshot = updates.snapshot()
    assert snapshot.kind is ListKind.FULL
    assert [entry.server for entry in snapshot.entries] == [1, 2]
    assert snapshot.addresses == (("127.0.0.1", 8001), ("127.0.0.1", 8002))
