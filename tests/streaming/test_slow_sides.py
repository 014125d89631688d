"""Slow peers are disconnected by the stall time and the minimum rate of their class, and only the slow side
is reported as slow.
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
    read_response,
    read_response_head,
    run,
    send_body,
    send_text_response,
    serve_body,
    store_upload,
    upload_head,
)

# Stall limit of the side under test; the other side has the long limits of the harness. One
# second is longer than a busy machine delays a side.
STALL_MS = 1_000
CLIENT_STALLS: Any = {"request": {"writer_stall_ms": STALL_MS}}
SERVER_STALLS: Any = {"request": {"reader_stall_ms": STALL_MS}}
TRICKLE_LIMITS = {"writer_floor_bytes_per_s": 512, "window_ms": 500}


async def trickle(client: HttpClient) -> None:
    """Send one byte at a time until the balancer closes the connection."""
    while not client.reader.at_eof():
        client.send(b"x")
        await asyncio.sleep(0.02)


async def response_to_trickle(client: HttpClient) -> ResponseHead:
    """Returns the balancer's response while the client sends one byte at a time."""
    trickling = asyncio.create_task(trickle(client))
    try:
        return await read_response_head(client)
    finally:
        trickling.cancel()


def test_client_sending_one_byte_at_a_time_is_rejected_without_a_server_connection() -> None:
    """No server connection is opened until enough of the body is buffered to justify a server's slot."""

    async def scenario() -> None:
        async with (
            deployed(store_upload, request=TRICKLE_LIMITS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB))
            status, headers = await response_to_trickle(client)
            assert (status, headers["connection"]) == (408, "close")
            await deployment.wait_until_idle()
            assert deployment.server.connections == 0
            assert not deployment.decisions.events

    run(scenario())


def test_client_slow_in_mid_body_occupies_a_server_no_longer_than_configured() -> None:
    async def scenario() -> None:
        async with (
            deployed(store_upload, request=TRICKLE_LIMITS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB) + BODY.prefix(100 * KIB))
            assert (await response_to_trickle(client)).status == 408
            await deployment.wait_until_idle()
            await deployment.wait_until_server_idle()
            # The attempt is not counted as a failure of the server.
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [(record.status, record.truncated_by) for record in deployment.records] == [
                (408, "client")
            ]

    run(scenario())


def test_client_stalled_in_mid_upload_gets_408() -> None:
    async def scenario() -> None:
        async with (
            deployed(store_upload, **CLIENT_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(MIB) + BODY.prefix(100 * KIB))
            assert (await read_response_head(client))[0] == 408
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]

    run(scenario())


def test_short_body_has_the_same_progress_limits_as_a_long_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against stricter limits for short bodies: 60 KiB over a slow link rejected, 70 KiB accepted."""
    monkeypatch.setattr(ClientConnection, "FIRST_REQUEST_TIMEOUT_MS", 1_000.0)
    monkeypatch.setattr(ClientConnection, "REQUEST_TIMEOUT_MS", 1_000.0)

    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            for _ in range(2):
                client.send(upload_head(32 * KIB))
                # The body takes longer than the patched limits: eight pieces with pauses of 200 ms.
                await send_body(client, 32 * KIB, max_piece_bytes=4 * KIB, pause_s=0.2)
                assert (await read_response(client))[0] == 200
        async with (
            deployed(store_upload, **CLIENT_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(32 * KIB) + BODY.prefix(KIB))
            assert (await read_response_head(client))[0] == 408

    run(scenario())


def test_server_stalled_in_mid_upload_of_a_fast_client_times_out_without_retry() -> None:
    """Guards against rejecting or retrying a non-idempotent request that the server may have run."""

    async def read_part_and_stall(request: StreamedRequest) -> None:
        await request.body(stop_at=MIB)
        await asyncio.sleep(3600.0)

    async def scenario() -> None:
        async with (
            deployed(read_part_and_stall, read_part_and_stall, **SERVER_STALLS) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(upload_head(64 * MIB))
            sending = asyncio.create_task(send_body(client, 64 * MIB))
            assert (await read_response_head(client))[0] == 502
            sending.cancel()
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.TIMEOUT]
            assert deployment.requests_seen == 1

    run(scenario())


def test_server_stalled_in_mid_response_times_out_and_the_response_is_truncated() -> None:
    async def respond_in_part_and_stall(request: StreamedRequest) -> None:
        await request.connection.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        for piece in BODY.pieces(MIB):
            await request.connection.send(chunked(piece))
        await request.connection.ended()

    async def scenario() -> None:
        async with (
            deployed(respond_in_part_and_stall, response={"writer_stall_ms": STALL_MS}) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            status, body = await read_response(client)
            assert status == 200
            assert not body.complete
            assert body.size == MIB
            await deployment.wait_until_idle()
            assert [(end.outcome, end.final) for end in deployment.decisions.attempt_ends] == [
                (Outcome.TIMEOUT, True)
            ]
            assert [record.truncated_by for record in deployment.records] == ["server"]
            await deployment.wait_until_server_idle()

    run(scenario())


def test_client_that_stops_reading_in_mid_response_is_disconnected() -> None:
    async def scenario() -> None:
        limits = {"reader_stall_ms": STALL_MS}
        async with (
            deployed(serve_body(64 * MIB), response=limits) as deployment,
            HttpClient(deployment.port) as client,
        ):
            client.send(download_head())
            await read_response_head(client)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [record.truncated_by for record in deployment.records] == ["client"]
            await deployment.wait_until_server_idle()
            assert deployment.flow_statistics.peak_bytes <= 192 * KIB

    run(scenario())


# Rate of the slow side, far below the minimum rate of the other side, so that a limit applied to the wrong
# side is detected. The margin is larger than any delay on a busy machine.
SLOW_BYTES_PER_S = MIB
TIGHT_FLOOR_BYTES_PER_S = 10 * MIB
SLOW_PIECE_BYTES = 16 * KIB


async def pause_after_piece(_body: Body) -> None:
    await asyncio.sleep(SLOW_PIECE_BYTES / SLOW_BYTES_PER_S)


async def store_slowly(request: StreamedRequest) -> None:
    body = await request.body(max_read_bytes=SLOW_PIECE_BYTES, pause=pause_after_piece)
    await send_text_response(request, f"{body.size} {body.crc}")


def tight_limits(side: str) -> dict[str, int]:
    """Returns progress limits for `side` that only a fast peer satisfies."""
    return {
        f"{side}_stall_ms": STALL_MS,
        f"{side}_floor_bytes_per_s": TIGHT_FLOOR_BYTES_PER_S,
        "window_ms": STALL_MS,
    }


@pytest.mark.parametrize("slow_side", ["client", "server"])
def test_slow_side_above_its_own_minimum_rate_is_served_to_the_end(slow_side: str) -> None:
    """Guards against applying one side's limits to the other, far slower side, which has its own limits."""
    serve = store_slowly if slow_side == "server" else store_upload
    limits = tight_limits("writer" if slow_side == "server" else "reader")
    pause_s = SLOW_PIECE_BYTES / SLOW_BYTES_PER_S if slow_side == "client" else None

    async def scenario() -> None:
        async with deployed(serve, request=limits) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(2 * MIB))
            await send_body(client, 2 * MIB, max_piece_bytes=SLOW_PIECE_BYTES, pause_s=pause_s)
            assert (await read_response(client)).status == 200
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.OK]

    run(scenario())


def test_client_sending_time_is_not_counted_as_server_latency() -> None:
    """The server latency reported to the balancer runs from the last byte of the request to the response."""

    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(MIB) + BODY.prefix(MIB - 1))
            await deployment.server.arrivals.get()
            await asyncio.sleep(2.0)
            client.send(BODY.prefix(MIB)[-1:])
            assert (await read_response(client))[0] == 200
            await deployment.wait_until_idle()
            assert deployment.decisions.attempt_ends[0].spent_ms < 1_500.0

    run(scenario())


def test_exchange_that_exceeds_its_total_time_is_ended_with_504() -> None:
    async def scenario() -> None:
        times = {"aim_ms": 1_000, "deadline_ms": 1_500}
        async with deployed(store_upload, bodies={"total_ms": 1_500}, times=times) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(64 * MIB) + BODY.prefix(100 * KIB))
                assert (await response_to_trickle(client)).status == 504
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [record.truncated_by for record in deployment.records] == ["time"]

    run(scenario())


def test_timeout_of_a_server_that_never_responds_runs_from_the_last_byte_of_the_upload() -> None:
    async def read_and_never_respond(request: StreamedRequest) -> None:
        await request.body()
        await asyncio.sleep(3600.0)

    async def scenario() -> None:
        async with deployed(read_and_never_respond) as deployment, HttpClient(deployment.port) as client:
            client.send(upload_head(MIB) + BODY.prefix(MIB))
            await deployment.server.arrivals.get()
            # The attempt's timeout is the latency objective of the class and starts with the last byte.
            (exchange,) = deployment.dispatcher._exchanges.values()
            attempt = exchange.attempts[0]
            assert attempt is not None
            await deployment.wait_until(lambda: attempt.timer is not None)
            timer = attempt.timer
            assert timer is not None
            assert timer.due_ms == pytest.approx(attempt.sent_ms + attempt.timeout_ms, abs=50.0)
            attempt.time_out()
            assert (await read_response_head(client))[0] == 502
            await deployment.wait_until_idle()
            assert deployment.decisions.outcomes == [Outcome.TIMEOUT]

    run(scenario())
