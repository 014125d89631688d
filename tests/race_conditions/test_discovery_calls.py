"""Calls to discovery race with each other, with the change of its address, and with the end of connections.

The test writes each answer itself, so that it gives the order.
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
    """A call that discovery received: the test answers it, or doesn't."""

    target: str
    writer: asyncio.StreamWriter

    def respond_with_full_list(self, version: int, **states: str) -> None:
        """Answer with the servers of this version and their states on the wire."""
        self._respond(version, states, complete=True)

    def respond_with_changes(self, version: int, **states: str) -> None:
        """Answer with the servers that changed up to this version and their states on the wire."""
        self._respond(version, states, complete=False)

    def _respond(self, version: int, states: dict[str, str], complete: bool) -> None:
        rows = [entry(name, 9, lifecycle=state) for name, state in states.items()]
        data = {"generation": version, "reset": complete, "instances": rows}
        self.writer.write(ok(json.dumps(data).encode()))


class ManualDiscovery:
    """Discovery whose calls the test answers one by one."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[ReceivedCall] = asyncio.Queue()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> ManualDiscovery:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        while (head := await read_head(reader)) is not None:
            self._calls.put_nowait(ReceivedCall(head[0].split()[1], writer))

    async def call(self) -> ReceivedCall:
        """The next call that was not taken yet."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self._calls.get()

    def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


def watch_call(
    number: int = 1, after: int = 41, wait_ms: float = 60_000.0, response_timeout_ms: float = 60_000.0
) -> WatchList:
    """A watch call; by default it does not time out within the test."""
    return WatchList(True, number, after, wait_ms, response_timeout_ms)


class ReceivedListings:
    """The listings that the source has published, and the state of each server by them."""

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

    async def next(self) -> Listing:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self.listings.get()


@asynccontextmanager
async def following_discovery() -> AsyncIterator[tuple[Discovery, ManualDiscovery, ReceivedListings]]:
    discovery = await ManualDiscovery().start()
    received = ReceivedListings()
    known = {"generation": 41, "reset": True, "instances": [entry("a", 9), entry("b", 9)]}
    plan = DiscoveryPlan(("127.0.0.1", discovery.port), known=known)
    source = Discovery(plan, received, lambda _: None)
    source.start()
    assert (await received.next()).kind is ListKind.CACHED
    try:
        yield source, discovery, received
    finally:
        source.stop()
        discovery.close()


def test_a_complete_list_older_than_the_watch_events_received_does_not_count() -> None:
    """Guards the drain: the complete list was made before a server drained, and arrives after that event."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            source.fetch()
            fetch = await discovery.call()
            assert "after" not in fetch.target
            watch.respond_with_changes(43, a="leaving")
            await received.next()
            fetch.respond_with_full_list(42, a="active", b="active")
            response = await received.next()  # each call is answered once
            assert (response.kind, response.version, response.entries) == (ListKind.DELTA, 43, ())
            assert received.states[1] is ServerState.DRAINING

    run(work())


def test_a_watch_event_older_than_the_complete_list_received_since_does_not_count() -> None:
    """The same the other way round: the watch is answered after a newer complete list."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            source.fetch()
            fetch = await discovery.call()
            fetch.respond_with_full_list(45, b="active")  # a is no longer listed
            await received.next()
            watch.respond_with_changes(43, a="leaving")
            await received.next()
            assert list(received.states) == [2]
            assert received.version == 45

    run(work())


def test_a_lower_version_counts_if_discovery_was_restarted() -> None:
    """A lower version with nothing received meanwhile is not an old answer."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.fetch()
            fetch = await discovery.call()
            fetch.respond_with_full_list(2, b="leaving")
            listing = await received.next()
            assert (listing.kind, listing.version) == (ListKind.FULL, 2)
            assert received.states == {2: ServerState.DRAINING}

    run(work())


def test_a_call_on_a_connection_that_is_reset_while_connecting_fails_at_once() -> None:
    """Guards against waiting out a watch's time on a connection that ended before its call was written."""

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        connection = DiscoveryConnection()
        await asyncio.get_running_loop().create_connection(lambda: connection, *listener.getsockname())
        accepted, _ = listener.accept()
        reset(accepted)
        await wait_until(lambda: not connection.open, "the reset is noticed")
        with pytest.raises(DiscoveryError, match="the connection ended"):
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await connection.get(b"/v1/endpoints", b"d")
        listener.close()

    run(work())


def test_a_watch_whose_connection_is_never_established_fails_long_before_its_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the bound on the list's age: an address that never answered took all of the wait."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "CONNECT_S", 0.05)
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for client in waiting:  # the backlog is full: further connections get no answer
            client.setblocking(False)
            client.connect_ex(full.getsockname())
        block_until_readable(full.fileno())
        received = ReceivedListings()
        known = {"generation": 41, "reset": True, "instances": [entry("a", 9)]}
        source = Discovery(DiscoveryPlan(full.getsockname(), known=known), received, lambda _: None)
        source.start()
        await received.next()
        source.watch(watch_call())
        assert (await received.next()).kind is ListKind.FAILED  # long before the watch's wait is over
        source.stop()
        for opened in (*waiting, full):
            opened.close()

    run(work())


@pytest.mark.parametrize("silence", ["before the head", "in the body", "after an empty answer"])
def test_a_watch_without_answer_times_out(silence: str) -> None:
    """Wherever discovery stops answering, the watch fails by its number, and its connection is closed."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            responded: ReceivedCall | None = None
            if silence == "after an empty answer":
                source.watch(watch_call(1))
                responded = await discovery.call()
                responded.respond_with_changes(41)
                assert (await received.next()).kind is ListKind.DELTA
            source.watch(watch_call(2, response_timeout_ms=200.0))
            silent = await discovery.call()
            if responded is not None:
                assert silent.writer is responded.writer  # the next watch is on the same connection
            if silence == "in the body":
                silent.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{")
            failed = await received.next()
            assert (failed.kind, failed.call, failed.why) == (ListKind.FAILED, 2, "no answer in 0.2 s")
            source.watch(watch_call(3))
            next_call = await discovery.call()
            assert "after=41" in next_call.target
            assert next_call.writer is not silent.writer

    run(work())


def test_a_listing_names_the_call_that_it_answers() -> None:
    """Guards the list's age: the complete list polled during a watch does not answer the watch."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.watch(watch_call(7))
            watch = await discovery.call()
            source.fetch()
            fetch = await discovery.call()
            fetch.respond_with_full_list(42, a="active", b="active")
            assert (await received.next()).call == 0
            watch.respond_with_changes(43, a="leaving")
            assert (await received.next()).call == 7

    run(work())


@pytest.mark.parametrize("version", [3, 40])
def test_events_for_another_list_than_the_cached_one_count_as_a_failed_call(version: int) -> None:
    """They can't be applied: no server changes, and the next call is for the complete list."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            watch.respond_with_changes(version, a="leaving")
            failed = await received.next()
            assert (failed.kind, failed.version) == (ListKind.FAILED, NO_VERSION)
            assert received.states[1] is ServerState.READY
            source.watch(watch_call(2, NO_VERSION))
            assert (await discovery.call()).target == "/v1/endpoints"

    run(work())


@pytest.mark.parametrize("watching", [True, False])
def test_a_change_of_address_is_published_and_answers_of_the_old_one_do_not_count(watching: bool) -> None:
    """SIGHUP while a call is in flight, or while none is: the new address is called."""

    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            new_discovery = await ManualDiscovery().start()
            if watching:
                source.watch(watch_call())
                late = await discovery.call()
            source.relocate(("127.0.0.1", new_discovery.port))
            assert (await received.next()).kind is ListKind.RELOCATED
            source.watch(watch_call(2, NO_VERSION))
            first = await new_discovery.call()
            assert "after" not in first.target  # its versions are its own
            if watching:
                late.respond_with_changes(99, a="left")
            first.respond_with_full_list(3, a="active")
            listing = await received.next()
            assert (listing.kind, listing.version) == (ListKind.FULL, 3)
            new_discovery.close()

    run(work())


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
def test_an_indented_list_that_arrives_in_pieces_is_read(split_response: SplitResponse) -> None:
    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            rows: list[dict[str, Any]] = [entry("a", 9, lifecycle="leaving")]
            text = json.dumps({"generation": 42, "reset": False, "instances": rows}, indent=4)
            for piece in split_response(text.encode()):
                watch.writer.write(piece)
                await watch.writer.drain()
            await received.next()
            assert received.states[1] is ServerState.DRAINING

    run(work())


def test_a_list_with_one_invalid_row_changes_nothing() -> None:
    async def work() -> None:
        async with following_discovery() as (source, discovery, received):
            source.watch(watch_call())
            watch = await discovery.call()
            rows = [entry("a", 9, lifecycle="left"), entry("b", 9, lifecycle="asleep")]
            text = json.dumps({"generation": 42, "reset": False, "instances": rows})
            watch.writer.write(ok(text.encode()))
            assert (await received.next()).kind is ListKind.FAILED
            assert received.states == {1: ServerState.READY, 2: ServerState.READY}

    run(work())
