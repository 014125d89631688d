"""The platform's program as a process: invalid configuration, signals under traffic, the descriptor limit."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Any

import pytest

from testkit.behaviours import serves, waits_for
from testkit.clients import HttpClient, request_bytes
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.ports import free_port
from testkit.servers import FakeServer, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.platform.harness import (
    ROOT,
    exit_code,
    next_log_line,
    open_descriptors,
    ready,
    run,
    running_program,
    spawn,
    started,
    use_up_descriptors,
    write_config,
)
from tests.process_memory import SPARE_MB, memory_mb, peak_under_slow_clients_mb


async def check_served(port: int) -> None:
    """Checks that a request on a new connection gets a response with status 200."""
    async with HttpClient(port) as client:
        client.send_request()
        assert (await client.read_response()).status == 200


async def wait_until_shutting_down(port: int) -> None:
    """Waits until the program has received its signal: `/ready` responds 503 on new connections."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            async with HttpClient(port) as new_client:
                new_client.send_request(target="/ready")
                if (await new_client.read_response()).status == 503:
                    return


async def check_served_with_close(client: HttpClient) -> None:
    """Checks that a request gets status 200 in the last response of its connection."""
    client.send_request()
    response = await client.read_response()
    assert (response.status, response.headers.get("connection")) == (200, "close")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_shutdown_signal_under_traffic_loses_no_request(tmp_path: Path, number: signal.Signals) -> None:
    """Guards against requests lost in a planned restart: requests in flight, on reused and on new connections
    all get responses, each with `Connection: close`, and then the exit code is 0.
    """

    async def scenario() -> None:
        released = asyncio.Event()
        upstream = await FakeServer(waits_for(released, serves(b"slow"))).start()
        async with (
            running_program(tmp_path, upstream) as (process, port),
            HttpClient(port) as in_flight,
            HttpClient(port) as reused,
            HttpClient(port) as idle,
        ):
            idle.send_request(target="/ready")
            assert (await idle.read_response()).status == 200
            in_flight.send_request("move", b"x")
            await upstream.arrived.get()
            upstream.behave = serve_ok
            reused.send_request()
            assert (await reused.read_response()).headers.get("connection") != "close"
            process.send_signal(number)
            await wait_until_shutting_down(port)
            await check_served_with_close(reused)
            async with HttpClient(port) as new_client:
                await check_served_with_close(new_client)
            assert await idle.read_to_end() == b""
            assert process.returncode is None  # a request is still in flight
            released.set()
            assert (await in_flight.read_response()).status == 200
            assert await exit_code(process) == 0
        upstream.close()

    run(scenario())


def test_descriptor_limit_holds_with_more_clients_than_descriptors(tmp_path: Path) -> None:
    """Guards against EMFILE from too many clients: the program continues to serve old and new clients."""

    async def scenario() -> None:
        upstream = await FakeServer().start()
        async with running_program(tmp_path, upstream, descriptors=64, sockets=1024) as (process, port):
            clients = [await HttpClient(port).__aenter__() for _ in range(120)]
            for client in clients:
                client.writer.close()
            for _ in range(30):
                await check_served(port)
            assert len(open_descriptors(process)) <= 64
            process.send_signal(signal.SIGTERM)
            assert await exit_code(process) == 0
        upstream.close()

    run(scenario())


def test_program_continues_to_serve_after_accept_fails(tmp_path: Path) -> None:
    """Guards against failure on EMFILE, which occurs if the system allows fewer descriptors than configured:
    connections of idle clients and of clients with an incomplete request are closed.
    """

    async def scenario() -> None:
        upstream = await FakeServer().start()
        async with running_program(tmp_path, upstream) as (process, port):
            await check_served(port)
            # Descriptors that are open stay usable; opening one at or above the limit fails from here on.
            limit = len(open_descriptors(process)) + 8
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
            idle = await use_up_descriptors(process, port, limit, min_clients=30)
            await check_served(port)
            for client in idle:
                client.writer.close()
            # Each client sends before the next one connects, so that no client is idle.
            incomplete = request_bytes()[:-2]
            busy = await use_up_descriptors(process, port, limit, min_clients=12, first_bytes=incomplete)
            await check_served(port)
            for client in busy:
                client.writer.close()
            assert process.returncode is None
        upstream.close()

    run(scenario())


class TwoDiscoveries:
    """Two servers, each listed by a discovery service of its own; the program moves from `old` to `new`.

    The environment names `old` throughout. Requests to the first server wait until `released` is set.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.port = free_port()
        self.released = asyncio.Event()

    async def __aenter__(self) -> TwoDiscoveries:
        self.first_server = await FakeServer(waits_for(self.released, serves(b"first"))).start()
        self.second_server = await FakeServer(serves(b"second")).start()
        self.old = await FakeDiscovery([self.first_server.entry("a")]).start()
        self.new = await FakeDiscovery([self.second_server.entry("b")]).start()
        entries = [self.first_server.entry("a")]
        self.data = config_data(entries, self.old.port, listen=f"127.0.0.1:{self.port}")
        return self

    async def __aexit__(self, *_: object) -> None:
        self.old.stop()
        self.new.stop()
        self.first_server.close()
        self.second_server.close()

    def started(self) -> AbstractAsyncContextManager[asyncio.subprocess.Process]:
        """Runs the program, with the old discovery in its file and in its environment."""
        environment = {
            "GW_LISTEN": f"127.0.0.1:{self.port}",
            "GW_DISCOVERY": f"127.0.0.1:{self.old.port}",
        }
        return started(self.path, self.data, **environment)

    def write_new_address(self) -> None:
        """Writes the address of the new discovery to the file."""
        write_config(self.path, self.data | {"discovery": f"127.0.0.1:{self.new.port}"})

    async def wait_until_new_is_followed(self) -> None:
        """Waits until the program has the new discovery's complete list and polls for changes."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            assert (
                await self.new.calls.get() == "/v1/endpoints"
            )  # the program first requests the complete list
            assert "after=" in await self.new.calls.get()


def test_sighup_moves_the_discovery_client_to_the_address_in_the_file(tmp_path: Path) -> None:
    """Checks reloads: the file's discovery address takes precedence over the environment's, and the endpoint
    list of that discovery replaces the old one.

    An invalid file is logged as one line and changes nothing, repeated signals and one during a shutdown do
    no harm, and a request in flight during the reload gets its response.
    """

    async def scenario() -> None:
        async with TwoDiscoveries(tmp_path / "config.json") as setting, setting.started() as process:
            await ready(setting.port)
            async with HttpClient(setting.port) as in_flight, HttpClient(setting.port) as client:
                in_flight.send_request("move", b"x")
                await setting.first_server.arrived.get()
                setting.path.write_text("{")
                process.send_signal(signal.SIGHUP)
                line = await next_log_line(process)
                assert b"reload" in line
                assert b"GW_CONFIG" in line
                setting.write_new_address()
                for _ in range(5):
                    process.send_signal(signal.SIGHUP)
                await setting.wait_until_new_is_followed()
                client.send_request()
                assert (await client.read_response()).body == b"second"
                setting.released.set()
                assert (await in_flight.read_response()).body == b"first"
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                client.send_request()
                assert (await client.read_response()).status == 200
                assert await exit_code(process) == 0

    run(scenario())


INVALID_VALUES = [
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
    ("change", "words"), INVALID_VALUES, ids=["-".join(words[:2]) for _, words in INVALID_VALUES]
)
def test_invalid_value_is_reported_in_one_line_with_exit_code_2(
    tmp_path: Path, change: dict[str, Any], words: list[str]
) -> None:
    """The logged line names the configuration key and its invalid value."""

    async def scenario() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config_data([], 9, **change)))
        process = await spawn(path)
        _, errors = await process.communicate()
        assert process.returncode == 2
        (line,) = errors.decode().splitlines()
        for word in words:
            assert word in line

    run(scenario())


@pytest.mark.parametrize("text", [None, "{", "[]"])
def test_missing_or_malformed_file_is_reported_in_one_line_with_exit_code_2(
    tmp_path: Path, text: str | None
) -> None:
    """The logged line names the environment variable that holds the configuration file's path."""

    async def scenario() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await spawn(path)
        _, errors = await process.communicate()
        assert process.returncode == 2
        (line,) = errors.decode().splitlines()
        assert "GW_CONFIG" in line

    run(scenario())


def test_program_without_a_verb_imports_no_optional_package() -> None:
    """Guards against a failed start on the platform, which installs only the packages in requirements.txt."""

    async def scenario() -> None:
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

    run(scenario())


def test_slow_clients_do_not_bring_the_process_over_its_memory_limit(tmp_path: Path) -> None:
    """Guards against a process that is killed for memory: a quarter of the limit was given to buffers even if
    the program itself left less.
    """

    async def scenario() -> None:
        upstream = await FakeServer().start()
        async with running_program(tmp_path, upstream) as (process, _):
            limit_mb = memory_mb(process.pid, "VmRSS") + SPARE_MB
        async with running_program(tmp_path, upstream, sockets=1024, memory_mb=limit_mb) as (process, port):
            assert await peak_under_slow_clients_mb(process.pid, port) <= limit_mb
        upstream.close()

    run(scenario())


def test_memory_limit_below_what_the_program_occupies_is_logged_and_requests_are_served(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        upstream = await FakeServer().start()
        async with running_program(tmp_path, upstream, memory_mb=16) as (process, port):
            if memory_mb(process.pid, "VmRSS") >= 17.0:  # a smaller program fits into the smallest limit
                assert b"limits.memory_mb: expected more than" in await next_log_line(process)
            await check_served(port)
        upstream.close()

    run(scenario())
