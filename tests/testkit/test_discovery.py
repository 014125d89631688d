"""The fake of the platform's discovery service."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import entry
from testkit.wire import RESPONSE_TIMEOUT_S


def with_discovery(scenario: Callable[[FakeDiscovery], Awaitable[None]]) -> None:
    async def run() -> None:
        discovery = await FakeDiscovery([entry("a", 1), entry("b", 2)]).start()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await scenario(discovery)
        finally:
            discovery.stop()

    asyncio.run(run())


async def fetch_list(client: HttpClient, target: str) -> dict[str, Any]:
    client.send_request(target=target)
    data: dict[str, Any] = json.loads((await client.read_response()).body)
    return data


def test_complete_list_omits_servers_that_have_left() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        discovery.change(entry("b", 2, lifecycle="left"))
        async with HttpClient(discovery.port) as client:
            full = await fetch_list(client, "/v1/endpoints")
        assert (full["generation"], full["reset"]) == (2, True)
        assert [row["instanceId"] for row in full["instances"]] == ["a"]

    with_discovery(scenario)


def test_watch_gets_its_response_once_an_entry_changes() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        async with HttpClient(discovery.port) as client:
            watch = asyncio.create_task(fetch_list(client, "/v1/endpoints?after=1&wait_ms=20000"))
            assert "after=1" in await discovery.calls.get()
            assert not watch.done()
            discovery.change(entry("c", 3))
            delta = await watch
        assert (delta["generation"], delta["reset"]) == (2, False)
        assert [row["instanceId"] for row in delta["instances"]] == ["c"]

    with_discovery(scenario)


def test_watch_whose_wait_has_expired_gets_an_empty_delta() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        async with HttpClient(discovery.port) as client:
            delta = await fetch_list(client, "/v1/endpoints?after=1&wait_ms=20")
        assert delta == {"generation": 1, "reset": False, "instances": []}

    with_discovery(scenario)


def test_each_scripted_raw_response_replaces_one_response() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        discovery.raw_responses.append(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        async with HttpClient(discovery.port) as client:
            client.send_request(target="/v1/endpoints")
            assert (await client.read_response()).status == 503
            assert (await fetch_list(client, "/v1/endpoints"))["generation"] == 1

    with_discovery(scenario)


def test_watch_gets_no_response_while_discovery_is_silent() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        discovery.silent = True
        async with HttpClient(discovery.port) as client:
            client.send_request(target="/v1/endpoints?after=1&wait_ms=1")
            await discovery.calls.get()
            discovery.change(entry("c", 3))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.reader.read(1), 0.1)

    with_discovery(scenario)


def test_restarted_discovery_listens_on_the_same_port() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        port = discovery.port
        async with HttpClient(port) as client:
            assert (await fetch_list(client, "/v1/endpoints"))["generation"] == 1
            discovery.stop()
            assert await client.read_to_end() == b""
        await discovery.start()
        assert discovery.port == port
        async with HttpClient(port) as client:
            assert (await fetch_list(client, "/v1/endpoints"))["generation"] == 1

    with_discovery(scenario)
