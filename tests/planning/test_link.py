"""Planners that are slow, wrong, hostile or gone, on real connections: what reaches the decision module."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from sandhatch.balancing.events import RequestArrived
from sandhatch.planning.messages import PartRow, PoolAdvice, Report, Row, WeightRow
from sandhatch.planning.session import SessionError
from testkit.planners import Seat
from tests.planning.harness import (
    ADDRESSES,
    SETTINGS,
    TERMS,
    FakeEngine,
    forwarder,
    planning,
    scripted,
    until,
)
from tests.service.harness import run


def weighing(*weights: float) -> PoolAdvice:
    return PoolAdvice("core", [WeightRow(n, weight) for n, weight in enumerate(weights)])


def answering(*pools: PoolAdvice, **more: object) -> Callable[[Seat], Awaitable[None]]:
    """A planner that gives each report the same answer."""

    async def script(seat: Seat) -> None:
        await seat.established()
        while True:
            await seat.say(seat.advice(await seat.report(), *pools, **more))

    return script


def test_a_report_names_the_servers_and_advice_reaches_the_balancer() -> None:
    reports: list[Report] = []

    async def script(seat: Seat) -> None:
        await seat.established()
        reports.append(await seat.report())
        await seat.say(seat.advice(reports[0], weighing(1.0, 0.5)))
        await seat.left()

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.dispatcher.guidances)
            (guidance,) = post.dispatcher.guidances
            assert guidance.weights is not None
            assert [(w.server, w.weight) for w in guidance.weights] == [(0, 1.0), (1, 0.5)]
            assert not guidance.leased
            assert 1_500.0 < guidance.until_ms - guidance.report_sent_ms < 2_000.0
            (pool,) = reports[0].pools
            assert (pool.pool, pool.copies, pool.burst, pool.names) == ("core", 4, 4.0, ADDRESSES)
            assert pool.warm == [0, 1, 2, 3] and not pool.cold and not reports[0].lends

    run(work())


def test_a_forwarder_lends_to_a_planner_and_uses_what_that_grants() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: any(g.leased for g in post.dispatcher.guidances))
            assert post.link.status()["lends_to"] == "p0"
            assert post.dispatcher.guidances[-1].leased_until_ms > post.dispatcher.clock.now_ms() + 2_000.0
            assert planner.status()["forwarders"][0]["name"] == "f0"

    run(work())


def test_one_sending_garbage_is_shunned_and_the_balancer_hears_nothing() -> None:
    async def script(seat: Seat) -> None:
        await seat.established()
        await seat.raw(b"\0\0\0\x20" + b"garbage!" * 4)
        await seat.left()

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.side("p0")["state"] == "shunned")
            assert planner.connections == TERMS.faults
            assert "can't be opened" in post.side("p0")["last"]
            assert post.dispatcher.guidances == []

    run(work())


def test_one_sending_100_mb_is_let_go_at_the_first_bytes() -> None:
    sent = 0

    async def script(seat: Seat) -> None:
        nonlocal sent
        await seat.established()
        await seat.raw((100_000_000).to_bytes(4, "big"))
        while True:
            await seat.raw(b"x" * 65536)
            sent += 65536

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.side("p0")["state"] == "shunned")
            await until(lambda: planner.over == TERMS.faults)
            assert "a frame of 100000000 bytes; 1048576 are the most" in post.side("p0")["last"]
            assert sent < 50_000_000

    run(work())


def test_one_that_floods_is_let_go() -> None:
    async def script(seat: Seat) -> None:
        await seat.established()
        report = await seat.report()
        while True:
            await seat.say(seat.advice(report, answers=report.serial))

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.side("p0")["refused"] > 0)
            assert "more messages than a planner may send" in post.side("p0")["last"]

    run(work())


def test_one_repeating_old_advice_is_refused_and_shunned() -> None:
    async def script(seat: Seat) -> None:
        await seat.established()
        first = seat.advice(await seat.report(), weighing(1.0, 0.5))
        while True:
            await seat.say(first)
            await seat.report()

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.side("p0")["state"] == "shunned")
            assert post.side("p0")["last"] == "advice 1 after 1"
            assert len(post.dispatcher.guidances) == 1

    run(work())


def test_one_repeating_old_epochs_is_refused_and_shunned() -> None:
    async def work() -> None:
        async with (
            scripted(answering(epoch=3), epoch=5) as planner,
            forwarder({"p0": planner.port}) as post,
        ):
            await until(lambda: post.side("p0")["state"] == "shunned")
            assert post.side("p0")["last"] == "advice of epoch 3 in a session of epoch 5"
            assert post.dispatcher.guidances == []

    run(work())


def test_a_planner_back_with_an_earlier_epoch_is_not_listened_to() -> None:
    async def work() -> None:
        async with (
            scripted(answering(weighing(1.0, 0.5)), epoch=5) as planner,
            forwarder({"p0": planner.port}, replace(TERMS, faults=100)) as post,
        ):
            await until(lambda: post.dispatcher.guidances)
            count = len(post.dispatcher.guidances)
            planner.epoch = 4
            for task in list(planner._tasks):
                task.cancel()
            await until(lambda: "epoch 4 is before 5" in post.side("p0")["last"])
            post.dispatcher.events = post.dispatcher.events[:count]
            await until(lambda: planner.connections >= 4)
            assert len(post.dispatcher.guidances) <= count

    run(work())


def test_one_answering_late_changes_nothing_and_is_not_lent_to() -> None:
    """Five seconds late in life; here the lease is shorter in proportion."""

    async def script(seat: Seat) -> None:
        await seat.established()
        while True:
            report = await seat.report()
            await asyncio.sleep(0.1)
            await seat.say(seat.advice(report, weighing(1.0, 0.5), lease_ms=40.0, lend_ms=60.0))

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.side("p0")["late"] >= 3)
            assert post.dispatcher.guidances == []
            assert post.link.status()["lends_to"] is None
            assert post.side("p0")["refused"] == 0  # slow is not wrong

    run(work())


def test_one_lying_that_every_server_is_slow_changes_no_weight() -> None:
    async def work() -> None:
        async with (
            scripted(answering(weighing(0.1, 0.1, 0.1, 0.1))) as planner,
            forwarder({"p0": planner.port}) as post,
        ):
            await until(lambda: len(post.dispatcher.guidances) > 3)
            now = post.dispatcher.clock.now_ms() + 60_000.0
            assert [post.dispatcher.balancer.guidance_state.weight(n, now) for n in range(4)] == [1.0] * 4
            assert post.dispatcher.rejected == []

    run(work())


def test_advice_that_would_empty_a_pool_is_refused_with_a_reason_counted_and_its_planner_shunned() -> None:
    async def work() -> None:
        async with (
            scripted(answering(weighing(0.0, 0.0, 0.0, 1.0))) as planner,
            forwarder({"p0": planner.port}) as post,
        ):
            await until(lambda: post.side("p0")["state"] == "shunned")
            assert post.side("p0")["refused"] == TERMS.faults
            assert post.side("p0")["last"] == "only 1 of 4 ready servers keep half of the most weight"
            assert [line for line in post.lines if "shunned for" in line]
            until_ms = post.dispatcher.clock.now_ms() + 5_000.0
            assert post.dispatcher.balancer.guidance_state.weight(0, until_ms) == 1.0

    run(work())


def test_advice_on_servers_that_the_list_does_not_name_adds_none() -> None:
    rows = [WeightRow(n, 0.5) for n in (0, 17, 2**40)]
    advice = PoolAdvice("core", rows, [PartRow(99, 1.0, 4.0)])

    async def work() -> None:
        async with scripted(answering(advice)) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.dispatcher.guidances)
            weights = post.dispatcher.guidances[0].weights
            assert weights is not None and [w.server for w in weights] == [0]
            assert set(post.dispatcher.balancer.server_list.servers) == {0, 1, 2, 3}

    run(work())


def test_two_planners_giving_opposing_advice_cancel_out() -> None:
    async def work() -> None:
        left, right = weighing(0.2, 0.2, 1.0, 1.0), weighing(1.0, 1.0, 0.2, 0.2)
        async with (
            scripted(answering(left)) as one,
            scripted(answering(right), "p1") as other,
            forwarder({"p0": one.port, "p1": other.port}) as post,
        ):
            changes = post.dispatcher.balancer.guidance_state.weights.changes
            await until(lambda: [changes[n].target for n in sorted(changes)] == [0.6] * 4)
            assert post.dispatcher.rejected == []

    run(work())


def test_a_planner_that_does_not_read_is_let_go_and_holds_nobody_up() -> None:
    async def script(seat: Seat) -> None:
        await seat.established()
        await asyncio.sleep(60.0)

    async def work() -> None:
        terms = replace(TERMS, report_ms=1.0, bytes_per_s=1e8)
        async with scripted(script) as planner, forwarder({"p0": planner.port}, terms) as post:
            await until(lambda: post.link._connections)
            for connection in post.link._connections.values():
                await until(lambda c=connection: c.established)  # type: ignore[misc]
                transport = connection._transport
                assert transport is not None
                while transport.get_write_buffer_size() <= 1 << 20:
                    transport.write(b"\0" * 65536)
            await until(lambda: [line for line in post.lines if "does not read" in line])

    run(work())


def test_no_planner_at_all_leaves_the_forwarder_with_its_own_parts() -> None:
    async def work() -> None:
        async with scripted(answering()) as planner:
            port = planner.port
        async with forwarder({"p0": port}) as post:
            await until(lambda: post.lines)
            assert "planner p0:" in post.lines[0]
            assert post.link.status()["lends_to"] is None
            assert post.link.status()["own_parts_in_ms"] == 0

    run(work())


def test_a_pool_in_a_new_version_goes_on_in_the_same_session() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: any(g.leased for g in post.dispatcher.guidances))
            successor = FakeEngine(post.dispatcher.clock)
            post.link.attach("core", successor, SETTINGS)
            assert successor.events  # it hears at once what is lent
            await until(lambda: len(successor.guidances) > 2)
            other = replace(SETTINGS, warm_up_ms=1_000.0)
            last = FakeEngine(post.dispatcher.clock, other)
            post.link.attach("core", last, other)
            await until(lambda: len(last.guidances) > 2)
            assert planner.status()["turned_away"] == 0
            load = planner.planner.pools["core"].load
            assert [view.listed_in for view in load.servers.values()] == [1, 1, 1, 1]
            post.link.detach("core")
            await until(lambda: not load.members)

    run(work())


# ------------------------------------------------ the planner's side


def test_what_forwarders_see_reaches_the_planner_in_deltas() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: "core" in planner.planner.pools)
            for number in range(1, 9):
                now = post.dispatcher.clock.now_ms()
                event = RequestArrived(number, 0, 1_000.0)
                actions = post.dispatcher.balancer.handle(now, event)
                assert post.dispatcher.observer is not None
                post.dispatcher.observer.saw(event, actions)
            load = planner.planner.pools["core"].load
            await until(lambda: sum(view.outstanding for view in load.servers.values()) == 8)
            assert load.members["f0"].demand_per_s > 0.0

    run(work())


def test_a_forwarder_that_breaks_the_protocol_is_told_why_and_the_others_stay() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: any(g.leased for g in post.dispatcher.guidances))
            connection = post.link._connections["p0"]
            connection.session.send(Report(99, 0.0, planner.planner.epoch, 10**9))
            connection.flush()
            await until(lambda: [line for line in post.lines if "which was not given" in line])
            assert planner.status()["turned_away"] == 1
            count = len(post.dispatcher.guidances)
            await until(lambda: len(post.dispatcher.guidances) > count)  # it comes back

    run(work())


def test_garbage_from_anyone_on_a_planners_port_harms_nobody() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: any(g.leased for g in post.dispatcher.guidances))
            for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\5hello", b"\xff" * 5000, b""):
                reader, writer = await asyncio.open_connection("127.0.0.1", planner.port)
                writer.write(data)
                writer.write_eof()
                async with asyncio.timeout(10.0):
                    await reader.read()
                writer.close()
            count = len(post.dispatcher.guidances)
            await until(lambda: len(post.dispatcher.guidances) > count)
            assert post.link.status()["lends_to"] == "p0"

    run(work())


def test_a_connection_that_is_over_at_once_is_tried_again() -> None:
    """It may end before the wait for it does, and must not be taken for one that is there."""

    async def script(seat: Seat) -> None:
        await seat.raw(b"\0\0\0\5hello")

    async def work() -> None:
        async with scripted(script) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: planner.connections >= 3)
            assert post.dispatcher.guidances == []

    run(work())


def test_a_planner_full_of_connections_says_so() -> None:
    async def work() -> None:
        async with planning(most_peers=0) as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.lines)
            assert "0 connections are there already" in post.lines[0]

    run(work())


def test_a_second_connection_under_a_name_takes_the_place_of_the_first() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: any(g.leased for g in post.dispatcher.guidances))
            async with forwarder({"p0": planner.port}) as twin:
                await until(lambda: any(g.leased for g in twin.dispatcher.guidances))
                assert any("another connection" in line for line in post.lines)

    run(work())


def test_a_planner_with_a_clock_minutes_off_begins_above_its_earlier_life() -> None:
    """Nothing but the epoch is taken from the system's time; a forwarder that knows a later one says so."""

    async def work() -> None:
        async with planning(epoch=1_000) as planner, forwarder({"p0": planner.port}) as post:
            post.link.machine.sides["p0"].epoch = 500_000
            await until(lambda: planner.planner.epoch == 500_001)
            await until(lambda: post.side("p0")["epoch"] == 500_001)
            assert planner.planner.learning(planner.clock.now_ms())

    run(work())


def test_rows_for_a_server_never_named_end_the_session() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: any(g.leased for g in post.dispatcher.guidances))
            pool = post.link.machine.sides["p0"].told["core"]
            report, _ = pool.report("core", 0.0, 10_000)
            report.copies, report.burst, report.rows = 4, 4.0, [Row(77, 1)]
            post.link._connections["p0"].session.send(Report(10**6, 10.0, pools=[report]))
            post.link._connections["p0"].flush()
            await until(lambda: [line for line in post.lines if "server 77 has no name" in line])

    run(work())


def test_a_message_that_is_too_long_is_not_sent() -> None:
    async def work() -> None:
        async with planning() as planner, forwarder({"p0": planner.port}) as post:
            await until(lambda: post.link._connections)
            session = post.link._connections["p0"].session
            await until(lambda: session.established)
            from sandhatch.planning.messages import PoolReport

            try:
                session.send(Report(1, 0.0, pools=[PoolReport("core", names=["x" * 300] * 4000)]))
            except SessionError as problem:
                assert "1048560 are the most" in str(problem)
            else:
                raise AssertionError("it was sent")

    run(work())
