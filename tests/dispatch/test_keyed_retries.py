"""Tests retries of requests that only an idempotency key makes idempotent, using the real balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from testkit.behaviours import fails_with, waits_for
from testkit.clients import HttpClient
from testkit.platform import SETTINGS
from testkit.servers import FakeServer, serve_ok
from testkit.wire import Response
from tests.event_loop import run
from tests.fakes import fake_servers, loopback, running


def count_requests(servers: Sequence[FakeServer]) -> int:
    """Return the number of requests that the servers have received in total."""
    return sum(len(server.requests) for server in servers)


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
        categories = [dict(category) for category in SETTINGS["Categories"]]
        categories[1]["MemorySpanMs"] = 50
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
