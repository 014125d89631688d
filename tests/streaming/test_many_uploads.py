"""A thousand concurrent uploads that exceed the memory limit: each upload gets a response."""

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
    read_response_head,
    run,
    store_upload,
    upload_head,
)

UPLOAD_COUNT = 1000
SIZE_BYTES = 96 * KIB
# Time limits that are not reached, so that rejections depend on memory alone: a busy machine may need a long
# time for a thousand connections, which this test must tolerate.
UNREACHED_LIMIT_MS = 120_000
UNREACHED_LIMIT_S = UNREACHED_LIMIT_MS / 1000.0


class PeakRecorder:
    """Records the peak usage of a memory budget."""

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
    """Upload once on a new connection; returns the status of the final response."""
    async with HttpClient(port) as client:
        client.send(upload_head(SIZE_BYTES, Expect="100-continue") + BODY.prefix(SIZE_BYTES))
        status, headers = await read_response_head(client, UNREACHED_LIMIT_S)
        if status == 100:
            status, headers = await read_response_head(client, UNREACHED_LIMIT_S)
        if status == 503:
            assert float(headers["retry-after"]) > 0
        return status


async def assert_one_response_each(deployment: Deployment) -> None:
    peak = PeakRecorder(deployment.memory_budget)
    results = await asyncio.gather(*(upload_once(deployment.port) for _ in range(UPLOAD_COUNT)))
    assert set(results) <= {200, 503}
    assert len(results) == UPLOAD_COUNT
    served = results.count(200)
    assert served > 500
    # The bytes of a read that exceeds the memory budget count as used briefly, before they are released.
    assert peak.peak_bytes <= deployment.memory_budget.limit_bytes + 64 * KIB
    assert deployment.flow_statistics.max_open < UPLOAD_COUNT  # some requests have waited for memory
    await deployment.wait_until_idle()
    assert len(deployment.server.received_requests) == served  # every upload that was started is completed
    assert set(deployment.decisions.outcomes) == {Outcome.OK}


def test_thousand_concurrent_uploads_under_a_64_mb_limit_get_one_response_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """1000 uploads of 96 KiB exceed the part of the 64 MB limit that bodies may use. Each upload gets one
    response; uploads for which there is no memory even after waiting are rejected with Retry-After.
    """
    for limit in ("FIRST_REQUEST_TIMEOUT_MS", "REQUEST_TIMEOUT_MS", "LINGER_TIMEOUT_MS"):
        monkeypatch.setattr(ClientConnection, limit, float(UNREACHED_LIMIT_MS))

    async def scenario() -> None:
        stall_limits = {"writer_stall_ms": UNREACHED_LIMIT_MS, "reader_stall_ms": UNREACHED_LIMIT_MS}
        async with deployed(
            store_upload,
            request=stall_limits,
            limits={"memory_mb": 64, "sockets": 8192},
            bodies={"room_wait_ms": UNREACHED_LIMIT_MS},
            times={"aim_ms": UNREACHED_LIMIT_MS, "deadline_ms": UNREACHED_LIMIT_MS},
            pool={"tier": 1, "max_connections": 2_000, "connect_timeout_ms": UNREACHED_LIMIT_MS},
        ) as deployment:
            await assert_one_response_each(deployment)

    run(scenario(), limit_s=2.0 * UNREACHED_LIMIT_S)
