"""While memory is short, new requests wait or are rejected with Retry-After; started requests continue."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.events import Outcome
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.streaming.flow import Flow
from testkit.bodies import head
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest
from tests.streaming.harness import (
    BODY,
    KIB,
    MIB,
    deployed,
    download_head,
    read_response,
    read_response_head,
    run,
    serve_body,
    store_upload,
    upload_head,
)


def reserve_all_but(memory_budget: MemoryBudget, free_bytes: int) -> int:
    """Reserve all memory except `free_bytes`; returns the number of reserved bytes."""
    reserved_bytes = memory_budget.free_bytes - free_bytes
    memory_budget.update_usage(0, reserved_bytes)
    return reserved_bytes


def test_without_memory_a_new_request_gets_503_with_retry_after_and_started_ones_continue() -> None:
    async def scenario() -> None:
        bodies = {"room_wait_ms": 300}
        async with deployed(store_upload, limits={"memory_mb": 16}, bodies=bodies) as deployment:
            size = MIB
            uploads = [await HttpClient(deployment.port).__aenter__() for _ in range(4)]
            for client in uploads:
                client.send(upload_head(size) + BODY.prefix(65 * KIB))
            await deployment.wait_until(lambda: len(deployment.server.received_requests) == 4)
            reserved_bytes = reserve_all_but(deployment.memory_budget, 32 * KIB)
            async with HttpClient(deployment.port) as late_client:
                late_client.send(upload_head(size) + BODY.prefix(32 * KIB))
                status, headers = await read_response_head(late_client)
                assert status == 503
                assert headers["retry-after"]
                assert headers["connection"] == "close"
            for client in uploads:
                client.send(BODY.prefix(size)[65 * KIB :])
                assert (await read_response(client))[0] == 200
                await client.__aexit__()
            deployment.memory_budget.update_usage(reserved_bytes, 0)
            await deployment.wait_until_idle()
            assert set(deployment.decisions.outcomes) == {Outcome.OK}

    run(scenario())


def test_response_waits_for_memory_before_it_begins_but_not_afterwards() -> None:
    async def scenario() -> None:
        async with deployed(serve_body(8 * MIB), limits={"memory_mb": 16}) as deployment:
            # The free memory suffices for reading a message's head, but not for the buffered part of a body.
            reserved_bytes = reserve_all_but(deployment.memory_budget, 40 * KIB)
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                await deployment.server.arrivals.get()
                await asyncio.sleep(0.3)
                assert deployment.flow_statistics.opened == 0
                assert deployment.dispatcher.pending_requests == 1
                deployment.memory_budget.update_usage(reserved_bytes, 0)
                assert (await read_response(client))[1].complete
            await deployment.wait_until_idle()

    run(scenario())


def test_response_waiting_for_balancer_memory_is_not_counted_against_the_server() -> None:
    async def scenario() -> None:
        times = {"aim_ms": 1_000, "deadline_ms": 2_000}
        async with deployed(serve_body(8 * MIB), limits={"memory_mb": 16}, times=times) as deployment:
            memory_budget = deployment.memory_budget
            reserved_bytes = reserve_all_but(memory_budget, 40 * KIB)
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                status, headers = await read_response_head(client)
                assert status == 503
                assert headers["retry-after"]
            await deployment.wait_until_idle()
            outcomes = set(deployment.decisions.outcomes)
            assert Outcome.CANCELLED in outcomes
            assert Outcome.TIMEOUT not in outcomes
            memory_budget.update_usage(reserved_bytes, 0)
            assert memory_budget.used_bytes == 0

    run(scenario())


def test_disconnect_of_a_client_queued_for_memory_releases_its_memory() -> None:
    async def scenario() -> None:
        async with deployed(store_upload, limits={"memory_mb": 16}) as deployment:
            memory_budget = deployment.memory_budget
            reserved_bytes = reserve_all_but(memory_budget, 8 * KIB)
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(MIB) + BODY.prefix(2 * KIB))
                await deployment.wait_until(lambda: memory_budget.free_bytes == 0)
            await deployment.wait_until(lambda: memory_budget.free_bytes > 0)
            memory_budget.update_usage(reserved_bytes, 0)
            await deployment.wait_until(lambda: memory_budget.used_bytes == 0)
            assert not deployment.server.received_requests

    run(scenario())


def test_disconnect_in_mid_response_with_a_queued_upload_releases_all_memory() -> None:
    """Guards against granting the ended response's memory to the next upload on the lost connection."""
    upload_hold_bytes = 16 * KIB
    first_part = BODY.prefix(64 * KIB)  # part buffered before the response is streamed

    async def serve_first_part(request: StreamedRequest) -> None:
        await request.connection.send(head("HTTP/1.1 200 OK", Content_Length=str(64 * MIB)) + first_part)
        await request.connection.reader.read()  # returns once the balancer disconnects

    async def scenario() -> None:
        request = {"hold_bytes": upload_hold_bytes}
        async with deployed(serve_first_part, request=request, limits={"memory_mb": 16}) as deployment:
            shared = deployment.running.service.shared
            budget = shared.memory_budget
            client = await HttpClient(deployment.port).__aenter__()
            client.send(download_head())
            await read_response_head(client)
            await client.reader.readexactly(len(first_part))
            response_memory_bytes = budget.used_bytes
            # The upload will wait for the memory on the right-hand side of this comparison.
            assert response_memory_bytes > upload_hold_bytes + 2 * Flow.MIN_CREDIT_BYTES
            reserved_bytes = budget.free_bytes - 8 * KIB
            budget.update_usage(0, reserved_bytes)
            client.send(upload_head(MIB) + BODY.prefix(2 * KIB))
            await deployment.running.wait_until(lambda: budget.free_bytes == 0)
            client.writer.transport.abort()
            await deployment.running.wait_until(lambda: shared.client_count == 0)
            budget.update_usage(reserved_bytes, 0)
            await deployment.running.wait_until(lambda: budget.used_bytes == 0)

    run(scenario())


async def respond_by_number(request: StreamedRequest) -> None:
    """End the request in one of four ways, chosen by the number in its path: the complete body is stored, the
    connection is reset, a long response is sent, or the connection is closed.
    """
    ending = int(request.target[1:]) % 4
    if ending == 0:
        await store_upload(request)
    elif ending == 1:
        await request.body(stop_at=50 * KIB)
        request.connection.reset()
    elif ending == 2:
        await request.body()
        await serve_body(MIB)(request)
    else:
        await request.body(stop_at=200 * KIB)
        request.connection.writer.close()


async def upload_by_number(port: int, number: int) -> None:
    """Upload a body; every fifth client disconnects in mid-upload."""
    async with HttpClient(port) as client:
        client.send(upload_head(512 * KIB, f"/{number}", X_Qos="look" if number % 3 else "draw"))
        client.send(BODY.prefix((512 if number % 5 else 300) * KIB))
        if number % 5:
            await read_response(client)


def test_all_memory_is_released_regardless_of_how_bodies_end() -> None:
    async def scenario() -> None:
        async with deployed(respond_by_number, respond_by_number) as deployment:
            await asyncio.gather(*(upload_by_number(deployment.port, number) for number in range(60)))
            await deployment.wait_until_idle()
            await deployment.wait_until(lambda: deployment.memory_budget.used_bytes == 0)
            assert len(deployment.records) == 60

    run(scenario())
