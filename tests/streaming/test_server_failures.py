"""Responses to clients, and retries, when a server fails in the middle of a body."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.actions import Fail, Reject, Send
from sandhatch.balancing.events import Outcome, Unrepeatable
from testkit.bodies import SeededBody, head
from testkit.clients import HttpClient
from testkit.streaming_server import Serve, StreamedRequest, send_all
from tests.streaming.harness import (
    BODY,
    KIB,
    MIB,
    assert_stored,
    deployed,
    download_head,
    read_response,
    read_response_head,
    run,
    send_text_response,
    send_upload,
    serve_body,
    store_upload,
    upload_head,
)


def truncated_response_handler(chunks: bool) -> Serve:
    """Returns a handler that announces a long response and closes the connection after half of it."""

    async def serve(request: StreamedRequest) -> None:
        framing = {"Transfer-Encoding": "chunked"} if chunks else {"Content-Length": str(MIB)}
        await request.connection.send(head("HTTP/1.1 200 OK", **framing))
        await send_all(request.connection, SeededBody(2).pieces(MIB // 2), chunks)
        request.connection.writer.close()

    return serve


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
def test_truncated_response_is_never_forwarded_as_complete(chunks: bool) -> None:
    async def scenario() -> None:
        async with (
            deployed(truncated_response_handler(chunks)) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            status, body = await read_response(client)
            assert status == 200
            assert not body.complete
            assert body.size <= MIB // 2
            assert await client.read_to_end() == b""
            await deployment.wait_until_idle()
            assert [(end.outcome, end.final) for end in deployment.decisions.attempt_ends] == [
                (Outcome.RESET, True)
            ]
            assert len(deployment.server.received_requests) == 1  # a response that has begun is never retried
            assert [record.truncated_by for record in deployment.records] == ["server"]

    run(scenario())


def test_reset_of_a_streamed_response_without_a_length_is_not_its_end() -> None:
    # Guards against a reset that is taken for the orderly end of a response which nothing else delimits.
    async def serve(request: StreamedRequest) -> None:
        await request.connection.send(head("HTTP/1.1 200 OK"))
        await send_all(request.connection, SeededBody(2).pieces(MIB))
        await forwarded.wait()
        request.connection.reset()

    async def scenario() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            client.send(download_head())
            response = await read_response_head(client)
            assert response.status == 200
            forwarded.set()
            assert b"\r\n0\r\n" not in await client.read_to_end()
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.RESET]
            assert [record.truncated_by for record in deployment.records] == ["server"]

    forwarded = asyncio.Event()
    run(scenario())


def http_1_0_download_head() -> bytes:
    return download_head().replace(b"HTTP/1.1", b"HTTP/1.0")


def test_truncated_response_resets_the_connection_of_an_http_1_0_client() -> None:
    """HTTP/1.0 has no chunks, so without a Content-Length only the close marks the end of the body. A normal
    close would make a truncated response look complete.
    """

    async def scenario() -> None:
        async with deployed(serve_body(MIB // 2, chunks=True)) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(http_1_0_download_head())
                _, headers = await read_response_head(client)
                assert "transfer-encoding" not in headers
                assert "content-length" not in headers
                assert len(await client.read_to_end()) == MIB // 2
            deployment.server.serve = truncated_response_handler(chunks=True)
            async with HttpClient(deployment.port) as client:
                client.send(http_1_0_download_head())
                assert (await read_response_head(client)).status == 200
                with pytest.raises(ConnectionResetError):
                    await client.read_to_end()

    run(scenario())


def test_early_response_and_close_before_the_end_of_the_request_is_forwarded() -> None:
    async def respond_early(request: StreamedRequest) -> None:
        await request.body(stop_at=100 * KIB)
        await send_text_response(request, "enough", Connection="close")
        request.connection.writer.write_eof()
        await request.connection.ended()

    async def scenario() -> None:
        async with deployed(respond_early) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(8 * MIB))
            client.send(BODY.prefix(300 * KIB))
            status, headers = await read_response_head(client)
            # The connection closes because the balancer doesn't read the rest of the upload.
            assert (status, headers["connection"]) == (200, "close")
            assert await client.reader.readexactly(6) == b"enough"
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.OK]
            assert len(deployment.server.received_requests) == 1

    run(scenario())


def test_server_reset_in_mid_body_of_a_non_idempotent_request_gets_502_without_retry() -> None:
    """The server may have processed the request, which is neither retried, although the replay buffer is
    complete, nor rejected with Retry-After.
    """

    async def reset_in_mid_body(request: StreamedRequest) -> None:
        await request.body(stop_at=8 * KIB)
        request.connection.reset()

    async def scenario() -> None:
        async with (
            deployed(reset_in_mid_body, reset_in_mid_body) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(8 * MIB))
            client.send(BODY.prefix(64 * KIB))
            status, headers = await read_response_head(client)
            assert (status, headers["connection"]) == (502, "close")
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.RESET]
            assert not [action for action in deployment.decisions.actions if isinstance(action, Reject)]
            assert deployment.requests_seen == 1

    run(scenario())


async def reset_after(request: StreamedRequest, size: int) -> None:
    await request.body(stop_at=size)
    request.connection.reset()


def test_idempotent_request_is_retried_while_its_replay_buffer_is_complete() -> None:
    attempts: list[StreamedRequest] = []

    async def serve(request: StreamedRequest) -> None:
        attempts.append(request)
        if len(attempts) == 1:
            await reset_after(request, 40 * KIB)
        else:
            await store_upload(request)

    async def scenario() -> None:
        async with deployed(serve, serve) as deployment, HttpClient(deployment.port) as client:
            size = 4 * MIB
            client.send(upload_head(size, X_Qos="look"))
            body = BODY.prefix(size)
            # This part is buffered before the first attempt; the rest is sent after the attempt has failed.
            client.send(body[: 64 * KIB])
            await deployment.wait_until(lambda: len(deployment.decisions.attempt_ends) == 1)
            assert not deployment.decisions.events_of(Unrepeatable)
            client.send(body[64 * KIB :])
            await assert_stored(client, size)
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.RESET, Outcome.OK]
            # The replay buffer was released during the second attempt.
            assert len(deployment.decisions.events_of(Unrepeatable)) == 1

    run(scenario())


def test_request_is_not_retried_after_its_replay_buffer_was_released() -> None:
    async def serve(request: StreamedRequest) -> None:
        await reset_after(request, MIB)

    async def scenario() -> None:
        async with deployed(serve, serve) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(4 * MIB, X_Qos="look"))
            client.send(BODY.prefix(2 * MIB))
            # An idempotent request is rejected with Retry-After, because a retry by the client is safe.
            status, _headers = await read_response_head(client)
            assert status == 503
            await deployment.wait_until_idle()
            event_names = [type(event).__name__ for event in deployment.decisions.events]
            assert event_names.index("Unrepeatable") < event_names.index("AttemptEnded")
            assert len([action for action in deployment.decisions.actions if isinstance(action, Send)]) == 1
            assert deployment.requests_seen == 1

    run(scenario())


MAX_UPLOADS = 60  # with this many uploads, each server is selected at least once


def test_long_upload_is_retried_after_a_failed_connect() -> None:
    """No bytes of the upload were written to the server, so even a non-idempotent request is retried."""

    async def scenario() -> None:
        async with deployed(store_upload, store_upload) as deployment:
            deployment.server.close()
            await asyncio.sleep(0)
            for number in range(MAX_UPLOADS):
                async with HttpClient(deployment.port) as client:
                    await send_upload(client, MIB)
                    assert (await read_response_head(client)).status == 200
                if number >= 5 and Outcome.CONNECT_FAILED in deployment.decisions.outcomes:
                    break
            await deployment.wait_until_idle()
            assert set(deployment.decisions.outcomes) == {Outcome.CONNECT_FAILED, Outcome.OK}

    run(scenario())


def test_long_error_response_fails_the_request_like_a_short_one() -> None:
    async def respond_with_long_error(request: StreamedRequest) -> None:
        await request.body()
        await request.connection.send(
            head("HTTP/1.1 500 X", Content_Length=str(MIB)) + SeededBody(3).prefix(MIB)
        )

    async def scenario() -> None:
        async with deployed(respond_with_long_error) as deployment, HttpClient(deployment.port) as client:
            await send_upload(client, MIB)
            assert (await read_response_head(client))[0] == 502
            await deployment.wait_until_idle()
            assert [action for action in deployment.decisions.actions if isinstance(action, Fail)]

    run(scenario())
