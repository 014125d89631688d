"""Retries of requests that are idempotent with a key, with the real balancer."""

from __future__ import annotations

import asyncio

from testkit.clients import HttpClient
from testkit.platform import SETTINGS
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import ReceivedRequest, status
from tests.event_loop import run
from tests.fakes import running
from tests.upstream.behaviours import sends


def test_keyed_request_that_may_have_run_is_not_retried_in_another_zone() -> None:
    """Guards keyed retries: never to another zone once the request may have run."""

    async def work() -> None:
        north = [await FakeServer(sends(status(500))).start() for _ in range(2)]
        south = await FakeServer().start()
        entries = [server.entry(f"n{index}") for index, server in enumerate(north)]
        entries.append(south.entry("s", zone="south"))
        async with running(*entries) as balancer:
            for _ in range(12):
                north_before = sum(len(server.requests) for server in north)
                south_before = len(south.requests)
                async with HttpClient(balancer.port) as client:
                    client.send_request("post", b"x")
                    answer = await client.read_response()
                attempts_north = sum(len(server.requests) for server in north) - north_before
                if attempts_north:  # it may have run there: neither rejected nor sent south
                    assert answer.status == 502
                    assert len(south.requests) == south_before
                else:
                    assert answer.status == 200
                    assert len(south.requests) == south_before + 1
        assert sum(len(server.requests) for server in north) > 0
        for server in (*north, south):
            server.close()

    run(work())


def test_keyed_request_is_not_retried_once_its_key_is_forgotten() -> None:
    """Guards against a second run: the servers have forgotten the key when the first attempt fails."""

    async def work() -> None:
        categories = [dict(category) for category in SETTINGS["Categories"]]
        categories[1]["MemorySpanMs"] = 50
        key_forgotten = asyncio.Event()

        async def fails_late(request: ReceivedRequest, talk: FakeConnection) -> None:
            await key_forgotten.wait()
            await talk.send(status(500))

        servers = [await FakeServer(fails_late).start() for _ in range(3)]
        entries = [server.entry(f"n{index}") for index, server in enumerate(servers)]
        async with running(*entries, categories=categories) as balancer, HttpClient(balancer.port) as client:
            client.send_request("post", b"x")
            arrivals = [asyncio.ensure_future(server.arrived.get()) for server in servers]
            await asyncio.wait(arrivals, return_when=asyncio.FIRST_COMPLETED)
            balancer.dispatcher.clock.call_after(60.0, key_forgotten.set)
            assert (await client.read_response()).status == 502
            assert sum(len(server.requests) for server in servers) == 1
        for server in servers:
            server.close()

    run(work())
