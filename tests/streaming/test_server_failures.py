"""What a client sees, and what is retried, when a server breaks off in the middle of a body."""

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
    response_head,
    response_of,
    response_text,
    run,
    send_upload,
    serve_body,
    store_upload,
    upload_head,
)


def truncates_response(chunks: bool) -> Serve:
    """Announces a long answer, and closes after half of it."""

    async def serve(upload: StreamedRequest) -> None:
        framing = {"Transfer-Encoding": "chunked"} if chunks else {"Content-Length": str(MIB)}
        await upload.connection.send(head("HTTP/1.1 200 OK", **framing))
        await send_all(upload.connection, SeededBody(2).pieces(MIB // 2), chunks)
        upload.connection.writer.close()

    return serve


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
def test_a_truncated_answer_is_never_forwarded_as_complete(chunks: bool) -> None:
    async def work() -> None:
        async with deployed(truncates_response(chunks)) as deployment, HttpClient(deployment.port) as client:
            client.send(download_head())
            status, body = await response_of(client)
            assert status == 200
            assert not body.complete
            assert body.size <= MIB // 2
            assert await client.read_to_end() == b""
            await deployment.until_idle()
            assert [(end.outcome, end.final) for end in deployment.decisions.ends] == [(Outcome.RESET, True)]
            assert len(deployment.server.seen) == 1  # what has begun is never retried
            assert [record.truncated_by for record in deployment.records] == ["server"]

    run(work())


def http_1_0_download_head() -> bytes:
    return download_head().replace(b"HTTP/1.1", b"HTTP/1.0")


def test_a_truncated_answer_resets_the_connection_of_an_http_1_0_client() -> None:
    """It takes no chunks, so without a length only the close tells the end: a plain one would be a lie."""

    async def work() -> None:
        async with deployed(serve_body(MIB // 2, chunks=True)) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(http_1_0_download_head())
                _, headers = await response_head(client)
                assert "transfer-encoding" not in headers
                assert "content-length" not in headers
                assert len(await client.read_to_end()) == MIB // 2
            deployment.server.serve = truncates_response(chunks=True)
            async with HttpClient(deployment.port) as client:
                client.send(http_1_0_download_head())
                assert (await response_head(client)).status == 200
                with pytest.raises(ConnectionResetError):
                    await client.read_to_end()

    run(work())


def test_a_server_that_answers_and_closes_before_the_end_of_the_request() -> None:
    async def early(upload: StreamedRequest) -> None:
        await upload.body(stop_at=100 * KIB)
        await response_text(upload, "enough", Connection="close")
        upload.connection.writer.write_eof()
        await upload.connection.ended()

    async def work() -> None:
        async with deployed(early) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(8 * MIB))
            client.send(BODY.prefix(300 * KIB))
            status, headers = await response_head(client)
            assert (status, headers["connection"]) == (200, "close")  # the rest of the body is not wanted
            assert await client.reader.readexactly(6) == b"enough"
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.OK]
            assert len(deployment.server.seen) == 1

    run(work())


def test_a_server_that_resets_in_mid_body_may_have_run_it() -> None:
    """Non-idempotent: no retry, although the replay buffer is complete, and no rejection either."""

    async def resets(upload: StreamedRequest) -> None:
        await upload.body(stop_at=8 * KIB)
        upload.connection.reset()

    async def work() -> None:
        async with deployed(resets, resets) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(8 * MIB))
            client.send(BODY.prefix(64 * KIB))
            status, headers = await response_head(client)
            assert (status, headers["connection"]) == (502, "close")
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.RESET]
            assert not [action for action in deployment.decisions.actions if isinstance(action, Reject)]
            assert deployment.requests_seen == 1

    run(work())


async def reset_after(upload: StreamedRequest, size: int) -> None:
    await upload.body(stop_at=size)
    upload.connection.reset()


def test_an_idempotent_request_is_retried_while_its_replay_buffer_is_complete() -> None:
    attempts: list[StreamedRequest] = []

    async def serve(upload: StreamedRequest) -> None:
        attempts.append(upload)
        if len(attempts) == 1:
            await reset_after(upload, 40 * KIB)
        else:
            await store_upload(upload)

    async def work() -> None:
        async with deployed(serve, serve) as deployment, HttpClient(deployment.port) as client:
            size = 4 * MIB
            client.send(upload_head(size, X_Qos="look"))
            body = BODY.prefix(size)
            client.send(body[: 64 * KIB])  # buffered before the first attempt; the rest follows the failure
            await deployment.until(lambda: len(deployment.decisions.ends) == 1)
            assert not deployment.decisions.of(Unrepeatable)
            client.send(body[64 * KIB :])
            await assert_stored(client, size)
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.RESET, Outcome.OK]
            assert len(deployment.decisions.of(Unrepeatable)) == 1  # in the second attempt

    run(work())


def test_nothing_is_retried_beyond_the_replay_buffer() -> None:
    async def serve(upload: StreamedRequest) -> None:
        await reset_after(upload, MIB)

    async def work() -> None:
        async with deployed(serve, serve) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(4 * MIB, X_Qos="look"))
            client.send(BODY.prefix(2 * MIB))
            # Idempotent, so it is rejected with Retry-After: a retry by the client does no harm.
            status, _headers = await response_head(client)
            assert status == 503
            await deployment.until_idle()
            kinds = [type(event).__name__ for event in deployment.decisions.events]
            assert kinds.index("Unrepeatable") < kinds.index("AttemptEnded")
            assert len([action for action in deployment.decisions.actions if isinstance(action, Send)]) == 1
            assert deployment.requests_seen == 1

    run(work())


MAX_UPLOADS = 60  # in which each server is chosen for some attempt


def test_a_server_that_cannot_be_connected_to_costs_a_long_body_nothing() -> None:
    """Nothing was written, so even a non-idempotent request is retried."""

    async def work() -> None:
        async with deployed(store_upload, store_upload) as deployment:
            deployment.server.close()
            await asyncio.sleep(0)
            for number in range(MAX_UPLOADS):
                async with HttpClient(deployment.port) as client:
                    await send_upload(client, MIB)
                    assert (await response_head(client)).status == 200
                if number >= 5 and Outcome.CONNECT_FAILED in deployment.decisions.outcomes:
                    break
            await deployment.until_idle()
            assert set(deployment.decisions.outcomes) == {Outcome.CONNECT_FAILED, Outcome.OK}

    run(work())


def test_a_long_answer_of_another_status_fails_as_a_short_one_does() -> None:
    async def broken(upload: StreamedRequest) -> None:
        await upload.body()
        await upload.connection.send(
            head("HTTP/1.1 500 X", Content_Length=str(MIB)) + SeededBody(3).prefix(MIB)
        )

    async def work() -> None:
        async with deployed(broken) as deployment, HttpClient(deployment.port) as client:
            await send_upload(client, MIB)
            assert (await response_head(client))[0] == 502
            await deployment.until_idle()
            assert [action for action in deployment.decisions.actions if isinstance(action, Fail)]

    run(work())
