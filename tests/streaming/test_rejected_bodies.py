"""Malformed, oversized and unwanted bodies are rejected once and never parsed as a second request."""

from __future__ import annotations

import pytest

from sandhatch.balancing.events import Outcome
from testkit.bodies import chunked
from testkit.clients import HttpClient
from tests.streaming.harness import (
    BODY,
    KIB,
    MIB,
    deployed,
    read_response,
    read_response_head,
    run,
    store_upload,
    upload_head,
)


@pytest.mark.parametrize(
    "malformed_bytes",
    [
        b"zz\r\n",
        b"5\r\nabcdeXX",
        b"5;" + b"x" * (300 * KIB) + b"\r\nabcde\r\n",
        b"1\r\na\r\n" * (100 * KIB),
        b"0\r\n" + b"".join(b"X-%d: 1\r\n" % n for n in range(200)) + b"\r\n",
        b"0\r\nX: " + b"y" * (300 * KIB) + b"\r\n\r\n",
        b"FFFFFFFFFFFFFFFFF\r\n",
        b"3\nabc\r\n",
    ],
    ids=["size", "end", "extension", "tiny", "trailers", "trailer", "overflow", "bare_lf"],
)
def test_malformed_chunks_cause_an_error_response_and_close_the_connection(malformed_bytes: bytes) -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(None) + chunked(BODY.prefix(100 * KIB)))
            await deployment.server.arrivals.get()  # the request's head has reached the server
            client.send(malformed_bytes + upload_head(3) + b"abc")
            status, headers = await read_response_head(client)
            assert status in (400, 413, 431)
            assert headers["connection"] == "close"
            await deployment.wait_until_idle()
            # The bytes after the malformed body are not parsed as a request.
            assert len(deployment.server.received_requests) == 1
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]

    run(scenario())


def test_body_of_wrong_length_is_not_completed_and_its_excess_is_not_parsed_as_a_request() -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment:
            async with HttpClient(deployment.port) as client:  # sends a body shorter than announced
                client.send(upload_head(MIB) + BODY.prefix(MIB - 1))
                client.writer.write_eof()
                await client.read_to_end()
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            async with HttpClient(deployment.port) as client:  # sends a body longer than announced
                client.send(upload_head(MIB) + BODY.prefix(MIB) + b"and some more\r\n\r\n")
                status, _ = await read_response(client)
                assert status == 200
                status, headers = await read_response_head(client)
                assert (status, headers["connection"]) == (400, "close")
            await deployment.wait_until_idle()
            assert len(deployment.server.received_requests) == 2

    run(scenario())


@pytest.mark.parametrize(
    "framing_lines",
    [
        b"Content-Length: 200000\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 200000\r\nContent-Length: 200001\r\n",
        b"Content-Length: +200000\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Transfer-Encoding: chunked\r\nX: a\r\n b\r\n",
        b"Transfer-Encoding: chunked\nX: a\r\n",
        b"Transfer-Encoding : chunked\r\n",
    ],
    ids=["both_lengths", "two_lengths", "plus", "codings", "obs_fold", "bare_lf", "space"],
)
def test_request_smuggling_attempt_gets_400_and_closes_the_connection(framing_lines: bytes) -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            client.send(b"POST /d HTTP/1.1\r\nHost: d\r\n" + framing_lines + b"\r\n")
            client.send(b"3\r\nabc\r\n0\r\n\r\n" + upload_head(3) + b"abc")
            status, headers = await read_response_head(client)
            assert (status, headers["connection"]) == (400, "close")
            await deployment.wait_until_idle()
            assert not deployment.server.received_requests

    run(scenario())


def test_body_over_the_limit_gets_413_by_its_length_or_when_it_exceeds_the_limit() -> None:
    async def scenario() -> None:
        async with deployed(store_upload, request={"most_bytes": MIB}) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(MIB + 1, Expect="100-continue"))
                status, _ = await read_response_head(client)
                assert status == 413
                assert not deployment.server.received_requests
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(None) + chunked(BODY.prefix(MIB)) + chunked(b"x"))
                status, headers = await read_response_head(client)
                assert (status, headers["connection"]) == (413, "close")
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]

    run(scenario())


def test_100_continue_is_sent_once_and_never_before_a_rejection() -> None:
    async def scenario() -> None:
        response = {"match": {"path": {"prefix": "/no"}}, "to": {"answer": {"status": 403, "body": "no"}}}
        async with deployed(store_upload, routes=[{"name": "no"} | response]) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(MIB, Expect="100-continue"))
                assert (await read_response_head(client))[0] == 100
                client.send(BODY.prefix(MIB))
                assert (await read_response_head(client))[0] == 200
                assert "expect" not in deployment.server.received_requests[0].headers
            for rejected_fields in ({"target": "/no/way"}, {"X_Qos": "nobody"}):
                async with HttpClient(deployment.port) as client:
                    client.send(upload_head(MIB, **{"Expect": "100-continue"} | rejected_fields))
                    status, headers = await read_response_head(client)
                    assert status == (403 if "target" in rejected_fields else 400)
                    assert headers["connection"] == "close"
            await deployment.wait_until_idle()
            assert len(deployment.server.received_requests) == 1

    run(scenario())
