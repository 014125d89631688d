"""Races of discovery calls with each other, with a change of discovery's address, and with closed sockets.

Each test writes discovery's responses itself and so determines their order.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import NO_VERSION, ListKind, ServerState
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.discovery.connection import DiscoveryConnection
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.discovery.errors import DiscoveryError
from testkit.platform import entry
from testkit.polling import wait_until
from testkit.wire import RESPONSE_TIMEOUT_S, ok, read_head
from tests.event_loop import run
from tests.race_conditions.harness import block_until_readable, reset


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call that discovery received, and to which the test may respond."""

    target: str
    writer: asyncio.StreamWriter

    def respond_with_full_list(self, version: int, **states: str) -> None:
        """Responds with all servers of this list version, with their states as on the wire."""
        self._respond(version, states, complete=True)

    def respond_with_changes(self, version: int, **states: str) -> None:
        """Responds with the servers changed up to this list version, with their states as on the wire."""
        self._respond(version, states, complete=False)

    def _respond(self, version: int, states: dict[str, str], complete: bool) -> None:
        rows = [entry(name, 9, lifecycle=state) for name, state in states.items()]
        data = {"generation": version, "reset": complete, "instances": rows}
        self.writer.write(ok(json.dumps(data).encode()))


class ManualDiscovery:
    """Discovery service to whose calls the test responds one by one."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[ReceivedCall] = asyncio.Queue()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> ManualDiscovery:
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        while (head := await read_head(reader)) is not None:
            self._calls.put_nowait(ReceivedCall(head[0].split()[1], writer))

    async def call(self) -> ReceivedCall:
        """Returns the next received call."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self._calls.get()

    def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


def watch_call(
    number: int = 1, after: int = 41, wait_ms: float = 60_000.0, response_timeout_ms: float = 60_000.0
) -> WatchList:
    """Creates a watch call, which by default does not time out within the test."""
    return WatchList(True, number, after, wait_ms, response_timeout_ms)


class PublishedListings:
    """Listings that the discovery client has published, and the resulting state of each server."""

    def __init__(self) -> None:
        self.listings: asyncio.Queue[Listing] = asyncio.Queue()
        self.states: dict[int, ServerState] = {}
        self.version = 0

    def __call__(self, listing: Listing) -> None:
        if listing.kind in (ListKind.FULL, ListKind.CACHED):
            self.states = {}
        for row in listing.entries:
            self.states[row.server] = row.state
        self.version = listing.version
        self.listings.put_nowait(listing)

    async def next_listing(self) -> Listing:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self.listings.get()


@asynccontextmanager
async def running_discovery_client() -> AsyncIterator[tuple[Discovery, ManualDiscovery, PublishedListings]]:
    discovery = await ManualDiscovery().start()
    received = PublishedListings()
    known = {"generation": 41, "reset": True, "instances": [entry("a", 9), entry("b", 9)]}
    plan = DiscoveryPlan(("127.0.0.1", discovery.port), initial_list=known)
    source = Discovery(plan, received, lambda _: None)
    source.start()
    assert (await received.next_listing()).kind is ListKind.CACHED
    try:
        yield source, discovery, received
    finally:
        source.stop()
        discovery.close()


def test_complete_list_older_than_received_watch_events_is_ignored() -> None:
    """Guards against undoing a drain by a complete list created before the drain and received later."""

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            source.fetch()
            fetch = await discovery.call()
            assert "after" not in fetch.target
            watch.respond_with_changes(43, a="leaving")
            await received.next_listing()
            fetch.respond_with_full_list(42, a="active", b="active")
            response = await received.next_listing()  # every call publishes exactly one listing
            assert (response.kind, response.version, response.entries) == (ListKind.DELTA, 43, ())
            assert received.states[1] is ServerState.DRAINING

    run(scenario())


def test_watch_event_older_than_a_received_complete_list_is_ignored() -> None:
    """Guards against a stale watch response that arrives after a newer complete list."""

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            source.fetch()
            fetch = await discovery.call()
            fetch.respond_with_full_list(45, b="active")  # server a is no longer listed
            await received.next_listing()
            watch.respond_with_changes(43, a="leaving")
            await received.next_listing()
            assert list(received.states) == [2]
            assert received.version == 45

    run(scenario())


def test_lower_version_is_accepted_after_a_restart_of_discovery() -> None:
    """Guards against ignoring a restarted discovery's list as stale: its version is lower, but no other
    response came during the call.
    """

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.fetch()
            fetch = await discovery.call()
            fetch.respond_with_full_list(2, b="leaving")
            listing = await received.next_listing()
            assert (listing.kind, listing.version) == (ListKind.FULL, 2)
            assert received.states == {2: ServerState.DRAINING}

    run(scenario())


def test_call_on_a_connection_reset_while_connecting_fails_at_once() -> None:
    """Guards against waiting a watch's full time on a connection that closed before the call was written."""

    async def scenario() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        connection = DiscoveryConnection()
        await asyncio.get_running_loop().create_connection(lambda: connection, *listener.getsockname())
        accepted, _ = listener.accept()
        reset(accepted)
        await wait_until(lambda: not connection.open, "the reset is detected")
        with pytest.raises(DiscoveryError, match="the connection ended"):
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await connection.get(b"/v1/endpoints", b"d")
        listener.close()

    run(scenario())


def test_watch_without_an_established_connection_fails_long_before_its_wait_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a watch of an unresponsive address that fails only after its full wait."""

    async def scenario() -> None:
        monkeypatch.setattr(Discovery, "CONNECT_TIMEOUT_S", 0.05)
        full_listener = socket.socket()
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        backlog_clients = [socket.socket() for _ in range(4)]
        for client in backlog_clients:  # fills the backlog, so that further connections get no response
            client.setblocking(False)
            client.connect_ex(full_listener.getsockname())
        block_until_readable(full_listener.fileno())
        received = PublishedListings()
        known = {"generation": 41, "reset": True, "instances": [entry("a", 9)]}
        source = Discovery(
            DiscoveryPlan(full_listener.getsockname(), initial_list=known), received, lambda _: None
        )
        source.start()
        await received.next_listing()
        source.watch(watch_call())
        assert (await received.next_listing()).kind is ListKind.FAILED  # long before the watch's wait ends
        source.stop()
        for opened_socket in (*backlog_clients, full_listener):
            opened_socket.close()

    run(scenario())


@pytest.mark.parametrize("silence", ["before the head", "in the body", "after an empty response"])
def test_watch_without_a_response_times_out(silence: str) -> None:
    """Wherever discovery stops responding, a FAILED listing with the number of the watch call is published,
    and the next watch call uses another connection.
    """

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            responded: ReceivedCall | None = None
            if silence == "after an empty response":
                source.watch(watch_call(1))
                responded = await discovery.call()
                responded.respond_with_changes(41)
                assert (await received.next_listing()).kind is ListKind.DELTA
            source.watch(watch_call(2, response_timeout_ms=200.0))
            silent = await discovery.call()
            if responded is not None:
                assert silent.writer is responded.writer  # the second watch uses the first one's connection
            if silence == "in the body":
                silent.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{")
            failed = await received.next_listing()
            assert (failed.kind, failed.call, failed.failure_reason) == (
                ListKind.FAILED,
                2,
                "no response within 0.2 s",
            )
            source.watch(watch_call(3))
            next_call = await discovery.call()
            assert "after=41" in next_call.target
            assert next_call.writer is not silent.writer

    run(scenario())


def test_listing_has_the_number_of_the_call_it_responds_to() -> None:
    """Guards against a wrong list age: a list polled in a watch must not count as the watch's response."""

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.watch(watch_call(7))
            watch = await discovery.call()
            source.fetch()
            fetch = await discovery.call()
            fetch.respond_with_full_list(42, a="active", b="active")
            assert (await received.next_listing()).call == 0
            watch.respond_with_changes(43, a="leaving")
            assert (await received.next_listing()).call == 7

    run(scenario())


@pytest.mark.parametrize("version", [3, 40])
def test_events_that_do_not_apply_to_the_cached_list_count_as_a_failed_call(version: int) -> None:
    """Guards against applying watch events to another list version; the next call requests the full list."""

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            watch.respond_with_changes(version, a="leaving")
            failed = await received.next_listing()
            assert (failed.kind, failed.version) == (ListKind.FAILED, NO_VERSION)
            assert received.states[1] is ServerState.READY
            source.watch(watch_call(2, NO_VERSION))
            assert (await discovery.call()).target == "/v1/endpoints"

    run(scenario())


@pytest.mark.parametrize("watching", [True, False])
def test_change_of_address_is_published_and_responses_of_the_old_one_are_ignored(watching: bool) -> None:
    """Discovery's address changes (SIGHUP), during a call or not; further calls go to the new address."""

    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            new_discovery = await ManualDiscovery().start()
            if watching:
                source.watch(watch_call())
                stale_call = await discovery.call()
            source.relocate(("127.0.0.1", new_discovery.port))
            assert (await received.next_listing()).kind is ListKind.RELOCATED
            source.watch(watch_call(2, NO_VERSION))
            first = await new_discovery.call()
            assert "after" not in first.target  # list versions of two discovery services are not comparable
            if watching:
                stale_call.respond_with_changes(99, a="left")
            first.respond_with_full_list(3, a="active")
            listing = await received.next_listing()
            assert (listing.kind, listing.version) == (ListKind.FULL, 3)
            new_discovery.close()

    run(scenario())


SplitResponse = Callable[[bytes], list[bytes]]
RESPONSES_IN_PIECES: list[tuple[str, SplitResponse]] = [
    ("single bytes", lambda data: [bytes([byte]) for byte in ok(data)]),
    (
        "chunks",
        lambda data: [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            *(b"1\r\n%c\r\n" % byte for byte in data),
            b"0\r\n\r\n",
        ],
    ),
]


@pytest.mark.parametrize(
    "split_response",
    [split_response for _, split_response in RESPONSES_IN_PIECES],
    ids=[name for name, _ in RESPONSES_IN_PIECES],
)
def test_indented_list_that_arrives_in_pieces_is_parsed(split_response: SplitResponse) -> None:
    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            rows: list[dict[str, Any]] = [entry("a", 9, lifecycle="leaving")]
            text = json.dumps({"generation": 42, "reset": False, "instances": rows}, indent=4)
            for piece in split_response(text.encode()):
                watch.writer.write(piece)
                await watch.writer.drain()
            await received.next_listing()
            assert received.states[1] is ServerState.DRAINING

    run(scenario())


def test_list_with_an_invalid_row_is_rejected_as_a_whole() -> None:
    async def scenario() -> None:
        async with running_discovery_client() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            rows = [entry("a", 9, lifecycle="left"), entry("b", 9, lifecycle="asleep")]
            text = json.dumps({"generation": 42, "reset": False, "instances": rows})
            watch.writer.write(ok(text.encode()))
            assert (await received.next_listing()).kind is ListKind.FAILED
            assert received.states == {1: ServerState.READY, 2: ServerState.READY}

    run(scenario())
