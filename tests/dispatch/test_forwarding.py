"""Requests and answers on their way through the dispatcher, over loopback."""

from __future__ import annotations

import asyncio
from typing import Any

from sandhatch.balancing.actions import Action, Cancel, Fail, Send
from sandhatch.balancing.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from testkit.clients import HttpClient
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running
from tests.upstream.behaviours import resets, stays_silent


def test_request_is_forwarded_unchanged_but_for_hop_headers_and_time_left() -> None:
    """Guards method, target, body and ids, which go on unchanged, and the time left, which does not grow."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with (
            running(upstream.entry("a"), script=ScriptedBalancer([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            body = bytes(range(256)) * 8
            client.send_request(
                "post",
                body,
                "/api?obj=%2f&x=1",
                X_Expires_In_Ms="700",
                Connection="X-Hop",
                X_Hop="1",
                X_Trace_Id="77aa03aa5c7e2d41",
            )
            assert (await client.read_response()).body == b"served"
        upstream.close()
        (seen,) = upstream.requests
        assert (seen.method, seen.target, seen.body) == ("POST", "/api?obj=%2f&x=1", body)
        assert seen.headers["x-trace-id"] == "77aa03aa5c7e2d41"
        assert seen.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
        assert 0 < int(seen.headers["x-expires-in-ms"]) <= 700
        assert "x-hop" not in seen.headers
        assert "connection" not in seen.headers

    run(work())


def test_large_answer_is_forwarded_unchanged() -> None:
    """Guards good answers above the protocol's 64 KiB, which once counted as malformed from every server; the
    memory that they take is released.
    """

    async def work() -> None:
        body = bytes(range(256)) * 4 * 400

        async def answers_at_length(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok(body))

        upstream = await FakeServer(answers_at_length).start()
        async with (
            running(upstream.entry("a"), script=ScriptedBalancer([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            for _ in range(3):
                client.send_request("move", b"x")
                answer = await client.read_response()
                assert answer.status == 200
                assert answer.body == body
            client.writer.close()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while balancer.listener._connections:
                    await asyncio.sleep(0.01)
            assert balancer.dispatcher.memory_budget.used_bytes == 0
        upstream.close()
        assert len(upstream.requests) == 3

    run(work())


def test_hedged_requests_lead_to_one_answer() -> None:
    """Guards 'exactly one answer': both attempts are served, the first is forwarded, the second only ends."""

    async def work() -> None:
        may_answer = [asyncio.Event(), asyncio.Event()]

        def answers_when_allowed(index: int) -> Any:
            async def behave(request: ReceivedRequest, talk: FakeConnection) -> None:
                await may_answer[index].wait()
                await talk.send(ok(b"answer %d" % index))

            return behave

        servers = [await FakeServer(answers_when_allowed(index)).start() for index in range(2)]
        script = ScriptedBalancer([1, 2])

        def send_to_both(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived):
                return [Send(event.request, 1, 0.0), Send(event.request, 2, 0.0)]
            return [] if isinstance(event, AttemptEnded) else None

        script.more = send_to_both
        async with (
            running(servers[0].entry("a"), servers[1].entry("b"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            for server in servers:
                await server.arrived.get()
            may_answer[1].set()
            assert (await client.read_response()).body == b"answer 1"
            may_answer[0].set()
            ends = [await script.ended(), await script.ended()]
            assert [(end.attempt, end.outcome, end.final) for end in ends] == [
                (1, Outcome.OK, True),
                (0, Outcome.OK, True),
            ]
            client.send_request(target="/ready")
            assert (await client.read_response()).status == 200  # and nothing of the second attempt before it
            assert not balancer.dispatcher._exchanges
        for server in servers:
            server.close()

    run(work())


def test_cancel_closes_the_connection_and_ends_the_attempt_once() -> None:
    """Guards Cancel: one outcome, and the server sees the end."""

    async def work() -> None:
        ended = asyncio.Event()

        async def wait(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.ended()
            ended.set()

        upstream = await FakeServer(wait).start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            await upstream.arrived.get()
            balancer.dispatcher._act(Cancel(1, 0))
            assert (await script.ended()).outcome is Outcome.CANCELLED
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ended.wait()
            assert (await client.read_response()).status == 502
            assert len(script.ends()) == 1
        upstream.close()

    run(work())


def test_client_disconnect_is_delivered_and_its_attempt_still_ends() -> None:
    """Guards ClientDisconnected: the request is over, and its attempt still ends once, marked final."""

    async def work() -> None:
        may_answer = asyncio.Event()

        async def answers_when_allowed(request: ReceivedRequest, talk: FakeConnection) -> None:
            await may_answer.wait()
            await talk.send(ok())

        upstream = await FakeServer(answers_when_allowed).start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            async with HttpClient(balancer.port) as client:
                client.send_request("move", b"x")
                await upstream.arrived.get()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not isinstance(await script.told.get(), ClientDisconnected):
                    pass
            may_answer.set()
            event = await script.ended()
            assert (event.outcome, event.final) == (Outcome.OK, True)
            assert not balancer.dispatcher._exchanges
        upstream.close()

    run(work())


def test_deadline_is_answered_once_by_the_dispatcher() -> None:
    """Guards against decisions that never answer: the pending attempt ends, then one answer is sent."""

    async def work() -> None:
        upstream = await FakeServer(stays_silent).start()
        script = ScriptedBalancer([1])
        script.more = lambda event: [] if isinstance(event, AttemptEnded) else None
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request("move", b"x", X_Expires_In_Ms="150")
            assert (await client.read_response()).status == 504
            event = await script.ended()
            assert (event.outcome, event.final) == (Outcome.TIMEOUT, False)
            client.send_request(target="/ready")
            assert (await client.read_response()).status == 200
            assert not balancer.dispatcher._exchanges
        upstream.close()

    run(work())


def test_sends_past_the_cap_or_after_the_answer_are_discarded() -> None:
    """Guards the attempt cap and late sends: they end as DISCARDED, and nothing is written."""

    async def work() -> None:
        upstream = await FakeServer(resets).start()
        script = ScriptedBalancer([1] * 6)

        def send_after_the_answer(event: Event) -> list[Action] | None:
            if isinstance(event, AttemptEnded) and event.outcome is Outcome.DISCARDED and not event.final:
                return [Fail(event.request), Send(event.request, 1, 0.0)]
            return None

        script.more = send_after_the_answer
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            assert (await client.read_response()).status == 502
        upstream.close()
        ends = [(end.attempt, end.outcome) for end in script.ends()]
        assert ends[:5] == [(number, Outcome.RESET) for number in range(4)] + [(4, Outcome.DISCARDED)]
        assert len(upstream.requests) == 4

    run(work())
