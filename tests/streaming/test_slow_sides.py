"""Slow peers: each is given up by the time and the rate that its class sets, and only the one at fault is
held to flow_statistics.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sandhatch.balancing.events import Outcome
from sandhatch.downstream.client_connection import ClientConnection
from testkit.bodies import SeededBody, chunked, head
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest
from tests.streaming.harness import (
    KIB,
    MIB,
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
# Whoever is not meant is given all the time there is.
CLIENT_STALLS: Any = {"request": {"writer_stall_ms": 400}}
SERVER_STALLS: Any = {"request": {"reader_stall_ms": 400}}


async def trickle(client: HttpClient) -> None:
    """A byte at a time, until the balancer ends it."""
    while not client.reader.at_eof():
        client.send(b"x")
        await asyncio.sleep(0.02)


def test_a_client_trickling_one_byte_at_a_time_never_gets_a_server() -> None:
    """Until enough of the body is buffered to be worth a server's slot, no connection is opened for it."""

    async def work() -> None:
        limits = {"writer_floor_bytes_per_s": 512, "window_ms": 500}
        async with (
            deployed(store_upload, request=limits) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB))
            trickling = asyncio.create_task(trickle(client))
            status, headers = await answer_head(client)
            trickling.cancel()
            assert (status, headers["connection"]) == (408, "close")
            await deployment.until_idle()
            assert deployment.servers[0].connections == 0
            assert not deployment.decisions.events

    run(work())


def test_a_client_that_trickles_after_its_body_has_begun_holds_a_server_no_longer_than_configured() -> None:
    async def work() -> None:
        limits = {"writer_floor_bytes_per_s": 512, "window_ms": 500}
        async with (
            deployed(store_upload, request=limits) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB) + BODY.prefix(100 * KIB))
            trickling = asyncio.create_task(trickle(client))
            status, _ = await answer_head(client)
            trickling.cancel()
            assert status == 408
            await deployment.until_idle()
            await deployment.kept.until(lambda: deployment.servers[0].open == 0)
            assert [end.outcome for end in deployment.decisions.ends] == [
                Outcome.CANCELLED
            ]  # not the server's fault
            assert [(record.status, record.truncated_by) for record in deployment.kept.records] == [
                (408, "client")
            ]

    run(work())


def test_a_client_that_stalls_in_mid_upload_gets_408() -> None:
    async def work() -> None:
        async with (
            deployed(store_upload, **CLIENT_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB) + BODY.prefix(100 * KIB))
            assert (await answer_head(client))[0] == 408
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.CANCELLED]

    run(work())


def test_a_short_body_has_the_progress_limits_of_a_long_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Else 60 KiB over a poor link would be rejected where 70 KiB are accepted."""
    monkeypatch.setattr(ClientConnection, "FIRST_MS", 300.0)
    monkeypatch.setattr(ClientConnection, "PART_MS", 300.0)

    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):
                client.send(upload_head(32 * KIB))
                for piece in BODY.pieces(32 * KIB, 8 * KIB):
                    await asyncio.sleep(0.3)
                    client.send(bytes(piece))
                assert (await answer_of(client))[0] == 200
        async with (
            deployed(store_upload, **CLIENT_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(32 * KIB) + BODY.prefix(KIB))
            assert (await answer_head(client))[0] == 408

    run(work())


def test_a_server_that_stalls_in_mid_upload_times_out_although_its_client_is_fast() -> None:
    """A non-idempotent request may have run: it fails, and is neither rejected nor retried."""

    async def stalls(upload: StreamedRequest) -> None:
        await upload.body(stop_at=MIB)
        await asyncio.sleep(3600.0)

    async def work() -> None:
        async with (
            deployed(stalls, stalls, **SERVER_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(64 * MIB))
            sending = asyncio.create_task(send_all_drained(client, 64 * MIB))
            assert (await answer_head(client))[0] == 502
            sending.cancel()
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.TIMEOUT]
            assert sum(len(server.seen) for server in deployment.servers) == 1

    run(work())


async def send_all_drained(client: HttpClient, size: int) -> None:
    for piece in BODY.pieces(size):
        client.send(bytes(piece))
        await client.writer.drain()


def test_a_server_that_stalls_halfway_through_an_answer_with_a_fast_client() -> None:
    async def stalls(upload: StreamedRequest) -> None:
        await upload.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        for piece in BODY.pieces(MIB):
            await upload.connection.send(chunked(piece))
        await upload.connection.ended()

    async def work() -> None:
        async with (
            deployed(stalls, answer={"writer_stall_ms": 400}) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            status, body = await answer_of(client)
            assert status == 200
            assert not body.complete
            assert body.size == MIB
            await deployment.until_idle()
            assert [(end.outcome, end.final) for end in deployment.decisions.ends] == [
                (Outcome.TIMEOUT, True)
            ]
            assert [record.truncated_by for record in deployment.kept.records] == ["server"]
            await deployment.kept.until(lambda: deployment.servers[0].open == 0)

    run(work())


def test_a_client_that_stops_reading_halfway_with_a_fast_server() -> None:
    async def work() -> None:
        limits = {"reader_stall_ms": 400}
        async with (
            deployed(serve_body(64 * MIB), answer=limits) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            await answer_head(client)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.CANCELLED]
            assert [record.truncated_by for record in deployment.kept.records] == ["client"]
            await deployment.kept.until(lambda: deployment.servers[0].open == 0)
            assert deployment.flow_statistics.peak_bytes <= 192 * KIB

    run(work())


@pytest.mark.parametrize("who", ["client", "server"])
def test_a_slow_side_above_its_floor_is_served_to_the_end(who: str) -> None:
    """Slower than the other by far, and never held against it: each side has limits of its own."""

    async def slow(upload: StreamedRequest) -> None:
        async def pause(body: object) -> None:
            await asyncio.sleep(0.008)

        body = await upload.body(max_read_bytes=16 * KIB, pause=pause if who == "server" else None)
        await answer_text(upload, f"{body.size} {body.crc}")

    async def work() -> None:
        other = "writer" if who == "server" else "reader"
        tight = {f"{other}_stall_ms": 300, f"{other}_floor_bytes_per_s": 10 * MIB, "window_ms": 300}
        async with deployed(slow, request=tight) as deployment, HttpClient(deployment.port) as client:
            size = 2 * MIB  # at some 2 MiB a second
            client.send(upload_head(size))
            for piece in BODY.pieces(size, 64 * KIB):
                client.send(bytes(piece))
                await client.writer.drain()
                if who == "client":
                    await asyncio.sleep(0.03)
            assert (await answer_of(client))[0] == 200
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.OK]

    run(work())


def test_the_time_that_a_client_took_to_send_is_not_its_servers() -> None:
    """What the module learns as a server's latency runs from the last byte to the answer."""

    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(MIB) + BODY.prefix(MIB - 1))
            await deployment.servers[0].arrived.get()
            await asyncio.sleep(2.0)
            client.send(BODY.prefix(MIB)[-1:])
            assert (await answer_of(client))[0] == 200
            await deployment.until_idle()
            assert deployment.decisions.ends[0].spent_ms < 1_500.0

    run(work())


def test_the_time_of_the_complete_exchange_is_bounded() -> None:
    async def work() -> None:
        times = {"aim_ms": 500, "deadline_ms": 600}
        async with deployed(store_upload, bodies={"total_ms": 600}, times=times) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(64 * MIB) + BODY.prefix(100 * KIB))
                trickling = asyncio.create_task(trickle(client))
                assert (await answer_head(client))[0] == 504
                trickling.cancel()
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.CANCELLED]
            assert [record.truncated_by for record in deployment.kept.records] == ["time"]

    run(work())


def test_a_server_that_never_answers_a_long_upload_is_timed_from_its_last_byte() -> None:
    async def silent(upload: StreamedRequest) -> None:
        await upload.body()
        await asyncio.sleep(3600.0)

    async def work() -> None:
        async with deployed(silent) as deployment, HttpClient(deployment.port) as client:
            dispatcher = next(iter(deployment.kept.service.pools.alive.values())).dispatcher
            client.send(upload_head(MIB) + BODY.prefix(MIB))
            await deployment.servers[0].arrived.get()
            # The module's time-out for the attempt is the class's aim, which has not begun to run before.
            exchange = next(iter(dispatcher._exchanges.values()))
            call = exchange.attempts[0]
            assert call is not None
            await deployment.kept.until(lambda: call.timer is not None)
            timer = call.timer
            assert timer is not None
            assert timer.due_ms == pytest.approx(call.sent_ms + call.timeout_ms, abs=50.0)
            call.time_out()
            assert (await answer_head(client))[0] == 502
            await deployment.until_idle()
            assert [end.outcome for end in deployment.decisions.ends] == [Outcome.TIMEOUT]

    run(work())
