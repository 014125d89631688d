"""While memory is short, new requests wait or are rejected with Retry-After; those that have begun go on."""

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
    response_head,
    response_of,
    run,
    serve_body,
    store_upload,
    upload_head,
)


def use_all_but(memory_budget: MemoryBudget, free_bytes: int) -> int:
    """Book memory until no more than this is free; how much was booked."""
    accounted_bytes = memory_budget.free - free_bytes
    memory_budget.update_usage(0, accounted_bytes)
    return accounted_bytes


def test_without_memory_a_new_request_is_rejected_with_retry_after_and_started_ones_go_on() -> None:
    async def work() -> None:
        bodies = {"room_wait_ms": 300}
        async with deployed(store_upload, limits={"memory_mb": 16}, bodies=bodies) as deployment:
            size = MIB
            uploads = [await HttpClient(deployment.port).__aenter__() for _ in range(4)]
            for client in uploads:
                client.send(upload_head(size) + BODY.prefix(65 * KIB))
            await deployment.until(lambda: len(deployment.server.seen) == 4)
            rest = use_all_but(deployment.memory_budget, 32 * KIB)
            async with HttpClient(deployment.port) as late:
                late.send(upload_head(size) + BODY.prefix(32 * KIB))
                status, headers = await response_head(late)
                assert status == 503
                assert headers["retry-after"]
                assert headers["connection"] == "close"
            for client in uploads:
                client.send(BODY.prefix(size)[65 * KIB :])
                assert (await response_of(client))[0] == 200
                await client.__aexit__()
            deployment.memory_budget.update_usage(rest, 0)
            await deployment.until_idle()
            assert set(deployment.decisions.outcomes) == {Outcome.OK}

    run(work())


def test_an_answer_waits_for_memory_before_it_begins_and_not_after() -> None:
    async def work() -> None:
        async with deployed(serve_body(8 * MIB), limits={"memory_mb": 16}) as deployment:
            # Enough to read a head, and not for what is buffered of a body.
            rest = use_all_but(deployment.memory_budget, 40 * KIB)
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                await deployment.server.arrived.get()
                await asyncio.sleep(0.3)
                assert deployment.flow_statistics.opened == 0
                assert deployment.dispatcher.pending_requests == 1
                deployment.memory_budget.update_usage(rest, 0)
                assert (await response_of(client))[1].complete
            await deployment.until_idle()

    run(work())


def test_an_answer_that_waits_for_our_memory_is_not_counted_against_its_server() -> None:
    async def work() -> None:
        times = {"aim_ms": 1_000, "deadline_ms": 2_000}
        async with deployed(serve_body(8 * MIB), limits={"memory_mb": 16}, times=times) as deployment:
            memory_budget = deployment.memory_budget
            rest = use_all_but(memory_budget, 40 * KIB)
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                status, headers = await response_head(client)
                assert status == 503
                assert headers["retry-after"]
            await deployment.until_idle()
            outcomes = set(deployment.decisions.outcomes)
            assert Outcome.CANCELLED in outcomes
            assert Outcome.TIMEOUT not in outcomes
            memory_budget.update_usage(rest, 0)
            assert memory_budget.used_bytes == 0

    run(work())


def test_a_client_that_leaves_the_queue_for_memory_leaves_nothing_behind() -> None:
    async def work() -> None:
        async with deployed(store_upload, limits={"memory_mb": 16}) as deployment:
            memory_budget = deployment.memory_budget
            rest = use_all_but(memory_budget, 8 * KIB)
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(MIB) + BODY.prefix(2 * KIB))
                await deployment.until(lambda: memory_budget.free == 0)
            await deployment.until(lambda: memory_budget.free > 0)
            memory_budget.update_usage(rest, 0)
            await deployment.until(lambda: memory_budget.used_bytes == 0)
            assert not deployment.server.seen

    run(work())


def test_a_client_that_leaves_its_answer_while_its_next_request_waits_leaves_nothing_behind() -> None:
    """What the answer releases must not be granted to the upload behind it, on the same lost connection."""
    upload_hold = 16 * KIB
    response_begin = BODY.prefix(64 * KIB)  # as much as is buffered before an answer is streamed

    async def serve_begin(upload: StreamedRequest) -> None:
        await upload.connection.send(head("HTTP/1.1 200 OK", Content_Length=str(64 * MIB)) + response_begin)
        await upload.connection.reader.read()  # until the connection ends

    async def work() -> None:
        request = {"hold_bytes": upload_hold}
        async with deployed(serve_begin, request=request, limits={"memory_mb": 16}) as deployment:
            shared = deployment.running.service.shared
            budget = shared.memory_budget
            client = await HttpClient(deployment.port).__aenter__()
            client.send(download_head())
            await response_head(client)
            await client.reader.readexactly(len(response_begin))
            in_response = budget.used_bytes
            assert in_response > upload_hold + 2 * Flow.MIN_CREDIT_BYTES  # what the upload will wait for
            rest = budget.free - 8 * KIB
            budget.update_usage(0, rest)
            client.send(upload_head(MIB) + BODY.prefix(2 * KIB))
            await deployment.running.until(lambda: budget.free == 0)
            client.writer.transport.abort()
            await deployment.running.until(lambda: shared.clients == 0)
            budget.update_usage(rest, 0)
            await deployment.running.until(lambda: budget.used_bytes == 0)

    run(work())


async def end_by_number(upload: StreamedRequest) -> None:
    """Each of four endings in turn: stored, reset, a long answer, and closed."""
    turn = int(upload.target[1:]) % 4
    if turn == 0:
        await store_upload(upload)
    elif turn == 1:
        await upload.body(stop_at=50 * KIB)
        upload.connection.reset()
    elif turn == 2:
        await upload.body()
        await serve_body(MIB)(upload)
    else:
        await upload.body(stop_at=200 * KIB)
        upload.connection.writer.close()


async def upload_by_number(port: int, number: int) -> None:
    """Every fifth client disconnects in mid-upload."""
    async with HttpClient(port) as client:
        client.send(upload_head(512 * KIB, f"/{number}", X_Qos="look" if number % 3 else "draw"))
        client.send(BODY.prefix((512 if number % 5 else 300) * KIB))
        if number % 5:
            await response_of(client)


def test_all_memory_is_released_however_the_bodies_end() -> None:
    async def work() -> None:
        async with deployed(end_by_number, end_by_number) as deployment:
            await asyncio.gather(*(upload_by_number(deployment.port, number) for number in range(60)))
            await deployment.until_idle()
            await deployment.until(lambda: deployment.memory_budget.used_bytes == 0)
            assert len(deployment.records) == 60

    run(work())
