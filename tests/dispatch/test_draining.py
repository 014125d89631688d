"""Servers that drain: what may still be sent to them, and until when."""

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
from testkit.clients import HttpClient
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running


@pytest.mark.parametrize("change", ["leaving", "left"])
def test_expired_drain_grace_stops_an_attempt_that_is_connecting(change: str) -> None:
    """Guards the drain: notified while the connection comes up, so that not a byte may be written."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            pool = balancer.dispatcher.connection_pool
            pool._grace_ms = 0.0  # so that no test waits for it
            connect = pool._connect
            notified = asyncio.Event()

            async def connect_once_notified(attempt: Any) -> None:
                await notified.wait()
                await connect(attempt)

            pool._connect = connect_once_notified  # type: ignore[method-assign]
            client.send_request("move", b"x")
            while not any(isinstance(event, RequestArrived) for event in script.events):
                await script.told.get()
            balancer.discovery.change(upstream.entry("a", lifecycle=change))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not isinstance(await script.told.get(), ListUpdate):
                    pass
            notified.set()
            assert (await script.ended()).outcome is Outcome.DISCARDED
            assert (await client.read_response()).status == 502
        upstream.close()
        assert upstream.requests == []

    run(work())


def test_drain_grace_runs_from_when_the_notice_counted_as_received() -> None:
    """Guards the drain behind a list that grew old: its notice came late, and an attempt that is connecting
    would be sent within a grace period that was over.
    """

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a"), script=ScriptedBalancer([1])) as balancer:
            dispatcher = balancer.dispatcher
            clock = balancer.shared.clock
            address = ("127.0.0.1", upstream.port)
            # The grace period is 0.5 s, and a change counts as received after 6 s.
            for age_s, expired in ((5.0, False), (6.6, True)):
                dispatcher._endpoints.current_since_ms = clock.now_ms() - 1_000.0 * age_s
                draining = ServerEntry(1, ServerState.DRAINING)
                dispatcher.on_listing(Listing(ListKind.DELTA, 2, (draining,), (address,)))
                server = dispatcher.connection_pool.table[1]
                assert dispatcher.connection_pool.grace_expired(server) is expired
                ready = ServerEntry(1, ServerState.READY)
                dispatcher.on_listing(Listing(ListKind.DELTA, 3, (ready,), (address,)))
        upstream.close()

    run(work())


def test_nothing_new_goes_to_a_draining_server() -> None:
    """Guards the drain with the real balancer: the next requests all go to the other server."""

    async def work() -> None:
        draining = await FakeServer().start()
        other = await FakeServer().start()
        async with (
            running(draining.entry("a"), other.entry("b")) as balancer,
            HttpClient(balancer.port) as client,
        ):
            balancer.discovery.change(draining.entry("a", lifecycle="leaving"))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not balancer.dispatcher.connection_pool.table[1].notified_ms:
                    await asyncio.sleep(0.01)
            for _ in range(20):
                client.send_request()
                assert (await client.read_response()).status == 200
        draining.close()
        other.close()
        assert draining.requests == []
        assert len(other.requests) == 20

    run(work())
