"""Tests of endpoint lists with over a thousand servers: no length limit, complete parsing, bounded memory."""

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
from sandhatch.discovery.connection import MAX_LIST_BYTES
from sandhatch.discovery.endpoint_list import parse_listing
from sandhatch.discovery.numbering import EndpointNumbering
from sandhatch.http1.parser import ResponseParser
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data, entry
from testkit.polling import wait_until
from testkit.ports import free_port
from testkit.servers import FakeServer, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S, ok
from tests.event_loop import run
from tests.fakes import fake_servers, request_ok, running
from tests.platform.harness import ready, spawn
from tests.process_memory import memory_mb

SERVER_COUNT = 1_500
MAX_MEMORY_MB = 64


def make_rows(count: int, first: dict[str, Any]) -> list[dict[str, Any]]:
    return [first, *(entry(f"s-{n:08x}", 1 + n % 60_000, lifecycle="leaving") for n in range(count - 1))]


@pytest.mark.parametrize("indent", [None, 4])
def test_large_list_received_in_single_bytes_is_parsed_completely(indent: int | None) -> None:
    data = {"generation": 7, "reset": True, "instances": make_rows(SERVER_COUNT, entry("a", 9))}
    payload = ok(json.dumps(data, indent=indent).encode())
    assert len(payload) < MAX_LIST_BYTES
    reader = ResponseParser(MAX_LIST_BYTES)
    responses = [event for byte in payload for event in reader.feed(bytes([byte]))]
    assert len(responses) == 1
    assert reader.fault is None
    listing = parse_listing(json.loads(responses[0].body), EndpointNumbering((), ()))
    assert len(listing.entries) == len({row.server for row in listing.entries}) == SERVER_COUNT


def test_every_server_of_a_large_list_receives_requests() -> None:
    settings = Settings([RequestClass(1_000.0, 1_000.0, Effect.IDEMPOTENT)], instances=230, tier=1, tiers=2)
    balancer = Balancer(settings, 1)
    data = {
        "generation": 7,
        "reset": True,
        "instances": [entry(f"s-{n}", 1 + n) for n in range(SERVER_COUNT)],
    }
    listing = parse_listing(data, EndpointNumbering((), ()))
    balancer.handle(1.0, ListUpdate(ListKind.FULL, 7, listing.entries))
    used = set()
    for number in range(SERVER_COUNT):
        actions = balancer.handle(2.0 + number / 1e6, RequestArrived(number, 0, 1_000.0))
        used |= {action.server for action in actions if isinstance(action, Send)}
    assert len(used) == SERVER_COUNT  # each server is believed idle at first, so each gets a request


def test_change_within_a_large_list_is_applied() -> None:
    async def scenario() -> None:
        async with fake_servers(serve_ok) as (upstream,):
            listed = make_rows(SERVER_COUNT, upstream.entry("a"))
            async with running(*listed, known={}) as balancer, HttpClient(balancer.port) as client:
                table = balancer.dispatcher.connection_pool.servers
                await wait_until(lambda: balancer.dispatcher.has_ready_server)
                assert len(table) == SERVER_COUNT
                balancer.discovery.change(upstream.entry("a", lifecycle="leaving"), upstream.entry("late"))
                await wait_until(lambda: len(table) > SERVER_COUNT)
                await request_ok(client)

    run(scenario())


def write_config(
    path: Path, known_entries: list[dict[str, Any]], discovery: FakeDiscovery, port: int
) -> Path:
    """Write the configuration of a small instance whose `known` list is complete."""
    data = config_data(
        known_entries,
        discovery.port,
        listen=f"127.0.0.1:{port}",
        settings=SETTINGS | {"Discovery": "on_request"},
        limits={"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": 256},
    )
    path.write_text(json.dumps(data))
    return path


async def wait_for_watch(discovery: FakeDiscovery) -> None:
    """Wait for the balancer's watch call that follows the receipt of the complete list."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while "after=" not in await discovery.calls.get():
            pass


def test_large_list_stays_within_the_memory_of_a_small_instance(tmp_path: Path) -> None:
    """The memory limit holds for the list known at the start and for the complete list from discovery."""

    async def scenario(
        server: FakeServer, discovery: FakeDiscovery, known_entries: list[dict[str, Any]]
    ) -> None:
        port = free_port()
        process = await spawn(write_config(tmp_path / "config.json", known_entries, discovery, port))
        try:
            await ready(port)
            await wait_for_watch(discovery)
            async with HttpClient(port) as client:
                await request_ok(client)
            assert len(server.requests) == 1
            assert memory_mb(process.pid, "VmHWM") <= MAX_MEMORY_MB
        finally:
            process.kill()
            await process.wait()

    async def with_fakes() -> None:
        async with fake_servers(serve_ok) as (server,):
            known_entries = make_rows(SERVER_COUNT, server.entry("a"))
            discovery = await FakeDiscovery(known_entries).start()
            discovery.generation = 3  # later than the generation of the known list
            try:
                await scenario(server, discovery, known_entries)
            finally:
                discovery.stop()

    run(with_fakes())
