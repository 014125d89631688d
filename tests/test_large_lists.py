"""Lists of over a thousand servers: no cap, whole in any form, and within the memory of a small copy."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Send
from sandhatch.balancing.events import ListKind, ListUpdate, RequestArrived
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.discovery.client import MAX_LIST, Names, parse_listing
from sandhatch.http1.parser import ResponseReader
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data, entry
from testkit.ports import free_port
from testkit.servers import FakeUpstream
from testkit.wire import PATIENCE_S, ok
from tests.fakes import running
from tests.platform.harness import ready, spawn
from tests.test_attempts import run

SERVERS = 1_500
MEMORY_MB = 64


def rows(number: int, first: dict[str, Any]) -> list[dict[str, Any]]:
    return [first, *(entry(f"s-{n:08x}", 1 + n % 60_000, lifecycle="leaving") for n in range(number - 1))]


@pytest.mark.parametrize("indent", [None, 4])
def test_a_list_in_single_bytes_is_whole_whatever_its_size(indent: int | None) -> None:
    data = {"generation": 7, "reset": True, "instances": rows(SERVERS, entry("a", 9))}
    payload = ok(json.dumps(data, indent=indent).encode())
    assert len(payload) < MAX_LIST
    reader = ResponseReader(MAX_LIST)
    answers = [event for byte in payload for event in reader.feed(bytes([byte]))]
    assert len(answers) == 1 and reader.fault is None
    listing = parse_listing(json.loads(answers[0].body), Names((), ()))
    assert len(listing.entries) == len({row.server for row in listing.entries}) == SERVERS


def test_every_server_of_a_large_list_is_drawn() -> None:
    settings = Settings([RequestClass(1_000.0, 1_000.0, Effect.IDEMPOTENT)], instances=230, tier=1, tiers=2)
    balancer = Balancer(settings, 1)
    data = {"generation": 7, "reset": True, "instances": [entry(f"s-{n}", 1 + n) for n in range(SERVERS)]}
    listing = parse_listing(data, Names((), ()))
    balancer.handle(1.0, ListUpdate(ListKind.FULL, 7, listing.entries))
    used = set()
    for number in range(SERVERS):
        actions = balancer.handle(2.0 + number / 1e6, RequestArrived(number, 0, 1_000.0))
        used |= {action.server for action in actions if isinstance(action, Send)}
    assert len(used) == SERVERS  # each holds a token until it has a call


def test_a_change_within_a_large_list_is_heard() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        listed = rows(SERVERS, upstream.entry("a"))
        async with running(*listed, known={}) as balancer, HttpClient(balancer.port) as client:
            table = balancer.dispatcher.connection_pool.table
            async with asyncio.timeout(PATIENCE_S):
                while not balancer.dispatcher.ready:
                    await asyncio.sleep(0.01)
            assert len(table) == SERVERS
            balancer.discovery.change(upstream.entry("a", lifecycle="leaving"), upstream.entry("late"))
            async with asyncio.timeout(PATIENCE_S):
                while len(table) == SERVERS:
                    await asyncio.sleep(0.01)
            client.ask()
            assert (await client.answer()).status == 200
        upstream.close()

    run(work())


def test_a_large_list_fits_a_small_copy(tmp_path: Path) -> None:
    """As known at the start, and as the whole list that discovery tells."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        listed = rows(SERVERS, upstream.entry("a"))
        discovery = await FakeDiscovery(listed).start()
        discovery.generation = 3  # a later one than is known
        port = free_port()
        data = config_data(
            listed,
            discovery.port,
            listen=f"127.0.0.1:{port}",
            settings=SETTINGS | {"Discovery": "on_request"},
            limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256},
        )
        path = tmp_path / "config.json"
        path.write_text(json.dumps(data))
        process = await spawn(path)
        try:
            await ready(port)
            async with asyncio.timeout(PATIENCE_S):
                while "after=" not in await discovery.calls.get():
                    pass
            async with HttpClient(port) as client:
                client.ask()
                assert (await client.answer()).status == 200
            status = Path(f"/proc/{process.pid}/status").read_text()
            peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
            assert int(peak.split()[1]) / 1024 <= MEMORY_MB, peak
        finally:
            process.kill()
            await process.wait()
            discovery.stop()
            upstream.close()

    run(work())
