"""Tests which requests may still be sent to a draining server, and until when."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sandhatch.balancing.events import (
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerEntry,
    ServerState,
)
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.polling import wait_until
from testkit.servers import serve_ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, loopback, request_ok


def delay_connections_until(notified: asyncio.Event, pool: ConnectionPool) -> None:
    """Delay the pool's new connections until the event is set."""
    connect = pool._connect

    async def connect_once_notified(attempt: Any) -> None:
        await notified.wait()
        await connect(attempt)

    pool._connect = connect_once_notified  # type: ignore[method-assign]


@pytest.mark.parametrize("change", ["leaving", "left"])
def test_expired_drain_grace_period_discards_an_attempt_that_is_connecting(change: str) -> None:
    """Guards against writing to a server whose drain grace period ends while an attempt is connecting."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, script=script) as network:
            network.pool._drain_grace_ms = 0.0  # expires the grace period without a wait
            notified = asyncio.Event()
            delay_connections_until(notified, network.pool)
            network.client.send_request("move", b"x")
            await script.next_event(RequestArrived)
            network.balancer.discovery.change(network.server.entry("a", lifecycle=change))
            await script.next_event(ListUpdate)
            notified.set()
            assert (await script.next_attempt_end()).outcome is Outcome.DISCARDED
            assert (await network.client.read_response()).status == 502
        assert network.server.requests == []

    run(scenario())


def test_drain_grace_period_starts_when_the_notice_counts_as_received() -> None:
    """Guards against requests sent after the grace period when the endpoint list is old: a late notice must
    not restart the period for an attempt that is connecting.
    """

    async def scenario() -> None:
        async with loopback(serve_ok, clients=0, script=ScriptedBalancer([1])) as network:
            dispatcher = network.balancer.dispatcher
            clock = network.balancer.shared.clock
            address = ("127.0.0.1", network.server.port)
            # The drain grace period of 0.5 s begins 6 s (`NOTIFIED_MS`) after the list was last known to be
            # current, so it ends at a list age of 6.5 s.
            for age_s, expired in ((5.0, False), (6.6, True)):
                dispatcher._endpoints.current_since_ms = clock.now_ms() - 1_000.0 * age_s
                draining = ServerEntry(1, ServerState.DRAINING)
                dispatcher.on_listing(Listing(ListKind.DELTA, 2, (draining,), (address,)))
                assert network.pool.has_drain_grace_expired(network.pool.servers[1]) is expired
                ready = ServerEntry(1, ServerState.READY)
                dispatcher.on_listing(Listing(ListKind.DELTA, 3, (ready,), (address,)))

    run(scenario())


def test_new_requests_are_not_sent_to_a_draining_server() -> None:
    """Guards against requests to a draining server: the real balancer uses only the other server."""

    async def scenario() -> None:
        async with loopback(serve_ok, serve_ok) as network:
            draining, other = network.servers
            network.balancer.discovery.change(draining.entry("a", lifecycle="leaving"))
            await wait_until(lambda: network.pool.servers[1].notified_ms)
            for _ in range(20):
                await request_ok(network.client)
        assert draining.requests == []
        assert len(other.requests) == 20

    run(scenario())
