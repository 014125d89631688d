"""Tests of the program as a process under the operating system's descriptor limit, while silent clients
occupy all the descriptors that they can get and discovery fails.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from sandhatch.runtime.process import raise_descriptor_limit
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.ports import free_port
from testkit.servers import FakeServer, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.event_loop import run
from tests.fakes import fake_servers, loopback, request_ok
from tests.platform.harness import ready, spawn
from tests.race_conditions.skipping_clock import SkippingLoop
from tests.race_conditions.skipping_clock import run as skip

POLLED_SETTINGS = SETTINGS | {"Discovery": "on_request"}
SILENCE_LIMIT_S = 3.0  # seconds within which a silent client must get an error or be disconnected
BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def connect_silent_clients(port: int, peers: int) -> AsyncIterator[list[socket.socket]]:
    """Connect `peers` clients, which send nothing and do not reconnect when closed."""
    loop = asyncio.get_running_loop()
    peer_sockets = []
    for _ in range(peers):
        peer = socket.socket()
        peer.setblocking(False)
        peer_sockets.append(peer)
    await asyncio.gather(*(loop.sock_connect(peer, ("127.0.0.1", port)) for peer in peer_sockets))
    try:
        yield peer_sockets
    finally:
        for peer in peer_sockets:
            peer.close()


async def expect_close(peer: socket.socket) -> None:
    """Wait for the connection's end or reset; a client that has sent nothing gets no response."""
    with suppress(ConnectionError):
        assert await asyncio.get_running_loop().sock_recv(peer, 100) == b""


def break_discovery(discovery: FakeDiscovery, fault: str) -> None:
    if fault == "down":
        discovery.stop()
    elif fault == "refusing":
        discovery.raw_responses = [BUSY_RESPONSE] * 1000
    else:
        discovery.silent = True


async def restore_discovery(discovery: FakeDiscovery, fault: str) -> None:
    discovery.raw_responses, discovery.silent = [], False
    if fault == "down":
        await discovery.start()


@asynccontextmanager
async def run_program(path: Path, descriptor_limit: int) -> AsyncIterator[None]:
    """Run the program as a separate process, which must still be running at the end."""
    process = await spawn(path, descriptor_limit)
    try:
        yield
        assert process.returncode is None
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


class FailingDiscovery:
    """Two servers, and a discovery service that lists the first one and fails in a given way.

    Attributes:
        first: Server that is listed at the start.
        second: Server that replaces the first one.
        fault: How discovery fails: "down", "refusing" (503 to each call) or "silent" (no response).
        discovery: The discovery service.
    """

    def __init__(self, servers: list[FakeServer], fault: str) -> None:
        self.first, self.second = servers
        self.fault = fault
        self.discovery = FakeDiscovery([self.first.entry("a")])

    def write_config(self, path: Path, port: int, descriptor_limit: int) -> Path:
        """Write the configuration of a program that has no endpoint list at its start."""
        data = config_data(
            [self.first.entry("a")],
            self.discovery.port,
            listen=f"127.0.0.1:{port}",
            settings=POLLED_SETTINGS,
            known={},
        )
        data["limits"]["sockets"] = descriptor_limit
        path.write_text(json.dumps(data))
        return path

    def fail_with_a_change(self) -> None:
        """Make discovery fail, then replace the first server by the second one in its list."""
        break_discovery(self.discovery, self.fault)
        self.discovery.change(self.second.entry("b"), self.first.entry("a", lifecycle="leaving"))

    async def restore(self) -> None:
        await restore_discovery(self.discovery, self.fault)


async def assert_change_is_received(client: HttpClient, second: FakeServer) -> None:
    """Assert that the client is served throughout, and finally by the second server."""
    async with asyncio.timeout(4.0 * RESPONSE_TIMEOUT_S):
        while not second.requests:
            await request_ok(client)
            await asyncio.sleep(0.05)


async def assert_service_under_floods(port: int, limit: int, failing: FailingDiscovery) -> None:
    """Assert that clients are served during and after discovery's failure, with more silent clients than
    descriptors.
    """
    await ready(port)
    async with HttpClient(port) as reused:
        await request_ok(reused)
        failing.fail_with_a_change()
        async with connect_silent_clients(port, limit + 100) as peers, HttpClient(port) as fresh:
            await ready(port)
            for client in (reused, fresh):
                await request_ok(client)
            # The same number of silent clients connects again just when discovery recovers.
            await failing.restore()
            async with connect_silent_clients(port, limit + 100):
                await assert_change_is_received(reused, failing.second)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await asyncio.gather(*map(expect_close, peers))
        await ready(port)


@pytest.mark.parametrize("fault", ["down", "refusing", "silent"])
@pytest.mark.parametrize("limit", [256, 1024])
def test_silent_clients_block_neither_discovery_nor_servers_nor_other_clients(
    limit: int, fault: str, tmp_path: Path
) -> None:
    """During discovery's failure and after its recovery, `/ready` responds, clients on new and on reused
    connections are served, the endpoint list is received, and silent connections are closed.
    """

    async def scenario() -> None:
        # This process holds the descriptors of the clients and of the servers.
        assert raise_descriptor_limit(2 * limit + 500) >= 2 * limit + 500
        async with fake_servers(serve_ok, serve_ok) as servers:
            failing = FailingDiscovery(servers, fault)
            await failing.discovery.start()
            port = free_port()
            path = failing.write_config(tmp_path / "config.json", port, limit)
            try:
                async with run_program(path, limit):
                    await assert_service_under_floods(port, limit, failing)
            finally:
                failing.discovery.stop()

    run(scenario())


def test_silent_clients_time_out_while_discovery_is_down(monkeypatch: pytest.MonkeyPatch) -> None:
    """The test's clock advances only by the program's timers, so that a busy machine adds no time."""

    async def scenario(loop: SkippingLoop) -> None:
        async with loopback(serve_ok, clients=0, base=POLLED_SETTINGS, machine={"sockets": 256}) as network:
            network.balancer.discovery.stop()
            async with connect_silent_clients(network.balancer.port, 60) as peers:
                started_s = loop.time()
                await asyncio.gather(*map(expect_close, peers))
                assert loop.time() - started_s <= SILENCE_LIMIT_S

    skip(monkeypatch, scenario)
