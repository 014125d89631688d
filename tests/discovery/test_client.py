"""Tests of the discovery client over loopback: lists, watches, malformed responses, and outages."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import ListKind, ListUpdate
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, entry
from testkit.polling import wait_until
from testkit.servers import serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S, ok, status
from tests.event_loop import run
from tests.fakes import (
    Loopback,
    RunningBalancer,
    ScriptedBalancer,
    fake_servers,
    loopback,
    request_ok,
)

POLLED_SETTINGS = SETTINGS | {"Discovery": "on_request"}


def is_update(event: ListUpdate, kind: ListKind) -> bool:
    """Whether the event is of this kind and, if it contains changes, has at least one."""
    return event.kind is kind and bool(event.entries or kind is not ListKind.DELTA)


async def next_update(script: ScriptedBalancer, kind: ListKind) -> ListUpdate:
    return await script.next_event(ListUpdate, lambda event: is_update(event, kind))


def received_updates(script: ScriptedBalancer, kind: ListKind) -> list[ListUpdate]:
    """All list events of this kind that have been received so far."""
    return [event for event in script.received_events(ListUpdate) if is_update(event, kind)]


async def next_call(balancer: RunningBalancer, part: str) -> str:
    """Target of the next request to discovery whose target contains `part`; earlier requests are skipped."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            call = await balancer.discovery.calls.get()
            if part in call:
                return call


def remaining_calls(discovery: FakeDiscovery) -> Iterator[str]:
    while not discovery.calls.empty():
        yield discovery.calls.get_nowait()


def order_watch(balancer: RunningBalancer, number: int) -> None:
    """Order a watch of the list from generation 1 on, as the balancer does where discovery is polled."""
    balancer.dispatcher._execute(WatchList(True, number, 1, 20_000.0, 20_000.0))


def server_numbers(update: ListUpdate) -> list[int]:
    return [row.server for row in update.entries]


def test_known_list_is_published_first_and_changes_follow() -> None:
    """The configuration's `known` list is used first; the watch continues from the list's generation."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, clients=0, script=script) as network:
            balancer = network.balancer
            assert server_numbers(await next_update(script, ListKind.CACHED)) == [1]
            assert "after=1&" in await next_call(balancer, "after=")
            balancer.discovery.change(entry("b", 9, zone="south", startedAtMs=123))
            change = await next_update(script, ListKind.DELTA)
            assert [(row.server, row.zone, row.started_ms) for row in change.entries] == [(2, 1, 123.0)]
            assert "after=2&" in await next_call(balancer, "after=")

    run(scenario())


def test_server_number_is_retained_when_the_address_changes() -> None:
    """After a server's address has changed, requests go to the new address only."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with fake_servers(serve_ok) as (new,), loopback(serve_ok, script=script) as network:
            await request_ok(network.client)
            network.balancer.discovery.change(new.entry("a"))
            await next_update(script, ListKind.DELTA)
            await request_ok(network.client)
            assert len(network.server.requests) == len(new.requests) == 1

    run(scenario())


def test_restarted_server_gets_new_connections() -> None:
    """Guards against reuse of pooled connections to an ended process: the server has a later start time."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, script=script) as network:
            await request_ok(network.client)
            network.balancer.discovery.change(network.server.entry("a", startedAtMs=5000))
            await next_update(script, ListKind.DELTA)
            await request_ok(network.client)
            assert network.server.connections == 2

    run(scenario())


def test_ready_is_503_until_a_list_with_a_server_is_received() -> None:
    """`/ready` returns 503 while the list is empty, and 200 once discovery has listed a server."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(script=script, known={}) as network:
            await next_update(script, ListKind.FULL)
            network.client.send_request(target="/ready")
            assert (await network.client.read_response()).status == 503
            network.balancer.discovery.change(entry("a", 9))
            await next_update(script, ListKind.DELTA)
            await request_ok(network.client, target="/ready")

    run(scenario())


def test_server_absent_from_a_complete_list_is_removed() -> None:
    """A server that a complete list no longer contains is removed from the pool."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, serve_ok, clients=0, script=script) as network:
            await next_call(network.balancer, "after=")
            discovery = network.balancer.discovery
            only_b = {"generation": 9, "reset": True, "instances": [network.servers[1].entry("b")]}
            discovery.raw_responses.append(ok(json.dumps(only_b).encode()))
            discovery.generation = 9
            discovery.wake()
            # The pending watch receives no changes, the next watch receives the complete list.
            assert server_numbers(await next_update(script, ListKind.FULL)) == [2]
            assert set(network.pool.servers) == {2}

    run(scenario())


def test_list_without_a_length_is_complete_at_the_orderly_end_of_its_connection() -> None:
    """Guards against the loss of a list that only discovery's close ends."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, serve_ok, clients=0, script=script) as network:
            await next_call(network.balancer, "after=")
            discovery = network.balancer.discovery
            only_b = {"generation": 9, "reset": True, "instances": [network.servers[1].entry("b")]}
            discovery.raw_responses.append(b"HTTP/1.1 200 OK\r\n\r\n" + json.dumps(only_b).encode())
            discovery.closes_after_raw_response = True
            discovery.generation = 9
            discovery.wake()
            assert server_numbers(await next_update(script, ListKind.FULL)) == [2]

    run(scenario())


def test_generation_that_goes_back_causes_a_fetch_of_the_complete_list() -> None:
    """Guards against applying changes to the wrong list, after discovery restarts its generation count."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, clients=0, script=script, generation=40) as network:
            await next_call(network.balancer, "after=40")
            network.balancer.discovery.generation = 3
            network.balancer.discovery.wake()
            full = await next_update(script, ListKind.FULL)
            assert full.version == 3
            assert not received_updates(script, ListKind.DELTA)

    run(scenario())


PARTLY_VALID_LIST = {"generation": 2, "reset": True, "instances": [entry("b", 1), {"instanceId": "c"}]}
MALFORMED_RESPONSES = [
    b"\x00nonsense\r\n\r\n",
    ok(b"not json"),
    ok(b"[" * 50_000),
    ok(b"[]"),
    ok(json.dumps(PARTLY_VALID_LIST).encode()),
    status(503),
]


def test_malformed_responses_are_failed_calls_and_the_list_is_retained() -> None:
    """No part of a malformed response is applied, even if other parts are valid; the watch continues."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, script=script) as network:
            discovery = network.balancer.discovery
            await next_call(network.balancer, "after=")
            discovery.raw_responses += MALFORMED_RESPONSES
            discovery.stop()
            await discovery.start()
            await wait_until(lambda: not discovery.raw_responses)
            await request_ok(network.client)
            discovery.change(entry("b", 9))
            change = await next_update(script, ListKind.DELTA)
            assert server_numbers(change) == [2]  # malformed responses have not used up a server number

    run(scenario())


def test_changes_during_a_discovery_outage_are_received_after_it() -> None:
    """Requests are served while discovery is down; afterwards a watch receives the missed changes."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, script=script) as network:
            await next_call(network.balancer, "after=")
            network.balancer.discovery.stop()
            await request_ok(network.client)
            network.balancer.discovery.change(entry("b", 9))
            await network.balancer.discovery.start()
            assert server_numbers(await next_update(script, ListKind.DELTA)) == [2]
        failed = received_updates(script, ListKind.FAILED)
        assert failed
        assert all(event.version == 1 and not event.entries and event.call for event in failed)

    run(scenario())


def test_polled_discovery_publishes_a_failure_and_accepts_another_poll() -> None:
    """Polled discovery gets no call before a poll is ordered; FAILED is published when the call fails."""

    async def scenario() -> None:
        script = ScriptedBalancer([1], watches_lists=False)
        async with loopback(serve_ok, clients=0, script=script, base=POLLED_SETTINGS) as network:
            discovery = network.balancer.discovery
            await next_update(script, ListKind.CACHED)
            assert discovery.calls.empty()
            order_watch(network.balancer, 1)
            await next_call(network.balancer, "after=1")
            discovery.stop()
            await next_update(script, ListKind.FAILED)
            await discovery.start()
            order_watch(network.balancer, 2)
            await next_call(network.balancer, "after=1")

    run(scenario())


async def relocate_while_a_change_is_sent(network: Loopback, new: FakeDiscovery) -> None:
    """Switch to discovery at another address while the previous one is sending a change."""
    await next_call(network.balancer, "after=1")
    network.balancer.discovery.change(entry("late", 9))
    network.balancer.discovery_client.relocate(("127.0.0.1", new.port))


def test_late_response_from_the_previous_address_is_dropped() -> None:
    """After discovery has moved to another address, the current list stays valid until the new one has been
    received, the old connection is closed, and a change that the old service is just sending is dropped.
    """

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with fake_servers(serve_ok) as (b,), loopback(serve_ok, script=script) as network:
            old = network.balancer.discovery
            new = await FakeDiscovery([b.entry("b")]).start()
            await relocate_while_a_change_is_sent(network, new)
            await request_ok(network.client)
            full = await next_update(script, ListKind.FULL)
            assert set(network.pool.servers) == set(server_numbers(full)) == {2}
            await wait_until(lambda: not old._writers)  # the old connection is closed
            new.change(b.entry("b", lifecycle="leaving"))
            change = await next_update(script, ListKind.DELTA)
            assert server_numbers(change) == [2]
            assert received_updates(script, ListKind.DELTA) == [change]
            network.balancer.discovery_client.stop()
            # After `stop`, a new address of discovery is ignored: the client makes no call to it.
            network.balancer.discovery_client.relocate(("127.0.0.1", old.port))
        assert all("after=" in call for call in remaining_calls(old))
        new.stop()

    run(scenario())


def test_fetch_of_the_complete_list_waits_as_long_as_discovery_holds_a_call() -> None:
    """A fetch after a reload must not time out early: the call would lose its place in discovery's queue, and
    the repeated call would receive the changes too late.
    """

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        slow = await FakeDiscovery([entry("late", 9)]).start()
        slow.delay_s = 2.2
        async with loopback(clients=0, script=script) as network:
            network.balancer.discovery_client.relocate(("127.0.0.1", slow.port))
            listing = await next_update(script, ListKind.FULL)
            assert len(listing.entries) == 1
            assert slow.calls.get_nowait() == "/v1/endpoints"
            assert slow.calls.empty() or "after=" in slow.calls.get_nowait()
        slow.stop()

    run(scenario())


def test_new_watch_replaces_a_watch_without_response_and_its_connection() -> None:
    """A watch whose response never arrives must not block the next one, as would happen if the next one used
    the same connection and waited behind the missing response.
    """

    async def scenario() -> None:
        script = ScriptedBalancer([1], watches_lists=False)
        async with loopback(serve_ok, clients=0, script=script, base=POLLED_SETTINGS) as network:
            discovery = network.balancer.discovery
            await next_update(script, ListKind.CACHED)
            discovery.silent = True
            order_watch(network.balancer, 1)
            await next_call(network.balancer, "after=1")
            discovery.change(entry("b", 9))
            discovery.silent = False
            order_watch(network.balancer, 2)
            assert server_numbers(await next_update(script, ListKind.DELTA)) == [2]
            assert not received_updates(script, ListKind.FAILED)

    run(scenario())
