"""The platform's program as a process: bad configuration, signals under traffic, the descriptor limit."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from testkit.clients import HttpClient, request_bytes
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.ports import free_port
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.platform.harness import ROOT, exit_code, ready, running_program, spawn, started


async def check_served(port: int) -> None:
    """A request on a new connection is answered 200."""
    async with HttpClient(port) as client:
        client.send_request()
        assert (await client.read_response()).status == 200


async def next_log_line(process: asyncio.subprocess.Process) -> bytes:
    assert process.stderr is not None
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return await process.stderr.readline()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_shutdown_signal_under_traffic_loses_no_request(tmp_path: Path, number: signal.Signals) -> None:
    """Guards the planned restart: requests in flight, on reused and on new connections are all answered, each
    with `Connection: close`, and then the exit code is 0.
    """

    async def work() -> None:
        released = asyncio.Event()

        async def serve(request: ReceivedRequest, talk: FakeConnection) -> None:
            if request.target == "/api?slow":
                await released.wait()
            await talk.send(ok())

        upstream = await FakeServer(serve).start()
        async with (
            running_program(tmp_path, upstream) as (process, port),
            HttpClient(port) as in_flight,
            HttpClient(port) as reused,
            HttpClient(port) as idle,
        ):
            reused.send_request()
            assert (await reused.read_response()).headers.get("connection") != "close"
            idle.send_request(target="/ready")
            assert (await idle.read_response()).status == 200
            in_flight.send_request("move", b"x", "/api?slow")
            while (await upstream.arrived.get()).target != "/api?slow":
                pass
            process.send_signal(number)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):  # until the program has received the signal
                while True:
                    async with HttpClient(port) as fresh:
                        fresh.send_request(target="/ready")
                        if (await fresh.read_response()).status == 503:
                            break
            reused.send_request()
            answer = await reused.read_response()
            assert (answer.status, answer.headers.get("connection")) == (200, "close")
            async with HttpClient(port) as fresh:
                fresh.send_request()
                answer = await fresh.read_response()
                assert (answer.status, answer.headers.get("connection")) == (200, "close")
            assert await idle.read_to_end() == b""
            assert process.returncode is None  # a request is unanswered
            released.set()
            assert (await in_flight.read_response()).status == 200
            assert await exit_code(process) == 0
        upstream.close()

    run(work())


def test_the_descriptor_limit_is_kept_with_more_clients_than_descriptors(tmp_path: Path) -> None:
    """Guards against EMFILE: it goes on serving, new clients too."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running_program(tmp_path, upstream, descriptors=64, sockets=1024) as (process, port):
            clients = [await HttpClient(port).__aenter__() for _ in range(120)]
            for client in clients:
                client.writer.close()
            for _ in range(30):
                await check_served(port)
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 64
            process.send_signal(signal.SIGTERM)
            assert await exit_code(process) == 0
        upstream.close()

    run(work())


def test_the_program_goes_on_serving_after_a_failed_accept(tmp_path: Path) -> None:
    """Guards against EMFILE itself, where the system allows fewer descriptors than configured: connections of
    idle clients are closed, and of those with an incomplete request.
    """

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running_program(tmp_path, upstream) as (process, port):
            await check_served(port)
            # Descriptors below the highest in use stay usable; new ones fail from here on.
            used_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
            resource.prlimit(
                process.pid, resource.RLIMIT_NOFILE, (used_descriptors + 8, used_descriptors + 8)
            )
            idle = [await HttpClient(port).__aenter__() for _ in range(30)]
            await check_served(port)
            for client in idle:
                client.writer.close()
            busy = []
            for _ in range(12):  # each sends before the next one connects, so that none is idle
                client = await HttpClient(port).__aenter__()
                busy.append(client)
                client.send(request_bytes()[:-2])
                await client.writer.drain()
            await check_served(port)
            for client in busy:
                client.writer.close()
            assert process.returncode is None
        upstream.close()

    run(work())


def test_sighup_follows_discovery_to_the_address_in_the_file(tmp_path: Path) -> None:
    """Guards reloads: the file's discovery takes precedence over the environment's, and its list counts.

    A bad file is one line and changes nothing, signals in a row and one during a shutdown do no harm, and the
    request in flight meanwhile is answered.
    """

    async def work() -> None:
        released = asyncio.Event()

        async def serve_when_released(request: ReceivedRequest, talk: FakeConnection) -> None:
            await released.wait()
            await talk.send(ok(b"first"))

        async def serve_second(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok(b"second"))

        first_server = await FakeServer(serve_when_released).start()
        second_server = await FakeServer(serve_second).start()
        old = await FakeDiscovery([first_server.entry("a")]).start()
        new = await FakeDiscovery([second_server.entry("b")]).start()
        port = free_port()
        path = tmp_path / "config.json"
        data = config_data([first_server.entry("a")], old.port, listen=f"127.0.0.1:{port}")
        environment = {"GW_LISTEN": f"127.0.0.1:{port}", "GW_DISCOVERY": f"127.0.0.1:{old.port}"}
        async with started(path, data, **environment) as process:
            await ready(port)
            async with HttpClient(port) as in_flight, HttpClient(port) as client:
                in_flight.send_request("move", b"x")
                await first_server.arrived.get()
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                line = await next_log_line(process)
                assert b"reload" in line
                assert b"GW_CONFIG" in line
                path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{new.port}"}))
                for _ in range(5):
                    process.send_signal(signal.SIGHUP)
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    assert await new.calls.get() == "/v1/endpoints"  # the complete list first
                    assert "after=" in await new.calls.get()
                client.send_request()
                assert (await client.read_response()).body == b"second"
                released.set()
                assert (await in_flight.read_response()).body == b"first"
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                client.send_request()
                assert (await client.read_response()).status == 200
                assert await exit_code(process) == 0
        old.stop()
        new.stop()
        first_server.close()
        second_server.close()

    run(work())


BAD_VALUES = [
    ({"listen": "localhost"}, ["listen", "localhost"]),
    ({"listen": "127.0.0.1:99999"}, ["listen", "127.0.0.1:99999"]),
    ({"discovery": 7}, ["discovery", "7"]),
    ({"seed": "xyz"}, ["seed", "xyz"]),
    ({"limits": {"sockets": "many"}}, ["limits.sockets", "many"]),
    ({"known": [1]}, ["known", "[1]"]),
    ({"settings": SETTINGS | {"Categories": []}}, ["settings", "classes"]),
    ({"settings": SETTINGS | {"MyZone": 9}}, ["settings", "MyZone", "9"]),
    ({"settings": SETTINGS | {"Guarantees": {"DrainGraceMs": "x"}}}, ["DrainGraceMs", "'x'"]),
    ({"settings": None}, ["settings", "None"]),
]


@pytest.mark.parametrize(
    ("change", "words"), BAD_VALUES, ids=["-".join(words[:2]) for _, words in BAD_VALUES]
)
def test_a_bad_value_is_reported_in_one_line_and_exit_code_2(
    tmp_path: Path, change: dict[str, Any], words: list[str]
) -> None:
    """The line names the key and the value."""

    async def work() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config_data([], 9, **change)))
        process = await spawn(path)
        _, errors = await process.communicate()
        assert process.returncode == 2
        (line,) = errors.decode().splitlines()
        for word in words:
            assert word in line

    run(work())


@pytest.mark.parametrize("text", [None, "{", "[]"])
def test_a_missing_or_malformed_file_is_reported_in_one_line_and_exit_code_2(
    tmp_path: Path, text: str | None
) -> None:
    """The line names the variable that names the file."""

    async def work() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await spawn(path)
        _, errors = await process.communicate()
        assert process.returncode == 2
        (line,) = errors.decode().splitlines()
        assert "GW_CONFIG" in line

    run(work())


def test_without_a_verb_no_optional_package_is_imported() -> None:
    """Guards the platform's start: its program must run where only requirements.txt is installed."""

    async def work() -> None:
        code = (
            "import sys; import sandhatch.__main__; "
            "optional = ('pydantic', 'yaml', 're2', 'msgspec', 'cryptography'); "
            "print([name for name in optional if name in sys.modules])"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        assert output == b"[]\n"

    run(work())
