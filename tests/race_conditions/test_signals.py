"""Races of signals to the real process with its start-up, its discovery calls, and each other."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from testkit.behaviours import serves
from testkit.clients import HttpClient, request_bytes
from testkit.discovery import FakeDiscovery
from testkit.platform import config_data
from testkit.ports import free_port
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.event_loop import run
from tests.platform.harness import exit_code, ready, started
from tests.race_conditions.harness import DelayedResponseServer


class ReadinessWaitingClient(HttpClient):
    """A client that waits until the program is ready; its connection has had a response and is idle."""

    async def __aenter__(self) -> HttpClient:
        await ready(self._port)
        client = await super().__aenter__()
        client.send_request(target="/ready")
        assert (await client.read_response()).status == 200
        return client


async def wait_until_shutting_down(port: int) -> None:
    """Waits until the program has received SIGTERM: it is no longer ready, or rejects connections.

    The program goes on accepting for half a second; on a busy computer, this check may run only later.
    """
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            try:
                async with HttpClient(port) as client:
                    client.send_request(target="/ready")
                    if (await client.read_response()).status == 503:
                        return
            except ConnectionRefusedError:
                return
            except (ConnectionError, AssertionError):
                pass  # the program stopped accepting after this client had connected


async def wait_until_watched_from(discovery: FakeDiscovery, generation: int) -> None:
    """Waits until discovery receives a watch for changes after this generation."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while f"after={generation}&" not in await discovery.calls.get():
            pass


def test_sigterm_before_the_program_is_ready_makes_it_exit(tmp_path: Path) -> None:
    """Guards against an exit that waits for discovery's first response, although no request is pending."""

    async def scenario() -> None:
        discovery = await FakeDiscovery([]).start()
        discovery.delay_s = 10.0 * RESPONSE_TIMEOUT_S
        port = free_port()
        data = config_data([], discovery.port, listen=f"127.0.0.1:{port}", known={})
        async with started(tmp_path / "config.json", data) as process:
            await ready(port, 503)
            await discovery.calls.get()
            process.send_signal(signal.SIGTERM)
            assert await exit_code(process) == 0
        discovery.stop()

    run(scenario())


def test_repeated_sigterm_and_sighup_neither_shorten_nor_restart_a_shutdown(tmp_path: Path) -> None:
    """Guards against losing or repeating the request in flight during the signals."""

    async def scenario() -> None:
        upstream = await DelayedResponseServer().start()
        discovery = await FakeDiscovery([upstream.entry("a")]).start()
        port = free_port()
        data = config_data([upstream.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
        async with (
            started(tmp_path / "config.json", data) as process,
            ReadinessWaitingClient(port) as in_flight,
        ):
            in_flight.send_request("move", b"x")
            await upstream.arrived.get()
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            await wait_until_shutting_down(port)
            process.send_signal(signal.SIGTERM)
            upstream.release()
            response = await in_flight.read_response()
            assert (response.status, response.headers.get("connection")) == (200, "close")
            assert await exit_code(process) == 0
        assert len(upstream.requests) == 1
        upstream.close()
        discovery.stop()

    run(scenario())


def test_endpoint_list_is_watched_during_a_shutdown(tmp_path: Path) -> None:
    """Guards against requests to a server that drains after SIGTERM; they must go to the other server."""

    async def scenario() -> None:
        old = await DelayedResponseServer(serves(b"old")).start()
        new = await FakeServer(serves(b"new")).start()
        discovery = await FakeDiscovery([old.entry("a")]).start()
        port = free_port()
        data = config_data([old.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
        async with (
            started(tmp_path / "config.json", data) as process,
            ReadinessWaitingClient(port) as in_flight,
            ReadinessWaitingClient(port) as late,
        ):
            in_flight.send_request("move", b"x")
            await old.arrived.get()
            late_request = request_bytes("move", b"x")
            late.send(late_request[:10])  # a partial request, so that the connection is not closed as idle
            process.send_signal(signal.SIGTERM)
            await wait_until_shutting_down(port)
            discovery.change(old.entry("a", lifecycle="leaving"), new.entry("b"))
            # The next watch shows that the program has received the change of the endpoint list.
            await wait_until_watched_from(discovery, discovery.generation)
            late.send(late_request[10:])
            assert (await late.read_response()).body == b"new"
            old.release()
            assert (await in_flight.read_response()).body == b"old"
            assert await exit_code(process) == 0
        old.close()
        new.close()
        discovery.stop()

    run(scenario())


def test_sighup_to_an_unreachable_address_does_not_delay_the_next_reload(tmp_path: Path) -> None:
    """Guards against a reload that waits for a call to an unreachable address.

    The current endpoint list stays in use meanwhile. The new discovery's list versions are lower than the
    first discovery's.
    """

    async def scenario() -> None:
        first_server = await FakeServer().start()
        second_server = await FakeServer(serves(b"second")).start()
        old = await FakeDiscovery([first_server.entry("a")]).start()
        new = await FakeDiscovery([second_server.entry("b")]).start()
        old.generation = 41
        port = free_port()
        known = {"generation": 41, "reset": True, "instances": [first_server.entry("a")]}
        data = config_data([first_server.entry("a")], old.port, listen=f"127.0.0.1:{port}", known=known)
        path = tmp_path / "config.json"
        async with started(path, data) as process, ReadinessWaitingClient(port) as client:
            path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{free_port()}"}))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while b"discovery: " not in await process.stderr.readline():
                    pass  # the first call to the unreachable address has failed
            client.send_request()
            assert (await client.read_response()).body == b"served"
            path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{new.port}"}))
            process.send_signal(signal.SIGHUP)
            await wait_until_watched_from(new, 1)
            client.send_request()
            assert (await client.read_response()).body == b"second"
        first_server.close()
        second_server.close()
        old.stop()
        new.stop()

    run(scenario())
