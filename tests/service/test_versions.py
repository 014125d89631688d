"""Versions while they run: no request under a mixture of two, and no change applied in part."""

from __future__ import annotations

import asyncio
import json
from copy import deepcopy

import pytest

from sandhatch.config.errors import CheckError, RejectedError, RejectionReason
from sandhatch.config.version import State
from testkit.behaviours import fails_with
from testkit.clients import HttpClient
from testkit.load_generator import LoadGenerator
from testkit.request_log import RequestLog
from testkit.servers import FakeConnection
from testkit.wire import ReceivedRequest, ok, status
from tests.service.harness import FakeServers, run, serving
from tests.service.version_churn import NON_IDEMPOTENT, check_no_mixture, choose, churn, variants


@pytest.mark.usefixtures("no_slow_attempts")
def test_no_request_is_handled_under_a_mixture_of_two_versions() -> None:
    """Under constant load, each request's route, pool and servers are those of the version it arrived under.

    Each gets one answer; no non-idempotent request runs twice; every version is freed in the end.
    """

    async def work() -> None:
        farm = await FakeServers().start("a1", "a2", "b1", "b2", "o1", "o2", "o3")
        choices = variants(farm)
        async with serving(choices[0]) as running:
            load = LoadGenerator(running.port, farm.books, choose, clients=12)
            data_of = await churn(running, choices, 120, seed=11)
            await load.stop()
            service = running.service
            await running.until(lambda: len(running.records) == len(farm.books.entries))
            check_no_mixture(running, data_of)
            assert farm.books.faults(NON_IDEMPOTENT) == []
            assert set(farm.books.statuses()) == {200}, farm.books.statuses()
            assert len({record.version for record in running.records}) > 30
            await running.until(lambda: list(service.running) == [service.transactions.active.number])
            assert len(service.pools.alive) == 2
        farm.close()

    run(work())


class RejectsFirstAttempt:
    """A server's behaviour: the first attempt waits until it is released, and is rejected before it runs.

    Later attempts are answered.
    """

    def __init__(self, books: RequestLog) -> None:
        self._books = books
        self.released = asyncio.Event()
        self.first_arrived = asyncio.Event()
        self.trace_ids: list[str] = []

    async def __call__(self, request: ReceivedRequest, talk: FakeConnection) -> None:
        self.trace_ids.append(request.headers["x-trace-id"])
        if len(self.trace_ids) > 1:
            await talk.send(ok(b"second"))
            return
        self.first_arrived.set()
        await self.released.wait()
        entry = self._books.entries.get(self.trace_ids[0])
        if entry is not None:
            entry.ran.clear()  # rejected before it ran
        await talk.send(status(503, "X-Never-Ran: 1\r\n"))


def test_a_request_between_two_attempts_stays_with_its_version_when_that_is_rolled_back() -> None:
    """A non-idempotent request is between two attempts when its version is rolled back.

    Its first attempt never ran; its retry goes to the same version's servers and not to the active ones.
    """

    async def work() -> None:
        farm = await FakeServers().start("a1", "b1", "b2", "o1")
        behaviour = RejectsFirstAttempt(farm.books)
        farm.behave["b1"] = farm.behave["b2"] = behaviour
        async with (
            serving(farm.config(farm.pool("a1"), farm.pool("o1"))) as running,
            HttpClient(running.port) as client,
            HttpClient(running.port) as other,
        ):
            second = farm.config(farm.pool("b1", "b2", max_attempts=4), farm.pool("o1"))
            version = await running.commit(second, over=False, confirm_within_ms=60_000.0)
            assert version.state is State.ACTIVE
            client.send_request("order", target="/cart", X_Trace_Id="between")
            await behaviour.first_arrived.wait()
            running.service.rollback("test")
            other.send_request()
            assert (await other.read_response()).body == b"a1"
            assert version.number in running.service.running
            behaviour.released.set()
            assert (await client.read_response()).body == b"second"
            await running.until(lambda: version.number not in running.service.running)
            record = next(record for record in running.records if record.trace_id == b"between")
            assert record.version == version.number
            assert len(record.servers) == 2
            assert behaviour.trace_ids == ["between", "between"]
        farm.close()

    run(work())


def test_a_change_of_a_version_that_was_rolled_back_under_a_request_is_a_conflict() -> None:
    async def work() -> None:
        farm = await FakeServers().start("a1", "b1", "b2", "o1")
        behaviour = RejectsFirstAttempt(farm.books)
        farm.behave["b1"] = farm.behave["b2"] = behaviour
        async with (
            serving(farm.config(farm.pool("a1"), farm.pool("o1"))) as running,
            HttpClient(running.port) as client,
        ):
            second = farm.config(farm.pool("b1", "b2", max_attempts=4), farm.pool("o1"))
            version = await running.commit(second, over=False, confirm_within_ms=60_000.0)
            client.send_request("order", target="/cart")
            await behaviour.first_arrived.wait()
            third = farm.config(farm.pool("b1", "b2", max_attempts=5), farm.pool("o1"))
            late = running.propose(third, version.number)
            running.service.rollback("test")
            with pytest.raises(RejectedError) as rejected:
                running.service.commit(late)
            assert rejected.value.reason is RejectionReason.CONFLICT
            assert "pools.web.max_attempts" in rejected.value.keys
            behaviour.released.set()
            assert (await client.read_response()).body == b"second"
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

        farm.behave["b1"] = fails_with(500)
        watch = {"window_ms": 20_000, "before_ms": 2_000, "block_ms": 50, "significance": 0.01}
        first = farm.config(farm.pool("a1", "a2"), farm.pool("o1"), watch=watch)
        async with serving(first) as running:
            load = LoadGenerator(
                running.port, farm.books, lambda _rng: ("order", "/cart"), clients=4, pause_s=0.004
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
