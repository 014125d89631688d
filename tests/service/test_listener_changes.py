"""Listeners and limits across versions."""

from __future__ import annotations

import asyncio
import socket
from copy import deepcopy

import pytest

from sandhatch.config.version import State
from testkit.behaviours import serves, waits_for
from testkit.clients import HttpClient
from testkit.ports import free_port
from tests.service.harness import FakeServers, run, serving


def test_version_with_a_listener_whose_address_is_in_use_fails_to_stage() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        first_config = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            async with serving(first_config) as running:
                second_config = deepcopy(first_config)
                second_config["listeners"]["extra"] = {"address": "127.0.0.1:0"}
                second_config["listeners"]["back"] = {"address": f"127.0.0.1:{taken.getsockname()[1]}"}
                version = await running.commit(second_config)
                assert version.state is State.FAILED
                assert "listeners.back.address" in version.why
                assert "in use" in version.why
                assert len(running.service.listeners) == 1
                assert set(running.service.running) == {1}
        fake_servers.close()

    run(scenario())


def test_removed_listener_closes_and_a_rollback_reopens_it() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        port = free_port()
        first_config = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
        first_config["listeners"]["back"] = {"address": f"127.0.0.1:{port}"}
        async with serving(first_config) as running, HttpClient(port) as before:
            before.send_request()
            assert (await before.read_response()).body == b"a1"
            second_config = deepcopy(first_config)
            del second_config["listeners"]["back"]
            await running.commit(second_config, until_terminal=False, confirm_within_ms=60_000.0)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            assert await before.read_to_end() == b""  # a removed listener closes its idle connections
            running.service.rollback()
            async with HttpClient(port) as after:
                after.send_request()
                assert (await after.read_response()).body == b"a1"
        fake_servers.close()

    run(scenario())


def test_limits_below_the_present_use_abort_no_request() -> None:
    async def scenario() -> None:
        names = ("a1", "a2", "a3", "a4")
        fake_servers = await FakeServers().start(*names, "o1")
        released = asyncio.Event()

        fake_servers.behaviours.update(dict.fromkeys(names, waits_for(released, serves(b"done"))))
        first_config = fake_servers.config(
            fake_servers.pool(*names), fake_servers.pool("o1"), limits={"sockets": 1024, "memory_mb": 64}
        )
        async with serving(first_config) as running:
            clients = [await HttpClient(running.port).__aenter__() for _ in range(20)]
            for client in clients:
                client.send_request()
            await running.wait_until(
                lambda: sum(len(fake_servers.servers[name].requests) for name in names) == 20
            )
            small = deepcopy(first_config) | {"limits": {"sockets": 80, "memory_mb": 16}}
            small["pools"]["web"]["max_connections"] = 1
            await running.commit_and_confirm(small)
            assert running.service.shared.max_clients < 20
            assert running.service.shared.descriptors.limit < 20
            released.set()
            for client in clients:
                response = await client.read_response()
                assert (response.status, response.body) == (200, b"done")
                await client.__aexit__()
            async with HttpClient(running.port) as late:
                late.send_request()
                assert (await late.read_response()).status == 200
        fake_servers.close()

    run(scenario())
