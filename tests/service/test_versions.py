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
from tests.service.version_churn import (
    NON_IDEMPOTENT,
    check_no_mixture,
    choose_request,
    churn,
    configuration_variants,
)


@pytest.mark.usefixtures("no_slow_attempts")
def test_no_request_uses_a_mixture_of_two_versions() -> None:
    """Under load, each request uses the route, pool and servers of the version active at its arrival.

    Each request gets one response, no non-idempotent request runs twice, and every version but the
    active one is freed.
    """

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "a2", "b1", "b2", "o1", "o2", "o3")
        choices = configuration_variants(fake_servers)
        async with serving(choices[0]) as running:
            load = LoadGenerator(running.port, fake_servers.request_log, choose_request, clients=12)
            config_by_version = await churn(running, choices, 120, seed=11)
            await load.stop()
            service = running.service
            await running.wait_until(lambda: len(running.records) == len(fake_servers.request_log.entries))
            check_no_mixture(running, config_by_version)
            assert fake_servers.request_log.faults(NON_IDEMPOTENT) == []
            assert set(fake_servers.request_log.statuses()) == {200}, fake_servers.request_log.statuses()
            assert len({record.version for record in running.records}) > 30
            await running.wait_until(lambda: list(service.running) == [service.transactions.active.number])
            assert len(service.pools.by_fingerprint) == 2
        fake_servers.close()

    run(scenario())


class RejectsFirstAttempt:
    """A server's behaviour: the first attempt waits for `released`, and is rejected without running.

    Later attempts succeed.
    """

    def __init__(self, request_log: RequestLog) -> None:
        self._request_log = request_log
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
        entry = self._request_log.entries.get(self.trace_ids[0])
        if entry is not None:
            entry.ran.clear()  # the server has received the attempt, but rejects it without running it
        await connection.send(status(503, "X-Never-Ran: 1\r\n"))


def test_request_between_two_attempts_stays_with_its_version_after_a_rollback() -> None:
    """A non-idempotent request is between two attempts when its version is rolled back.

    The first attempt never ran; the retry goes to a server of the same version, not of the active version.
    """

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "b1", "b2", "o1")
        behaviour = RejectsFirstAttempt(fake_servers.request_log)
        fake_servers.behaviours["b1"] = fake_servers.behaviours["b2"] = behaviour
        async with (
            serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running,
            HttpClient(running.port) as client,
            HttpClient(running.port) as other,
        ):
            second = fake_servers.config(
                fake_servers.pool("b1", "b2", max_attempts=4), fake_servers.pool("o1")
            )
            version = await running.commit(second, until_terminal=False, confirm_within_ms=60_000.0)
            assert version.state is State.ACTIVE
            client.send_request("order", target="/cart", X_Trace_Id="between")
            await behaviour.first_arrived.wait()
            running.service.rollback("test")
            other.send_request()
            assert (await other.read_response()).body == b"a1"
            assert version.number in running.service.running
            behaviour.released.set()
            assert (await client.read_response()).body == b"second"
            await running.wait_until(lambda: version.number not in running.service.running)
            record = next(record for record in running.records if record.trace_id == b"between")
            assert record.version == version.number
            assert len(record.servers) == 2
            assert behaviour.trace_ids == ["between", "between"]
        fake_servers.close()

    run(scenario())


def test_commit_of_a_proposal_whose_base_was_rolled_back_is_a_conflict() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "b1", "b2", "o1")
        behaviour = RejectsFirstAttempt(fake_servers.request_log)
        fake_servers.behaviours["b1"] = fake_servers.behaviours["b2"] = behaviour
        async with (
            serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running,
            HttpClient(running.port) as client,
        ):
            second = fake_servers.config(
                fake_servers.pool("b1", "b2", max_attempts=4), fake_servers.pool("o1")
            )
            version = await running.commit(second, until_terminal=False, confirm_within_ms=60_000.0)
            client.send_request("order", target="/cart")
            await behaviour.first_arrived.wait()
            third = fake_servers.config(
                fake_servers.pool("b1", "b2", max_attempts=5), fake_servers.pool("o1")
            )
            late = running.propose(third, version.number)
            running.service.rollback("test")
            with pytest.raises(RejectedError) as rejected:
                running.service.commit(late)
            assert rejected.value.reason is RejectionReason.CONFLICT
            assert "pools.web.max_attempts" in rejected.value.keys
            behaviour.released.set()
            assert (await client.read_response()).body == b"second"
        fake_servers.close()

    run(scenario())


def test_invalid_configuration_is_rejected_with_every_error_and_not_stored() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        async with serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running:
            with pytest.raises(RejectedError) as rejected:
                running.service.propose(json.dumps({"format": 1}).encode(), None)
            assert rejected.value.reason is RejectionReason.INVALID
            assert len(rejected.value.problems) == 3
            assert not running.service.transactions.proposals
        fake_servers.close()

    run(scenario())


def test_service_is_not_built_from_an_invalid_configuration() -> None:
    async def scenario() -> None:
        with pytest.raises(CheckError):
            async with serving({"format": 1}):
                pass

    run(scenario())


def test_change_that_lowers_goodput_is_rolled_back_with_the_reason() -> None:
    """The new pool's server responds 500; the watch detects the fall in goodput and restores the old pool."""

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "a2", "b1", "o1")

        fake_servers.behaviours["b1"] = fails_with(500)
        watch = {"window_ms": 20_000, "before_ms": 2_000, "block_ms": 50, "significance": 0.01}
        first = fake_servers.config(fake_servers.pool("a1", "a2"), fake_servers.pool("o1"), watch=watch)
        async with serving(first) as running:
            load = LoadGenerator(
                running.port,
                fake_servers.request_log,
                lambda _rng: ("order", "/cart"),
                clients=4,
                pause_s=0.004,
            )
            await running.wait_until(lambda: len(running.service.goodput.watch.blocks_before) >= 30)
            bad = deepcopy(first)
            bad["pools"]["web"] = fake_servers.pool("b1")
            version = await running.commit(bad)
            assert version.state is State.ROLLED_BACK
            assert "fell from" in version.why
            assert running.service.transactions.active.number == 1
            record_count = len(running.records)
            await running.wait_until(lambda: len(running.records) > record_count + 50)
            await load.stop()
            assert {record.status for record in running.records if record.version == 1} == {200}
        fake_servers.close()

    run(scenario())
