"""Signals to the real process race with its start, its calls to discovery, and each other."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import config_data
from testkit.ports import free_port
from testkit.servers import FakeUpstream, Talk
from testkit.wire import PATIENCE_S, Incoming, ok
from tests.platform.harness import exit_code, ready, started
from tests.race_conditions.harness import serves_when
from tests.test_attempts import run


def test_sigterm_before_the_program_is_ready_ends_it(tmp_path: Path) -> None:
    """It listens, and a call for its first endpoint list is in flight: nothing is unanswered."""

    async def work() -> None:
        discovery = await FakeDiscovery([]).start()
        discovery.delay_s = 10.0 * PATIENCE_S
        port = free_port()
        data = config_data([], discovery.port, listen=f"127.0.0.1:{port}", known={})
        async with started(tmp_path / "config.json", data) as process:
            await ready(port, 503)
            await discovery.calls.get()
            process.send_signal(signal.SIGTERM)
            assert await exit_code(process) == 0
        discovery.stop()

    run(work())


def test_repeated_sigterm_and_sighup_neither_end_a_shutdown_sooner_nor_restart_it(tmp_path: Path) -> None:
    """The request in flight is answered."""

    async def work() -> None:
        released = asyncio.Event()

        upstream = await FakeUpstream(serves_when(released)).start()
        discovery = await FakeDiscovery([upstream.entry("a")]).start()
        port = free_port()
        data = config_data([upstream.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
        async with started(tmp_path / "config.json", data) as process, PatientClient(port) as in_flight:
            in_flight.ask("move", b"x")
            await upstream.arrived.get()
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            await ready(port, 503)
            process.send_signal(signal.SIGTERM)
            released.set()
            answer = await in_flight.answer()
            assert (answer.status, answer.headers.get("connection")) == (200, "close")
            assert await exit_code(process) == 0
        assert len(upstream.seen) == 1
        upstream.close()
        discovery.stop()

    run(work())


class PatientClient(HttpClient):
    """A client that waits until the program serves."""

    async def __aenter__(self) -> HttpClient:
        await ready(self._port)
        return await super().__aenter__()


def test_the_endpoint_list_is_followed_during_a_shutdown(tmp_path: Path) -> None:
    """A server begins to drain after SIGTERM: requests that still arrive go to the other one."""

    async def work() -> None:
        released = asyncio.Event()

        async def serves(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"new"))

        old, new = (
            await FakeUpstream(serves_when(released, b"old")).start(),
            await FakeUpstream(serves).start(),
        )
        discovery = await FakeDiscovery([old.entry("a")]).start()
        port = free_port()
        data = config_data([old.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
        async with (
            started(tmp_path / "config.json", data) as process,
            PatientClient(port) as in_flight,
            HttpClient(port) as client,
        ):
            client.ask(target="/ready")
            assert (await client.answer()).status == 200
            in_flight.ask("move", b"x")
            await old.arrived.get()
            process.send_signal(signal.SIGTERM)
            await ready(port, 503)
            discovery.change(old.entry("a", lifecycle="leaving"), new.entry("b"))
            async with asyncio.timeout(PATIENCE_S):
                while f"after={discovery.generation}&" not in await discovery.calls.get():
                    pass  # the call after the change acknowledges it
            client.ask("move", b"x")
            assert (await client.answer()).body == b"new"
            released.set()
            assert (await in_flight.answer()).body == b"old"
            assert await exit_code(process) == 0
        old.close()
        new.close()
        discovery.stop()

    run(work())


def test_sighup_to_a_dead_address_does_not_delay_the_next_to_a_live_one(tmp_path: Path) -> None:
    """The endpoint list in use serves meanwhile. The live discovery's versions are lower than the first's."""

    async def work() -> None:
        async def second(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"second"))

        first_server = await FakeUpstream().start()
        second_server = await FakeUpstream(second).start()
        old = await FakeDiscovery([first_server.entry("a")]).start()
        new = await FakeDiscovery([second_server.entry("b")]).start()
        old.generation = 41
        port = free_port()
        known = {"generation": 41, "reset": True, "instances": [first_server.entry("a")]}
        data = config_data([first_server.entry("a")], old.port, listen=f"127.0.0.1:{port}", known=known)
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
        first_server.close()
        second_server.close()
        old.stop()
        new.stop()

    run(work())
