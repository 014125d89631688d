"""Requests to a draining server while discovery fails, on real connections.

The event loop's clock jumps over idle waits. The first test reproduces a failure from the simulation of a
whole fleet; the other tests cover further faults by which an endpoint list could become stale.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from testkit.clients import HttpClient
from testkit.platform import SETTINGS
from testkit.polling import wait_until
from testkit.servers import FakeServer
from testkit.wire import ok, read_head
from tests.fakes import running
from tests.race_conditions.skipping_clock import run

MAX_LIST_AGE_S = 6.0  # bound on the endpoint list's age, set by the protocol
DRAIN_GRACE_S = 2.0  # drain grace period in ON_REQUEST_SETTINGS
ON_REQUEST_SETTINGS = SETTINGS | {
    "Discovery": "on_request",
    "Guarantees": SETTINGS["Guarantees"] | {"DrainGraceMs": 1000.0 * DRAIN_GRACE_S},
}

Fault = Callable[["FaultyDiscovery", asyncio.StreamWriter], Awaitable[bool]]


class FaultyDiscovery:
    """Discovery service for two servers, `a` and `b`; `drain_a` makes `a` start to drain.

    While `faulty`, each new call is passed to `fault`, which returns True if it has dealt with the call, and
    False if the call is to get the normal response. While not `faulty`, each new call gets the normal
    response, except that a call gets none if its wait for a change ends while `faulty`.
    """

    def __init__(self, fault: Fault, rows: list[dict[str, Any]]) -> None:
        self.fault = fault
        self.faulty = False
        self.rows = rows
        self.generation = 1
        self.calls = 0
        self.watching = 0  # number of calls to discovery that wait for a change of the list
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> FaultyDiscovery:
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    def drain_a(self) -> None:
        self.generation += 1
        self.rows[0] = self.rows[0] | {"lifecycle": "leaving"}
        self._changed.set()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                self.calls += 1
                if self.faulty and await self.fault(self, writer):
                    continue
                target = head[0].split()[1]
                after = int(target.partition("after=")[2].partition("&")[0] or -1)
                wait_s = int(target.partition("wait_ms=")[2] or 0) / 1000.0
                if after == self.generation:
                    await self._wait_for_change(wait_s)
                    if self.faulty:  # the fault began during the watch
                        await asyncio.Event().wait()
                rows = self.rows if after < self.generation else []
                data = {"generation": self.generation, "reset": after < 0, "instances": rows}
                writer.write(ok(json.dumps(data).encode()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_for_change(self, wait_s: float) -> None:
        self.watching += 1
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            pass
        finally:
            self.watching -= 1

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def no_response(_discovery: FaultyDiscovery, _writer: asyncio.StreamWriter) -> bool:
    await asyncio.Event().wait()
    return True


async def no_response_after_part_of_the_body(
    _discovery: FaultyDiscovery, writer: asyncio.StreamWriter
) -> bool:
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{"generation":')
    await asyncio.Event().wait()
    return True


async def empty_response_then_none(discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    data = {"generation": 1, "reset": False, "instances": []}
    if discovery.calls % 2:
        await asyncio.Event().wait()
    writer.write(ok(json.dumps(data).encode()))
    return True


async def status_503(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    return True


async def connection_reset(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.transport.abort()
    return True


async def older_list(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(ok(b'{"generation":0,"reset":false,"instances":[]}'))
    return True


async def malformed_list(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(ok(b'{"generation":9,"reset":false,"instances":[{"instanceId":"a"}]}'))
    return True


async def endless_body(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not writer.transport.is_closing():
        writer.write(b"10\r\n" + b" " * 16 + b"\r\n")
        await asyncio.sleep(0.2)
    return True


async def count_requests_to_a(client: HttpClient, a: FakeServer, number: int = 12) -> int:
    before = len(a.requests)
    for _ in range(number):
        client.send_request()
        assert (await client.read_response()).status == 200
    return len(a.requests) - before


async def _check_no_request_reaches_a(fault: Fault, at_start: bool, faulty_s: float) -> None:
    """Asserts that `a` gets no request once the bound on the list's age and the drain grace have passed.

    Discovery becomes faulty at the program's start or during a watch, `a` starts to drain at that moment, and
    discovery responds again after `faulty_s`.
    """
    loop = asyncio.get_running_loop()
    a, b = await FakeServer().start(), await FakeServer().start()
    discovery = await FaultyDiscovery(fault, [a.entry("a"), b.entry("b")]).start()
    discovery.faulty = at_start
    async with running(
        a.entry("a"), b.entry("b"), base=ON_REQUEST_SETTINGS, discovery=f"127.0.0.1:{discovery.port}"
    ) as balancer:
        await wait_until(
            lambda: discovery.calls if at_start else discovery.watching,
            "discovery has received the call that fails",
        )
        drain_began_s = loop.time()
        discovery.faulty = True
        discovery.drain_a()
        async with HttpClient(balancer.port) as client:
            # The old list still has `a` as ready, so the test can detect requests to it.
            assert await count_requests_to_a(client, a) > 0
        await asyncio.sleep(drain_began_s + faulty_s - loop.time())
        discovery.faulty = False
        # Discovery responds again from here on at the latest.
        await asyncio.sleep(drain_began_s + MAX_LIST_AGE_S + DRAIN_GRACE_S - loop.time())
        async with HttpClient(balancer.port) as client:
            assert await count_requests_to_a(client, a) == 0
            assert len(b.requests) >= 12
    discovery.close()
    a.close()
    b.close()


FAULTS = [
    no_response,
    no_response_after_part_of_the_body,
    empty_response_then_none,
    status_503,
    connection_reset,
    older_list,
    malformed_list,
    endless_body,
]


def test_first_watch_without_a_response_delays_a_drain_no_longer_than_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a late discovery call when the first watch gets no response and the server starts to
    drain: by an earlier fault, the next call, which discovery would have responded to, was made only
    some 23 s later.
    """

    run(monkeypatch, lambda _: _check_no_request_reaches_a(no_response, at_start=True, faulty_s=0.5))


@pytest.mark.parametrize("fault", FAULTS, ids=[fault.__name__ for fault in FAULTS])
def test_fault_of_discovery_delays_a_drain_no_longer_than_the_bound(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests to a draining server when a watch hangs and further calls fail for 3 s."""

    run(monkeypatch, lambda _: _check_no_request_reaches_a(fault, at_start=False, faulty_s=3.0))
