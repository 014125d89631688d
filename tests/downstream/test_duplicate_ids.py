"""Tests of requests with the id of another request, over loopback."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.actions import Action, Reject
from sandhatch.balancing.events import AttemptEnded, Event, Outcome, RequestArrived
from testkit.behaviours import waits_for
from testkit.servers import serve_ok
from tests.event_loop import run
from tests.fakes import Loopback, ScriptedBalancer, loopback, request_ok

LOOK_CLASS_INDEX = 0  # index of the class `look` in the settings of the loopback network
FLOOD_REQUESTS = 4_200


async def assert_id_rejected(network: Loopback, class_name: str, body: bytes, trace_id: str) -> None:
    """Send a request with an id in use on a new connection; expect 409 and the connection's end."""
    client = await network.connect()
    client.send_request(class_name, body, X_Trace_Id=trace_id)
    assert (await client.read_response()).status == 409
    assert await client.read_to_end() == b""


def test_request_with_the_id_of_a_recent_request_is_rejected() -> None:
    """The first request is served as if there were no second. A request with the same id that arrives just
    after the response to the first one is not forwarded either.
    """

    async def scenario() -> None:
        released = asyncio.Event()
        script = ScriptedBalancer([1])
        async with loopback(waits_for(released, serve_ok), script=script) as network:
            ids = network.balancer.shared.in_flight_ids
            good = network.client
            good.send_request("move", b"x", X_Trace_Id="aa")
            await network.server.arrived.get()
            await assert_id_rejected(network, "look", b"", "aa")
            released.set()
            assert (await good.read_response()).status == 200
            await assert_id_rejected(network, "move", b"x", "aa")
            await request_ok(good, "move", b"x", X_Trace_Id="ab")
            assert not ids.in_flight
            await request_ok(good, "move", b"x", X_Trace_Id="ac")
            for trace_id in ("aa", "ab", "ac"):
                await assert_id_rejected(network, "move", b"x", trace_id)
        assert [item.headers["x-trace-id"] for item in network.server.requests] == ["aa", "ab", "ac"]
        assert [event.outcome for event in script.attempt_ends()] == [Outcome.OK] * 3

    run(scenario())


def rejects_look(event: Event) -> list[Action] | None:
    """Reject the requests of the class `look`; leave other events to the script."""
    if isinstance(event, RequestArrived) and event.class_index == LOOK_CLASS_INDEX:
        return [Reject(event.request)]
    return None


def test_order_whose_client_left_runs_once_however_many_requests_are_rejected_meanwhile() -> None:
    """Guards against an order that runs twice: ids of rejected requests displaced the order's id."""

    async def scenario() -> None:
        released = asyncio.Event()
        script = ScriptedBalancer([1])
        script.override = rejects_look
        async with loopback(waits_for(released, serve_ok), clients=2, script=script) as network:
            leaving, flooding = network.clients
            leaving.send_request("move", b"x", X_Trace_Id="order")
            await network.server.arrived.get()
            leaving.writer.close()
            released.set()
            await script.next_event(AttemptEnded)
            for _ in range(FLOOD_REQUESTS):
                flooding.send_request("look")
                assert (await flooding.read_response()).status == 503
            await assert_id_rejected(network, "move", b"x", "order")
        assert [item.headers["x-trace-id"] for item in network.server.requests] == ["order"]

    run(scenario())


def test_rejected_request_may_be_retried_with_its_id() -> None:
    """A rejection promises that a retry is harmless, also for a client that doesn't change the id."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        script.override = lambda event: [Reject(event.request)] if isinstance(event, RequestArrived) else None
        async with loopback(serve_ok, script=script) as network:
            network.client.send_request("move", b"x", X_Trace_Id="order")
            assert (await network.client.read_response()).status == 503
            script.override = lambda _event: None
            await request_ok(network.client, "move", b"x", X_Trace_Id="order")
            await assert_id_rejected(network, "move", b"x", "order")

    run(scenario())


def test_request_is_rejected_unsent_while_no_further_id_can_be_retained() -> None:
    async def scenario() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            network.balancer.shared.in_flight_ids.retained.max_count = 1
            await request_ok(network.client, "move", b"x", X_Trace_Id="order")
            network.client.send_request("move", b"x", X_Trace_Id="other")
            assert (await network.client.read_response()).status == 503
            assert await network.client.read_to_end() == b""
            await assert_id_rejected(network, "move", b"x", "order")
        assert [item.headers["x-trace-id"] for item in network.server.requests] == ["order"]

    run(scenario())
