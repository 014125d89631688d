"""Tests the forwarding of requests and responses by the dispatcher over the loopback interface."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.actions import Action, Cancel, Fail, Send
from sandhatch.balancing.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from testkit.behaviours import disconnects, never_responds, serves, waits_for
from testkit.polling import wait_until
from testkit.servers import FakeConnection, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, loopback, request_ok


def test_request_is_forwarded_unchanged_except_hop_by_hop_headers_and_remaining_time() -> None:
    """Guards against a changed method, target, body or id, and a longer remaining time of the request."""

    async def scenario() -> None:
        body = bytes(range(256)) * 8
        headers = {"Connection": "X-Hop", "X_Hop": "1", "X_Trace_Id": "77aa03aa5c7e2d41"}
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            target = "/api?obj=%2f&x=1"
            response = await request_ok(
                network.client, "post", body, target, X_Expires_In_Ms="7000", **headers
            )
            assert response.body == b"served"
        (received,) = network.server.requests
        assert (received.method, received.target, received.body) == ("POST", "/api?obj=%2f&x=1", body)
        assert received.headers["x-trace-id"] == "77aa03aa5c7e2d41"
        assert received.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
        assert 0 < int(received.headers["x-expires-in-ms"]) <= 7000
        assert "x-hop" not in received.headers
        assert "connection" not in received.headers

    run(scenario())


def test_large_response_is_forwarded_unchanged() -> None:
    """Guards against treating valid responses above the protocol's 64 KiB as malformed, as happened for all
    servers in the past, and against leaking the memory that they use.
    """

    async def scenario() -> None:
        body = bytes(range(256)) * 4 * 400
        async with loopback(serves(body), script=ScriptedBalancer([1])) as network:
            for _ in range(3):
                assert (await request_ok(network.client, "move", b"x")).body == body
            network.client.writer.close()
            await wait_until(lambda: not network.balancer.listener._connections)
            assert network.balancer.dispatcher.memory_budget.used_bytes == 0
        assert len(network.server.requests) == 3

    run(scenario())


def send_to_both(event: Event) -> list[Action] | None:
    """Start two attempts at once for each request, and never retry."""
    if isinstance(event, RequestArrived):
        return [Send(event.request, 1, 0.0), Send(event.request, 2, 0.0)]
    return [] if isinstance(event, AttemptEnded) else None


def test_hedged_requests_produce_one_response() -> None:
    """Guards against two responses to one request: both of its attempts succeed, the first is forwarded."""

    async def scenario() -> None:
        may_respond = [asyncio.Event(), asyncio.Event()]
        behaviours = [waits_for(event, serves(b"answer %d" % n)) for n, event in enumerate(may_respond)]
        scripted_balancer = ScriptedBalancer([1, 2])
        scripted_balancer.override = send_to_both
        async with loopback(*behaviours, script=scripted_balancer) as network:
            network.client.send_request()
            for server in network.servers:
                await server.arrived.get()
            may_respond[1].set()
            assert (await network.client.read_response()).body == b"answer 1"
            may_respond[0].set()
            ends = [await scripted_balancer.next_attempt_end(), await scripted_balancer.next_attempt_end()]
            assert [(end.attempt, end.outcome, end.final) for end in ends] == [
                (1, Outcome.OK, True),
                (0, Outcome.OK, True),
            ]
            # No part of the discarded second response precedes the response to this request.
            await request_ok(network.client, target="/ready")
            assert not network.balancer.dispatcher._exchanges

    run(scenario())


def test_cancel_closes_the_connection_and_ends_the_attempt_once() -> None:
    """Guards against a Cancel action that ends its attempt twice or leaves the server's connection open."""

    async def scenario() -> None:
        ended = asyncio.Event()

        async def waits_for_disconnect(_request: ReceivedRequest, connection: FakeConnection) -> None:
            await connection.ended()
            ended.set()

        scripted_balancer = ScriptedBalancer([1])
        async with loopback(waits_for_disconnect, script=scripted_balancer) as network:
            network.client.send_request()
            await network.server.arrived.get()
            network.balancer.dispatcher._execute(Cancel(1, 0))
            assert (await scripted_balancer.next_attempt_end()).outcome is Outcome.CANCELLED
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ended.wait()
            assert (await network.client.read_response()).status == 502
            assert len(scripted_balancer.attempt_ends()) == 1

    run(scenario())


def test_client_disconnect_is_delivered_to_the_balancer_and_its_attempt_still_ends() -> None:
    """Guards against a lost ClientDisconnected event, and an attempt that does not end once, as final."""

    async def scenario() -> None:
        may_respond = asyncio.Event()
        scripted_balancer = ScriptedBalancer([1])
        async with loopback(waits_for(may_respond, serve_ok), script=scripted_balancer) as network:
            network.client.send_request("move", b"x")
            await network.server.arrived.get()
            network.client.writer.close()
            await scripted_balancer.next_event(ClientDisconnected)
            may_respond.set()
            event = await scripted_balancer.next_attempt_end()
            assert (event.outcome, event.final) == (Outcome.OK, True)
            assert not network.balancer.dispatcher._exchanges

    run(scenario())


def test_dispatcher_responds_once_when_the_deadline_expires() -> None:
    """Guards against a balancer that never responds: the pending attempt ends, then one response is sent."""

    async def scenario() -> None:
        scripted_balancer = ScriptedBalancer([1])
        scripted_balancer.override = lambda event: [] if isinstance(event, AttemptEnded) else None
        async with loopback(never_responds, script=scripted_balancer) as network:
            network.client.send_request("move", b"x", X_Expires_In_Ms="1000")
            assert (await network.client.read_response()).status == 504
            event = await scripted_balancer.next_attempt_end()
            assert (event.outcome, event.final) == (Outcome.TIMEOUT, False)
            await request_ok(network.client, target="/ready")
            assert not network.balancer.dispatcher._exchanges

    run(scenario())


def send_after_response(event: Event) -> list[Action] | None:
    """After a discarded attempt, fail the request, and then ask for another attempt at it."""
    if isinstance(event, AttemptEnded) and event.outcome is Outcome.DISCARDED and not event.final:
        return [Fail(event.request), Send(event.request, 1, 0.0)]
    return None


def test_sends_beyond_max_attempts_or_after_the_response_are_discarded() -> None:
    """Guards against attempts beyond the limit or after the response: those end as DISCARDED, unwritten."""

    async def scenario() -> None:
        scripted_balancer = ScriptedBalancer([1] * 6)
        scripted_balancer.override = send_after_response
        async with loopback(disconnects, script=scripted_balancer) as network:
            network.client.send_request()
            assert (await network.client.read_response()).status == 502
        ends = [(end.attempt, end.outcome) for end in scripted_balancer.attempt_ends()]
        assert ends[:5] == [(number, Outcome.RESET) for number in range(4)] + [(4, Outcome.DISCARDED)]
        assert len(network.server.requests) == 4

    run(scenario())
