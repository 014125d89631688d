"""What a copy sends to a server that is leaving while discovery fails it, on real connections, under a clock
that skips: the case that was followed from the full fleet, and others by which a list could grow old.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from testkit.clients import HttpClient
from testkit.platform import SETTINGS
from testkit.servers import FakeUpstream
from testkit.wire import ok, read_head
from tests.crossings.skipping import SkippingLoop, run
from tests.fakes import running

TOLD_S, GRACE_S = 6.0, 2.0  # the protocol's bound, and the settings' grace of this deployment
ASKED = SETTINGS | {
    "Discovery": "on_request",
    "Guarantees": SETTINGS["Guarantees"] | {"DrainGraceMs": 2000.0},
}

Fault = Callable[["Scripted", asyncio.StreamWriter], Awaitable[bool]]


class Scripted:
    """Discovery of two servers, `a` and `b`; `a` leaves at `leave`. Each call is met by a fault as long as
    `faulty`, and answered truly after that. A fault returns whether the call is over.
    """

    def __init__(self, fault: Fault, rows: list[dict[str, Any]]) -> None:
        self.fault = fault
        self.faulty = False
        self.rows = rows
        self.generation = 1
        self.calls = 0
        self.watching = 0  # calls that wait
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Scripted:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    def leave(self) -> None:
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
                    self.watching += 1
                    try:
                        await asyncio.wait_for(self._changed.wait(), wait_s)
                    except TimeoutError:
                        pass
                    finally:
                        self.watching -= 1
                    if self.faulty:  # it fell silent under the watch
                        await asyncio.Event().wait()
                rows = self.rows if after < self.generation else []
                data = {"generation": self.generation, "reset": after < 0, "instances": rows}
                writer.write(ok(json.dumps(data).encode()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def silent(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    await asyncio.Event().wait()
    return True


async def silent_in_the_body(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{"generation":')
    await asyncio.Event().wait()
    return True


async def an_empty_answer_then_silent(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    data = {"generation": 1, "reset": False, "instances": []}
    if discovery.calls % 2:
        await asyncio.Event().wait()
    writer.write(ok(json.dumps(data).encode()))
    return True


async def busy(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    return True


async def reset(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    writer.transport.abort()
    return True


async def an_older_list(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    writer.write(ok(b'{"generation":0,"reset":false,"instances":[]}'))
    return True


async def malformed(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    writer.write(ok(b'{"generation":9,"reset":false,"instances":[{"instanceId":"a"}]}'))
    return True


async def endless(discovery: Scripted, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not writer.transport.is_closing():
        writer.write(b"10\r\n" + b" " * 16 + b"\r\n")
        await asyncio.sleep(0.2)
    return True


async def sends_to_a(client: HttpClient, a: FakeUpstream, number: int = 12) -> int:
    before = len(a.seen)
    for _ in range(number):
        client.ask()
        assert (await client.answer()).status == 200
    return len(a.seen) - before


async def _played(fault: Fault, at_start: bool, faulty_s: float) -> None:
    """Discovery turns faulty, at the start or under an open watch; `a` is announced as leaving right then,
    and from `faulty_s` on calls are answered.
    """
    loop = asyncio.get_running_loop()
    a, b = await FakeUpstream().start(), await FakeUpstream().start()
    discovery = await Scripted(fault, [a.entry("a"), b.entry("b")]).start()
    discovery.faulty = at_start
    async with running(
        a.entry("a"), b.entry("b"), base=ASKED, discovery=f"127.0.0.1:{discovery.port}"
    ) as balancer:
        while not (discovery.calls if at_start else discovery.watching):
            await asyncio.sleep(0.01)
        announced = loop.time()
        discovery.faulty = True
        discovery.leave()
        async with HttpClient(balancer.port) as client:
            assert await sends_to_a(client, a) > 0  # what the list held says: the test can see such sends
        await asyncio.sleep(announced + faulty_s - loop.time())
        discovery.faulty = False
        # Discovery can be reached from here on at the latest, and what it has counts as told so much later.
        await asyncio.sleep(announced + TOLD_S + GRACE_S - loop.time())
        async with HttpClient(balancer.port) as client:
            assert await sends_to_a(client, a) == 0
            assert len(b.seen) >= 12
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


def test_a_first_watch_that_falls_silent_hides_a_drain_for_no_longer_than_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The case followed: the copy's first watch fell silent, the server left, and the next call, which would
    have been answered, came some 23 s later.
    """

    async def work(loop: SkippingLoop) -> None:
        await _played(silent, at_start=True, faulty_s=0.5)

    run(monkeypatch, work)


@pytest.mark.parametrize("fault", FAULTS, ids=[fault.__name__ for fault in FAULTS])
def test_no_fault_of_discovery_keeps_a_drain_from_counting(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An open watch and the call behind it fail by the same fault; then discovery answers."""

    async def work(loop: SkippingLoop) -> None:
        await _played(fault, at_start=False, faulty_s=3.0)

    run(monkeypatch, work)
