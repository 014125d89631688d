"""While memory is short, new requests wait or are rejected with Retry-After; those that have begun go on."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.events import Outcome
from testkit.bodies import SeededBody
from testkit.clients import HttpClient
from testkit.streaming_server import StreamedRequest
from tests.streaming.harness import (
    KIB,
    MIB,
    Deployment,
    answer_head,
    answer_of,
    deployed,
    download_head,
    run,
    serve_body,
    store_upload,
    upload_head,
)

BODY = SeededBody(1)


def test_a_thousand_uploads_begin_at_once_under_a_64_mb_limit() -> None:
    """Each of 96 KiB, so 1000 do not fit in what bodies may hold of 64 MB. Each is answered once; those that
    do not fit even so are rejected with Retry-After.
    """
    count, size = 1000, 96 * KIB
    body = BODY.prefix(size)
    results: dict[int, int] = {}

    async def one(deployment: Deployment, n: int) -> None:
        async with HttpClient(deployment.port) as client:
            client.send(upload_head(size, Expect="100-continue") + body)
            status, headers = await answer_head(client)
            if status == 100:
                status, headers = await answer_head(client)
            if status == 503:
                assert float(headers["retry-after"]) > 0
            results[n] = status

    async def work() -> None:
        limits = {"memory_mb": 64, "sockets": 8192}
        bodies = {"room_wait_ms": 60_000}
        # A busy machine may take long to open a thousand connections, which is not what this test is about.
        pool = {"tier": 1, "max_connections": 2_000, "connect_timeout_ms": 10_000}
        async with deployed(store_upload, limits=limits, bodies=bodies, pool=pool) as deployment:
            memory_budget = deployment.kept.service.shared.memory_budget
            most = 0
            watch = memory_budget.book

            def booked(before: int, now: int) -> bool:
                nonlocal most
                fits = watch(before, now)
                most = max(most, memory_budget.used_bytes)
                return fits

            memory_budget.book = booked  # type: ignore[method-assign]
            await asyncio.gather(*(one(deployment, n) for n in range(count)))
            assert set(results.values()) <= {200, 503}
            assert len(results) == count
            served = sum(status == 200 for status in results.values())
            assert served > 500
            # A read that does not fit is booked, and released at once.
            assert most <= memory_budget.limit_bytes + 64 * KIB
            assert deployment.flow_statistics.most_open < count  # so some did wait
            await deployment.until_idle()
            assert len(deployment.servers[0].seen) == served  # whoever has begun goes on to its end
            assert {end.outcome for end in deployment.decisions.ends} == {Outcome.OK}

    run(work())


def test_without_memory_a_new_request_is_rejected_with_retry_after_and_begun_ones_go_on() -> None:
    async def work() -> None:
        bodies = {"room_wait_ms": 300}
        async with deployed(store_upload, limits={"memory_mb": 16}, bodies=bodies) as deployment:
            size = MIB
            begun = [await HttpClient(deployment.port).__aenter__() for _ in range(4)]
            for client in begun:
                client.send(upload_head(size) + BODY.prefix(65 * KIB))
            await deployment.kept.until(lambda: len(deployment.servers[0].seen) == 4)
            memory_budget = deployment.kept.service.shared.memory_budget
            rest = memory_budget.free - 32 * KIB
            memory_budget.book(0, rest)
            async with HttpClient(deployment.port) as late:
                late.send(upload_head(size) + BODY.prefix(32 * KIB))
                status, headers = await answer_head(late)
                assert status == 503
                assert headers["retry-after"]
                assert headers["connection"] == "close"
            for client in begun:
                client.send(BODY.prefix(size)[65 * KIB :])
                assert (await answer_of(client))[0] == 200
                await client.__aexit__()
            memory_budget.book(rest, 0)
            await deployment.until_idle()
            assert {end.outcome for end in deployment.decisions.ends} == {Outcome.OK}

    run(work())


def test_an_answer_waits_for_memory_before_it_begins_and_not_after() -> None:
    async def work() -> None:
        async with deployed(serve_body(8 * MIB), limits={"memory_mb": 16}) as deployment:
            memory_budget = deployment.kept.service.shared.memory_budget
            rest = memory_budget.free
            memory_budget.book(
                0, rest - 40 * KIB
            )  # enough to read a head, and not for what is held of a body
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                await deployment.servers[0].arrived.get()
                dispatcher = next(iter(deployment.kept.service.pools.alive.values())).dispatcher
                await asyncio.sleep(0.3)
                assert deployment.flow_statistics.opened == 0
                assert dispatcher.unanswered == 1
                memory_budget.book(rest - 40 * KIB, 0)
                assert (await answer_of(client))[1].complete
            await deployment.until_idle()

    run(work())


def test_an_answer_that_waits_for_our_memory_is_not_held_against_its_server() -> None:
    async def work() -> None:
        times = {"aim_ms": 300, "deadline_ms": 1_000}
        async with deployed(serve_body(8 * MIB), limits={"memory_mb": 16}, times=times) as deployment:
            memory_budget = deployment.kept.service.shared.memory_budget
            rest = memory_budget.free - 40 * KIB
            memory_budget.book(0, rest)
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                status, headers = await answer_head(client)
                assert status == 503
                assert headers["retry-after"]
            await deployment.until_idle()
            outcomes = {end.outcome for end in deployment.decisions.ends}
            assert Outcome.CANCELLED in outcomes
            assert Outcome.TIMEOUT not in outcomes
            memory_budget.book(rest, 0)
            assert memory_budget.used_bytes == 0

    run(work())


def test_a_client_that_leaves_the_queue_for_memory_leaves_nothing_behind() -> None:
    async def work() -> None:
        async with deployed(store_upload, limits={"memory_mb": 16}) as deployment:
            memory_budget = deployment.kept.service.shared.memory_budget
            rest = memory_budget.free - 8 * KIB
            memory_budget.book(0, rest)
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(MIB) + BODY.prefix(2 * KIB))
                await deployment.kept.until(lambda: memory_budget.free == 0)
            await deployment.kept.until(lambda: memory_budget.free > 0)
            memory_budget.book(rest, 0)
            await deployment.kept.until(lambda: memory_budget.used_bytes == 0)
            assert not deployment.servers[0].seen

    run(work())


def test_a_client_that_leaves_its_answer_while_its_next_request_waits_leaves_nothing_behind() -> None:
    """What the answer releases must not be granted to the upload behind it, on the same lost connection."""

    async def work() -> None:
        async with deployed(serve_body(64 * MIB), limits={"memory_mb": 16}) as deployment:
            shared = deployment.kept.service.shared
            budget = shared.memory_budget
            before = budget.used_bytes
            client = await HttpClient(deployment.port).__aenter__()
            client.send(download_head())
            await answer_head(client)
            client.writer.transport.pause_reading()
            await deployment.kept.until(lambda: budget.used_bytes >= before + 96 * KIB)  # the answer's flow
            rest = budget.free - 8 * KIB
            budget.book(0, rest)
            client.send(upload_head(MIB) + BODY.prefix(2 * KIB))
            await deployment.kept.until(lambda: budget.free == 0)
            client.writer.transport.abort()
            await deployment.kept.until(lambda: shared.clients == 0)
            budget.book(rest, 0)
            await deployment.kept.until(lambda: budget.used_bytes == before)

    run(work())


def test_all_memory_is_released_however_the_bodies_end() -> None:
    async def fickle(upload: StreamedRequest) -> None:
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

    async def one(deployment: Deployment, n: int) -> None:
        async with HttpClient(deployment.port) as client:
            client.send(upload_head(512 * KIB, f"/{n}", X_Qos="look" if n % 3 else "draw"))
            client.send(BODY.prefix((512 if n % 5 else 300) * KIB))
            if n % 5:
                await answer_of(client)

    async def work() -> None:
        async with deployed(fickle, fickle) as deployment:
            await asyncio.gather(*(one(deployment, n) for n in range(60)))
            await deployment.until_idle()
            await deployment.kept.until(lambda: deployment.kept.service.shared.memory_budget.used_bytes == 0)
            assert len(deployment.kept.records) == 60

    run(work())
