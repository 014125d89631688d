"""A planner and a forwarder as processes, and the planner's subcommands on the command line."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from io import StringIO
from pathlib import Path
from typing import Any, NamedTuple

from sandhatch.cli.commands import main
from testkit.clients import HttpClient
from testkit.ports import free_port
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.service.harness import FakeServers, run


class CommandResult(NamedTuple):
    """A subcommand's exit code and output."""

    code: int
    out: str
    err: str


def run_command(*arguments: str) -> CommandResult:
    out = StringIO()
    err = StringIO()
    code = main(arguments, out, err)
    return CommandResult(code, out.getvalue(), err.getvalue())


async def spawn(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "sandhatch", *arguments, stderr=asyncio.subprocess.PIPE
    )


async def query(*arguments: str) -> dict[str, Any]:
    """Run a command and return its JSON output; uses a thread, since the command blocks."""
    _, out, err = await asyncio.to_thread(run_command, *arguments, "--json")
    assert not err, err
    response: dict[str, Any] = json.loads(out)
    return response


def new_key(path: Path) -> str:
    """Create a key file; returns the public key."""
    code, out, _ = run_command("planner", "key", str(path))
    assert code == 0
    public_key = out.split()[-1]
    assert path.stat().st_mode & 0o777 == 0o600
    assert run_command("planner", "public", str(path)).out.split() == [public_key]
    return public_key


def write_planner_file(tmp_path: Path, port: int, forwarder_public_key: str) -> Path:
    file = tmp_path / "planner.yaml"
    file.write_text(
        f"format: 1\nname: p0\nlisten: 127.0.0.1:{port}\nprivate_key_file: {tmp_path}/planner.key\n"
        f"forwarders:\n  web-1: '{forwarder_public_key}'\n"
    )
    assert run_command("planner", "check", str(file)).code == 0
    return file


def write_forwarder_file(
    tmp_path: Path, fake_servers: FakeServers, listen_port: int, planner_port: int, planner_public_key: str
) -> Path:
    planning = {
        "name": "web-1",
        "place": 1,
        "private_key_file": str(tmp_path / "forwarder.key"),
        "most_lease_ms": 3_100,
        "planners": {"p0": {"address": f"127.0.0.1:{planner_port}", "public_key": planner_public_key}},
    }
    pool = fake_servers.pool("w1", "w2", copies=2, ramp_per_s=50)
    data = fake_servers.config(pool, fake_servers.pool("o1", planned=False), planning=planning)
    data["listeners"] = {"front": {"address": f"127.0.0.1:{listen_port}"}}
    file = tmp_path / "forwarder.json"
    file.write_text(json.dumps(data))
    return file


async def check_status(planner_control: str, forwarder_control: str, address: str) -> None:
    """Check the output of the status commands on both control sockets for the server at this address."""
    status_command = ("planner", "status", "--control", planner_control)
    status = await query("status", "--control", forwarder_control)
    assert status["planning"]["lends_to"] == "p0"
    planner_status = await query(*status_command)
    assert [row["name"] for row in planner_status["forwarders"]] == ["web-1"]
    assert [(row["pool"], row["of"]) for row in planner_status["pools"]] == [("web", 2)]
    (server_row,) = (await query(*status_command, "--explain", address))["servers"]
    assert (server_row["listed_by"], server_row["weight"]) == (1, 1.0)
    for arguments in (
        ("status", "--control", forwarder_control),
        status_command,
        (*status_command, "--explain", address),
    ):
        code, out, err = await asyncio.to_thread(run_command, *arguments)
        assert code == 0
        assert out
        assert not err
    code, _, err = await asyncio.to_thread(run_command, *status_command, "--explain", "10.9.9.9:1")
    assert code == 1
    assert "no forwarder has named server 10.9.9.9:1" in err


def test_a_planner_and_a_forwarder_started_from_the_command_line_connect(tmp_path: Path) -> None:
    planner_public_key = new_key(tmp_path / "planner.key")
    forwarder_public_key = new_key(tmp_path / "forwarder.key")
    code, _, err = run_command("planner", "key", str(tmp_path / "planner.key"))
    assert code == 1
    assert "File exists" in err
    planner_port = free_port()
    listen_port = free_port()
    planner_file = write_planner_file(tmp_path, planner_port, forwarder_public_key)
    planner_control = str(tmp_path / "p.sock")
    forwarder_control = str(tmp_path / "f.sock")

    async def scenario() -> None:
        fake_servers = await FakeServers().start("w1", "w2", "o1")
        forwarder_file = write_forwarder_file(
            tmp_path, fake_servers, listen_port, planner_port, planner_public_key
        )
        planner = await spawn("planner", "run", str(planner_file), "--control", planner_control)
        forwarder = await spawn("serve", str(forwarder_file), "--control", forwarder_control)
        assert planner.stderr is not None
        assert forwarder.stderr is not None
        try:
            async with asyncio.timeout(3 * RESPONSE_TIMEOUT_S):
                assert b"planner p0 at 127.0.0.1" in await planner.stderr.readline()
                while b"leases its own shares to planner p0" not in await forwarder.stderr.readline():
                    pass
            async with HttpClient(listen_port) as client:
                for _ in range(4):
                    client.send_request()
                    assert (await client.read_response()).status == 200
            await check_status(planner_control, forwarder_control, fake_servers.address("w1"))
        finally:
            for process in (planner, forwarder):
                process.send_signal(signal.SIGTERM)
            for process in (planner, forwarder):
                await process.communicate()
        assert (planner.returncode, forwarder.returncode) == (0, 0)
        fake_servers.close()

    run(scenario())


def test_errors_in_a_planners_configuration_name_file_line_and_key(tmp_path: Path) -> None:
    file = tmp_path / "planner.yaml"

    def errors(text: str) -> str:
        file.write_text(text)
        code, out, err = run_command("planner", "check", str(file))
        assert code == 1
        assert not out
        return err.replace(str(file), "FILE")

    assert "FILE:3: listen: expected an IPv4 address and port, such as 127.0.0.1:8080, got 'here'" in errors(
        "format: 1\nname: p0\nlisten: here\nshared_key_file: k\n"
    )
    assert "expected exactly one of shared_key_file and private_key_file, got none" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\n"
    )
    assert "lend_ms: expected at least 2500, 1.25 times lease_ms, got 2000" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\nshared_key_file: k\nlend_ms: 2000\n"
    )
    assert "forwarders: expected their public keys, since there is a private_key_file" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\nprivate_key_file: k\n"
    )
    assert "FILE:5: lease: unknown key with 3 as its value" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\nshared_key_file: k\nlease: 3\n"
    )
    assert "FILE: expected a mapping of keys, got a list" in errors("- 1\n")
    assert "No such file" in run_command("planner", "check", str(tmp_path / "none")).err


def test_a_planner_whose_key_file_cannot_be_read_does_not_start(tmp_path: Path) -> None:
    file = tmp_path / "planner.yaml"
    file.write_text(f"format: 1\nname: p0\nlisten: 127.0.0.1:0\nshared_key_file: {tmp_path}/none\n")
    code, _, err = run_command("planner", "run", str(file), "--control", str(tmp_path / "c"))
    assert code == 1
    assert "none: No such file or directory" in err


def test_a_status_query_without_a_running_planner_returns_exit_code_3(tmp_path: Path) -> None:
    assert run_command("planner", "status", "--control", str(tmp_path / "none")).code == 3
