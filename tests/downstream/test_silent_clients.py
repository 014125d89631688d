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

from sandhatch.runtime.process import grant_descriptors
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.ports import free_port
from testkit.servers import FakeUpstream
from testkit.wire import PATIENCE_S
from tests.fakes import running
from tests.platform.harness import ready, spawn
from tests.race_conditions.skipping_clock import SkippingLoop
from tests.race_conditions.skipping_clock import run as skip
from tests.test_attempts import run

ASKED = SETTINGS | {"Discovery": "on_request"}
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


async def served(client: HttpClient) -> None:
    client.ask()
    assert (await client.answer()).status == 200


@pytest.mark.parametrize("fault", ["down", "refusing", "silent"])
@pytest.mark.parametrize("limit", [256, 1024])
def test_silent_clients_block_neither_discovery_nor_servers_nor_other_clients(
    limit: int, fault: str, tmp_path: Path
) -> None:
    """While discovery fails and after its return: `/ready` is answered, clients on new and on reused
    connections are served, the endpoint list is received, and silent connections are closed.
    """

    async def work(first: FakeUpstream, second: FakeUpstream, discovery: FakeDiscovery) -> None:
        port = free_port()
        data = config_data(
            [first.entry("a")], discovery.port, listen=f"127.0.0.1:{port}", settings=ASKED, known={}
        )
        data["limits"]["sockets"] = limit
        path = tmp_path / "config.json"
        path.write_text(json.dumps(data))
        async with program(path, limit):
            await ready(port)
            async with HttpClient(port) as reused:
                await served(reused)
                break_discovery(discovery, fault)
                discovery.change(second.entry("b"), first.entry("a", lifecycle="leaving"))
                async with flooded(port, limit + 100) as peers, HttpClient(port) as fresh:
                    await ready(port)
                    for client in (reused, fresh):
                        await served(client)
                    # In the same moment that discovery is back, as many come again.
                    await restore_discovery(discovery, fault)
                    async with flooded(port, limit + 100), asyncio.timeout(4.0 * PATIENCE_S):
                        while not second.seen:
                            await served(reused)
                            await asyncio.sleep(0.05)
                    async with asyncio.timeout(PATIENCE_S):
                        await asyncio.gather(*map(closed, peers))
                await ready(port)

    async def with_servers() -> None:
        assert grant_descriptors(2 * limit + 500) >= 2 * limit + 500  # of this process, for both sides
        first, second = await FakeUpstream().start(), await FakeUpstream().start()
        discovery = await FakeDiscovery([first.entry("a")]).start()
        try:
            await work(first, second, discovery)
        finally:
            discovery.stop()
            first.close()
            second.close()

    run(with_servers())


def test_silent_clients_time_out_while_discovery_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Under a clock that skips, so that it tells the program's own times."""

    async def work(loop: SkippingLoop) -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a"), base=ASKED, machine={"sockets": 256}) as balancer:
            balancer.discovery.stop()
            async with flooded(balancer.port, 60) as peers:
                began = loop.time()
                await asyncio.gather(*map(closed, peers))
                assert loop.time() - began <= SILENCE_LIMIT_S
        upstream.close()

    skip(monkeypatch, work)
