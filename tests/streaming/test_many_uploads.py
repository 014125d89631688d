"""A thousand uploads at once: more than fit in memory, and none of them is left without an answer."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.events import Outcome
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.runtime.memory_budget import MemoryBudget
from testkit.clients import HttpClient
from tests.streaming.harness import (
    BODY,
    KIB,
    Deployment,
    deployed,
    response_head,
    run,
    store_upload,
    upload_head,
)

COUNT = 1000
SIZE_BYTES = 96 * KIB
# What is rejected depends on memory alone and not on time, so all limits of time are far off: a busy machine
# may take long for a thousand connections, which is not what this test is about.
DISTANT_MS = 120_000
DISTANT_S = DISTANT_MS / 1000.0


class PeakRecorder:
    """Records the most that is booked of a memory budget at any time."""

    def __init__(self, memory_budget: MemoryBudget) -> None:
        self.peak_bytes = 0
        self._memory_budget = memory_budget
        self._update_usage = memory_budget.update_usage
        memory_budget.update_usage = self._record  # type: ignore[method-assign]

    def _record(self, before: int, now: int) -> bool:
        fits = self._update_usage(before, now)
        self.peak_bytes = max(self.peak_bytes, self._memory_budget.used_bytes)
        return fits


async def upload_once(port: int) -> int:
    """The status of the final answer to an upload on a connection of its own."""
    async with HttpClient(port) as client:
        client.send(upload_head(SIZE_BYTES, Expect="100-continue") + BODY.prefix(SIZE_BYTES))
        status, headers = await response_head(client, DISTANT_S)
        if status == 100:
            status, headers = await response_head(client, DISTANT_S)
        if status == 503:
            assert float(headers["retry-after"]) > 0
        return status


async def assert_one_response_each(deployment: Deployment) -> None:
    peak = PeakRecorder(deployment.memory_budget)
    results = await asyncio.gather(*(upload_once(deployment.port) for _ in range(COUNT)))
    assert set(results) <= {200, 503}
    assert len(results) == COUNT
    served = results.count(200)
    assert served > 500
    # A read that does not fit is booked, and released at once.
    assert peak.peak_bytes <= deployment.memory_budget.limit_bytes + 64 * KIB
    assert deployment.flow_statistics.most_open < COUNT  # so some did wait
    await deployment.until_idle()
    assert len(deployment.server.seen) == served  # whoever has begun goes on to its end
    assert set(deployment.decisions.outcomes) == {Outcome.OK}


def test_a_thousand_uploads_begin_at_once_under_a_64_mb_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each of 96 KiB, so 1000 do not fit in what bodies may hold of 64 MB. Each is answered once; those that
    do not fit even so are rejected with Retry-After.
    """
    for limit in ("FIRST_REQUEST_MS", "REQUEST_MS", "LINGER_MS"):
        monkeypatch.setattr(ClientConnection, limit, float(DISTANT_MS))

    async def work() -> None:
        stalls = {"writer_stall_ms": DISTANT_MS, "reader_stall_ms": DISTANT_MS}
        async with deployed(
            store_upload,
            request=stalls,
            limits={"memory_mb": 64, "sockets": 8192},
            bodies={"room_wait_ms": DISTANT_MS},
            times={"aim_ms": DISTANT_MS, "deadline_ms": DISTANT_MS},
            pool={"tier": 1, "max_connections": 2_000, "connect_timeout_ms": DISTANT_MS},
        ) as deployment:
            await assert_one_response_each(deployment)

    run(work(), limit_s=2.0 * DISTANT_S)
