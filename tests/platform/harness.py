"""The platform's program as a process of its own, for tests of start, signals and exit codes."""

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
START_TIMEOUT_S = 100.0  # for the program to serve, from its start on
POLL_S = 0.02


def write_config(path: Path, data: dict[str, Any]) -> None:
    """Write a configuration to its file."""
    path.write_text(json.dumps(data))


async def spawn(path: Path, descriptors: int | None = None, **more: str) -> asyncio.subprocess.Process:
    """Start the program.

    Args:
        path: Its configuration file.
        descriptors: Limit of its open descriptors, None for this process's.
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
    """Wait until `/ready` answers with this status."""
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
    """The program with a configuration that is written to the path; killed at the end if it still runs."""
    write_config(path, data)
    process = await spawn(path, descriptors, **more)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def open_descriptors(process: asyncio.subprocess.Process) -> list[int]:
    """The descriptors that the program has open."""
    return [int(path.name) for path in Path(f"/proc/{process.pid}/fd").iterdir()]


def descriptors_left(process: asyncio.subprocess.Process, limit: int) -> int:
    """How many descriptors the program may still open: those below its limit that are free."""
    return limit - sum(descriptor < limit for descriptor in open_descriptors(process))


async def use_up_descriptors(
    process: asyncio.subprocess.Process, port: int, limit: int, least_clients: int, first_bytes: bytes = b""
) -> list[HttpClient]:
    """Connect clients until the program has no descriptor left for another, or the one of an eviction.

    Args:
        process: The program.
        port: Where it listens.
        limit: Its limit of descriptors.
        least_clients: How many clients there are at least.
        first_bytes: What each sends before the next one connects.
    """
    clients: list[HttpClient] = []
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while len(clients) < least_clients or descriptors_left(process, limit) > 1:
            client = await HttpClient(port).__aenter__()
            clients.append(client)
            client.send(first_bytes)
            await client.writer.drain()
            if len(clients) > least_clients:
                await asyncio.sleep(POLL_S)  # the program has not accepted all of them yet
    return clients


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a test to its end on the program's event loop, or fail it after `TEST_LIMIT_S`.

    The limit is longer than that of other tests: each starts a program, which takes long beside other work.
    """
    uvloop.run(asyncio.wait_for(work, TEST_LIMIT_S))


async def next_log_line(process: asyncio.subprocess.Process) -> bytes:
    """The next line that the program writes to its log."""
    assert process.stderr is not None
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return await process.stderr.readline()


async def exit_code(process: asyncio.subprocess.Process) -> int:
    """Wait until the program has ended by itself."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return await process.wait()


@asynccontextmanager
async def running_program(
    directory: Path, upstream: FakeServer, descriptors: int | None = None, sockets: int = 256
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """The program in front of one server, once it is ready: its process and its port."""
    discovery = await FakeDiscovery([upstream.entry("a")]).start()
    port = free_port()
    data = config_data([upstream.entry("a")], discovery.port, listen=f"127.0.0.1:{port}")
    data["limits"]["sockets"] = sockets
    try:
        async with started(directory / "config.json", data, descriptors) as process:
            await ready(port)
            yield process, port
    finally:
        discovery.stop()
