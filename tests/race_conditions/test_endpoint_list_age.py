"""What an instance sends to a draining server while discovery fails; real connections, skipping clock.

The first test is a case seen in the simulation of a whole fleet; the others are further faults by which an
endpoint list could grow old.
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

MAX_LIST_AGE_S = 6.0  # the protocol's bound
DRAIN_GRACE_S = 2.0  # of these settings
ON_REQUEST_SETTINGS = SETTINGS | {
    "Discovery": "on_request",
    "Guarantees": SETTINGS["Guarantees"] | {"DrainGraceMs": 1000.0 * DRAIN_GRACE_S},
}

Fault = Callable[["FaultyDiscovery", asyncio.StreamWriter], Awaitable[bool]]


class FaultyDiscovery:
    """Discovery of two servers, `a` and `b`; `a` begins to drain at `drain_a`.

    While `faulty`, each call meets the fault; otherwise it is answered correctly. A fault returns whether the
    call is over.
    """

    def __init__(self, fault: Fault, rows: list[dict[str, Any]]) -> None:
        self.fault = fault
        self.faulty = False
        self.rows = rows
        self.generation = 1
        self.calls = 0
        self.watching = 0  # calls that wait for a change
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> FaultyDiscovery:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    def drain_a(self) -> None:
        self.generation += 1
        self.rows[0] = self.rows[0] | {"lifecycle": "leaving"}
        self._changed.set()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                    if self.faulty:  # it stopped answering during the watch
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


async def silent(_discovery: FaultyDiscovery, _writer: asyncio.StreamWriter) -> bool:
    await asyncio.Event().wait()
    return True


async def silent_in_the_body(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{"generation":')
    await asyncio.Event().wait()
    return True


async def an_empty_answer_then_silent(discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    data = {"generation": 1, "reset": False, "instances": []}
    if discovery.calls % 2:
        await asyncio.Event().wait()
    writer.write(ok(json.dumps(data).encode()))
    return True


async def busy(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    return True


async def reset(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.transport.abort()
    return True


async def an_older_list(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(ok(b'{"generation":0,"reset":false,"instances":[]}'))
    return True


async def malformed(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
    writer.write(ok(b'{"generation":9,"reset":false,"instances":[{"instanceId":"a"}]}'))
    return True


async def endless(_discovery: FaultyDiscovery, writer: asyncio.StreamWriter) -> bool:
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
    """Discovery becomes faulty, at the start or during a watch, `a` begins to drain at that moment, and
    after `faulty_s` calls are answered: `a` gets no request once the list's bound and the grace are over.
    """
    loop = asyncio.get_running_loop()
    a, b = await FakeServer().start(), await FakeServer().start()
    discovery = await FaultyDiscovery(fault, [a.entry("a"), b.entry("b")]).start()
    discovery.faulty = at_start
    async with running(
        a.entry("a"), b.entry("b"), base=ON_REQUEST_SETTINGS, discovery=f"127.0.0.1:{discovery.port}"
    ) as balancer:
        await wait_until(
            lambda: discovery.calls if at_start else discovery.watching, "discovery has the call that fails"
        )
        announced = loop.time()
        discovery.faulty = True
        discovery.drain_a()
        async with HttpClient(balancer.port) as client:
            assert await count_requests_to_a(client, a) > 0  # by the old list: the test can see such requests
        await asyncio.sleep(announced + faulty_s - loop.time())
        discovery.faulty = False
        # Discovery can be reached from here on at the latest.
        await asyncio.sleep(announced + MAX_LIST_AGE_S + DRAIN_GRACE_S - loop.time())
        async with HttpClient(balancer.port) as client:
            assert await count_requests_to_a(client, a) == 0
            assert len(b.requests) >= 12
    discovery.close()
    a.close()
    b.close()


FAULTS = [
    silent,
    silent_in_the_body,
    an_empty_answer_then_silent,
    busy,
    reset,
    an_older_list,
    malformed,
    endless,
]


def test_a_first_watch_without_answer_hides_a_drain_for_no_longer_than_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first watch got no answer, the server began to drain, and the next call, which would have been
    answered, came some 23 s later.
    """

    run(monkeypatch, lambda _: _check_no_request_reaches_a(silent, at_start=True, faulty_s=0.5))


@pytest.mark.parametrize("fault", FAULTS, ids=[fault.__name__ for fault in FAULTS])
def test_no_fault_of_discovery_hides_a_drain_for_longer_than_the_bound(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch and the call after it fail by the same fault; then discovery answers."""

    run(monkeypatch, lambda _: _check_no_request_reaches_a(fault, at_start=False, faulty_s=3.0))
