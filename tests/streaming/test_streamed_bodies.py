"""Streamed bodies: complete, unchanged and once; and what both sides see when one of them breaks off."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.actions import Fail, Reject, Send
from sandhatch.balancing.events import AnswerStarted, Outcome, Unrepeatable
from testkit.bodies import SeededBody, chunked, head
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest
from testkit.wire import ok
from tests.streaming.harness import (
    KIB,
    MIB,
    Deployment,
    answer_head,
    answer_of,
    answer_text,
    deployed,
    download_head,
    run,
    serve_body,
    store_upload,
    upload_head,
)

BODY = SeededBody(1)


async def upload(client: HttpClient, size: int, chunks: bool = False, most: int = 0) -> None:
    client.send(upload_head(None if chunks else size))
    for piece in BODY.pieces(size, most):
        client.send(chunked(piece) if chunks else bytes(piece))
        await client.writer.drain()
    if chunks:
        client.send(b"0\r\nX-Sum: 7\r\nAuthorization: me\r\n\r\n")


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 1, 64 * KIB, 64 * KIB + 1, 5 * MIB])
def test_an_upload_arrives_complete_once_and_unchanged(size: int, chunks: bool) -> None:
    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):  # and the connection is good for another
                await upload(client, size, chunks)
                status, headers = await answer_head(client)
                text = await client.reader.readexactly(int(headers["content-length"]))
                assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")
            await deployment.until_idle()
            assert len(deployment.servers[0].seen) == 2
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
                status, body = await answer_of(client)
                assert (status, body.size, body.crc) == (200, size, SeededBody(2).crc(size))
                assert body.complete
            await deployment.until_idle()
            assert deployment.servers[0].connections == 1  # both ends of it could be used again
            if size != 64 * KIB + 1:  # that may be complete in one read
                assert len(deployment.decisions.of(AnswerStarted)) == (2 if size else 0)
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.OK, Outcome.OK]

    run(work())


def test_trailers_are_forwarded_but_for_those_that_would_frame_the_body() -> None:
    seen: list[dict[str, str]] = []

    async def serve(upload: StreamedRequest) -> None:
        seen.append((await upload.body()).trailers)
        await serve_body(MIB, 2, True)(upload)

    async def work() -> None:
        async with deployed(serve) as deployment, HttpClient(deployment.port) as client:
            await upload(client, MIB, chunks=True)
            _, body = await answer_of(client)
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
            sending = asyncio.create_task(upload(client, 8 * MIB))
            status, body = await answer_of(client)
            await sending
            assert (status, body.size, body.crc) == (200, 8 * MIB, BODY.crc(8 * MIB))
            await deployment.until_idle()

    run(work())


def test_memory_of_a_request_stays_below_its_ceiling_whichever_side_is_slow() -> None:
    """The statistics count every change; nothing is sampled."""

    async def slow(upload: StreamedRequest) -> None:
        async def pause(body: object) -> None:
            await asyncio.sleep(0.001)

        body = await upload.body(max_read_bytes=32 * KIB, pause=pause)
        await answer_text(upload, f"{body.size} {body.crc}")

    async def work() -> None:
        async with deployed(slow) as deployment, HttpClient(deployment.port) as client:
            await upload(client, 12 * MIB)
            assert (await answer_of(client))[0] == 200
            await deployment.until_idle()
            assert 0 < deployment.flow_statistics.peak_bytes <= 192 * KIB
            assert deployment.flow_statistics.over == 0

    run(work())


# ------------------------------------------------ the server breaks off


def test_a_truncated_answer_is_never_forwarded_as_complete() -> None:
    async def cut_short(upload: StreamedRequest) -> None:
        length = {"Content-Length": str(MIB)}
        if upload.target == "/chunked":
            length = {"Transfer-Encoding": "chunked"}
        await upload.connection.send(head("HTTP/1.1 200 OK", **length))
        for piece in SeededBody(2).pieces(MIB // 2):
            await upload.connection.send(chunked(piece) if upload.target == "/chunked" else bytes(piece))
        upload.connection.writer.close()

    async def work() -> None:
        for target in ("/length", "/chunked"):
            async with deployed(cut_short) as deployment, HttpClient(deployment.port) as client:
                client.send(download_head(target))
                status, body = await answer_of(client)
                assert status == 200
                assert not body.complete
                assert body.size <= MIB // 2
                assert await client.read_to_end() == b""
                await deployment.until_idle()
                assert [(end.outcome, end.final) for end in deployment.decisions.ends] == [
                    (Outcome.RESET, True)
                ]
                assert len(deployment.servers[0].seen) == 1  # what has begun is never tried again
                assert [record.truncated_by for record in deployment.kept.records] == ["server"]

    run(work())


def test_a_truncated_answer_resets_the_connection_of_an_http_1_0_client() -> None:
    """It takes no chunks, so without a length only the close tells the end: a plain one would be a lie."""

    async def cut_short(upload: StreamedRequest) -> None:
        await upload.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        for piece in SeededBody(2).pieces(MIB // 2):
            await upload.connection.send(chunked(piece))
        if upload.target == "/cut":
            upload.connection.writer.close()
        else:
            await upload.connection.send(b"0\r\n\r\n")

    async def work() -> None:
        async with deployed(cut_short) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(download_head("/whole").replace(b"HTTP/1.1", b"HTTP/1.0"))
                _, headers = await answer_head(client)
                assert "transfer-encoding" not in headers
                assert "content-length" not in headers
                assert len(await client.read_to_end()) == MIB // 2
            async with HttpClient(deployment.port) as client:
                client.send(download_head("/cut").replace(b"HTTP/1.1", b"HTTP/1.0"))
                await answer_head(client)
                with pytest.raises(ConnectionResetError):
                    await client.read_to_end()

    run(work())


def test_a_server_that_answers_and_closes_before_the_end_of_the_request() -> None:
    async def early(upload: StreamedRequest) -> None:
        await upload.body(stop_at=100 * KIB)
        await answer_text(upload, "enough", Connection="close")
        upload.connection.writer.write_eof()
        await upload.connection.ended()

    async def work() -> None:
        async with deployed(early) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(8 * MIB))
            client.send(BODY.prefix(300 * KIB))
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (200, "close")  # the rest of the body is not wanted
            assert await client.reader.readexactly(6) == b"enough"
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.OK]
            assert len(deployment.servers[0].seen) == 1

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
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (502, "close")
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.RESET]
            assert not [action for action in deployment.decisions.actions if isinstance(action, Reject)]
            assert sum(len(server.seen) for server in deployment.servers) == 1

    run(work())


async def reset_after(upload: StreamedRequest, size: int) -> None:
    await upload.body(stop_at=size)
    upload.connection.reset()


def test_an_idempotent_request_is_retried_while_its_replay_buffer_is_complete() -> None:
    tries: list[int] = []

    async def serve(upload: StreamedRequest) -> None:
        tries.append(1)
        if len(tries) == 1:
            await reset_after(upload, 40 * KIB)
        else:
            await store_upload(upload)

    async def work() -> None:
        async with deployed(serve, serve) as deployment, HttpClient(deployment.port) as client:
            size = 4 * MIB
            client.send(upload_head(size, X_Qos="look"))
            body = BODY.prefix(size)
            client.send(body[: 64 * KIB])  # what is held before the first send; the rest follows the failure
            await deployment.kept.until(lambda: len(deployment.decisions.ends) == 1)
            assert not deployment.decisions.of(Unrepeatable)
            client.send(body[64 * KIB :])
            status, headers = await answer_head(client)
            text = await client.reader.readexactly(int(headers["content-length"]))
            assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.RESET, Outcome.OK]
            assert len(deployment.decisions.of(Unrepeatable)) == 1  # in the second attempt

    run(work())


def test_past_the_replay_buffer_nothing_is_retried() -> None:
    async def serve(upload: StreamedRequest) -> None:
        await reset_after(upload, MIB)

    async def work() -> None:
        async with deployed(serve, serve) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(4 * MIB, X_Qos="look"))
            client.send(BODY.prefix(2 * MIB))
            # Idempotent, so it is rejected with Retry-After: a retry by the client does no harm.
            status, _headers = await answer_head(client)
            assert status == 503
            await deployment.until_idle()
            kinds = [type(event).__name__ for event in deployment.decisions.events]
            assert kinds.index("Unrepeatable") < kinds.index("AttemptEnded")
            assert len([action for action in deployment.decisions.actions if isinstance(action, Send)]) == 1
            assert sum(len(server.seen) for server in deployment.servers) == 1

    run(work())


def test_a_server_that_cannot_be_connected_to_costs_a_long_body_nothing() -> None:
    """Nothing was written, so even a non-idempotent request is retried."""

    async def work() -> None:
        async with deployed(store_upload, store_upload) as deployment:
            unreachable = deployment.servers[0]
            unreachable.close()
            await asyncio.sleep(0)
            for _ in range(6):
                async with HttpClient(deployment.port) as client:
                    await upload(client, MIB)
                    assert (await answer_head(client))[0] == 200
            await deployment.until_idle()
            outcomes = {end.outcome for end in deployment.decisions.ends}
            assert outcomes == {Outcome.CONNECT_FAILED, Outcome.OK}

    run(work())


# ------------------------------------------------ the client breaks off


def test_a_client_that_disconnects_in_mid_upload_cancels_its_attempt() -> None:
    async def work() -> None:
        async with deployed(store_upload) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(8 * MIB))
                client.send(BODY.prefix(MIB))
                await deployment.servers[0].arrived.get()
            await deployment.until_idle()
            await deployment.kept.until(lambda: deployment.servers[0].open == 0)
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.CANCELLED]
            assert [(record.status, record.truncated_by) for record in deployment.kept.records] == [
                (0, "client")
            ]

    run(work())


def test_a_client_that_disconnects_in_mid_answer_is_not_counted_against_the_server() -> None:
    async def work() -> None:
        async with deployed(serve_body(64 * MIB)) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                await answer_head(client)
            await deployment.until_idle()
            await deployment.kept.until(lambda: deployment.servers[0].open == 0)
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.CANCELLED]

    run(work())


def test_a_half_closed_client_gets_its_answer_where_the_listener_allows_it() -> None:
    async def work() -> None:
        for half_close in (False, True):
            listeners = {"front": {"address": "127.0.0.1:0", "half_close": half_close}}
            async with (
                deployed(store_upload, listeners=listeners) as deployment,
                HttpClient(deployment.port) as client,
            ):
                await upload(client, MIB)
                client.writer.write_eof()
                if half_close:
                    assert (await answer_of(client))[0] == 200
                else:
                    assert await client.read_to_end() == b""
                await deployment.until_idle()

    run(work())


# ------------------------------------------------ changes in mid-body


def test_a_draining_server_finishes_the_body_that_flows_to_it_and_gets_nothing_new() -> None:
    async def work() -> None:
        async with deployed(store_upload, store_upload) as deployment, HttpClient(deployment.port) as client:
            size = 4 * MIB
            body = BODY.prefix(size)
            client.send(upload_head(size) + body[:MIB])
            await deployment.kept.until(lambda: any(server.seen for server in deployment.servers))
            busy = next(server for server in deployment.servers if server.seen)
            data = deployment.kept.service.transactions.active.checked.model.model_dump(mode="json")
            servers = data["pools"]["drawings"]["servers"]
            named = next(name for name, row in servers.items() if row["address"].endswith(f":{busy.port}"))
            servers[named]["state"] = "draining"
            await deployment.kept.confirmed(data)
            await asyncio.sleep(2.1)  # past the grace
            client.send(body[MIB:])
            assert (await answer_of(client))[0] == 200
            for _ in range(8):
                async with HttpClient(deployment.port) as other:
                    await upload(other, 100 * KIB)
                    assert (await answer_of(other))[0] == 200
            assert len(busy.seen) == 1
            await deployment.until_idle()

    run(work())


def test_a_body_stays_with_the_version_that_it_began_under() -> None:
    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            size = 4 * MIB
            body = BODY.prefix(size)
            client.send(upload_head(size) + body[:MIB])
            await deployment.kept.until(lambda: bool(deployment.servers[0].seen))
            data = deployment.kept.service.transactions.active.checked.model.model_dump(mode="json")
            data["default"] = {"answer": {"status": 404}}
            data["classes"]["draw"]["bodies"]["request"]["most_bytes"] = 1024
            await deployment.kept.confirmed(data)
            client.send(body[MIB:])
            status, headers = await answer_head(client)
            text = await client.reader.readexactly(int(headers["content-length"]))
            assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")
            async with HttpClient(deployment.port) as other:
                other.send(upload_head(MIB))
                assert (await answer_head(other))[0] == 404
            await deployment.kept.until(lambda: bool(deployment.kept.records))
            assert deployment.kept.records[0].version == 1

    run(work())


def test_graceful_shutdown_waits_for_the_end_of_a_body() -> None:
    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            size = 4 * MIB
            body = BODY.prefix(size)
            client.send(upload_head(size) + body[:MIB])
            await deployment.kept.until(lambda: bool(deployment.servers[0].seen))
            draining = asyncio.create_task(deployment.kept.service.drain())
            await asyncio.sleep(0.7)  # past the time in which new requests are still accepted
            assert not draining.done()
            client.send(body[MIB:])
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (200, "close")
            await draining

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
            assert (await answer_head(client))[0] == 200
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
                status, body = await answer_of(client)
                assert status == 200
                sizes.append(body.size)
            assert sizes == [3, len(f"{MIB} {BODY.crc(MIB)}"), 3]
            await deployment.until_idle()

    run(work())


def test_a_long_answer_of_another_status_fails_as_a_short_one_does() -> None:
    async def broken(upload: StreamedRequest) -> None:
        await upload.body()
        await upload.connection.send(
            head("HTTP/1.1 500 X", Content_Length=str(MIB)) + SeededBody(3).prefix(MIB)
        )

    async def work(deployment: Deployment | None = None) -> None:
        async with deployed(broken) as deployment, HttpClient(deployment.port) as client:
            await upload(client, MIB)
            assert (await answer_head(client))[0] == 502
            await deployment.until_idle()
            assert [action for action in deployment.decisions.actions if isinstance(action, Fail)]

    run(work())
