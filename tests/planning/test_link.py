"""A forwarder's links on real connections, with planners that are slow, faulty, hostile or unreachable."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from sandhatch.planning.errors import SessionError
from sandhatch.planning.messages import PoolAdvice, PoolReport, RampShareRow, Report, WeightRow
from sandhatch.planning.peer_connection import MAX_UNSENT_BYTES
from testkit.planners import ForwarderConnection
from testkit.polling import wait_until
from tests.planning.harness import (
    ADDRESSES,
    SETTINGS,
    TERMS,
    FakeDispatcher,
    connected_forwarder,
    planner_server,
    scripted_planner,
)
from tests.service.harness import run


def weights_advice(*weights: float) -> PoolAdvice:
    return PoolAdvice("core", [WeightRow(n, weight) for n, weight in enumerate(weights)])


def responds_to_each_report(
    *pools: PoolAdvice, **fields: object
) -> Callable[[ForwarderConnection], Awaitable[None]]:
    """A planner's script that responds to each report with the same advice."""

    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        while True:
            await connection.send_advice(connection.advice(await connection.next_report(), *pools, **fields))

    return script


def test_a_report_names_the_servers_and_advice_reaches_the_balancer() -> None:
    reports: list[Report] = []

    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        reports.append(await connection.next_report())
        await connection.send_advice(connection.advice(reports[0], weights_advice(1.0, 0.5)))
        await connection.wait_closed()

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.dispatcher.received_guidance)
            (guidance,) = forwarder.dispatcher.received_guidance
            assert guidance.weights is not None
            assert [(w.server, w.weight) for w in guidance.weights] == [(0, 1.0), (1, 0.5)]
            assert not guidance.leased
            assert 1_500.0 < guidance.until_ms - guidance.report_sent_ms < 2_000.0
            (pool,) = reports[0].pools
            assert (pool.pool, pool.instances, pool.burst, pool.names) == ("core", 4, 4.0, ADDRESSES)
            assert pool.warm == [0, 1, 2, 3]
            assert not pool.warming_up
            assert not reports[0].leases_shares

    run(scenario())


def test_a_forwarder_leases_its_shares_to_a_planner_and_receives_its_grants() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.has_lease_guidance)
            assert forwarder.link.status()["lends_to"] == "p0"
            dispatcher = forwarder.dispatcher
            assert dispatcher.received_guidance[-1].leased_until_ms > dispatcher.clock.now_ms() + 2_000.0
            assert planner.status()["forwarders"][0]["name"] == "f0"

    run(scenario())


def test_unauthenticated_frames_open_the_circuit_and_do_not_reach_the_balancer() -> None:
    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        await connection.send_raw(b"\0\0\0\x20" + b"garbage!" * 4)
        await connection.wait_closed()

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["state"] == "shunned")
            assert planner.connections == TERMS.fault_limit
            assert "can't be opened" in forwarder.planner_status("p0")["last"]
            assert forwarder.dispatcher.received_guidance == []

    run(scenario())


def test_a_planner_sending_a_100_mb_frame_is_disconnected_on_its_length_prefix() -> None:
    sent_bytes = 0

    async def script(connection: ForwarderConnection) -> None:
        nonlocal sent_bytes
        await connection.wait_established()
        await connection.send_raw((100_000_000).to_bytes(4, "big"))
        while True:
            await connection.send_raw(b"x" * 65536)
            sent_bytes += 65536

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["state"] == "shunned")
            await wait_until(lambda: planner.ended_scripts == TERMS.fault_limit)
            reason = forwarder.planner_status("p0")["last"]
            assert "a frame of 100000000 bytes; 1048576 are the most" in reason
            assert sent_bytes < 50_000_000

    run(scenario())


def test_a_planner_that_exceeds_the_message_rate_is_disconnected() -> None:
    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        report = await connection.next_report()
        while True:
            await connection.send_advice(connection.advice(report, answered_serial=report.serial))

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["refused"] > 0)
            assert "more messages than a planner may send" in forwarder.planner_status("p0")["last"]

    run(scenario())


def test_replayed_advice_is_rejected_and_opens_the_circuit() -> None:
    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        first = connection.advice(await connection.next_report(), weights_advice(1.0, 0.5))
        while True:
            await connection.send_advice(first)
            await connection.next_report()

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["state"] == "shunned")
            assert forwarder.planner_status("p0")["last"] == "advice 1 after 1"
            assert len(forwarder.dispatcher.received_guidance) == 1

    run(scenario())


def test_advice_of_an_old_epoch_is_rejected_and_opens_the_circuit() -> None:
    async def scenario() -> None:
        async with (
            scripted_planner(responds_to_each_report(epoch=3), epoch=5) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["state"] == "shunned")
            reason = forwarder.planner_status("p0")["last"]
            assert reason == "advice of epoch 3 in a session of epoch 5"
            assert forwarder.dispatcher.received_guidance == []

    run(scenario())


def test_a_planner_that_reconnects_with_an_earlier_epoch_is_rejected() -> None:
    async def scenario() -> None:
        async with (
            scripted_planner(responds_to_each_report(weights_advice(1.0, 0.5)), epoch=5) as planner,
            connected_forwarder({"p0": planner.port}, replace(TERMS, fault_limit=100)) as forwarder,
        ):
            dispatcher = forwarder.dispatcher
            await wait_until(lambda: dispatcher.received_guidance)
            count = len(dispatcher.received_guidance)
            planner.epoch = 4
            for task in list(planner._tasks):
                task.cancel()
            await wait_until(lambda: "epoch 4 is before 5" in forwarder.planner_status("p0")["last"])
            dispatcher.events = dispatcher.events[:count]
            await wait_until(lambda: planner.connections >= 4)
            assert len(dispatcher.received_guidance) <= count

    run(scenario())


def test_late_advice_is_not_applied_and_its_planner_does_not_get_the_lease() -> None:
    """Models advice that is five seconds late, with the lease and the delay scaled down in proportion."""

    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        while True:
            report = await connection.next_report()
            await asyncio.sleep(0.1)
            advice = connection.advice(report, weights_advice(1.0, 0.5), lease_ms=40.0, share_lease_ms=60.0)
            await connection.send_advice(advice)

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["late"] >= 3)
            assert forwarder.dispatcher.received_guidance == []
            assert forwarder.link.status()["lends_to"] is None
            assert forwarder.planner_status("p0")["refused"] == 0  # late advice is not a fault

    run(scenario())


def test_advice_that_every_server_is_slow_changes_no_weight() -> None:
    async def scenario() -> None:
        async with (
            scripted_planner(responds_to_each_report(weights_advice(0.1, 0.1, 0.1, 0.1))) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            dispatcher = forwarder.dispatcher
            await wait_until(lambda: len(dispatcher.received_guidance) > 3)
            now_ms = dispatcher.clock.now_ms() + 60_000.0
            assert [dispatcher.balancer.guidance_state.weight(n, now_ms) for n in range(4)] == [1.0] * 4
            assert dispatcher.rejected == []

    run(scenario())


def test_advice_that_would_empty_a_pool_is_rejected_counted_and_opens_the_circuit() -> None:
    async def scenario() -> None:
        async with (
            scripted_planner(responds_to_each_report(weights_advice(0.0, 0.0, 0.0, 1.0))) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.planner_status("p0")["state"] == "shunned")
            status = forwarder.planner_status("p0")
            assert status["refused"] == TERMS.fault_limit
            assert status["last"] == "only 1 of 4 ready servers keep half of the most weight"
            assert forwarder.has_logged("circuit open for")
            dispatcher = forwarder.dispatcher
            until_ms = dispatcher.clock.now_ms() + 5_000.0
            assert dispatcher.balancer.guidance_state.weight(0, until_ms) == 1.0

    run(scenario())


def test_advice_on_servers_not_named_in_the_session_is_ignored() -> None:
    rows = [WeightRow(n, 0.5) for n in (0, 17, 2**40)]
    advice = PoolAdvice("core", rows, [RampShareRow(99, 1.0, 4.0)])

    async def scenario() -> None:
        async with (
            scripted_planner(responds_to_each_report(advice)) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.dispatcher.received_guidance)
            weights = forwarder.dispatcher.received_guidance[0].weights
            assert weights is not None
            assert [w.server for w in weights] == [0]
            assert set(forwarder.dispatcher.balancer.server_list.servers) == {0, 1, 2, 3}

    run(scenario())


def test_opposing_advice_of_two_planners_cancels_out() -> None:
    async def scenario() -> None:
        first_weights = weights_advice(0.2, 0.2, 1.0, 1.0)
        second_weights = weights_advice(1.0, 1.0, 0.2, 0.2)
        async with (
            scripted_planner(responds_to_each_report(first_weights)) as first,
            scripted_planner(responds_to_each_report(second_weights), "p1") as second,
            connected_forwarder({"p0": first.port, "p1": second.port}) as forwarder,
        ):
            changes = forwarder.dispatcher.balancer.guidance_state.weights.by_server
            await wait_until(lambda: [changes[n].target for n in sorted(changes)] == [0.6] * 4)
            assert forwarder.dispatcher.rejected == []

    run(scenario())


# More bytes than the operating system buffers for a connection whose peer does not read; the system may
# accept some bytes even after that.
SYSTEM_BUFFER_BYTES = 64 * 1024 * 1024


def test_a_planner_that_does_not_read_is_disconnected() -> None:
    async def script(connection: ForwarderConnection) -> None:
        await connection.wait_established()
        stops_reading.set()
        await asyncio.sleep(60.0)

    async def scenario() -> None:
        terms = replace(TERMS, report_ms=1.0, bytes_per_s=1e8)
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}, terms) as forwarder,
        ):
            await wait_until(lambda: forwarder.link._connections)
            connection = forwarder.link._connections["p0"]
            await wait_until(lambda: connection.established)
            # The forwarder is through with the handshake before the planner, which must not read the zeros.
            await stops_reading.wait()
            transport = connection._transport
            assert transport is not None
            while transport.get_write_buffer_size() <= MAX_UNSENT_BYTES + SYSTEM_BUFFER_BYTES:
                transport.write(b"\0" * 65536)
            await wait_until(lambda: forwarder.has_logged("does not read"))

    stops_reading = asyncio.Event()
    run(scenario())


def test_a_report_longer_than_a_frame_ends_the_session_and_not_the_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a link that stops for good: the error of such a report left its timer unscheduled.
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.has_lease_guidance)
            received_before = len(forwarder.dispatcher.received_guidance)
            with monkeypatch.context() as patch:
                patch.setattr("sandhatch.planning.session.MAX_FRAME_BYTES", 40)
                await wait_until(lambda: forwarder.has_logged("the report can't be sent: a message of"))
            await wait_until(lambda: len(forwarder.dispatcher.received_guidance) > received_before + 2)

    run(scenario())


def test_without_a_reachable_planner_the_forwarder_uses_its_own_shares() -> None:
    async def scenario() -> None:
        async with scripted_planner(responds_to_each_report()) as planner:
            port = planner.port
        async with connected_forwarder({"p0": port}) as forwarder:
            await wait_until(lambda: forwarder.log_lines)
            assert "planner p0:" in forwarder.log_lines[0]
            assert forwarder.link.status()["lends_to"] is None
            assert forwarder.link.status()["own_parts_in_ms"] == 0

    run(scenario())


def test_a_pool_with_a_replaced_dispatcher_continues_in_the_same_session() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.has_lease_guidance)
            clock = forwarder.dispatcher.clock
            successor = FakeDispatcher(clock)
            forwarder.link.attach("core", successor, SETTINGS)
            assert successor.events  # the new balancer is told of the current lease at once
            await wait_until(lambda: len(successor.received_guidance) > 2)
            other_settings = replace(SETTINGS, warm_up_ms=1_000.0)
            last = FakeDispatcher(clock, other_settings)
            forwarder.link.attach("core", last, other_settings)
            await wait_until(lambda: len(last.received_guidance) > 2)
            assert planner.status()["turned_away"] == 0
            load = planner.planner.pools["core"].load
            assert [view.listed_in for view in load.servers.values()] == [1, 1, 1, 1]
            forwarder.link.detach("core")
            await wait_until(lambda: not load.members)

    run(scenario())


def test_a_connection_that_ends_immediately_is_retried() -> None:
    """Guards against registering as open a connection that ended before `create_connection` returned."""

    async def script(connection: ForwarderConnection) -> None:
        await connection.send_raw(b"\0\0\0\5hello")

    async def scenario() -> None:
        async with (
            scripted_planner(script) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: planner.connections >= 3)
            assert forwarder.dispatcher.received_guidance == []

    run(scenario())


def test_a_message_above_the_maximum_frame_size_is_not_sent() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.link._connections)
            session = forwarder.link._connections["p0"].session
            await wait_until(lambda: session.established)
            report = Report(1, 0.0, pools=[PoolReport("core", names=["x" * 300] * 4000)])
            with pytest.raises(SessionError, match="1048560 are the most"):
                session.send(report)

    run(scenario())
