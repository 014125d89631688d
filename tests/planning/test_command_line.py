"""A planner and a forwarder as processes, and the planner's verbs on the command line."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from io import StringIO
from pathlib import Path
from typing import Any

from sandhatch.cli.commands import main
from testkit.clients import HttpClient
from testkit.ports import free_port
from testkit.wire import PATIENCE_S
from tests.service.harness import Farm, run


def run_command(*arguments: str) -> tuple[int, str, str]:
    out, err = StringIO(), StringIO()
    code = main(arguments, out, err)
    return code, out.getvalue(), err.getvalue()


async def spawn(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "sandhatch", *arguments, stderr=asyncio.subprocess.PIPE
    )


async def query(*arguments: str) -> dict[str, Any]:
    """The answer as JSON; on a thread, since the command blocks."""
    _, out, err = await asyncio.to_thread(run_command, *arguments, "--json")
    assert not err, err
    answer: dict[str, Any] = json.loads(out)
    return answer


def test_a_planner_and_a_forwarder_started_from_the_command_line_find_each_other(tmp_path: Path) -> None:
    planner_key, forwarder_key = str(tmp_path / "planner.key"), str(tmp_path / "forwarder.key")
    publics = []
    for path in (planner_key, forwarder_key):
        code, out, _ = run_command("planner", "key", path)
        assert code == 0
        publics.append(out.split()[-1])
        assert os.stat(path).st_mode & 0o777 == 0o600
        assert run_command("planner", "public", path)[1].split() == [publics[-1]]
    code, _, err = run_command("planner", "key", planner_key)
    assert code == 1 and "File exists" in err
    port = free_port()
    planner_file, control = tmp_path / "planner.yaml", str(tmp_path / "p.sock")
    planner_file.write_text(
        f"format: 1\nname: p0\nlisten: 127.0.0.1:{port}\nprivate_key_file: {planner_key}\n"
        f"forwarders:\n  web-1: '{publics[1]}'\n"
    )
    assert run_command("planner", "check", str(planner_file))[0] == 0

    async def work() -> None:
        farm = await Farm().start("w1", "w2", "o1")
        front = free_port()
        pool = farm.pool("w1", "w2", copies=2, ramp_per_s=50)
        planning = {
            "name": "web-1",
            "place": 1,
            "private_key_file": forwarder_key,
            "most_lease_ms": 3_100,
            "planners": {"p0": {"address": f"127.0.0.1:{port}", "public_key": publics[0]}},
        }
        data = farm.config(pool, farm.pool("o1", planned=False), planning=planning)
        data["listeners"] = {"front": {"address": f"127.0.0.1:{front}"}}
        file, socket = tmp_path / "forwarder.json", str(tmp_path / "f.sock")
        file.write_text(json.dumps(data))
        planner = await spawn("planner", "run", str(planner_file), "--control", control)
        forwarder = await spawn("serve", str(file), "--control", socket)
        assert planner.stderr is not None and forwarder.stderr is not None
        try:
            async with asyncio.timeout(3 * PATIENCE_S):
                assert b"planner p0 at 127.0.0.1" in await planner.stderr.readline()
                while b"leases its own shares to planner p0" not in await forwarder.stderr.readline():
                    pass
            async with HttpClient(front) as client:
                for _ in range(4):
                    client.ask()
                    assert (await client.answer()).status == 200
            status = await query("status", "--control", socket)
            assert status["planning"]["lends_to"] == "p0"
            known = await query("planner", "status", "--control", control)
            assert [row["name"] for row in known["forwarders"]] == ["web-1"]
            assert [(row["pool"], row["of"]) for row in known["pools"]] == [("web", 2)]
            address = farm.address("w1")
            (told,) = (await query("planner", "status", "--control", control, "--explain", address))[
                "servers"
            ]
            assert (told["listed_by"], told["weight"]) == (1, 1.0)
            for arguments in (
                ("status", "--control", socket),
                ("planner", "status", "--control", control),
                ("planner", "status", "--control", control, "--explain", address),
            ):
                code, out, err = await asyncio.to_thread(run_command, *arguments)
                assert code == 0 and out and not err
            code, _, err = await asyncio.to_thread(
                run_command, "planner", "status", "--control", control, "--explain", "10.9.9.9:1"
            )
            assert code == 1 and "no forwarder has named server 10.9.9.9:1" in err
        finally:
            for process in (planner, forwarder):
                process.send_signal(signal.SIGTERM)
            for process in (planner, forwarder):
                await process.communicate()
        assert (planner.returncode, forwarder.returncode) == (0, 0)
        farm.close()

    run(work())


def test_errors_in_a_planners_configuration_name_file_line_and_key(tmp_path: Path) -> None:
    file = tmp_path / "planner.yaml"

    def errors(text: str) -> str:
        file.write_text(text)
        code, out, err = run_command("planner", "check", str(file))
        assert code == 1 and not out
        return err.replace(str(file), "FILE")

    assert "FILE:3: listen: 'here': an IPv4 address and port is wanted" in errors(
        "format: 1\nname: p0\nlisten: here\nshared_key_file: k\n"
    )
    assert "either shared_key_file or private_key_file is wanted" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\n"
    )
    assert "lend_ms 2000 is below 1.25 times lease_ms, 2500" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\nshared_key_file: k\nlend_ms: 2000\n"
    )
    assert "forwarders names the public keys" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\nprivate_key_file: k\n"
    )
    assert "FILE:5: lease: 3: no such key here" in errors(
        "format: 1\nname: p0\nlisten: 127.0.0.1:0\nshared_key_file: k\nlease: 3\n"
    )
    assert "holds no mapping" in errors("- 1\n")
    assert "No such file" in run_command("planner", "check", str(tmp_path / "none"))[2]


def test_a_planner_whose_key_file_cannot_be_read_does_not_start(tmp_path: Path) -> None:
    file = tmp_path / "planner.yaml"
    file.write_text(f"format: 1\nname: p0\nlisten: 127.0.0.1:0\nshared_key_file: {tmp_path}/none\n")
    code, _, err = run_command("planner", "run", str(file), "--control", str(tmp_path / "c"))
    assert code == 1 and "none: No such file or directory" in err


def test_a_status_query_without_a_running_planner_has_its_own_exit_code(tmp_path: Path) -> None:
    assert run_command("planner", "status", "--control", str(tmp_path / "none"))[0] == 3
