"""Streamed bodies: complete, unchanged and once, within the memory that a request may take."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.events import AnswerStarted, Outcome
from testkit.bodies import Body, SeededBody, chunked, head
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest
from testkit.wire import ok
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


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 1, 64 * KIB, 64 * KIB + 1, 5 * MIB])
def test_an_upload_arrives_complete_once_and_unchanged(size: int, chunks: bool) -> None:
    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):  # and the connection is good for another
                await send_upload(client, size, chunks)
                await assert_stored(client, size)
            await deployment.until_idle()
            assert len(deployment.server.seen) == 2
            assert deployment.flow_statistics.opened == (
                2 if size > 64 * KIB or (chunks and size == 64 * KIB) else 0
            )

    run(work())


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 64 * KIB + 1, 5 * MIB])
def test_an_answer_arrives_complete_once_and_unchanged(size: int, chunks: bool) -> None:
    async def work() -> None:
        async with deployed(serve_body(size, 2, chunks)) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):
                client.send(download_head())
                status, body = await response_of(client)
                assert (status, body.size, body.crc) == (200, size, SeededBody(2).crc(size))
                assert body.complete
            await deployment.until_idle()
            assert deployment.server.connections == 1  # both ends of it could be used again
            if size != 64 * KIB + 1:  # that may be complete in one read
                assert len(deployment.decisions.of(AnswerStarted)) == (2 if size else 0)
            assert deployment.decisions.outcomes == [Outcome.OK, Outcome.OK]

    run(work())


def test_trailers_are_forwarded_but_for_those_that_would_frame_the_body() -> None:
    seen: list[dict[str, str]] = []

    async def serve(upload: StreamedRequest) -> None:
        seen.append((await upload.body()).trailers)
        await serve_body(MIB, 2, True)(upload)

    async def work() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            await send_upload(client, MIB, chunks=True)
            _, body = await response_of(client)
            assert seen == [{"x-sum": "7"}]
            assert body.complete
            assert body.trailers == {"x-sum": "7"}

    run(work())


def test_both_bodies_flow_at_once_and_an_answer_may_begin_before_the_request_has_ended() -> None:
    async def echo(upload: StreamedRequest) -> None:
        await upload.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        left = int(upload.headers["content-length"])
        while left:
            piece = await upload.connection.reader.read(min(left, 64 * KIB))
            left -= len(piece)
            await upload.connection.send(chunked(piece))
        await upload.connection.send(b"0\r\n\r\n")

    async def work() -> None:
        async with deployed(echo) as deployment, HttpClient(deployment.port) as client:
            sending = asyncio.create_task(send_upload(client, 8 * MIB))
            status, body = await response_of(client)
            await sending
            assert (status, body.size, body.crc) == (200, 8 * MIB, BODY.crc(8 * MIB))
            await deployment.until_idle()

    run(work())


def test_memory_of_a_request_stays_below_its_ceiling_whichever_side_is_slow() -> None:
    """The statistics count every change; nothing is sampled."""

    async def pause(_body: Body) -> None:
        await asyncio.sleep(0.001)

    async def slow(upload: StreamedRequest) -> None:
        body = await upload.body(max_read_bytes=32 * KIB, pause=pause)
        await response_text(upload, f"{body.size} {body.crc}")

    async def work() -> None:
        async with deployed(slow) as deployment, HttpClient(deployment.port) as client:
            await send_upload(client, 12 * MIB)
            assert (await response_of(client))[0] == 200
            await deployment.until_idle()
            assert 0 < deployment.flow_statistics.peak_bytes <= 192 * KIB
            assert deployment.flow_statistics.over == 0

    run(work())


def test_an_answer_that_trickles_begins_after_its_hold_time() -> None:
    async def drip(upload: StreamedRequest) -> None:
        await upload.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked") + chunked(b"first"))
        go = await upload.connection.reader.read(1)
        assert not go

    async def work() -> None:
        async with (
            deployed(drip, bodies={"answer_hold_ms": 20}) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            assert (await response_head(client))[0] == 200
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"

    run(work())


def test_pipelined_requests_around_a_long_one_are_answered_in_their_order() -> None:
    async def serve(upload: StreamedRequest) -> None:
        if upload.method == "GET":
            await upload.connection.send(ok(b"got"))
        else:
            await store_upload(upload)

    async def work() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            client.send(download_head() + upload_head(MIB) + BODY.prefix(MIB) + download_head())
            sizes = []
            for _ in range(3):
                status, body = await response_of(client)
                assert status == 200
                sizes.append(body.size)
            assert sizes == [3, len(f"{MIB} {BODY.crc(MIB)}"), 3]
            await deployment.until_idle()

    run(work())
