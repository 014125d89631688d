"""Pools across versions: unchanged pools, state that a changed pool inherits, and slow start."""

from __future__ import annotations

import asyncio
import socket
from copy import deepcopy

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import ServerState
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.config.version import State
from testkit.behaviours import disconnects, serves, waits_for
from testkit.clients import HttpClient
from testkit.load_generator import LoadGenerator
from tests.service.harness import FakeServers, run, serving


def test_change_of_one_pool_retains_the_other_pools_dispatcher_and_connections() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "b1", "o1")
        first = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
        async with serving(first) as running, HttpClient(running.port) as client:
            for _ in range(3):
                client.send_request("order", target="/orders")
                assert (await client.read_response()).body == b"o1"
            before = running.service.request_handler.current
            assert before is not None
            orders = before.pools["orders"]
            await running.commit_and_confirm(
                fake_servers.config(fake_servers.pool("b1"), fake_servers.pool("o1"))
            )
            after = running.service.request_handler.current
            assert after is not None
            assert after.pools["orders"] is orders
            assert after.pools["web"] is not before.pools["web"]
            for _ in range(3):
                client.send_request("order", target="/orders")
                assert (await client.read_response()).body == b"o1"
            client.send_request()
            assert (await client.read_response()).body == b"b1"
            # One of the two connections is that of the readiness check at the start.
            assert fake_servers.servers["o1"].connections == 2
        fake_servers.close()

    run(scenario())


def test_changed_pool_inherits_idle_connections_and_balancer_state() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "a2", "o1")
        async with (
            serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running,
            HttpClient(running.port) as client,
        ):
            previous_dispatcher = running.service.request_handler.current.pools["web"].dispatcher  # type: ignore[union-attr]
            for _ in range(20):
                client.send_request()
                await client.read_response()
            previous = previous_dispatcher.balancer
            assert isinstance(previous, Balancer)
            await asyncio.sleep(0.05)  # lets the connection become idle after the last response
            before = fake_servers.servers["a1"].connections
            await running.commit_and_confirm(
                fake_servers.config(fake_servers.pool("a1", max_attempts=4), fake_servers.pool("o1"))
            )
            successor = running.service.request_handler.current.pools["web"].dispatcher.balancer  # type: ignore[union-attr]
            assert isinstance(successor, Balancer)
            assert successor is not previous
            assert successor.latency.mean_ms == previous.latency.mean_ms
            assert successor.latency.responses == previous.latency.responses
            client.send_request()
            assert (await client.read_response()).body == b"a1"
            # The readiness check opened at most one connection; the request reused an idle connection.
            assert fake_servers.servers["a1"].connections <= before + 1
            assert previous_dispatcher.connection_pool.connection_count == 0
        fake_servers.close()

    run(scenario())


def test_removed_pool_completes_its_requests_in_flight() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        released = asyncio.Event()

        fake_servers.behaviours["o1"] = waits_for(released, serves(b"late"))
        first = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
        async with (
            serving(first) as running,
            HttpClient(running.port) as client,
            HttpClient(running.port) as other,
        ):
            client.send_request("order", target="/orders")
            await fake_servers.servers["o1"].arrived.get()
            without = deepcopy(first)
            del without["pools"]["orders"]
            without["routes"] = []
            await running.commit_and_confirm(without)
            other.send_request(target="/orders")
            assert (await other.read_response()).body == b"a1"
            assert set(running.service.running) == {1, 2}
            released.set()
            assert (await client.read_response()).body == b"late"
            await running.wait_until(lambda: set(running.service.running) == {2})
            assert [pool.name for pool in running.service.pools.by_fingerprint.values()] == ["web"]
        fake_servers.close()

    run(scenario())


def test_version_whose_pool_has_no_ready_or_reachable_server_fails_to_stage() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        first = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))  # occupies the port without listening on it
            dead = {"servers": {"x": {"address": f"127.0.0.1:{bound.getsockname()[1]}"}}}
            async with serving(first) as running, HttpClient(running.port) as client:
                for pool, reason in (
                    (dead, "pools.web: no server can be connected to"),
                    ({"servers": {}}, "pools.web: no server is ready"),
                    (
                        {"servers": {"x": {"address": fake_servers.address("a1"), "state": "draining"}}},
                        "pools.web: no server is ready",
                    ),
                ):
                    version = await running.commit(fake_servers.config(pool, fake_servers.pool("o1")))
                    assert version.state is State.FAILED
                    assert reason in version.why
                    client.send_request()
                    assert (await client.read_response()).body == b"a1"
                    assert set(running.service.running) == {1}
                    assert len(running.service.pools.by_fingerprint) == 2
                forced = fake_servers.config(dead | {"require_reachable": False}, fake_servers.pool("o1"))
                await running.commit_and_confirm(forced)
                client.send_request(X_Expires_In_Ms="500")
                assert (await client.read_response()).status in (502, 503, 504)
        fake_servers.close()

    run(scenario())


def test_unlisted_server_gets_no_new_attempts_from_older_versions_after_the_grace() -> None:
    """A request of the old version whose retry falls due after the drain grace finds its server draining."""

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "a2", "o1")
        first = fake_servers.config(fake_servers.pool("a1", drain_grace_ms=600), fake_servers.pool("o1"))
        released = asyncio.Event()

        fake_servers.behaviours["a1"] = waits_for(released, disconnects)
        async with serving(first) as running, HttpClient(running.port) as client:
            client.send_request(X_Trace_Id="waiting")
            await fake_servers.servers["a1"].arrived.get()
            old = running.service.request_handler.current
            assert old is not None
            await running.commit_and_confirm(
                fake_servers.config(fake_servers.pool("a2"), fake_servers.pool("o1"))
            )
            table = old.pools["web"].dispatcher.connection_pool.servers
            assert [upstream.state for upstream in table.values()] == [ServerState.READY]
            await running.wait_until(
                lambda: [upstream.state for upstream in table.values()] == [ServerState.DRAINING]
            )
            released.set()
            assert (await client.read_response()).status in (502, 503)
            assert fake_servers.request_log.entries == {}
            assert len(fake_servers.servers["a1"].requests) == 1
        fake_servers.close()

    run(scenario())


def test_new_server_warms_up_and_a_server_from_another_pool_does_not() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "a2", "o1", "o2")
        first = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1", "o2"))
        async with serving(first) as running:
            web = fake_servers.pool("a1", "a2", "o2", new_servers="cold", cold_ms=60_000)
            await running.commit_and_confirm(fake_servers.config(web, fake_servers.pool("o1")))
            balancer = running.service.request_handler.current.pools["web"].dispatcher.balancer  # type: ignore[union-attr]
            assert isinstance(balancer, Balancer)
            warming = {
                running.server_name(fake_servers, server.id): balancer.slow_start.is_warming_up(
                    server, balancer.now_ms
                )
                for server in balancer.server_list.servers.values()
            }
            assert warming == {"a1": False, "a2": True, "o2": False}
            # A further change of the pool neither restarts a2's warm-up nor resets its slow-start credit.
            slow_start = balancer.slow_start
            assert isinstance(slow_start, SlowStart)
            (warming_up,) = slow_start.credits
            slow_start.credits[warming_up] = 0.125, slow_start.earned_credit
            web2 = fake_servers.pool("a1", "a2", "o2", new_servers="cold", cold_ms=60_000, max_attempts=3)
            await running.commit_and_confirm(fake_servers.config(web2, fake_servers.pool("o1")))
            successor = running.service.request_handler.current.pools["web"].dispatcher.balancer  # type: ignore[union-attr]
            assert isinstance(successor, Balancer)
            assert successor is not balancer
            assert isinstance(successor.slow_start, SlowStart)
            assert {number: credit for number, (credit, _) in successor.slow_start.credits.items()} == {
                warming_up: 0.125
            }
            started = {server.id: server.started_ms for server in balancer.server_list.servers.values()}
            assert {
                server.id: server.started_ms for server in successor.server_list.servers.values()
            } == started
        fake_servers.close()

    run(scenario())


def test_servers_that_warm_up_get_a_small_share_after_a_change() -> None:
    """The new servers, half of all, get under a tenth of the attempts; without slow start they get half."""

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "a2", "a3", "a4", "o1")
        async with serving(
            fake_servers.config(fake_servers.pool("a1", "a2"), fake_servers.pool("o1"))
        ) as running:
            load = LoadGenerator(
                running.port, fake_servers.request_log, lambda _rng: ("look", "/"), clients=6
            )
            await running.wait_until(lambda: len(running.records) > 200)
            pool = fake_servers.pool("a1", "a2", "a3", "a4", new_servers="cold", cold_ms=600_000)
            await running.commit_and_confirm(fake_servers.config(pool, fake_servers.pool("o1")))
            record_count = len(running.records)
            await running.wait_until(lambda: len(running.records) > record_count + 1_500)
            await load.stop()
            names = [
                running.server_name(fake_servers, record.servers[0])
                for record in running.records
                if record.version == 2
            ]
            to_new_servers = sum(name in ("a3", "a4") for name in names)
            assert 0 < to_new_servers < 0.1 * len(names)
        fake_servers.close()

    run(scenario())
