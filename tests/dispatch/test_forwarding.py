"""Requests and answers on their way through the dispatcher, over loopback."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.actions import Action, Cancel, Fail, Send
from sandhatch.balancing.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from testkit.behaviours import disconnects, never_responds, serves, waits_for
from testkit.polling import wait_until
from testkit.servers import FakeConnection, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, loopback, served


def test_request_is_forwarded_unchanged_but_for_hop_headers_and_time_left() -> None:
    """Guards method, target, body and ids, which go on unchanged, and the time left, which does not grow."""

    async def work() -> None:
        body = bytes(range(256)) * 8
        headers = {"Connection": "X-Hop", "X_Hop": "1", "X_Trace_Id": "77aa03aa5c7e2d41"}
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            target = "/api?obj=%2f&x=1"
            response = await served(network.client, "post", body, target, X_Expires_In_Ms="7000", **headers)
            assert response.body == b"served"
        (seen,) = network.server.requests
        assert (seen.method, seen.target, seen.body) == ("POST", "/api?obj=%2f&x=1", body)
        assert seen.headers["x-trace-id"] == "77aa03aa5c7e2d41"
        assert seen.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
        assert 0 < int(seen.headers["x-expires-in-ms"]) <= 7000
        assert "x-hop" not in seen.headers
        assert "connection" not in seen.headers

    run(work())


def test_large_answer_is_forwarded_unchanged() -> None:
    """Guards good answers above the protocol's 64 KiB, which once counted as malformed from every server; the
    memory that they take is released.
    """

    async def work() -> None:
        body = bytes(range(256)) * 4 * 400
        async with loopback(serves(body), script=ScriptedBalancer([1])) as network:
            for _ in range(3):
                assert (await served(network.client, "move", b"x")).body == body
            network.client.writer.close()
            await wait_until(lambda: not network.balancer.listener._connections)
            assert network.balancer.dispatcher.memory_budget.used_bytes == 0
        assert len(network.server.requests) == 3

    run(work())


def send_to_both(event: Event) -> list[Action] | None:
    """Two attempts at once for each request, and no retry."""
    if isinstance(event, RequestArrived):
        return [Send(event.request, 1, 0.0), Send(event.request, 2, 0.0)]
    return [] if isinstance(event, AttemptEnded) else None


def test_hedged_requests_lead_to_one_answer() -> None:
    """Guards 'exactly one answer': both attempts are served, the first is forwarded, the second only ends."""

    async def work() -> None:
        may_respond = [asyncio.Event(), asyncio.Event()]
        behaviours = [waits_for(event, serves(b"answer %d" % n)) for n, event in enumerate(may_respond)]
        script = ScriptedBalancer([1, 2])
        script.more = send_to_both
        async with loopback(*behaviours, script=script) as network:
            network.client.send_request()
            for server in network.servers:
                await server.arrived.get()
            may_respond[1].set()
            assert (await network.client.read_response()).body == b"answer 1"
            may_respond[0].set()
            ends = [await script.ended(), await script.ended()]
            assert [(end.attempt, end.outcome, end.final) for end in ends] == [
                (1, Outcome.OK, True),
                (0, Outcome.OK, True),
            ]
            await served(network.client, target="/ready")  # and nothing of the second attempt before it
            assert not network.balancer.dispatcher._exchanges

    run(work())


def test_cancel_closes_the_connection_and_ends_the_attempt_once() -> None:
    """Guards Cancel: one outcome, and the server sees the end."""

    async def work() -> None:
        ended = asyncio.Event()

        async def waits_for_the_end(_request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.ended()
            ended.set()

        script = ScriptedBalancer([1])
        async with loopback(waits_for_the_end, script=script) as network:
            network.client.send_request()
            await network.server.arrived.get()
            network.balancer.dispatcher._act(Cancel(1, 0))
            assert (await script.ended()).outcome is Outcome.CANCELLED
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ended.wait()
            assert (await network.client.read_response()).status == 502
            assert len(script.ends()) == 1

    run(work())


def test_client_disconnect_is_delivered_and_its_attempt_still_ends() -> None:
    """Guards ClientDisconnected: the request is over, and its attempt still ends once, marked final."""

    async def work() -> None:
        may_respond = asyncio.Event()
        script = ScriptedBalancer([1])
        async with loopback(waits_for(may_respond, serve_ok), script=script) as network:
            network.client.send_request("move", b"x")
            await network.server.arrived.get()
            network.client.writer.close()
            await script.next_event(ClientDisconnected)
            may_respond.set()
            event = await script.ended()
            assert (event.outcome, event.final) == (Outcome.OK, True)
            assert not network.balancer.dispatcher._exchanges

    run(work())


def test_deadline_is_answered_once_by_the_dispatcher() -> None:
    """Guards against decisions that never answer: the pending attempt ends, then one answer is sent."""

    async def work() -> None:
        script = ScriptedBalancer([1])
        script.more = lambda event: [] if isinstance(event, AttemptEnded) else None
        async with loopback(never_responds, script=script) as network:
            network.client.send_request("move", b"x", X_Expires_In_Ms="1000")
            assert (await network.client.read_response()).status == 504
            event = await script.ended()
            assert (event.outcome, event.final) == (Outcome.TIMEOUT, False)
            await served(network.client, target="/ready")
            assert not network.balancer.dispatcher._exchanges

    run(work())


def send_after_the_response(event: Event) -> list[Action] | None:
    """Answer once an attempt was discarded, and send another."""
    if isinstance(event, AttemptEnded) and event.outcome is Outcome.DISCARDED and not event.final:
        return [Fail(event.request), Send(event.request, 1, 0.0)]
    return None


def test_sends_beyond_the_cap_or_after_the_answer_are_discarded() -> None:
    """Guards the attempt cap and late sends: they end as DISCARDED, and nothing is written."""

    async def work() -> None:
        script = ScriptedBalancer([1] * 6)
        script.more = send_after_the_response
        async with loopback(disconnects, script=script) as network:
            network.client.send_request()
            assert (await network.client.read_response()).status == 502
        ends = [(end.attempt, end.outcome) for end in script.ends()]
        assert ends[:5] == [(number, Outcome.RESET) for number in range(4)] + [(4, Outcome.DISCARDED)]
        assert len(network.server.requests) == 4

    run(work())
