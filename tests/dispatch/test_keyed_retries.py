"""Tests retries of requests that only an idempotency key makes idempotent, using the real balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.behaviours import fails_with, waits_for
from testkit.clients import HttpClient
from testkit.platform import SETTINGS
from testkit.polling import wait_until
from testkit.servers import FakeServer, serve_ok
from testkit.wire import Response
from tests.event_loop import run
from tests.fakes import fake_servers, loopback, running


def count_requests(servers: Sequence[FakeServer]) -> int:
    """Return the number of requests that the servers have received in total."""
    return sum(len(server.requests) for server in servers)


def categories_with_deduplication_time(time_ms: float) -> list[dict[str, Any]]:
    """Return the default classes, where servers forget the key of a `post` after this time."""
    categories = [dict(category) for category in SETTINGS["Categories"]]
    categories[1]["MemorySpanMs"] = time_ms
    return categories


def delay_connections(pool: ConnectionPool, released: asyncio.Event) -> None:
    """Let each connection that the pool opens from now on come up only after `released` is set."""
    connect = pool._connect

    async def connect_when_released(attempt: Attempt) -> None:
        await released.wait()
        await connect(attempt)

    pool._connect = connect_when_released  # type: ignore[method-assign]


async def send_request_with_key(port: int) -> Response:
    """Send a request with an idempotency key on a connection of its own, and return the response."""
    async with HttpClient(port) as client:
        client.send_request("post", b"x")
        return await client.read_response()


def test_request_with_a_key_that_may_have_run_is_not_retried_in_another_zone() -> None:
    """Guards against a second run in another zone, by a retry of a request with a key that may have run."""

    async def scenario() -> None:
        async with fake_servers(fails_with(500), fails_with(500), serve_ok) as servers:
            north, south = servers[:2], servers[2]
            entries = [server.entry(f"n{index}") for index, server in enumerate(north)]
            async with running(*entries, south.entry("s", zone="south")) as balancer:
                for _ in range(12):
                    north_before, south_before = count_requests(north), len(south.requests)
                    response = await send_request_with_key(balancer.port)
                    if count_requests(north) > north_before:
                        # The request may have run: it is neither rejected nor forwarded to the south zone.
                        assert response.status == 502
                        assert len(south.requests) == south_before
                    else:
                        assert response.status == 200
                        assert len(south.requests) == south_before + 1
            assert count_requests(north) > 0

    run(scenario())


def test_request_with_a_key_is_not_retried_after_the_servers_have_forgotten_the_key() -> None:
    """Guards against a second run of a request whose idempotency key the servers forget before a retry."""

    async def scenario() -> None:
        categories = categories_with_deduplication_time(50)
        key_forgotten = asyncio.Event()
        fails_late = waits_for(key_forgotten, fails_with(500))
        async with loopback(fails_late, fails_late, fails_late, categories=categories) as network:
            network.client.send_request("post", b"x")
            arrivals = [asyncio.ensure_future(server.arrived.get()) for server in network.servers]
            await asyncio.wait(arrivals, return_when=asyncio.FIRST_COMPLETED)
            network.balancer.dispatcher.clock.call_after(60.0, key_forgotten.set)
            assert (await network.client.read_response()).status == 502
            assert count_requests(network.servers) == 1

    run(scenario())


def test_retry_decided_in_time_is_not_written_once_the_servers_have_forgotten_the_key() -> None:
    # Guards against a second run by a retry whose connection comes up after the servers' memory of the key.
    async def scenario() -> None:
        deduplication_ms = 300.0
        categories = categories_with_deduplication_time(deduplication_ms)
        first_responds, connections_come_up = asyncio.Event(), asyncio.Event()
        fails = waits_for(first_responds, fails_with(500))
        async with loopback(fails, fails, fails, categories=categories) as network:
            network.client.send_request("post", b"x")
            await wait_until(lambda: count_requests(network.servers) == 1, "the first attempt is sent")
            delay_connections(network.pool, connections_come_up)
            first_responds.set()
            await wait_until(lambda: network.pool._connecting, "a retry is decided")
            network.balancer.dispatcher.clock.call_after(deduplication_ms, connections_come_up.set)
            assert (await network.client.read_response()).status == 502
            assert count_requests(network.servers) == 1

    run(scenario())


def test_retry_on_a_late_connection_is_written_while_the_servers_remember_the_key() -> None:
    # Guards against the loss of a retry that is late and still in time.
    async def scenario() -> None:
        connections_come_up = asyncio.Event()
        async with loopback(fails_with(500), fails_with(500)) as network:
            delay_connections(network.pool, connections_come_up)
            network.client.send_request("post", b"x")
            network.balancer.dispatcher.clock.call_after(100.0, connections_come_up.set)
            assert (await network.client.read_response()).status == 502
            assert count_requests(network.servers) == SETTINGS["PolicyLimits"]["SendCap"]

    run(scenario())
