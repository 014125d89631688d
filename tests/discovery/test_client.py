"""Discovery over loopback: the list, the watch, malformed answers, and discovery down and back."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import ListKind, ListUpdate
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, entry
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running


def is_update(event: object, kind: ListKind) -> bool:
    """Return whether it is a list event of that kind; of changes, one that has some."""
    return (
        isinstance(event, ListUpdate)
        and event.kind is kind
        and bool(event.entries or kind is not ListKind.DELTA)
    )


async def next_update(script: ScriptedBalancer, kind: ListKind) -> ListUpdate:
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            event = await script.told.get()
            if is_update(event, kind):
                assert isinstance(event, ListUpdate)
                return event


async def next_call(balancer: Any, part: str) -> str:
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            call: str = await balancer.discovery.calls.get()
            if part in call:
                return call


def test_known_list_is_published_first_and_changes_follow() -> None:
    """Guards the start: a request is served from `known`, and the watch goes on from its generation."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            first = await next_update(script, ListKind.CACHED)
            assert [row.server for row in first.entries] == [1]
            assert "after=1&" in await next_call(balancer, "after=")
            balancer.discovery.change(entry("b", 9, zone="south", startedAtMs=123))
            change = await next_update(script, ListKind.DELTA)
            assert [(row.server, row.zone, row.started_ms) for row in change.entries] == [(2, 1, 123.0)]
            assert "after=2&" in await next_call(balancer, "after=")
        upstream.close()

    run(work())


def test_server_keeps_its_number_when_its_address_changes() -> None:
    """Guards a server whose address changes: requests go to the new address only."""

    async def work() -> None:
        old = await FakeServer().start()
        new = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(old.entry("a"), script=script) as balancer, HttpClient(balancer.port) as client:
            client.send_request()
            assert (await client.read_response()).status == 200
            balancer.discovery.change(new.entry("a"))
            await next_update(script, ListKind.DELTA)
            client.send_request()
            assert (await client.read_response()).status == 200
            assert len(old.requests) == len(new.requests) == 1
        old.close()
        new.close()

    run(work())


def test_restarted_server_gets_new_connections() -> None:
    """Guards against connections that lead to a process that has ended."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            await client.read_response()
            balancer.discovery.change(upstream.entry("a", startedAtMs=5000))
            await next_update(script, ListKind.DELTA)
            client.send_request()
            await client.read_response()
            assert upstream.connections == 2
        upstream.close()

    run(work())


def test_ready_only_once_there_is_a_list() -> None:
    """Guards /ready: 503 without a list, 200 once discovery has answered with one."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(script=script, known={}) as balancer, HttpClient(balancer.port) as client:
            await next_update(script, ListKind.FULL)
            client.send_request(target="/ready")
            assert (await client.read_response()).status == 503
            balancer.discovery.change(upstream.entry("a"))
            await next_update(script, ListKind.DELTA)
            client.send_request(target="/ready")
            assert (await client.read_response()).status == 200
        upstream.close()

    run(work())


def test_server_absent_from_a_complete_list_is_removed() -> None:
    """Guards the removal of a server that a complete list no longer names."""

    async def work() -> None:
        a = await FakeServer().start()
        b = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(a.entry("a"), b.entry("b"), script=script) as balancer:
            await next_call(balancer, "after=")
            only_b = {"generation": 9, "reset": True, "instances": [b.entry("b")]}
            balancer.discovery.garbage.append(ok(json.dumps(only_b).encode()))
            balancer.discovery.generation = 9
            balancer.discovery.wake()
            # The pending watch answers with no changes; the next one with the complete list.
            full = await next_update(script, ListKind.FULL)
            assert [row.server for row in full.entries] == [2]
            assert set(balancer.dispatcher.connection_pool.table) == {2}
        a.close()
        b.close()

    run(work())


def test_generation_that_goes_back_fetches_the_complete_list() -> None:
    """Guards against applying changes to another list than the one they belong to."""

    async def work() -> None:
        a = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(a.entry("a"), script=script, generation=40) as balancer:
            await next_call(balancer, "after=40")
            balancer.discovery.generation = 3
            balancer.discovery.wake()
            full = await next_update(script, ListKind.FULL)
            assert full.version == 3
            assert not any(is_update(event, ListKind.DELTA) for event in script.events)
        a.close()

    run(work())


def test_malformed_answers_are_failed_calls_and_the_list_stays() -> None:
    """Guards against lists valid in part: nothing of a malformed answer counts, and the watch goes on."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            await next_call(balancer, "after=")
            bad_entry = {"generation": 2, "reset": True, "instances": [entry("b", 1), {"instanceId": "c"}]}
            balancer.discovery.garbage += [
                b"\x00nonsense\r\n\r\n",
                ok(b"not json"),
                ok(b"[" * 50_000),
                ok(b"[]"),
                ok(json.dumps(bad_entry).encode()),
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            ]
            balancer.discovery.stop()
            await balancer.discovery.start()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while balancer.discovery.garbage:
                    await asyncio.sleep(0.01)
            client.send_request()
            assert (await client.read_response()).status == 200
            balancer.discovery.change(entry("b", 9))
            change = await next_update(script, ListKind.DELTA)
            assert [row.server for row in change.entries] == [2]  # no number was used up by malformed answers
        upstream.close()

    run(work())


def test_changes_while_discovery_is_down_follow_once_it_is_back() -> None:
    """Guards service while discovery is down, and the watch's return with what changed meanwhile."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            await next_call(balancer, "after=")
            balancer.discovery.stop()
            client.send_request()
            assert (await client.read_response()).status == 200
            balancer.discovery.change(entry("b", 9))
            await balancer.discovery.start()
            change = await next_update(script, ListKind.DELTA)
            assert [row.server for row in change.entries] == [2]
        failed = [
            event
            for event in script.events
            if isinstance(event, ListUpdate) and event.kind is ListKind.FAILED
        ]
        assert failed
        assert all(event.version == 1 and not event.entries and event.call for event in failed)
        upstream.close()

    run(work())


def test_polled_discovery_publishes_a_failure_and_is_polled_again() -> None:
    """Guards polled discovery: no call before it is ordered, FAILED when it breaks."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1], follows=False)
        settings = SETTINGS | {"Discovery": "on_request"}
        async with running(upstream.entry("a"), script=script, base=settings) as balancer:
            await next_update(script, ListKind.CACHED)
            assert balancer.discovery.calls.empty()
            balancer.dispatcher._act(WatchList(True, 1, 1, 20_000.0, 20_000.0))
            await next_call(balancer, "after=1")
            balancer.discovery.stop()
            await next_update(script, ListKind.FAILED)
            await balancer.discovery.start()
            balancer.dispatcher._act(WatchList(True, 2, 1, 20_000.0, 20_000.0))
            await next_call(balancer, "after=1")
        upstream.close()

    run(work())


def test_no_late_answer_from_the_previous_address_counts() -> None:
    """Guards the move to another address: the present list stays valid until the new one has arrived, the old
    connection ends, and what the old service writes in that moment is dropped.
    """

    async def work() -> None:
        a = await FakeServer().start()
        b = await FakeServer().start()
        new = await FakeDiscovery([b.entry("b")]).start()
        script = ScriptedBalancer([1])
        async with running(a.entry("a"), script=script) as balancer, HttpClient(balancer.port) as client:
            await next_call(balancer, "after=1")
            balancer.discovery.change(entry("late", 9))  # on its way when the move is made
            balancer.watch.relocate(("127.0.0.1", new.port))
            client.send_request()
            assert (await client.read_response()).status == 200
            full = await next_update(script, ListKind.FULL)
            assert (
                set(balancer.dispatcher.connection_pool.table) == {row.server for row in full.entries} == {2}
            )
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while balancer.discovery._writers:  # the old connection is closed
                    await asyncio.sleep(0.01)
            new.change(b.entry("b", lifecycle="leaving"))
            change = await next_update(script, ListKind.DELTA)
            assert [row.server for row in change.entries] == [2]
            deltas = [event for event in script.events if is_update(event, ListKind.DELTA)]
            assert deltas == [change]
            balancer.watch.stop()
            balancer.watch.relocate(("127.0.0.1", balancer.discovery.port))  # too late: no call
        while not balancer.discovery.calls.empty():
            assert "after=" in balancer.discovery.calls.get_nowait()
        new.stop()
        a.close()
        b.close()

    run(work())


def test_complete_list_may_take_as_long_as_discovery_keeps_a_call() -> None:
    """Guards the list after a reload: a call given up early loses its turn in discovery's queue, and the next
    one comes too late for what changed meanwhile.
    """

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        slow = await FakeDiscovery([upstream.entry("late")]).start()
        slow.delay_s = 2.2
        async with running(script=script) as balancer:
            balancer.watch.relocate(("127.0.0.1", slow.port))
            listing = await next_update(script, ListKind.FULL)
            assert len(listing.entries) == 1
            assert slow.calls.get_nowait() == "/v1/endpoints"
            assert slow.calls.empty() or "after=" in slow.calls.get_nowait()
        slow.stop()
        upstream.close()

    run(work())


def test_new_watch_replaces_a_silent_one_and_its_connection() -> None:
    """Guards against a watch that receives nothing more: a new one on the same connection, behind the answer
    that never comes, would be as silent.
    """

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1], follows=False)
        settings = SETTINGS | {"Discovery": "on_request"}
        async with running(upstream.entry("a"), script=script, base=settings) as balancer:
            await next_update(script, ListKind.CACHED)
            discovery = balancer.discovery
            discovery.silent = True
            balancer.dispatcher._act(WatchList(True, 1, 1, 20_000.0, 20_000.0))
            await next_call(balancer, "after=1")
            discovery.change(entry("b", 9))
            discovery.silent = False
            balancer.dispatcher._act(WatchList(True, 2, 1, 20_000.0, 20_000.0))
            change = await next_update(script, ListKind.DELTA)
            assert [row.server for row in change.entries] == [2]
            assert not any(
                event.kind is ListKind.FAILED for event in script.events if isinstance(event, ListUpdate)
            )
        upstream.close()

    run(work())
