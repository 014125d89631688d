"""The named behaviours of a fake server, as observed by a client."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from testkit.behaviours import (
    disconnects,
    disconnects_after,
    echoes_target,
    fails_with,
    never_responds,
    responds,
    serves,
    stalls_after,
    waits_for,
)
from testkit.clients import HttpClient
from testkit.polling import wait_until
from testkit.servers import Behaviour, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S


def with_client(behaviour: Behaviour, scenario: Callable[[HttpClient], Awaitable[None]]) -> None:
    """Runs `scenario` with a client that has sent a request to a server with this behaviour."""

    async def run() -> None:
        server = await FakeServer(behaviour).start()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S), HttpClient(server.port) as client:
                client.send_request(target="/api?7")
                await scenario(client)
        finally:
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (serves(b"abc"), (200, b"abc")),
        (fails_with(500), (500, b"")),
        (echoes_target, (200, b"/api?7")),
        (responds(b"HTTP/1.1 204 X\r\n\r\n"), (204, b"")),
    ],
)
def test_each_request_gets_a_response(behaviour: Behaviour, expected: tuple[int, bytes]) -> None:
    async def scenario(client: HttpClient) -> None:
        first = await client.read_response()
        client.send_request(target="/api?7")
        second = await client.read_response()
        assert (first.status, first.body) == expected
        assert (second.status, second.body) == expected

    with_client(behaviour, scenario)


def test_behaviour_waits_for_its_event() -> None:
    event = asyncio.Event()

    async def scenario(client: HttpClient) -> None:
        response = asyncio.create_task(client.read_response())
        await asyncio.sleep(0.05)
        assert not response.done()
        event.set()
        assert (await response).body == b"late"

    with_client(waits_for(event, serves(b"late")), scenario)


async def received_before_reset(client: HttpClient) -> bytes:
    """Returns the bytes received until the server resets the connection; an orderly end fails the test."""
    await wait_until(lambda: client.reader.exception() or client.reader.at_eof(), "the connection has ended")
    assert isinstance(client.reader.exception(), ConnectionResetError)
    return bytes(client.reader._buffer)  # type: ignore[attr-defined]


def test_server_that_disconnects_sends_nothing() -> None:
    async def scenario(client: HttpClient) -> None:
        assert await received_before_reset(client) == b""

    with_client(disconnects, scenario)


@pytest.mark.parametrize("body_bytes", [0, 1, 1000])
def test_response_is_truncated_after_the_given_number_of_body_bytes(body_bytes: int) -> None:
    async def scenario(client: HttpClient) -> None:
        head, _, body = (await received_before_reset(client)).partition(b"\r\n\r\n")
        assert b"Content-Length: %d" % (body_bytes + 1) in head
        assert body == b"x" * body_bytes

    with_client(disconnects_after(body_bytes), scenario)


@pytest.mark.parametrize("body_bytes", [0, 1, 1000])
def test_response_stalls_after_the_given_number_of_body_bytes(body_bytes: int) -> None:
    async def scenario(client: HttpClient) -> None:
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: %d\r\n" % (body_bytes + 1) in head
        assert await client.reader.readexactly(body_bytes) == b"x" * body_bytes
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.05)

    with_client(stalls_after(body_bytes), scenario)


def test_server_that_never_responds_leaves_the_connection_open() -> None:
    async def scenario(client: HttpClient) -> None:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.05)

    with_client(never_responds, scenario)
