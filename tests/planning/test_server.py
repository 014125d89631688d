"""The planner's server on real connections, with forwarders that are correct, faulty or hostile."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.events import RequestArrived
from sandhatch.planning.messages import Report, Row
from testkit.polling import wait_until
from tests.planning.harness import connected_forwarder, planner_server
from tests.service.harness import run


def test_a_forwarders_observations_reach_the_planner() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: "core" in planner.planner.pools)
            dispatcher = forwarder.dispatcher
            for number in range(1, 9):
                event = RequestArrived(number, 0, 1_000.0)
                actions = dispatcher.balancer.handle(dispatcher.clock.now_ms(), event)
                assert dispatcher.observer is not None
                dispatcher.observer.on_event(event, actions)
            load = planner.planner.pools["core"].load
            await wait_until(lambda: sum(view.outstanding for view in load.servers.values()) == 8)
            assert load.members["f0"].demand_per_s > 0.0

    run(scenario())


def test_a_forwarder_that_violates_the_protocol_receives_the_reason_and_may_reconnect() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.has_lease_guidance)
            connection = forwarder.link._connections["p0"]
            connection.session.send(Report(99, 0.0, planner.planner.epoch, 10**9))
            connection.flush()
            await wait_until(lambda: forwarder.has_logged("which was not given"))
            assert planner.status()["turned_away"] == 1
            count = len(forwarder.dispatcher.received_guidance)
            await wait_until(lambda: len(forwarder.dispatcher.received_guidance) > count)

    run(scenario())


def test_invalid_data_on_a_planners_port_does_not_affect_its_forwarders() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.has_lease_guidance)
            for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\5hello", b"\xff" * 5000, b""):
                reader, writer = await asyncio.open_connection("127.0.0.1", planner.port)
                writer.write(data)
                writer.write_eof()
                async with asyncio.timeout(10.0):
                    await reader.read()
                writer.close()
            count = len(forwarder.dispatcher.received_guidance)
            await wait_until(lambda: len(forwarder.dispatcher.received_guidance) > count)
            assert forwarder.link.status()["lends_to"] == "p0"

    run(scenario())


def test_a_planner_at_its_connection_limit_rejects_a_forwarder_with_the_reason() -> None:
    async def scenario() -> None:
        async with (
            planner_server(max_connections=0) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            await wait_until(lambda: forwarder.log_lines)
            assert "0 connections are there already" in forwarder.log_lines[0]

    run(scenario())


def test_a_second_connection_of_a_forwarder_replaces_the_first() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as first:
            await wait_until(lambda: first.has_lease_guidance)
            async with connected_forwarder({"p0": planner.port}) as second:
                await wait_until(lambda: second.has_lease_guidance)
                assert first.has_logged("another connection")

    run(scenario())


def test_a_planner_whose_clock_was_set_back_starts_above_its_earlier_epoch() -> None:
    """Guards against a restarted planner with an epoch below its last: epochs are taken from system time.

    A forwarder that has seen a higher epoch reports that epoch to the planner, which continues above it.
    """

    async def scenario() -> None:
        async with (
            planner_server(epoch=1_000) as planner,
            connected_forwarder({"p0": planner.port}) as forwarder,
        ):
            forwarder.link.forwarder.peers["p0"].epoch = 500_000
            await wait_until(lambda: planner.planner.epoch == 500_001)
            await wait_until(lambda: forwarder.planner_status("p0")["epoch"] == 500_001)
            assert planner.planner.is_learning(planner.clock.now_ms())

    run(scenario())


def test_rows_of_a_server_that_was_never_named_end_the_session() -> None:
    async def scenario() -> None:
        async with planner_server() as planner, connected_forwarder({"p0": planner.port}) as forwarder:
            await wait_until(lambda: forwarder.has_lease_guidance)
            reporter = forwarder.link.forwarder.peers["p0"].reporters["core"]
            report, _ = reporter.report("core", 0.0, 10_000)
            report.instances = 4
            report.burst = 4.0
            report.rows = [Row(77, 1)]
            connection = forwarder.link._connections["p0"]
            connection.session.send(Report(10**6, 10.0, pools=[report]))
            connection.flush()
            await wait_until(lambda: forwarder.has_logged("server 77 has no name"))

    run(scenario())
