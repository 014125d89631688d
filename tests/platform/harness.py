"""The platform's program as a separate process, for tests of start, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import uvloop

from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import config_data
from testkit.ports import free_port
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S

ROOT = Path(__file__).parent.parent.parent

TEST_LIMIT_S = 300.0
START_TIMEOUT_S = 100.0  # limit on the time from the program's start until it serves requests
POLL_S = 0.02


def write_config(path: Path, data: dict[str, Any]) -> None:
    """Writes a configuration to its file."""
    path.write_text(json.dumps(data))


async def spawn(path: Path, descriptors: int | None = None, **more: str) -> asyncio.subprocess.Process:
    """Starts the program.

    Args:
        path: Path of the configuration file.
        descriptors: Limit of open descriptors; None for the limit of the test process.
        more: Further environment variables.
    """

    def limit_descriptors() -> None:
        assert descriptors is not None
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    environment = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
    environment |= {"GW_CONFIG": str(path)} | more
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sandhatch",
        cwd=ROOT,
        env=environment,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors if descriptors else None,
    )


async def ready(port: int, status: int = 200) -> None:
    """Waits until `/ready` responds with this status."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                async with HttpClient(port) as client:
                    client.send_request(target="/ready")
                    if (await client.read_response()).status == status:
                        return
            except (ConnectionError, AssertionError):
                pass
            await asyncio.sleep(POLL_S)


@asynccontextmanager
async def started(
    path: Path, data: dict[str, Any], descriptors: int | None = None, **more: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs the program with a configuration written to the path; kills it at the end if it still runs."""
    write_config(path, data)
    process = await spawn(path, descriptors, **more)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def open_descriptors(process: asyncio.subprocess.Process) -> list[int]:
    """Returns the descriptors that the program has open."""
    return [int(path.name) for path in Path(f"/proc/{process.pid}/fd").iterdir()]


def descriptors_left(process: asyncio.subprocess.Process, limit: int) -> int:
    """Returns how many descriptors the program may still open: the free ones below its limit."""
    return limit - sum(descriptor < limit for descriptor in open_descriptors(process))


async def use_up_descriptors(
    process: asyncio.subprocess.Process, port: int, limit: int, min_clients: int, first_bytes: bytes = b""
) -> list[HttpClient]:
    """Connects clients until the program has no free descriptor, except one that an eviction may have freed.

    Args:
        process: Process of the program.
        port: Port that the program listens on.
        limit: Descriptor limit of the program.
        min_clients: Minimum number of clients to connect.
        first_bytes: Bytes that each client sends before the next one connects.
    """
    clients: list[HttpClient] = []
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while len(clients) < min_clients or descriptors_left(process, limit) > 1:
            client = await HttpClient(port).__aenter__()
            clients.append(client)
            client.send(first_bytes)
            await client.writer.drain()
            if len(clients) > min_clients:
                await asyncio.sleep(POLL_S)  # the program has not accepted all clients yet
    return clients


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Runs a test to its end on the program's event loop; it fails after `TEST_LIMIT_S`.

    The limit is longer than that of other tests, because starting a program takes long on a loaded machine.
    """
    uvloop.run(asyncio.wait_for(scenario, TEST_LIMIT_S))


async def next_log_line(process: asyncio.subprocess.Process) -> bytes:
    """Returns the next line that the program writes to its log."""
    assert process.stderr is not None
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return await process.stderr.readline()


async def exit_code(process: asyncio.subprocess.Process) -> int:
    """Waits until the program has exited by itself; returns its exit code."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return await process.wait()


@asynccontextmanager
async def running_program(
    directory: Path, upstream: FakeServer, descriptors: int | None = None, **limits: float
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Runs the program in front of one server; yields its process and port once it is ready.

    Args:
        directory: Directory for the configuration file.
        upstream: The server.
        descriptors: Limit of open descriptors; None for the limit of the test process.
        limits: Keys of the configuration's `limits` to replace.
    """
    discovery = await FakeDiscovery([upstream.entry("a")]).start()
    port = free_port()
    data = config_data([upstream.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
    data["limits"] |= limits
    try:
        async with started(directory / "config.json", data, descriptors) as process:
            await ready(port)
            yield process, port
    finally:
        discovery.stop()
