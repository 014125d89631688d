"""Requests over loopback: malformed input, pipelining, ids, and exactly one answer to each."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sandhatch.balancing.actions import Action, Fail, Reject, Send
from sandhatch.balancing.events import ClientDisconnected, Event, Outcome, RequestArrived
from testkit.clients import HttpClient, request_bytes
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running
from tests.upstream.behaviours import stays_silent

HEAD = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"

BAD = [
    ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    ("unknown method", b"BREW /api HTTP/1.1\r\n\r\n", 400),
    ("bad header", b"GET /api HTTP/1.1\r\nno colon here\r\n\r\n", 400),
    ("bad length", HEAD + b"Content-Length: ten\r\n\r\n", 400),
    ("negative length", HEAD + b"Content-Length: -1\r\n\r\n", 400),
    ("length too large to count", HEAD + b"Content-Length: 99999999999999999999999\r\n\r\n", 400),
    ("repeated length", HEAD + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400),
    (
        "length and chunks",
        HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
    ),
    (
        "length and chunks, the other way",
        HEAD + CHUNKED + b"Content-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
    ),
    ("signed length", HEAD + b"Content-Length: +1\r\n\r\na", 400),
    ("length and none", HEAD + b"Content-Length: 1, 1\r\n\r\na", 400),
    ("a coding before chunked", HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    ("chunked twice", HEAD + CHUNKED + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("chunks of an old version", HEAD.replace(b"1.1", b"1.0") + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("no version", b"GET /api\r\n\r\n", 400),
    ("folded header", HEAD + b"X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n", 400),
    ("bare CR", HEAD + b"X-A: b\rc\r\nContent-Length: 0\r\n\r\n", 400),
    ("bare LF", HEAD + b"X-A: b\nContent-Length: 0\r\n\r\n", 400),
    ("NUL", HEAD + b"X-A: b\0c\r\nContent-Length: 0\r\n\r\n", 400),
    ("thousands of fields", HEAD + b"a:b\r\n" * 3000, 431),
    ("hundreds of requests at once", b"".join(request_bytes() for _ in range(300)), 429),
    ("no id", HEAD + b"Content-Length: 0\r\n\r\n", 400),
    ("an empty id", request_bytes(X_Trace_Id=""), 400),
    ("two ids", request_bytes().replace(b"\r\n", b"\r\nX-Trace-Id: 5\r\n", 1), 400),
    ("an endless id", request_bytes(X_Trace_Id="5" * 1000), 400),
    ("bad chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ("upgrade", b"GET /api HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    ("unknown class", request_bytes("nosuch"), 400),
    ("no class", b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    ("class twice", request_bytes(x_qos="look"), 400),
    ("deadline in words", request_bytes(X_Expires_In_Ms="soon"), 400),
    ("negative deadline", request_bytes(X_Expires_In_Ms="-5"), 400),
    ("empty deadline", request_bytes(X_Expires_In_Ms=""), 400),
    ("keyed without a key", request_bytes("post", b"x", Idempotency_Key=""), 400),
    ("body over the limit", request_bytes("move", b"x" * (64 * 1024 + 1)), 413),
    ("stated body over the limit", HEAD + b"Content-Length: 65537\r\n\r\n", 413),
    (
        "chunks over the limit",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + (b"8000\r\n" + b"x" * 0x8000 + b"\r\n") * 3,
        413,
    ),
    ("unknown path", request_bytes(target="/nope"), 404),
    ("near path", request_bytes(target="/apis"), 404),
    ("method that no class has", request_bytes().replace(b"GET", b"OPTIONS", 1), 405),
    ("endless head", b"GET /api HTTP/1.1\r\n" + b"X-A: " + b"a" * 40_000, 431),
]


@pytest.mark.parametrize(("data", "code"), [row[1:] for row in BAD], ids=[row[0] for row in BAD])
def test_malformed_input_is_rejected_and_harms_no_other_request(data: bytes, code: int) -> None:
    """Each kind is answered, and the other requests go on."""

    async def work() -> None:
        go = asyncio.Event()

        async def answers_late(request: ReceivedRequest, talk: FakeConnection) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeServer(answers_late).start()
        async with (
            running(upstream.entry("a")) as balancer,
            HttpClient(balancer.port) as good,
            HttpClient(balancer.port) as bad,
        ):
            good.send_request()
            await upstream.arrived.get()
            bad.send(data)
            assert (await bad.read_response()).status == code
            go.set()
            assert (await good.read_response()).status == 200
        upstream.close()
        assert len(upstream.requests) == 1

    run(work())


def test_a_missing_deadline_defaults_to_that_of_the_class() -> None:
    """Clients need not state one."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send(b"GET /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: 1\r\n\r\n")
            assert (await client.read_response()).status == 200
            client.send_request(X_Expires_In_Ms="999999999")
            assert (await client.read_response()).status == 200
        upstream.close()
        lefts = [e.time_left_ms for e in script.events if isinstance(e, RequestArrived)]
        assert lefts == [8000.0, 8000.0]

    run(work())


def test_pipelined_requests_are_answered_in_order_one_at_a_time() -> None:
    """Order and exactly one answer hold where a client does not wait."""

    async def work() -> None:
        async def echo(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok(request.target.encode()))

        upstream = await FakeServer(echo).start()
        async with running(upstream.entry("a")) as balancer, HttpClient(balancer.port) as client:
            client.send(b"".join(request_bytes(target=f"/api?n={n}") for n in range(3)) + b"garbage\r\n\r\n")
            for n in range(3):
                assert (await client.read_response()).body == b"/api?n=%d" % n
            assert (await client.read_response()).status == 400
            assert await client.read_to_end() == b""
        upstream.close()

    run(work())


def test_a_client_that_expects_100_continue_gets_it() -> None:
    """Else such a client would wait in vain."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer, HttpClient(balancer.port) as client:
            head, _, _ = request_bytes("move", b"body", Expect="100-continue").partition(b"\r\n\r\n")
            client.send(head + b"\r\n\r\n")
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            client.send(b"body")
            assert (await client.read_response()).status == 200
        upstream.close()
        assert upstream.requests[0].body == b"body"

    run(work())


def test_connection_close_is_honoured() -> None:
    """A client may say that the connection ends with this answer."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer, HttpClient(balancer.port) as client:
            client.send_request(Connection="close")
            answer = await client.read_response()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await client.read_to_end() == b""
        upstream.close()

    run(work())


def test_rejections_carry_retry_after_in_decimal_seconds() -> None:
    """Guards Refuse: 503 at once, with Retry-After where the decisions advise it, and without where not."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        waits = [1250.0, 0.0]

        def reject(event: Event) -> list[Action] | None:
            return [Reject(event.request, waits.pop(0))] if isinstance(event, RequestArrived) else None

        script.more = reject
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            first = await client.read_response()
            client.send_request()
            second = await client.read_response()
        upstream.close()
        assert (first.status, first.headers.get("retry-after")) == (503, "1.250")
        assert (second.status, second.headers.get("retry-after")) == (503, None)

    run(work())


def test_an_error_in_one_request_is_answered_500_with_its_id_in_the_log(capfd: Any) -> None:
    """Guards the process against a fault in the decisions: that request alone ends, and the log names it."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])

        def fault(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived) and event.class_index == 2:
                raise RuntimeError("a fault")
            return None

        script.more = fault
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request("move", b"x", X_Trace_Id="9b1f03aa5c7e2d41")
            assert (await client.read_response()).status == 500
            client.send_request()
            assert (await client.read_response()).status == 200
        upstream.close()

    run(work())
    assert "9b1f03aa5c7e2d41" in capfd.readouterr().err


def test_a_second_final_answer_is_dropped() -> None:
    """Guards 'exactly one answer': decisions that answer twice while an attempt is out must not answer the
    client's next request in place of a server.
    """

    async def work() -> None:
        upstream = await FakeServer(stays_silent).start()
        script = ScriptedBalancer([1])

        def twice(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived) and event.class_index == 2:
                return [Send(event.request, 1, 300.0), Fail(event.request), Reject(event.request)]
            return None

        script.more = twice
        other = await FakeServer().start()
        script.servers = [2]
        async with (
            running(upstream.entry("a"), other.entry("b"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send(request_bytes("move", b"x") + request_bytes())
            assert [(await client.read_response()).status for _ in range(2)] == [502, 200]
            first = next(e for e in script.events if isinstance(e, RequestArrived))
            while (event := await script.ended()).request != first.request:
                pass
            assert event.final  # the decisions are notified of the attempt's end all the same
        upstream.close()
        other.close()

    run(work())


def test_an_incomplete_request_is_not_forwarded() -> None:
    """The client has shut down its sending side before the last byte."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            async with HttpClient(balancer.port) as client:
                client.send(request_bytes("move", b"whole")[:-1])
                await client.writer.drain()
                client.writer.write_eof()
                assert await client.read_to_end() == b""
            async with HttpClient(balancer.port) as client:
                client.send_request(target="/ready")
                assert (await client.read_response()).status == 200
        upstream.close()
        assert upstream.requests == []
        assert not any(isinstance(e, RequestArrived | ClientDisconnected) for e in script.events)

    run(work())


def test_a_request_under_the_id_of_a_recent_one_is_rejected() -> None:
    """The first request is answered as if there were no second; neither is one forwarded that comes just
    after that answer.
    """

    async def work() -> None:
        go = asyncio.Event()

        async def answers_late(request: ReceivedRequest, talk: FakeConnection) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeServer(answers_late).start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer, HttpClient(balancer.port) as good:
            good.send_request("move", b"x", X_Trace_Id="aa")
            await upstream.arrived.get()
            async with HttpClient(balancer.port) as bad:
                bad.send_request("look", X_Trace_Id="aa")
                assert (await bad.read_response()).status == 409
                assert await bad.read_to_end() == b""
            go.set()
            assert (await good.read_response()).status == 200
            async with HttpClient(balancer.port) as bad:
                bad.send_request("move", b"x", X_Trace_Id="aa")
                assert (await bad.read_response()).status == 409
            good.send_request("move", b"x", X_Trace_Id="ab")
            assert (await good.read_response()).status == 200
            assert not balancer.shared.in_flight_ids.open
            balancer.shared.in_flight_ids.MAX_FINISHED = 1
            good.send_request("move", b"x", X_Trace_Id="ac")
            assert (await good.read_response()).status == 200
            assert list(balancer.shared.in_flight_ids.finished) == [b"ac"]
        upstream.close()
        assert [item.headers["x-trace-id"] for item in upstream.requests] == ["aa", "ab", "ac"]
        assert [e.outcome for e in script.ends()] == [Outcome.OK] * 3

    run(work())


def test_bytes_behind_a_rejected_message_are_never_parsed() -> None:
    """Prevents request smuggling: two parsers might find the end of such a message in two places."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer, HttpClient(balancer.port) as client:
            inner = request_bytes("move", b"x")
            outer = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(inner) + 5)
            client.send(HEAD + b"X-Trace-Id: 1\r\n" + outer + inner)
            assert (await client.read_response()).status == 400
            client.send(request_bytes("move", b"x"))
            assert await client.read_to_end() == b""
        upstream.close()
        assert upstream.requests == []

    run(work())
