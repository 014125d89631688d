"""Calls to discovery cross each other, the change of its address, and the ends of their connections. Each
answer is held at a barrier of its own, so that the test gives the order.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import NO_VERSION, ListKind, ServerState
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.discovery.connection import DiscoveryConnection as _Connection
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.discovery.errors import DiscoveryError
from testkit.servers import entry
from testkit.wire import PATIENCE_S, ok, read_head
from tests.event_loop import run


class Held:
    """Discovery whose every call waits for its own answer."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Held:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        while (head := await read_head(reader)) is not None:
            self.calls.put_nowait((head[0].split()[1], writer))

    async def call(self) -> tuple[str, asyncio.StreamWriter]:
        async with asyncio.timeout(PATIENCE_S):
            return await self.calls.get()

    def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


def ask(
    number: int = 1, after: int = 41, wait_ms: float = 60_000.0, patience_ms: float = 60_000.0
) -> WatchList:
    """A call of the watch; without more, one that the test itself ends."""
    return WatchList(True, number, after, wait_ms, patience_ms)


def says(writer: asyncio.StreamWriter, version: int, whole: bool, **states: str) -> None:
    rows = [entry(name, 9, lifecycle=state) for name, state in states.items()]
    writer.write(ok(json.dumps({"generation": version, "reset": whole, "instances": rows}).encode()))


class Told:
    """What the decisions are told, and the state of each server by it."""

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
        async with asyncio.timeout(PATIENCE_S):
            return await self.listings.get()


@asynccontextmanager
async def asked() -> AsyncIterator[tuple[Discovery, Held, Told]]:
    held, told = await Held().start(), Told()
    known = {"generation": 41, "reset": True, "instances": [entry("a", 9), entry("b", 9)]}
    plan = DiscoveryPlan(("127.0.0.1", held.port), known=known)
    source = Discovery(plan, told, lambda text: None)
    source.start()
    assert (await told.next()).kind is ListKind.CACHED
    try:
        yield source, held, told
    finally:
        source.stop()
        held.close()


def test_a_whole_list_older_than_what_the_watch_told_brings_nothing_back() -> None:
    """Guards the drain: the whole list was made before a server left, and comes after the word of it."""

    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask())
            _, watch = await held.call()
            source.fetch()
            target, fetch = await held.call()
            assert "after" not in target
            says(watch, 43, False, a="leaving")
            await told.next()
            says(fetch, 42, True, a="active", b="active")
            answer = await told.next()  # each call is answered once
            assert (answer.kind, answer.version, answer.entries) == (ListKind.DELTA, 43, ())
            assert told.states[1] is ServerState.DRAINING

    run(work())


def test_a_change_older_than_the_whole_list_told_since_its_call_does_not_count() -> None:
    """The same the other way round: the watch answers after the whole list told something newer."""

    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask())
            _, watch = await held.call()
            source.fetch()
            _, fetch = await held.call()
            says(fetch, 45, True, b="active")  # a is gone
            await told.next()
            says(watch, 43, False, a="leaving")
            await told.next()
            assert list(told.states) == [2] and told.version == 45

    run(work())


def test_discovery_that_counts_anew_is_believed() -> None:
    """A lower version with nothing told meanwhile is no old answer."""

    async def work() -> None:
        async with asked() as (source, held, told):
            source.fetch()
            _, fetch = await held.call()
            says(fetch, 2, True, b="leaving")
            listing = await told.next()
            assert (listing.kind, listing.version) == (ListKind.FULL, 2)
            assert told.states == {2: ServerState.DRAINING}

    run(work())


def test_a_call_on_a_connection_reset_as_it_came_up_fails_at_once() -> None:
    """Guards against waiting out a watch's time on a connection that ended before its call was written."""

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        connection = _Connection()
        await asyncio.get_running_loop().create_connection(lambda: connection, *listener.getsockname())
        accepted, _ = listener.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        accepted.close()
        async with asyncio.timeout(PATIENCE_S):
            while connection.open:
                await asyncio.sleep(0.001)
        with pytest.raises(DiscoveryError, match="the connection ended"):
            async with asyncio.timeout(PATIENCE_S):
                await connection.get(b"/v1/endpoints", b"d")
        listener.close()

    run(work())


def test_a_watch_whose_connection_never_comes_up_fails_long_before_its_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the time in which a change must be told: a silent address took the whole of the wait."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "CONNECT_S", 0.05)
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for item in waiting:  # the backlog is full: further connections get no answer
            item.setblocking(False)
            item.connect_ex(full.getsockname())
        told = Told()
        known = {"generation": 41, "reset": True, "instances": [entry("a", 9)]}
        source = Discovery(DiscoveryPlan(full.getsockname(), known=known), told, lambda text: None)
        source.start()
        await told.next()
        source.watch(ask())
        assert (await told.next()).kind is ListKind.FAILED  # PATIENCE_S is less than a watch's wait
        source.stop()
        for item in (*waiting, full):
            item.close()

    run(work())


@pytest.mark.parametrize("silence", ["before its head", "in its body", "behind an empty answer"])
def test_a_watch_that_falls_silent_is_given_up(silence: str) -> None:
    """Wherever it falls silent, its time ends it, under its own number, and its connection is left."""

    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask(1, patience_ms=200.0))
            _, first = await held.call()
            number = 1
            if silence == "in its body":
                first.write(b"HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{")
            elif silence == "behind an empty answer":
                says(first, 41, False)
                assert (await told.next()).kind is ListKind.DELTA
                number = 2
                source.watch(ask(2, patience_ms=200.0))
                _, again = await held.call()
                assert again is first  # a watch goes on where it was answered
            failed = await told.next()
            assert (failed.kind, failed.call, failed.why) == (ListKind.FAILED, number, "no answer in 0.2 s")
            source.watch(ask(3))
            target, second = await held.call()
            assert "after=41" in target and second is not first

    run(work())


def test_an_answer_tells_which_call_it_ends() -> None:
    """Guards the list's age: the whole list fetched beside a watch is no answer of the watch."""

    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask(7))
            _, watch = await held.call()
            source.fetch()
            _, fetch = await held.call()
            says(fetch, 42, True, a="active", b="active")
            assert (await told.next()).call == 0
            says(watch, 43, False, a="leaving")
            assert (await told.next()).call == 7

    run(work())


@pytest.mark.parametrize("version", [3, 40])
def test_changes_to_another_list_than_the_one_held_count_as_a_failed_call(version: int) -> None:
    """They can't be applied: nothing changes, and no version is held, so that the whole list is next."""

    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask())
            _, watch = await held.call()
            says(watch, version, False, a="leaving")
            failed = await told.next()
            assert (failed.kind, failed.version) == (ListKind.FAILED, NO_VERSION)
            assert told.states[1] is ServerState.READY
            source.watch(ask(2, NO_VERSION))
            target, _ = await held.call()
            assert target == "/v1/endpoints"

    run(work())


@pytest.mark.parametrize("watching", [True, False])
def test_a_move_is_told_and_old_answers_end(watching: bool) -> None:
    """SIGHUP while a call is out, or while none is: the decisions hear of it and ask the new address."""

    async def work() -> None:
        async with asked() as (source, held, told):
            after = await Held().start()
            if watching:
                source.watch(ask())
                _, late = await held.call()
            source.move(("127.0.0.1", after.port))
            assert (await told.next()).kind is ListKind.RELOCATED
            source.watch(ask(2, NO_VERSION))
            target, writer = await after.call()
            assert "after" not in target  # its numbers are its own
            if watching:
                says(late, 99, False, a="left")
            says(writer, 3, True, a="active")
            listing = await told.next()
            assert (listing.kind, listing.version) == (ListKind.FULL, 3)
            after.close()

    run(work())


Form = Callable[[bytes], list[bytes]]
FORMS: list[tuple[str, Form]] = [
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


@pytest.mark.parametrize("form", [form for _, form in FORMS], ids=[name for name, _ in FORMS])
def test_lists_in_pieces_and_indented(form: Form) -> None:
    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask())
            _, watch = await held.call()
            rows: list[dict[str, Any]] = [entry("a", 9, lifecycle="leaving")]
            text = json.dumps({"generation": 42, "reset": False, "instances": rows}, indent=4)
            for piece in form(text.encode()):
                watch.write(piece)
                await watch.drain()
            await told.next()
            assert told.states[1] is ServerState.DRAINING

    run(work())


def test_a_list_with_one_broken_row_changes_nothing() -> None:
    async def work() -> None:
        async with asked() as (source, held, told):
            source.watch(ask())
            _, watch = await held.call()
            rows = [entry("a", 9, lifecycle="left"), entry("b", 9, lifecycle="asleep")]
            text = json.dumps({"generation": 42, "reset": False, "instances": rows})
            watch.write(ok(text.encode()))
            assert (await told.next()).kind is ListKind.FAILED
            assert told.states == {1: ServerState.READY, 2: ServerState.READY}

    run(work())
