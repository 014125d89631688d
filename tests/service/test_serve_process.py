"""`sandhatch serve` as a process: SIGKILL at any step of a change, and SIGHUP and SIGTERM during a commit."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from sandhatch.config.history import History
from sandhatch.control.framing import encode
from testkit.clients import HttpClient
from testkit.load_generator import LoadGenerator
from testkit.ports import free_port
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.process_memory import SPARE_MB, memory_mb, peak_under_slow_clients_mb
from tests.service.harness import FakeServers, run

ROOT = Path(__file__).parent.parent.parent


class ServeProcess:
    """A `sandhatch serve` process with its state directory, configuration file and control socket."""

    def __init__(self, tmp: Path, port: int) -> None:
        self.tmp = tmp
        self.port = port
        self.file = tmp / "own.yaml"
        self.state = tmp / "state"
        self.control = str(tmp / "c.sock")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, **env: str) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sandhatch",
            "serve",
            str(self.file),
            "--control",
            self.control,
            "--state",
            str(self.state),
            cwd=ROOT,
            env=dict(os.environ) | env,
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while True:
                try:
                    if (await self.call("status"))["ok"]:
                        return
                except (OSError, ValueError):
                    await asyncio.sleep(0.02)

    async def call(self, op: str, **arguments: Any) -> dict[str, Any]:
        reader, writer = await asyncio.open_unix_connection(self.control)
        try:
            writer.write(encode({"op": op} | arguments))
            response = json.loads(await reader.readline())
            assert isinstance(response, dict)
            return response
        finally:
            writer.close()

    async def kill(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


@asynccontextmanager
async def serve_process(tmp: Path) -> AsyncIterator[tuple[ServeProcess, FakeServers, dict[str, Any]]]:
    fake_servers = await FakeServers().start("a1", "b1", "o1")
    port = free_port()
    first = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
    first["listeners"]["front"]["address"] = f"127.0.0.1:{port}"
    program = ServeProcess(tmp, port)
    program.file.write_text(json.dumps(first))
    try:
        yield program, fake_servers, first
    finally:
        if program.process is not None:
            await program.kill()
        fake_servers.close()


def config_with_b1(first: dict[str, Any], fake_servers: FakeServers) -> dict[str, Any]:
    return first | {"pools": {"web": fake_servers.pool("b1"), "orders": fake_servers.pool("o1")}}


async def responding_server(port: int) -> bytes:
    async with HttpClient(port) as client:
        client.send_request()
        return (await client.read_response()).body


@pytest.mark.parametrize("step", ["propose", "commit", "in force", "confirm", "rollback"])
def test_confirmed_version_is_active_after_sigkill_at_any_step_of_a_change(tmp_path: Path, step: str) -> None:
    """The process gets SIGKILL after `step`, for `commit` during the call; once the process is started again,
    the version that was confirmed last serves requests.
    """

    async def scenario() -> None:
        async with serve_process(tmp_path) as (program, fake_servers, first):
            await program.start()
            assert await responding_server(program.port) == b"a1"
            proposed = await program.call("propose", text=json.dumps(config_with_b1(first, fake_servers)))
            expected = {b"a1"}
            if step == "commit":  # the kill interrupts staging, saving or activation at an arbitrary point
                call = asyncio.create_task(program.call("commit", proposal=1, confirm_within_ms=60_000))
                await asyncio.sleep(0.005)
                await program.kill()
                await asyncio.gather(call, return_exceptions=True)
            elif step != "propose":
                done = await program.call("commit", proposal=proposed["proposal"], confirm_within_ms=60_000)
                assert done["state"] == "in force"
                assert await responding_server(program.port) == b"b1"
                if step == "confirm":
                    assert (await program.call("confirm"))["state"] == "confirmed"
                    expected = {b"b1"}
                elif step == "rollback":
                    assert (await program.call("rollback"))["state"] == "taken back"
            await program.kill()
            await program.start()
            assert {await responding_server(program.port) for _ in range(5)} == expected
            history = (await program.call("history"))["versions"]
            if step == "in force":
                assert history[-1]["state"] == "lost"
            status = await program.call("status")
            assert status["in_force"] == status["confirmed"]
            assert status["pending"] is None

    run(scenario())


def test_unconfirmed_version_of_a_killed_process_is_not_used_after_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with serve_process(tmp_path) as (program, fake_servers, first):
            await program.start()
            await program.call("propose", text=json.dumps(config_with_b1(first, fake_servers)))
            await program.call("commit", proposal=1, confirm_within_ms=60_000)
            await program.kill()
            history = History(str(program.state))
            saved = history.load()
            history.close()
            assert saved is not None
            assert (saved.confirmed, saved.lost_version) == (1, 2)
            await program.start()
            # The lost version's number is not reused.
            await program.call("propose", text=json.dumps(config_with_b1(first, fake_servers)))
            assert (await program.call("commit", proposal=1))["version"] == 3

    run(scenario())


def test_concurrent_sighup_sigterm_and_commit_lose_no_request(tmp_path: Path) -> None:
    """Under load, every response has status 200, each request that a server runs gets one response, and the
    process exits with status 0.
    """

    async def scenario() -> None:
        async with serve_process(tmp_path) as (program, fake_servers, first):
            await program.start()
            load = LoadGenerator(
                program.port, fake_servers.request_log, lambda _rng: ("look", "/"), clients=4, pause_s=0.002
            )
            assert program.process is not None
            program.file.write_text(json.dumps(first | {"name": "renamed"}))
            await program.call("propose", text=json.dumps(config_with_b1(first, fake_servers)))
            commit = asyncio.create_task(program.call("commit", proposal=1, confirm_within_ms=60_000))
            program.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0)
            program.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                assert await program.process.wait() == 0
            load._stopping.set()
            await asyncio.gather(*load._tasks, commit, return_exceptions=True)
            assert set(fake_servers.request_log.statuses()) == {200}
            ran = [entry for entry in fake_servers.request_log.entries.values() if entry.ran]
            assert ran
            assert all(len(entry.responses) == 1 for entry in ran)

    run(scenario())


def test_sighup_applies_a_valid_file_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with serve_process(tmp_path) as (program, fake_servers, first):
            await program.start()
            assert program.process is not None
            program.file.write_text("format: [")
            program.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            assert await responding_server(program.port) == b"a1"
            program.file.write_text(json.dumps(config_with_b1(first, fake_servers)))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while await responding_server(program.port) != b"b1":
                    program.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.05)
            assert (await program.call("history"))["versions"][-1]["author"] == "SIGHUP"

    run(scenario())


def test_slow_clients_do_not_bring_the_process_over_its_memory_limit(tmp_path: Path) -> None:
    """Guards against a process that is killed for memory: a quarter of the limit was given to buffers even if
    the program itself left less.
    """

    async def scenario() -> None:
        async with serve_process(tmp_path) as (program, _, first):
            await program.start()
            assert program.process is not None
            limit_mb = memory_mb(program.process.pid, "VmRSS") + SPARE_MB
            await program.kill()
            program.state = tmp_path / "state-with-limit"
            program.file.write_text(json.dumps(first | {"limits": {"memory_mb": limit_mb, "sockets": 1024}}))
            await program.start()
            assert await peak_under_slow_clients_mb(program.process.pid, program.port) <= limit_mb

    run(scenario())
