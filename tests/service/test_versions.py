"""Versions while they run: no request under a mixture of two, and no change applied in part."""

from __future__ import annotations

import asyncio
import json
from copy import deepcopy

import pytest

from sandhatch.config.errors import CheckError, RejectedError, RejectionReason
from sandhatch.config.version import State
from testkit.clients import HttpClient
from testkit.load_generator import LoadGenerator
from testkit.servers import FakeConnection
from testkit.wire import ReceivedRequest, ok
from tests.service.harness import FakeServers, run, serving
from tests.service.version_churn import NON_IDEMPOTENT, check_no_mixture, choose, churn, variants


def test_no_request_is_handled_under_a_mixture_of_two_versions() -> None:
    """Under constant load, each request's route, pool and servers are those of the version it arrived under.

    Each gets one answer; no non-idempotent request runs twice; every version is freed in the end.
    """

    async def work() -> None:
        farm = await FakeServers().start("a1", "a2", "b1", "b2", "o1", "o2", "o3")
        choices = variants(farm)
        async with serving(choices[0]) as running:
            load = LoadGenerator(running.port, farm.books, choose, clients=12)
            data_of = await churn(running, farm, choices, 120, seed=11)
            await load.stop()
            service = running.service
            await running.until(lambda: len(running.records) == len(farm.books.entries))
            check_no_mixture(running, farm, data_of)
            assert farm.books.faults(NON_IDEMPOTENT) == []
            assert set(farm.books.statuses()) == {200}, farm.books.statuses()
            assert len({record.version for record in running.records}) > 30
            await running.until(lambda: list(service.running) == [service.transactions.active.number])
            assert len(service.pools.alive) == 2
        farm.close()

    run(work())


def test_a_rollback_while_requests_run_on_the_new_version() -> None:
    """A non-idempotent request is between two attempts when its version is rolled back.

    Its first attempt never ran; its retry goes to the same version's servers and not to the active ones.
    """

    async def work() -> None:
        farm = await FakeServers().start("a1", "b1", "b2", "o1")
        released = asyncio.Event()
        rejected_first = asyncio.Event()
        attempts: list[str] = []

        async def reject_first_attempt(request: ReceivedRequest, talk: FakeConnection) -> None:
            attempts.append(request.headers["x-trace-id"])
            if len(attempts) == 1:
                rejected_first.set()
                await released.wait()
                entry = farm.books.entries.get(attempts[0])
                if entry is not None:
                    entry.ran.clear()  # rejected before it ran
                await talk.send(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            else:
                await talk.send(ok(b"second"))

        farm.behave["b1"] = farm.behave["b2"] = reject_first_attempt
        first = farm.config(farm.pool("a1"), farm.pool("o1"))
        async with (
            serving(first) as running,
            HttpClient(running.port) as client,
            HttpClient(running.port) as other,
        ):
            second = farm.config(farm.pool("b1", "b2", max_attempts=4), farm.pool("o1"))
            version = await running.commit(second, over=False, confirm_within_ms=60_000.0)
            assert version.state is State.ACTIVE
            client.send_request("order", target="/cart", X_Trace_Id="between")
            await rejected_first.wait()
            late = running.propose(
                farm.config(farm.pool("b1", "b2", max_attempts=5), farm.pool("o1")), version.number
            )
            running.service.rollback("test")
            with pytest.raises(RejectedError) as rejected:  # a second change proposed during the rollback
                running.service.commit(late)
            assert rejected.value.reason is RejectionReason.CONFLICT
            assert "pools.web.max_attempts" in rejected.value.keys
            other.send_request()
            assert (await other.read_response()).body == b"a1"
            assert version.number in running.service.running
            released.set()
            assert (await client.read_response()).body == b"second"
            await running.until(lambda: version.number not in running.service.running)
            record = next(record for record in running.records if record.trace_id == b"between")
            assert record.version == version.number
            assert len(record.servers) == 2
            assert attempts == ["between", "between"]
        farm.close()

    run(work())


def test_a_configuration_with_errors_changes_nothing_and_every_error_is_reported() -> None:
    async def work() -> None:
        farm = await FakeServers().start("a1", "o1")
        async with serving(farm.config(farm.pool("a1"), farm.pool("o1"))) as running:
            with pytest.raises(RejectedError) as rejected:
                running.service.propose(json.dumps({"format": 1}).encode(), None)
            assert rejected.value.reason is RejectionReason.INVALID
            assert len(rejected.value.problems) == 3
            assert not running.service.transactions.proposals
        farm.close()

    run(work())


def test_a_service_is_not_built_from_an_invalid_configuration() -> None:
    async def work() -> None:
        with pytest.raises(CheckError):
            async with serving({"format": 1}):
                pass

    run(work())


def test_a_change_that_lowers_goodput_is_rolled_back_with_the_reason() -> None:
    """The new pool's server answers 500; the watch sees goodput fall, and the old pool serves again."""

    async def work() -> None:
        farm = await FakeServers().start("a1", "a2", "b1", "o1")

        async def reject(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")

        farm.behave["b1"] = reject
        watch = {"window_ms": 20_000, "before_ms": 2_000, "block_ms": 50, "significance": 0.01}
        first = farm.config(farm.pool("a1", "a2"), farm.pool("o1"), watch=watch)
        async with serving(first) as running:
            load = LoadGenerator(
                running.port, farm.books, lambda rng: ("order", "/cart"), clients=4, pause_s=0.004
            )
            await running.until(lambda: len(running.service.goodput.watch._before) >= 30)
            bad = deepcopy(first)
            bad["pools"]["web"] = farm.pool("b1")
            version = await running.commit(bad)
            assert version.state is State.ROLLED_BACK
            assert "fell from" in version.why
            assert running.service.transactions.active.number == 1
            record_count = len(running.records)
            await running.until(lambda: len(running.records) > record_count + 50)
            await load.stop()
            assert {record.status for record in running.records if record.version == 1} == {200}
        farm.close()

    run(work())
