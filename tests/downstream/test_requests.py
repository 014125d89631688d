"""Tests of requests over loopback: malformed input, pipelining, ids, and exactly one response per request."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.actions import Action, Fail, Reject, Send
from sandhatch.balancing.events import AttemptEnded, ClientDisconnected, Event, RequestArrived
from testkit.behaviours import echoes_target, never_responds, waits_for
from testkit.clients import request_bytes
from testkit.servers import serve_ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, loopback, request_ok

HEAD = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"

MALFORMED_REQUESTS = [
    ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
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
        "chunks and length",
        HEAD + CHUNKED + b"Content-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
    ),
    ("signed length", HEAD + b"Content-Length: +1\r\n\r\na", 400),
    ("list of lengths", HEAD + b"Content-Length: 1, 1\r\n\r\na", 400),
    ("another coding before chunked", HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    ("chunked twice", HEAD + CHUNKED + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("chunks in HTTP/1.0", HEAD.replace(b"1.1", b"1.0") + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("no version", b"GET /api\r\n\r\n", 400),
    ("folded header", HEAD + b"X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n", 400),
    ("bare CR", HEAD + b"X-A: b\rc\r\nContent-Length: 0\r\n\r\n", 400),
    ("bare LF", HEAD + b"X-A: b\nContent-Length: 0\r\n\r\n", 400),
    ("NUL", HEAD + b"X-A: b\0c\r\nContent-Length: 0\r\n\r\n", 400),
    ("thousands of fields", HEAD + b"a:b\r\n" * 3000, 431),
    ("hundreds of pipelined requests", b"".join(request_bytes() for _ in range(300)), 429),
    ("no id", HEAD + b"Content-Length: 0\r\n\r\n", 400),
    ("empty id", request_bytes(X_Trace_Id=""), 400),
    ("repeated id", request_bytes().replace(b"\r\n", b"\r\nX-Trace-Id: 5\r\n", 1), 400),
    ("id too long", request_bytes(X_Trace_Id="5" * 1000), 400),
    ("bad chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ("upgrade", b"GET /api HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    ("unknown class", request_bytes("nosuch"), 400),
    ("no class", b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    ("repeated class", request_bytes(x_qos="look"), 400),
    ("deadline in words", request_bytes(X_Expires_In_Ms="soon"), 400),
    ("negative deadline", request_bytes(X_Expires_In_Ms="-5"), 400),
    ("empty deadline", request_bytes(X_Expires_In_Ms=""), 400),
    ("keyed class without a key", request_bytes("post", b"x", Idempotency_Key=""), 400),
    ("body over the limit", request_bytes("move", b"x" * (64 * 1024 + 1)), 413),
    ("stated body over the limit", HEAD + b"Content-Length: 65537\r\n\r\n", 413),
    (
        "chunks over the limit",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + (b"8000\r\n" + b"x" * 0x8000 + b"\r\n") * 3,
        413,
    ),
    ("unknown path", request_bytes(target="/nope"), 404),
    ("path with a known prefix", request_bytes(target="/apis"), 404),
    ("method that no class has", request_bytes().replace(b"GET", b"OPTIONS", 1), 405),
    ("header line too long", b"GET /api HTTP/1.1\r\n" + b"X-A: " + b"a" * 40_000, 431),
]


@pytest.mark.parametrize(
    ("data", "code"), [row[1:] for row in MALFORMED_REQUESTS], ids=[row[0] for row in MALFORMED_REQUESTS]
)
def test_malformed_input_is_rejected_without_effect_on_other_requests(data: bytes, code: int) -> None:
    """Malformed input receives an error response, and a request on another connection completes."""

    async def scenario() -> None:
        released = asyncio.Event()
        async with loopback(waits_for(released, serve_ok), clients=2) as network:
            good, bad = network.clients
            good.send_request()
            await network.server.arrived.get()
            bad.send(data)
            assert (await bad.read_response()).status == code
            released.set()
            assert (await good.read_response()).status == 200
        assert len(network.server.requests) == 1

    run(scenario())


def test_missing_or_longer_deadline_becomes_that_of_the_class() -> None:
    """Clients need not state a deadline, and can't exceed the deadline of the request's class."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, script=script) as network:
            network.client.send(b"GET /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: 1\r\n\r\n")
            assert (await network.client.read_response()).status == 200
            await request_ok(network.client, X_Expires_In_Ms="999999999")
        assert [event.time_left_ms for event in script.received_events(RequestArrived)] == [8000.0, 8000.0]

    run(scenario())


def test_pipelined_requests_get_one_response_each_in_order() -> None:
    """Order and exactly one response are guaranteed even if a client does not wait for responses."""

    async def scenario() -> None:
        async with loopback(echoes_target) as network:
            requests = [request_bytes(target=f"/api?n={n}") for n in range(3)]
            network.client.send(b"".join(requests) + b"garbage\r\n\r\n")
            for n in range(3):
                assert (await network.client.read_response()).body == b"/api?n=%d" % n
            assert (await network.client.read_response()).status == 400
            assert await network.client.read_to_end() == b""

    run(scenario())


def test_client_that_expects_100_continue_receives_it() -> None:
    """Without 100 (Continue), a client that waits for it would never send the body."""

    async def scenario() -> None:
        async with loopback(serve_ok) as network:
            head, _, _ = request_bytes("move", b"body", Expect="100-continue").partition(b"\r\n\r\n")
            network.client.send(head + b"\r\n\r\n")
            interim = await network.client.reader.readuntil(b"\r\n\r\n")
            assert interim.startswith(b"HTTP/1.1 100")
            network.client.send(b"body")
            assert (await network.client.read_response()).status == 200
        assert network.server.requests[0].body == b"body"

    run(scenario())


def test_connection_close_of_the_client_is_honoured() -> None:
    """A client that sends `Connection: close` has its connection closed after the response."""

    async def scenario() -> None:
        async with loopback(serve_ok) as network:
            response = await request_ok(network.client, Connection="close")
            assert response.headers["connection"] == "close"
            assert await network.client.read_to_end() == b""

    run(scenario())


def test_rejections_carry_retry_after_in_decimal_seconds() -> None:
    """The balancer's Reject action causes an immediate 503, with Retry-After only if it has a delay."""

    async def scenario() -> None:
        waits_ms = [1250.0, 0.0]

        def reject(event: Event) -> list[Action] | None:
            return [Reject(event.request, waits_ms.pop(0))] if isinstance(event, RequestArrived) else None

        script = ScriptedBalancer([1])
        script.override = reject
        async with loopback(serve_ok, script=script) as network:
            network.client.send_request()
            first = await network.client.read_response()
            network.client.send_request()
            second = await network.client.read_response()
        assert (first.status, first.headers.get("retry-after")) == (503, "1.250")
        assert (second.status, second.headers.get("retry-after")) == (503, None)

    run(scenario())


def raise_for_class_2(event: Event) -> list[Action] | None:
    if isinstance(event, RequestArrived) and event.class_index == 2:
        raise RuntimeError("balancer error for the test")
    return None


def test_error_in_one_request_causes_500_and_a_log_line_with_its_id(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """An exception in the balancer ends only the request that caused it, and the log names that request."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        script.override = raise_for_class_2
        async with loopback(serve_ok, script=script) as network:
            network.client.send_request("move", b"x", X_Trace_Id="9b1f03aa5c7e2d41")
            assert (await network.client.read_response()).status == 500
            await request_ok(network.client)

    run(scenario())
    assert "9b1f03aa5c7e2d41" in capfd.readouterr().err


def respond_to_class_2_twice(event: Event) -> list[Action] | None:
    """Request two final responses for a request that has an attempt in flight."""
    if isinstance(event, RequestArrived) and event.class_index == 2:
        return [Send(event.request, 1, 300.0), Fail(event.request), Reject(event.request)]
    return None


def test_second_final_response_is_dropped() -> None:
    """A balancer that responds twice to a request with an attempt in flight must not thereby respond to the
    client's next request in place of a server.
    """

    async def scenario() -> None:
        script = ScriptedBalancer([2])
        script.override = respond_to_class_2_twice
        async with loopback(never_responds, serve_ok, script=script) as network:
            network.client.send(request_bytes("move", b"x") + request_bytes())
            assert [(await network.client.read_response()).status for _ in range(2)] == [502, 200]
            first = script.received_events(RequestArrived)[0]
            end = await script.next_event(AttemptEnded, lambda event: event.request == first.request)
            assert end.final  # the balancer is still notified of the end of the request's attempt

    run(scenario())


def test_incomplete_request_is_not_forwarded() -> None:
    """A client that shuts down its sending side before its request's last byte gets no response."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, clients=2, script=script) as network:
            incomplete, other = network.clients
            incomplete.send(request_bytes("move", b"whole")[:-1])
            await incomplete.writer.drain()
            incomplete.writer.write_eof()
            assert await incomplete.read_to_end() == b""
            await request_ok(other, target="/ready")
        assert network.server.requests == []
        assert not script.received_events(RequestArrived)
        assert not script.received_events(ClientDisconnected)

    run(scenario())


def test_bytes_after_a_rejected_message_are_never_parsed() -> None:
    """Prevents request smuggling: two parsers might disagree about the end of a rejected message."""

    async def scenario() -> None:
        async with loopback(serve_ok) as network:
            inner = request_bytes("move", b"x")
            outer = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(inner) + 5)
            network.client.send(HEAD + b"X-Trace-Id: 1\r\n" + outer + inner)
            assert (await network.client.read_response()).status == 400
            network.client.send(request_bytes("move", b"x"))
            assert await network.client.read_to_end() == b""
        assert network.server.requests == []

    run(scenario())
