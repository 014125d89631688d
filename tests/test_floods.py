"""Idle callers that take every descriptor they can get while discovery fails: the program as a process, under
the system's own limit.
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
from testkit.platform import SETTINGS
from testkit.ports import free_port
from tests.fakes import PATIENCE_S, FakeDiscovery, FakeUpstream, HttpClient, config_data, running
from tests.platform.harness import ready, spawn
from tests.race_conditions.skipping_clock import SkippingLoop
from tests.race_conditions.skipping_clock import run as skip
from tests.test_attempts import run

ASKED = SETTINGS | {"Discovery": "on_request"}
OWED_S = 3.0  # in which a peer that says nothing has an error or a close
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def flooded(port: int, peers: int) -> AsyncIterator[list[socket.socket]]:
    """So many peers connect and say nothing; one that is closed is left so."""
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
    """Its end or a reset; nothing was asked, so nothing is answered."""
    with suppress(ConnectionError):
        assert await asyncio.get_running_loop().sock_recv(peer, 100) == b""


@pytest.mark.parametrize("fault", ["down", "refusing", "silent"])
@pytest.mark.parametrize("limit", [256, 1024])
def test_idle_callers_do_not_keep_it_from_discovery_from_servers_or_from_others(
    limit: int, fault: str, tmp_path: Path
) -> None:
    """While discovery fails and after its return: `/ready` is answered, callers on new and on kept
    connections are served, the list is heard, and those that say nothing are closed.
    """

    async def work() -> None:
        assert grant_descriptors(2 * limit + 500) >= 2 * limit + 500  # of this process, for all sides
        one, two = await FakeUpstream().start(), await FakeUpstream().start()
        discovery = await FakeDiscovery([one.entry("a")]).start()
        port = free_port()
        data = config_data(
            [one.entry("a")], discovery.port, listen=f"127.0.0.1:{port}", settings=ASKED, known={}
        )
        data["limits"]["sockets"] = limit
        path = tmp_path / "config.json"
        path.write_text(json.dumps(data))
        process = await spawn(path, limit)
        try:
            await ready(port)
            async with HttpClient(port) as kept:
                kept.ask()
                assert (await kept.answer()).status == 200
                if fault == "down":
                    discovery.stop()
                elif fault == "refusing":
                    discovery.garbage = [BUSY] * 1000
                else:
                    discovery.silent = True
                discovery.change(two.entry("b"), one.entry("a", lifecycle="leaving"))
                async with flooded(port, limit + 100) as peers, HttpClient(port) as fresh:
                    await ready(port)
                    for client in (kept, fresh):
                        client.ask()
                        assert (await client.answer()).status == 200
                    # In the same moment that discovery is back, as many come again.
                    discovery.garbage, discovery.silent = [], False
                    if fault == "down":
                        await discovery.start()
                    async with flooded(port, limit + 100):
                        async with asyncio.timeout(4.0 * PATIENCE_S):
                            while not two.seen:
                                kept.ask()
                                assert (await kept.answer()).status == 200
                                await asyncio.sleep(0.05)
                    async with asyncio.timeout(PATIENCE_S):
                        await asyncio.gather(*map(closed, peers))
                await ready(port)
            assert process.returncode is None
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            discovery.stop()
            one.close()
            two.close()

    run(work())


def test_peers_that_say_nothing_are_closed_in_time_while_discovery_is_down(
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
                assert loop.time() - began <= OWED_S
        upstream.close()

    skip(monkeypatch, work)
