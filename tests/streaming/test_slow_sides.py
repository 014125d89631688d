"""Slow peers: each is given up by the time and the rate that its class sets, and only the one at fault counts
as such.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sandhatch.balancing.events import Outcome
from sandhatch.downstream.client_connection import ClientConnection
from testkit.bodies import Body, chunked, head
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest
from tests.streaming.harness import (
    BODY,
    KIB,
    MIB,
    ResponseHead,
    deployed,
    download_head,
    response_head,
    response_of,
    response_text,
    run,
    send_body,
    serve_body,
    store_upload,
    upload_head,
)

# Whoever is not meant is given all the time there is, and on a busy machine none is late by as much as this.
STALL_MS = 1_000
CLIENT_STALLS: Any = {"request": {"writer_stall_ms": STALL_MS}}
SERVER_STALLS: Any = {"request": {"reader_stall_ms": STALL_MS}}
TRICKLE_LIMITS = {"writer_floor_bytes_per_s": 512, "window_ms": 500}


async def trickle(client: HttpClient) -> None:
    """A byte at a time, until the balancer ends it."""
    while not client.reader.at_eof():
        client.send(b"x")
        await asyncio.sleep(0.02)


async def response_to_trickle(client: HttpClient) -> ResponseHead:
    """What the balancer answers to a client that trickles meanwhile."""
    trickling = asyncio.create_task(trickle(client))
    try:
        return await response_head(client)
    finally:
        trickling.cancel()


def test_a_client_trickling_one_byte_at_a_time_never_gets_a_server() -> None:
    """Until enough of the body is buffered to be worth a server's slot, no connection is opened for it."""

    async def work() -> None:
        async with (
            deployed(store_upload, request=TRICKLE_LIMITS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB))
            status, headers = await response_to_trickle(client)
            assert (status, headers["connection"]) == (408, "close")
            await deployment.until_idle()
            assert deployment.server.connections == 0
            assert not deployment.decisions.events

    run(work())


def test_a_client_that_trickles_in_mid_body_occupies_a_server_no_longer_than_configured() -> None:
    async def work() -> None:
        async with (
            deployed(store_upload, request=TRICKLE_LIMITS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB) + BODY.prefix(100 * KIB))
            assert (await response_to_trickle(client)).status == 408
            await deployment.until_idle()
            await deployment.until_server_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]  # not the server's fault
            assert [(record.status, record.truncated_by) for record in deployment.records] == [
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
            assert (await response_head(client))[0] == 408
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]

    run(work())


def test_a_short_body_has_the_progress_limits_of_a_long_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Else 60 KiB over a poor link would be rejected where 70 KiB are accepted."""
    monkeypatch.setattr(ClientConnection, "FIRST_REQUEST_MS", 1_000.0)
    monkeypatch.setattr(ClientConnection, "REQUEST_MS", 1_000.0)

    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):
                client.send(upload_head(32 * KIB))
                await send_body(client, 32 * KIB, most=4 * KIB, pause_s=0.2)  # longer than those limits
                assert (await response_of(client))[0] == 200
        async with (
            deployed(store_upload, **CLIENT_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(32 * KIB) + BODY.prefix(KIB))
            assert (await response_head(client))[0] == 408

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
            sending = asyncio.create_task(send_body(client, 64 * MIB))
            assert (await response_head(client))[0] == 502
            sending.cancel()
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.TIMEOUT]
            assert deployment.requests_seen == 1

    run(work())


def test_a_server_that_stalls_halfway_through_an_answer_with_a_fast_client() -> None:
    async def stalls(upload: StreamedRequest) -> None:
        await upload.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        for piece in BODY.pieces(MIB):
            await upload.connection.send(chunked(piece))
        await upload.connection.ended()

    async def work() -> None:
        async with (
            deployed(stalls, response={"writer_stall_ms": STALL_MS}) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            status, body = await response_of(client)
            assert status == 200
            assert not body.complete
            assert body.size == MIB
            await deployment.until_idle()
            assert [(end.outcome, end.final) for end in deployment.decisions.ends] == [
                (Outcome.TIMEOUT, True)
            ]
            assert [record.truncated_by for record in deployment.records] == ["server"]
            await deployment.until_server_idle()

    run(work())


def test_a_client_that_stops_reading_halfway_with_a_fast_server() -> None:
    async def work() -> None:
        limits = {"reader_stall_ms": STALL_MS}
        async with (
            deployed(serve_body(64 * MIB), response=limits) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            await response_head(client)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [record.truncated_by for record in deployment.records] == ["client"]
            await deployment.until_server_idle()
            assert deployment.flow_statistics.peak_bytes <= 192 * KIB

    run(work())


# Slower than the floor of the other side by far, and neither side can be late by so much on a busy machine.
SLOW_BYTES_PER_S = MIB
TIGHT_FLOOR = 10 * MIB
SLOW_PIECE = 16 * KIB


async def pause_after_piece(_body: Body) -> None:
    await asyncio.sleep(SLOW_PIECE / SLOW_BYTES_PER_S)


async def store_slowly(upload: StreamedRequest) -> None:
    body = await upload.body(max_read_bytes=SLOW_PIECE, pause=pause_after_piece)
    await response_text(upload, f"{body.size} {body.crc}")


def tight_limits(side: str) -> dict[str, int]:
    """Limits for the writer or the reader that only a fast one keeps to."""
    return {f"{side}_stall_ms": STALL_MS, f"{side}_floor_bytes_per_s": TIGHT_FLOOR, "window_ms": STALL_MS}


@pytest.mark.parametrize("slow_side", ["client", "server"])
def test_a_slow_side_above_its_floor_is_served_to_the_end(slow_side: str) -> None:
    """Slower than the other by far, and never counted against it: each side has limits of its own."""
    serve = store_slowly if slow_side == "server" else store_upload
    limits = tight_limits("writer" if slow_side == "server" else "reader")
    pause_s = SLOW_PIECE / SLOW_BYTES_PER_S if slow_side == "client" else None

    async def work() -> None:
        async with deployed(serve, request=limits) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(2 * MIB))
            await send_body(client, 2 * MIB, most=SLOW_PIECE, pause_s=pause_s)
            assert (await response_of(client)).status == 200
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.OK]

    run(work())


def test_the_time_that_a_client_took_to_send_is_not_its_servers() -> None:
    """What the balancer learns as a server's latency runs from the last byte to the answer."""

    async def work() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(MIB) + BODY.prefix(MIB - 1))
            await deployment.server.arrived.get()
            await asyncio.sleep(2.0)
            client.send(BODY.prefix(MIB)[-1:])
            assert (await response_of(client))[0] == 200
            await deployment.until_idle()
            assert deployment.decisions.ends[0].spent_ms < 1_500.0

    run(work())


def test_the_time_of_the_complete_exchange_is_bounded() -> None:
    async def work() -> None:
        times = {"aim_ms": 1_000, "deadline_ms": 1_500}
        async with deployed(store_upload, bodies={"total_ms": 1_500}, times=times) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(64 * MIB) + BODY.prefix(100 * KIB))
                assert (await response_to_trickle(client)).status == 504
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [record.truncated_by for record in deployment.records] == ["time"]

    run(work())


def test_a_server_that_never_answers_a_long_upload_is_timed_from_its_last_byte() -> None:
    async def silent(upload: StreamedRequest) -> None:
        await upload.body()
        await asyncio.sleep(3600.0)

    async def work() -> None:
        async with deployed(silent) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(MIB) + BODY.prefix(MIB))
            await deployment.server.arrived.get()
            # The attempt's timeout is the class's latency objective, which has not begun to run before.
            (exchange,) = deployment.dispatcher._exchanges.values()
            attempt = exchange.attempts[0]
            assert attempt is not None
            await deployment.until(lambda: attempt.timer is not None)
            timer = attempt.timer
            assert timer is not None
            assert timer.due_ms == pytest.approx(attempt.sent_ms + attempt.timeout_ms, abs=50.0)
            attempt.time_out()
            assert (await response_head(client))[0] == 502
            await deployment.until_idle()
            assert deployment.decisions.outcomes == [Outcome.TIMEOUT]

    run(work())
