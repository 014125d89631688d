"""Running versions: no request uses a mixture of two versions, and no change is applied partially."""

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
def test_no_request_uses_a_mixture_of_two_versions() -> None:
    """Under constant load, each request uses the route, pool and servers of the version it arrived under.

    Each request gets one response, no non-idempotent request runs twice, and every version is freed.
    """

    async def work() -> None:
        farm = await FakeServers().start("a1", "a2", "b1", "b2", "o1", "o2", "o3")
        choices = variants(farm)
        async with serving(choices[0]) as running:
            load = LoadGenerator(running.port, farm.books, choose, clients=12)
            config_by_version = await churn(running, choices, 120, seed=11)
            await load.stop()
            service = running.service
            await running.until(lambda: len(running.records) == len(farm.books.entries))
            check_no_mixture(running, config_by_version)
            assert farm.books.faults(NON_IDEMPOTENT) == []
            assert set(farm.books.statuses()) == {200}, farm.books.statuses()
            assert len({record.version for record in running.records}) > 30
            await running.until(lambda: list(service.running) == [service.transactions.active.number])
            assert len(service.pools.alive) == 2
        farm.close()

    run(work())


class RejectsFirstAttempt:
    """A server's behaviour: the first attempt waits for `released`, and is rejected before it runs.

    Later attempts succeed.
    """

    def __init__(self, books: RequestLog) -> None:
        self._books = books
        self.released = asyncio.Event()
        self.first_arrived = asyncio.Event()
        self.trace_ids: list[str] = []

    async def __call__(self, request: ReceivedRequest, connection: FakeConnection) -> None:
        self.trace_ids.append(request.headers["x-trace-id"])
        if len(self.trace_ids) > 1:
            await connection.send(ok(b"second"))
            return
        self.first_arrived.set()
        await self.released.wait()
        entry = self._books.entries.get(self.trace_ids[0])
        if entry is not None:
            entry.ran.clear()  # rejected before it ran
        await connection.send(status(503, "X-Never-Ran: 1\r\n"))


def test_request_between_two_attempts_stays_with_its_version_after_a_rollback() -> None:
    """A non-idempotent request is between two attempts when its version is rolled back.

    The first attempt never ran; the retry goes to a server of the same version, not of the active version.
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


def test_commit_of_a_proposal_whose_base_was_rolled_back_is_a_conflict() -> None:
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


def test_invalid_configuration_is_rejected_with_every_error_and_not_stored() -> None:
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


def test_service_is_not_built_from_an_invalid_configuration() -> None:
    async def work() -> None:
        with pytest.raises(CheckError):
            async with serving({"format": 1}):
                pass

    run(work())


def test_change_that_lowers_goodput_is_rolled_back_with_the_reason() -> None:
    """The new pool's server responds 500; the watch detects the fall in goodput and restores the old pool."""

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
