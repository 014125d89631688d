"""Silent clients that take every descriptor they can get while discovery fails: the program as a process,
under the system's own limit.
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
from tests.fakes import fake_servers, loopback, served
from tests.platform.harness import ready, spawn
from tests.race_conditions.skipping_clock import SkippingLoop
from tests.race_conditions.skipping_clock import run as skip

POLLED = SETTINGS | {"Discovery": "on_request"}
SILENCE_LIMIT_S = 3.0  # within which a silent client gets an error or a close
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def flooded(port: int, peers: int) -> AsyncIterator[list[socket.socket]]:
    """That many clients connect and send nothing; one that is closed is left so."""
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


async def closed(peer: socket.socket) -> None:
    """Expects its end or a reset: nothing was sent, so nothing is answered."""
    with suppress(ConnectionError):
        assert await asyncio.get_running_loop().sock_recv(peer, 100) == b""


def break_discovery(discovery: FakeDiscovery, fault: str) -> None:
    if fault == "down":
        discovery.stop()
    elif fault == "refusing":
        discovery.garbage = [BUSY] * 1000
    else:
        discovery.silent = True


async def restore_discovery(discovery: FakeDiscovery, fault: str) -> None:
    discovery.garbage, discovery.silent = [], False
    if fault == "down":
        await discovery.start()


@asynccontextmanager
async def program(path: Path, descriptor_limit: int) -> AsyncIterator[None]:
    """The program as a process of its own, which must still run at the end."""
    process = await spawn(path, descriptor_limit)
    try:
        yield
        assert process.returncode is None
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


class FailingDiscovery:
    """Two servers, and a discovery that lists the first and fails in one way."""

    def __init__(self, servers: list[FakeServer], fault: str) -> None:
        self.first, self.second = servers
        self.fault = fault
        self.discovery = FakeDiscovery([self.first.entry("a")])

    def write_config(self, path: Path, port: int, descriptor_limit: int) -> Path:
        """The configuration of a program that knows no list at its start."""
        data = config_data(
            [self.first.entry("a")],
            self.discovery.port,
            listen=f"127.0.0.1:{port}",
            settings=POLLED,
            known={},
        )
        data["limits"]["sockets"] = descriptor_limit
        path.write_text(json.dumps(data))
        return path

    def fail_with_a_change(self) -> None:
        """Discovery fails, and then its list changes: the second server takes the first one's place."""
        break_discovery(self.discovery, self.fault)
        self.discovery.change(self.second.entry("b"), self.first.entry("a", lifecycle="leaving"))

    async def restore(self) -> None:
        await restore_discovery(self.discovery, self.fault)


async def assert_change_is_received(client: HttpClient, second: FakeServer) -> None:
    """The client is served all the time, and by the second server in the end."""
    async with asyncio.timeout(4.0 * RESPONSE_TIMEOUT_S):
        while not second.requests:
            await served(client)
            await asyncio.sleep(0.05)


async def assert_service_under_floods(port: int, limit: int, failing: FailingDiscovery) -> None:
    """While discovery fails and once it is back, with more silent clients than there are descriptors."""
    await ready(port)
    async with HttpClient(port) as reused:
        await served(reused)
        failing.fail_with_a_change()
        async with flooded(port, limit + 100) as peers, HttpClient(port) as fresh:
            await ready(port)
            for client in (reused, fresh):
                await served(client)
            # In the same moment that discovery is back, as many come again.
            await failing.restore()
            async with flooded(port, limit + 100):
                await assert_change_is_received(reused, failing.second)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await asyncio.gather(*map(closed, peers))
        await ready(port)


@pytest.mark.parametrize("fault", ["down", "refusing", "silent"])
@pytest.mark.parametrize("limit", [256, 1024])
def test_silent_clients_block_neither_discovery_nor_servers_nor_other_clients(
    limit: int, fault: str, tmp_path: Path
) -> None:
    """While discovery fails and after its return: `/ready` is answered, clients on new and on reused
    connections are served, the endpoint list is received, and silent connections are closed.
    """

    async def work() -> None:
        assert raise_descriptor_limit(2 * limit + 500) >= 2 * limit + 500  # of this process, for both sides
        async with fake_servers(serve_ok, serve_ok) as servers:
            failing = FailingDiscovery(servers, fault)
            await failing.discovery.start()
            port = free_port()
            path = failing.write_config(tmp_path / "config.json", port, limit)
            try:
                async with program(path, limit):
                    await assert_service_under_floods(port, limit, failing)
            finally:
                failing.discovery.stop()

    run(work())


def test_silent_clients_time_out_while_discovery_is_down(monkeypatch: pytest.MonkeyPatch) -> None:
    """Under a clock that skips, so that it tells the program's own times."""

    async def work(loop: SkippingLoop) -> None:
        async with loopback(serve_ok, clients=0, base=POLLED, machine={"sockets": 256}) as network:
            network.balancer.discovery.stop()
            async with flooded(network.balancer.port, 60) as peers:
                started_s = loop.time()
                await asyncio.gather(*map(closed, peers))
                assert loop.time() - started_s <= SILENCE_LIMIT_S

    skip(monkeypatch, work)
