"""Versions while they run: no request under a mixture of two, nothing forgotten, nothing half applied."""

from __future__ import annotations

import asyncio
import json
import socket
from copy import deepcopy
from random import Random
from typing import Any

import pytest

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import ServerState
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.config.check import CheckError
from sandhatch.config.transactions import Refusal, RejectedError, State
from testkit.clients import HttpClient
from testkit.load import Load
from testkit.ports import free_port
from testkit.servers import Talk
from testkit.wire import Incoming, ok
from tests.service.harness import Farm, Kept, run, serving

NON_IDEMPOTENT = frozenset(("order",))


def choose(rng: Random) -> tuple[str, str]:
    return ("order", "/orders/new") if rng.random() < 0.4 else ("look", "/pages")


def variants(farm: Farm) -> list[dict[str, Any]]:
    """Configurations among which a run goes to and fro. The servers of each pool tell them apart."""
    a = farm.config(farm.pool("a1", "a2"), farm.pool("o1", "o2"))
    b = farm.config(farm.pool("b1", "b2"), farm.pool("o1", "o2"))  # one pool changed whole
    c = farm.config(farm.pool("a1", "a2"), farm.pool("o2", "o3"))  # a server less, another more
    d = farm.config(farm.pool("o1", "a1"), farm.pool("a2", "o2"))  # servers moved between the pools
    e = deepcopy(a)
    e["routes"] = [{"name": "orders", "match": {"path": {"prefix": "/orders"}}, "to": {"pool": "web"}}]
    e["default"] = {"pool": "orders"}  # the ways exchanged
    f = farm.config(
        farm.pool("a1", "a2", max_attempts=3, max_connections=64), farm.pool("o1", "o2", copies=2)
    )
    return [a, b, c, d, e, f]


def check_no_mixture(kept: Kept, farm: Farm, data_of: dict[int, dict[str, Any]]) -> None:
    """Every record's route, pool and servers are those of its version alone."""
    for record in kept.records:
        data = data_of[record.version]
        to = data["default"] if record.route == "default" else data["routes"][0]["to"]
        assert record.pool == to["pool"], record
        allowed = {server["address"] for server in data["pools"][record.pool]["servers"].values()}
        for number in record.servers:
            assert kept.service.pools.book.name(number) in allowed, record


async def churn(
    kept: Kept, farm: Farm, choices: list[dict[str, Any]], commits: int, seed: int, pause_s: float = 0.0
) -> dict[int, Any]:
    """Random commits, confirmations, rollbacks and conflicts; what each version said."""
    rng = Random(seed)
    service = kept.service
    data_of = {1: service.transactions.in_force.data}
    for _ in range(commits):
        await asyncio.sleep(pause_s)
        try:
            within = 60_000.0 if rng.random() < 0.4 else None
            version = service.commit(kept.propose(rng.choice(choices)), within)
        except RejectedError as rejected:
            assert rejected.why is Refusal.NOTHING
            continue
        data_of[version.number] = version.data
        await service.settled(version)
        assert version.state is not State.FAILED, version.why
        if rng.random() < 0.5:
            await asyncio.sleep(rng.random() * 0.02)
        if version.state is State.IN_FORCE:
            if rng.random() < 0.6:
                service.rollback("test")
            else:
                service.confirm()
        await service.settled(version, over=True)
    return data_of


def test_no_request_is_handled_under_a_mixture_of_two_versions() -> None:
    """Constant load while versions come and go: each request's route, pool and servers are those of the
    version that it arrived under; one answer each; no unsafe effect twice; and every version is freed in the
    end.
    """

    async def work() -> None:
        farm = await Farm().start("a1", "a2", "b1", "b2", "o1", "o2", "o3")
        choices = variants(farm)
        async with serving(choices[0]) as kept:
            load = Load(kept.port, farm.books, choose, clients=12)
            data_of = await churn(kept, farm, choices, 120, seed=11)
            await load.stop()
            service = kept.service
            await kept.until(lambda: len(kept.records) == len(farm.books.entries))
            check_no_mixture(kept, farm, data_of)
            assert farm.books.faults(NON_IDEMPOTENT) == []
            assert set(farm.books.statuses()) == {200}, farm.books.statuses()
            assert len({record.version for record in kept.records}) > 30
            await kept.until(lambda: list(service.running) == [service.transactions.in_force.number])
            assert len(service.pools.alive) == 2
        farm.close()

    run(work())


def test_a_change_of_one_pool_leaves_the_other_its_balancer_tokens_and_connections() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "b1", "o1")
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        async with serving(first) as kept, HttpClient(kept.port) as client:
            for _ in range(3):
                client.ask("order", target="/orders")
                assert (await client.answer()).body == b"o1"
            before = kept.service.front.current
            assert before is not None
            orders = before.pools["orders"]
            await kept.confirmed(farm.config(farm.pool("b1"), farm.pool("o1")))
            after = kept.service.front.current
            assert after is not None and after.pools["orders"] is orders
            assert after.pools["web"] is not before.pools["web"]
            for _ in range(3):
                client.ask("order", target="/orders")
                assert (await client.answer()).body == b"o1"
            client.ask()
            assert (await client.answer()).body == b"b1"
            # One of them is the first start's look whether it is there.
            assert farm.servers["o1"].connections == 2
        farm.close()

    run(work())


def test_a_changed_pool_takes_over_connections_and_what_was_learned() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "a2", "o1")
        async with (
            serving(farm.config(farm.pool("a1"), farm.pool("o1"))) as kept,
            HttpClient(kept.port) as client,
        ):
            kept_engine = kept.service.front.current.pools["web"].dispatcher  # type: ignore[union-attr]
            for _ in range(20):
                client.ask()
                await client.answer()
            past = kept_engine.balancer
            assert isinstance(past, Balancer)
            await asyncio.sleep(0.05)  # a connection rests a little after an answer
            before = farm.servers["a1"].connections
            await kept.confirmed(farm.config(farm.pool("a1", max_attempts=4), farm.pool("o1")))
            successor = kept.service.front.current.pools["web"].dispatcher.balancer  # type: ignore[union-attr]
            assert isinstance(successor, Balancer) and successor is not past
            assert successor.latency.mean_ms == past.latency.mean_ms
            assert successor.latency.answers == past.latency.answers
            client.ask()
            assert (await client.answer()).body == b"a1"
            # The look whether it is reachable opened one; the request went over the connection kept.
            assert farm.servers["a1"].connections <= before + 1
            assert kept_engine.connection_pool.sockets == 0
        farm.close()

    run(work())


def test_a_rollback_while_requests_run_on_the_new_version() -> None:
    """One is an unsafe effect between attempts: its first attempt, which never ran, has ended when the
    version is taken back, and its second goes to the same version's servers and not to those in force by
    then.
    """

    async def work() -> None:
        farm = await Farm().start("a1", "b1", "b2", "o1")
        go = asyncio.Event()
        turned = asyncio.Event()
        tries: list[str] = []

        async def turn_away_first(request: Incoming, talk: Talk) -> None:
            tries.append(request.headers["x-trace-id"])
            if len(tries) == 1:
                turned.set()
                await go.wait()
                entry = farm.books.entries.get(tries[0])
                if entry is not None:
                    entry.ran.clear()  # turned away unseen
                await talk.send(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            else:
                await talk.send(ok(b"second"))

        farm.behave["b1"] = farm.behave["b2"] = turn_away_first
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        async with serving(first) as kept, HttpClient(kept.port) as client, HttpClient(kept.port) as other:
            second = farm.config(farm.pool("b1", "b2", max_attempts=4), farm.pool("o1"))
            version = await kept.commit(second, over=False, confirm_within_ms=60_000.0)
            assert version.state is State.IN_FORCE
            client.ask("order", target="/cart", X_Trace_Id="between")
            await turned.wait()
            late = kept.propose(
                farm.config(farm.pool("b1", "b2", max_attempts=5), farm.pool("o1")), version.number
            )
            kept.service.rollback("test")
            with pytest.raises(RejectedError) as rejected:  # a second change proposed during the rollback
                kept.service.commit(late)
            assert rejected.value.why is Refusal.CONFLICT
            assert "pools.web.max_attempts" in rejected.value.keys
            other.ask()
            assert (await other.answer()).body == b"a1"
            assert version.number in kept.service.running
            go.set()
            assert (await client.answer()).body == b"second"
            await kept.until(lambda: version.number not in kept.service.running)
            record = next(record for record in kept.records if record.trace == b"between")
            assert record.version == version.number and len(record.servers) == 2
            assert tries == ["between", "between"]
        farm.close()

    run(work())


def test_a_pool_removed_with_requests_running_serves_them_to_the_end() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "o1")
        go = asyncio.Event()

        async def wait(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok(b"late"))

        farm.behave["o1"] = wait
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        async with serving(first) as kept, HttpClient(kept.port) as client, HttpClient(kept.port) as other:
            client.ask("order", target="/orders")
            await farm.servers["o1"].arrived.get()
            without = deepcopy(first)
            del without["pools"]["orders"]
            without["routes"] = []
            await kept.confirmed(without)
            other.ask(target="/orders")
            assert (await other.answer()).body == b"a1"
            assert set(kept.service.running) == {1, 2}
            go.set()
            assert (await client.answer()).body == b"late"
            await kept.until(lambda: set(kept.service.running) == {2})
            assert [pool.name for pool in kept.service.pools.alive.values()] == ["web"]
        farm.close()

    run(work())


def test_a_new_version_whose_pool_is_empty_or_unreachable_is_not_applied() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "o1")
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        with socket.socket() as held:
            held.bind(("127.0.0.1", 0))  # has the port, and does not listen
            dead = {"servers": {"x": {"address": f"127.0.0.1:{held.getsockname()[1]}"}}}
            async with serving(first) as kept, HttpClient(kept.port) as client:
                for pool, why in (
                    (dead, "pools.web: no server can be connected to"),
                    ({"servers": {}}, "pools.web: no server is ready"),
                    (
                        {"servers": {"x": {"address": farm.address("a1"), "state": "draining"}}},
                        "pools.web: no server is ready",
                    ),
                ):
                    version = await kept.commit(farm.config(pool, farm.pool("o1")))
                    assert version.state is State.FAILED and why in version.why
                    client.ask()
                    assert (await client.answer()).body == b"a1"
                    assert set(kept.service.running) == {1} and len(kept.service.pools.alive) == 2
                forced = farm.config(dead | {"require_reachable": False}, farm.pool("o1"))
                await kept.confirmed(forced)
                client.ask(X_Expires_In_Ms="500")
                assert (await client.answer()).status in (502, 503, 504)
        farm.close()

    run(work())


def test_a_listener_whose_address_is_taken_fails_the_change_whole() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "o1")
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            async with serving(first) as kept:
                second = deepcopy(first)
                second["listeners"]["extra"] = {"address": "127.0.0.1:0"}
                second["listeners"]["back"] = {"address": f"127.0.0.1:{taken.getsockname()[1]}"}
                version = await kept.commit(second)
                assert version.state is State.FAILED
                assert "listeners.back.address" in version.why and "in use" in version.why
                assert len(kept.service.listeners) == 1 and set(kept.service.running) == {1}
        farm.close()

    run(work())


def test_listeners_come_and_go_and_come_back_with_a_rollback() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "o1")
        port = free_port()
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        first["listeners"]["back"] = {"address": f"127.0.0.1:{port}"}
        async with serving(first) as kept, HttpClient(port) as before:
            before.ask()
            assert (await before.answer()).body == b"a1"
            second = deepcopy(first)
            del second["listeners"]["back"]
            await kept.commit(second, over=False, confirm_within_ms=60_000.0)
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", port)
            assert await before.ended() == b""  # an idle connection of a listener that is gone is closed
            kept.service.rollback()
            async with HttpClient(port) as after:
                after.ask()
                assert (await after.answer()).body == b"a1"
        farm.close()

    run(work())


def test_limits_that_shrink_below_what_is_in_use_cut_nothing_off() -> None:
    async def work() -> None:
        names = ("a1", "a2", "a3", "a4")
        farm = await Farm().start(*names, "o1")
        go = asyncio.Event()

        async def wait(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok(b"done"))

        farm.behave.update(dict.fromkeys(names, wait))
        first = farm.config(farm.pool(*names), farm.pool("o1"), limits={"sockets": 1024, "memory_mb": 64})
        async with serving(first) as kept:
            clients = [await HttpClient(kept.port).__aenter__() for _ in range(20)]
            for client in clients:
                client.ask()
            await kept.until(lambda: sum(len(farm.servers[name].seen) for name in names) == 20)
            small = deepcopy(first) | {"limits": {"sockets": 80, "memory_mb": 16}}
            small["pools"]["web"]["max_connections"] = 1
            await kept.confirmed(small)
            assert kept.service.shared.client_budget < 20 and kept.service.shared.descriptors.most < 20
            go.set()
            for client in clients:
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, b"done")
                await client.__aexit__()
            async with HttpClient(kept.port) as late:
                late.ask()
                assert (await late.answer()).status == 200
        farm.close()

    run(work())


def test_a_server_that_is_not_listed_any_more_gets_nothing_new_from_older_versions_either() -> None:
    """A request of the old version, whose retry would come after the grace, finds the server drained."""

    async def work() -> None:
        farm = await Farm().start("a1", "a2", "o1")
        first = farm.config(farm.pool("a1", drain_grace_ms=600), farm.pool("o1"))
        hold = asyncio.Event()

        async def wait(request: Incoming, talk: Talk) -> None:
            await hold.wait()
            talk.reset()

        farm.behave["a1"] = wait
        async with serving(first) as kept, HttpClient(kept.port) as client:
            client.ask(X_Trace_Id="held")
            await farm.servers["a1"].arrived.get()
            old = kept.service.front.current
            assert old is not None
            await kept.confirmed(farm.config(farm.pool("a2"), farm.pool("o1")))
            table = old.pools["web"].dispatcher.connection_pool.table
            assert [item.state for item in table.values()] == [ServerState.READY]
            await kept.until(lambda: [item.state for item in table.values()] == [ServerState.DRAINING])
            hold.set()
            assert (await client.answer()).status in (502, 503)
            assert farm.books.entries == {} and len(farm.servers["a1"].seen) == 1
        farm.close()

    run(work())


def test_a_server_new_to_the_configuration_is_ramped_and_one_that_moved_is_not() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "a2", "o1", "o2")
        first = farm.config(farm.pool("a1"), farm.pool("o1", "o2"))
        async with serving(first) as kept:
            web = farm.pool("a1", "a2", "o2", new_servers="cold", cold_ms=60_000)
            await kept.confirmed(farm.config(web, farm.pool("o1")))
            balancer = kept.service.front.current.pools["web"].dispatcher.balancer  # type: ignore[union-attr]
            assert isinstance(balancer, Balancer)
            cold = {
                kept.server_name(farm, server.id): balancer.slow_start.is_cold(server, balancer.now)
                for server in balancer.server_list.servers.values()
            }
            assert cold == {"a1": False, "a2": True, "o2": False}
            # A change of the pool does not begin the ramp anew, nor does it give a fresh credit.
            past = balancer.slow_start
            assert isinstance(past, SlowStart)
            (fresh,) = past.credits
            past.credits[fresh] = 0.125, past.earned
            web2 = farm.pool("a1", "a2", "o2", new_servers="cold", cold_ms=60_000, max_attempts=3)
            await kept.confirmed(farm.config(web2, farm.pool("o1")))
            successor = kept.service.front.current.pools["web"].dispatcher.balancer  # type: ignore[union-attr]
            assert isinstance(successor, Balancer) and successor is not balancer
            assert isinstance(successor.slow_start, SlowStart)
            assert {n: held for n, (held, _) in successor.slow_start.credits.items()} == {fresh: 0.125}
            started = {s.id: s.started_ms for s in balancer.server_list.servers.values()}
            assert {s.id: s.started_ms for s in successor.server_list.servers.values()} == started
        farm.close()

    run(work())


def test_a_cold_pool_is_not_pushed_over_by_a_change() -> None:
    """Half of a pool's servers are new: under constant load they get a small part at first, where a plain
    draw would give them half.
    """

    async def work() -> None:
        farm = await Farm().start("a1", "a2", "a3", "a4", "o1")
        async with serving(farm.config(farm.pool("a1", "a2"), farm.pool("o1"))) as kept:
            load = Load(kept.port, farm.books, lambda rng: ("look", "/"), clients=6)
            await kept.until(lambda: len(kept.records) > 200)
            pool = farm.pool("a1", "a2", "a3", "a4", new_servers="cold", cold_ms=600_000)
            await kept.confirmed(farm.config(pool, farm.pool("o1")))
            at = len(kept.records)
            await kept.until(lambda: len(kept.records) > at + 1_500)
            await load.stop()
            names = [kept.server_name(farm, r.servers[0]) for r in kept.records if r.version == 2]
            cold = sum(name in ("a3", "a4") for name in names)
            assert 0 < cold < 0.1 * len(names)
        farm.close()

    run(work())


def test_routes_fixed_answers_and_requests_without_class_or_id() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "o1")
        data = farm.config(farm.pool("a1"), farm.pool("o1"))
        data["routes"] += [
            {
                "name": "gone",
                "match": {"path": {"exact": "/gone"}},
                "to": {"answer": {"status": 410, "body": "no"}},
            },
            {
                "name": "host",
                "match": {"hosts": ["orders.example"], "methods": ["GET"]},
                "to": {
                    "weighted": {"pools": [{"pool": "orders", "weight": 1}, {"pool": "web", "weight": 0}]}
                },
            },
        ]
        async with serving(data) as kept, HttpClient(kept.port) as client:
            client.send(b"GET /gone?x=1 HTTP/1.1\r\nHost: h\r\n\r\n")
            gone = await client.answer()
            assert (gone.status, gone.body, gone.headers["content-type"]) == (410, b"no", "text/plain")
            client.send(b"GET /any HTTP/1.1\r\nHost: Orders.example:8080\r\n\r\n")
            assert (await client.answer()).body == b"o1"
            seen = farm.servers["o1"].seen[0]
            assert len(seen.headers["x-trace-id"]) == 32
            client.send(b"BREW / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await client.answer()).status == 400
        async with serving(data) as kept, HttpClient(kept.port) as client:
            client.send(b"OPTIONS /gone HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await client.answer()).status == 405
            assert [record.route for record in kept.records] == []
        farm.close()

    run(work())


def test_a_file_with_errors_changes_nothing_and_every_error_is_told() -> None:
    async def work() -> None:
        farm = await Farm().start("a1", "o1")
        async with serving(farm.config(farm.pool("a1"), farm.pool("o1"))) as kept:
            with pytest.raises(RejectedError) as rejected:
                kept.service.propose(json.dumps({"format": 1}).encode(), None)
            assert rejected.value.why is Refusal.INVALID and len(rejected.value.problems) == 3
            assert not kept.service.transactions.proposals
        farm.close()

    run(work())


def test_a_service_is_not_made_from_a_broken_configuration() -> None:
    async def work() -> None:
        with pytest.raises(CheckError):
            async with serving({"format": 1}):
                pass

    run(work())


def test_an_injected_bad_change_is_taken_back_and_says_why() -> None:
    """Half of the new pool's servers answer late; the watch sees the yield fall and the old pool serves
    again.
    """

    async def work() -> None:
        farm = await Farm().start("a1", "a2", "b1", "o1")

        async def reject(request: Incoming, talk: Talk) -> None:
            await talk.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")

        farm.behave["b1"] = reject
        watch = {"window_ms": 20_000, "before_ms": 2_000, "block_ms": 50, "significance": 0.01}
        first = farm.config(farm.pool("a1", "a2"), farm.pool("o1"), watch=watch)
        async with serving(first) as kept:
            load = Load(kept.port, farm.books, lambda rng: ("order", "/cart"), clients=4, pause_s=0.004)
            await kept.until(lambda: len(kept.service.watch._before) >= 30)
            bad = deepcopy(first)
            bad["pools"]["web"] = farm.pool("b1")
            version = await kept.commit(bad)
            assert version.state is State.TAKEN_BACK and "fell from" in version.why
            assert kept.service.transactions.in_force.number == 1
            at = len(kept.records)
            await kept.until(lambda: len(kept.records) > at + 50)
            await load.stop()
            assert {record.status for record in kept.records if record.version == 1} == {200}
        farm.close()

    run(work())
