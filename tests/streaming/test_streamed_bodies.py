"""Streamed bodies arrive complete, unchanged and once, within the memory limit of a request."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.events import AnswerStarted, Outcome
from testkit.bodies import Body, SeededBody, chunked, head
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest, send_all
from testkit.wire import ok
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


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 1, 64 * KIB, 64 * KIB + 1, 5 * MIB])
def test_upload_arrives_complete_once_and_unchanged(size: int, chunks: bool) -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):  # the second request checks that the connection is reusable
                await send_upload(client, size, chunks)
                await assert_stored(client, size)
            await deployment.wait_until_idle()
            assert len(deployment.server.received_requests) == 2
            assert deployment.flow_statistics.opened == (
                2 if size > 64 * KIB or (chunks and size == 64 * KIB) else 0
            )

    run(scenario())


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 64 * KIB + 1, 5 * MIB])
def test_response_arrives_complete_once_and_unchanged(size: int, chunks: bool) -> None:
    async def scenario() -> None:
        async with deployed(serve_body(size, 2, chunks)) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):
                client.send(download_head())
                status, body = await read_response(client)
                assert (status, body.size, body.crc) == (200, size, SeededBody(2).crc(size))
                assert body.complete
            await deployment.wait_until_idle()
            assert deployment.server.connections == 1  # the server connection was reused
            if size != 64 * KIB + 1:  # a body of 64 KiB + 1 may be complete in one read
                assert len(deployment.decisions.events_of(AnswerStarted)) == (2 if size else 0)
            assert deployment.decisions.outcomes == [Outcome.OK, Outcome.OK]

    run(scenario())


@pytest.mark.parametrize("size", [0, 1000, MIB])
def test_response_without_a_length_is_complete_at_the_orderly_end_of_its_connection(size: int) -> None:
    # Guards against the loss of complete responses, short or streamed, that only the server's close ends.
    async def serve(request: StreamedRequest) -> None:
        await request.connection.send(head("HTTP/1.1 200 OK"))
        await send_all(request.connection, SeededBody(2).pieces(size))
        request.connection.writer.close()

    async def scenario() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            client.send(download_head())
            status, body = await read_response(client)
            assert (status, body.size, body.crc) == (200, size, SeededBody(2).crc(size))
            assert body.complete
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.OK]
            assert [record.truncated_by for record in deployment.records] == [""]

    run(scenario())


def test_trailers_are_forwarded_except_forbidden_ones() -> None:
    received_trailers: list[dict[str, str]] = []

    async def serve(request: StreamedRequest) -> None:
        received_trailers.append((await request.body()).trailers)
        await serve_body(MIB, 2, True)(request)

    async def scenario() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            await send_upload(client, MIB, chunks=True)
            _, body = await read_response(client)
            assert received_trailers == [{"x-sum": "7"}]
            assert body.complete
            assert body.trailers == {"x-sum": "7"}

    run(scenario())


def test_response_may_begin_before_the_request_ends_and_both_bodies_are_streamed_at_once() -> None:
    async def echo(request: StreamedRequest) -> None:
        await request.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        remaining_bytes = int(request.headers["content-length"])
        while remaining_bytes:
            piece = await request.connection.reader.read(min(remaining_bytes, 64 * KIB))
            remaining_bytes -= len(piece)
            await request.connection.send(chunked(piece))
        await request.connection.send(b"0\r\n\r\n")

    async def scenario() -> None:
        async with deployed(echo) as deployment, HttpClient(deployment.port) as client:
            sending = asyncio.create_task(send_upload(client, 8 * MIB))
            status, body = await read_response(client)
            await sending
            assert (status, body.size, body.crc) == (200, 8 * MIB, BODY.crc(8 * MIB))
            await deployment.wait_until_idle()

    run(scenario())


def test_memory_of_a_request_with_a_slow_server_stays_below_its_ceiling() -> None:
    """Asserts the peak memory in the flow statistics, which record every change, so no peak is missed."""

    async def pause(_body: Body) -> None:
        await asyncio.sleep(0.001)

    async def read_slowly(request: StreamedRequest) -> None:
        body = await request.body(max_read_bytes=32 * KIB, pause=pause)
        await send_text_response(request, f"{body.size} {body.crc}")

    async def scenario() -> None:
        async with deployed(read_slowly) as deployment, HttpClient(deployment.port) as client:
            await send_upload(client, 12 * MIB)
            assert (await read_response(client))[0] == 200
            await deployment.wait_until_idle()
            assert 0 < deployment.flow_statistics.peak_bytes <= 192 * KIB
            assert deployment.flow_statistics.ceiling_exceeded_count == 0

    run(scenario())


def test_slow_response_is_streamed_after_its_hold_time() -> None:
    async def respond_in_part(request: StreamedRequest) -> None:
        await request.connection.send(
            head("HTTP/1.1 200 OK", Transfer_Encoding="chunked") + chunked(b"first")
        )
        received = await request.connection.reader.read(1)
        assert not received

    async def scenario() -> None:
        async with (
            deployed(respond_in_part, bodies={"answer_hold_ms": 20}) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            assert (await read_response_head(client))[0] == 200
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"

    run(scenario())


def test_pipelined_requests_around_a_long_one_get_responses_in_order() -> None:
    async def serve(request: StreamedRequest) -> None:
        if request.method == "GET":
            await request.connection.send(ok(b"got"))
        else:
            await store_upload(request)

    async def scenario() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            client.send(download_head() + upload_head(MIB) + BODY.prefix(MIB) + download_head())
            sizes = []
            for _ in range(3):
                status, body = await read_response(client)
                assert status == 200
                sizes.append(body.size)
            assert sizes == [3, len(f"{MIB} {BODY.crc(MIB)}"), 3]
            await deployment.wait_until_idle()

    run(scenario())
