"""Signals to the real process, in orders that a start, a list call and each other make bad."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from testkit.ports import free_port
from tests.crossings.harness import holds
from tests.event_loop import run
from tests.fakes import PATIENCE_S, FakeDiscovery, FakeUpstream, HttpClient, Incoming, Talk, config_data, ok
from tests.test_process import ready, spawn


@asynccontextmanager
async def started(path: Path, data: dict[str, Any]) -> AsyncIterator[asyncio.subprocess.Process]:
    path.write_text(json.dumps(data))
    process = await spawn(path)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_sigterm_before_it_is_ready(tmp_path: Path) -> None:
    """It listens, knows no server, and its call for the list is out: nothing is owed, and it ends."""

    async def work() -> None:
        discovery = await FakeDiscovery([]).start()
        discovery.delay_s = 10.0 * PATIENCE_S
        port = free_port()
        data = config_data([], discovery.port, listen=f"127.0.0.1:{port}", known={})
        async with started(tmp_path / "config.json", data) as process:
            await ready(port, 503)
            await discovery.calls.get()
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(PATIENCE_S):
                assert await process.wait() == 0
        discovery.stop()

    run(work())


def test_sigterm_twice_and_beside_sighup_with_a_request_out(tmp_path: Path) -> None:
    """A second signal neither ends it sooner nor starts the end anew; what is out is answered."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        discovery = await FakeDiscovery([upstream.entry("a")]).start()
        port = free_port()
        data = config_data([upstream.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
        async with started(tmp_path / "config.json", data) as process, PatientClient(port) as out:
            out.ask("move", b"x")
            await upstream.arrived.get()
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            await ready(port, 503)
            process.send_signal(signal.SIGTERM)
            go.set()
            answer = await out.answer()
            assert (answer.status, answer.headers.get("connection")) == (200, "close")
            async with asyncio.timeout(PATIENCE_S):
                assert await process.wait() == 0
        assert len(upstream.seen) == 1
        upstream.close()
        discovery.stop()

    run(work())


class PatientClient(HttpClient):
    """A caller that waits until the program serves."""

    async def __aenter__(self) -> HttpClient:
        await ready(self._port)
        return await super().__aenter__()


def test_the_list_goes_on_being_followed_in_a_shutdown(tmp_path: Path) -> None:
    """A server drains after SIGTERM: what still comes goes to the other one."""

    async def work() -> None:
        go = asyncio.Event()

        async def serves(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"new"))

        old, new = await FakeUpstream(holds(go, b"old")).start(), await FakeUpstream(serves).start()
        discovery = await FakeDiscovery([old.entry("a")]).start()
        port = free_port()
        data = config_data([old.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
        async with (
            started(tmp_path / "config.json", data) as process,
            PatientClient(port) as out,
            HttpClient(port) as kept,
        ):
            kept.ask(target="/ready")
            assert (await kept.answer()).status == 200
            out.ask("move", b"x")
            await old.arrived.get()
            process.send_signal(signal.SIGTERM)
            await ready(port, 503)
            discovery.change(old.entry("a", lifecycle="leaving"), new.entry("b"))
            async with asyncio.timeout(PATIENCE_S):
                while f"after={discovery.generation}&" not in await discovery.calls.get():
                    pass  # the call after the change says that it was taken over
            kept.ask("move", b"x")
            assert (await kept.answer()).body == b"new"
            go.set()
            assert (await out.answer()).body == b"old"
            async with asyncio.timeout(PATIENCE_S):
                assert await process.wait() == 0
        old.close()
        new.close()
        discovery.stop()

    run(work())


def test_sighup_to_a_dead_address_and_then_to_a_live_one_that_counts_lower(tmp_path: Path) -> None:
    """The list that is held serves meanwhile, and the next signal is not held up by calls that fail."""

    async def work() -> None:
        async def second(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"second"))

        one, two = await FakeUpstream().start(), await FakeUpstream(second).start()
        old, new = (
            await FakeDiscovery([one.entry("a")]).start(),
            await FakeDiscovery([two.entry("b")]).start(),
        )
        old.generation = 41
        port = free_port()
        known = {"generation": 41, "reset": True, "instances": [one.entry("a")]}
        data = config_data([one.entry("a")], old.port, listen=f"127.0.0.1:{port}", known=known)
        path = tmp_path / "config.json"
        async with started(path, data) as process, PatientClient(port) as client:
            path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{free_port()}"}))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            async with asyncio.timeout(PATIENCE_S):
                while b"discovery: " not in await process.stderr.readline():
                    pass  # the first call to nobody has failed
            client.ask()
            assert (await client.answer()).body == b"served"
            path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{new.port}"}))
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(PATIENCE_S):
                while "after=1&" not in await new.calls.get():
                    pass
            client.ask()
            assert (await client.answer()).body == b"second"
        for item in (one, two):
            item.close()
        old.stop()
        new.stop()

    run(work())
