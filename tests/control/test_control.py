"""The control socket: calls, malformed calls, stalled peers, many peers, and the command line as a client."""

from __future__ import annotations

import asyncio
import io
import json
import os
import stat
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import yaml

from sandhatch.cli import commands as cli
from sandhatch.config.version import State
from sandhatch.control.calls import Calls
from sandhatch.control.errors import CallError, ControlError
from sandhatch.control.framing import LineReader, encode
from sandhatch.control.server import ControlServer
from testkit.clients import HttpClient
from tests.service.harness import FakeServers, RunningService, run, serving

SOCKET_NAME = "c.sock"


class Peer:
    """A connection to the control socket."""

    def __init__(self, path: str) -> None:
        self._path = path

    async def __aenter__(self) -> Peer:
        self.reader, self.writer = await asyncio.open_unix_connection(self._path, limit=2**26)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def call(self, op: str, **arguments: Any) -> dict[str, Any]:
        self.writer.write(encode({"op": op} | arguments))
        return await self.read_response()

    async def read_response(self) -> dict[str, Any]:
        line = await self.reader.readline()
        assert line, "connection closed without a response"
        response = json.loads(line)
        assert isinstance(response, dict)
        return response


@asynccontextmanager
async def service_with_control_socket(
    tmp: Path, call_timeout_s: float = 10.0
) -> AsyncIterator[tuple[RunningService, FakeServers, str]]:
    fake_servers = await FakeServers().start("a1", "b1", "o1")
    async with serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running:
        path = str(tmp / SOCKET_NAME)
        server = ControlServer(Calls(running.service), running.service.logger, path, call_timeout_s)
        await server.start()
        try:
            yield running, fake_servers, path
        finally:
            await server.stop()
    fake_servers.close()


def file_mode(path: str) -> int:
    return Path(path).stat().st_mode


def changed_config(fake_servers: FakeServers, **more: Any) -> str:
    return json.dumps(fake_servers.config(fake_servers.pool("b1", **more), fake_servers.pool("o1")))


def test_calls_propose_commit_and_roll_back_a_change(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            service_with_control_socket(tmp_path) as (running, fake_servers, path),
            Peer(path) as peer,
            HttpClient(running.port) as client,
        ):
            assert stat.S_IMODE(file_mode(path)) == 0o600
            proposed = await peer.call("propose", text=changed_config(fake_servers), base=1, comment="to b")
            assert proposed["ok"]
            assert proposed["changes"] == 2
            diff = await peer.call("diff", proposal=proposed["proposal"])
            assert any("b1.address" in line for line in diff["changes"])
            done = await peer.call("commit", proposal=proposed["proposal"], confirm_within_ms=60_000)
            assert done["state"] == "in force"
            assert done["confirm_in_ms"] > 50_000
            client.send_request()
            assert (await client.read_response()).body == b"b1"
            status = await peer.call("status")
            assert (status["in_force"], status["confirmed"], status["pending"]["version"]) == (2, 1, 2)
            assert (await peer.call("extend", within_ms=90_000))["confirm_in_ms"] > 80_000
            assert (await peer.call("rollback"))["state"] == "taken back"
            client.send_request()
            assert (await client.read_response()).body == b"a1"
            history = await peer.call("history")
            assert [row["state"] for row in history["versions"]] == ["confirmed", "taken back"]
            shown = yaml.safe_load((await peer.call("show"))["text"])
            assert list(shown["pools"]["web"]["servers"]) == ["a1"]

    run(scenario())


@pytest.mark.parametrize(
    "call",
    [
        {},
        {"op": 5},
        {"op": "reboot"},
        {"op": "status", "extra": 1},
        {"op": "propose"},
        {"op": "propose", "text": 5},
        {"op": "propose", "text": "a: [", "base": 1},
        {"op": "propose", "text": "{}", "base": True},
        {"op": "propose", "text": "{}", "base": 99},
        {"op": "commit", "proposal": 99},
        {"op": "commit", "proposal": "1"},
        {"op": "commit", "proposal": 1, "confirm_within_ms": -1},
        {"op": "commit", "proposal": 1, "confirm_within_ms": 1e300},
        {"op": "confirm"},
        {"op": "extend"},
        {"op": "rollback"},
        {"op": "rollback", "to": 44},
        {"op": "abort", "proposal": 1},
        {"op": "show", "version": 12},
        {"op": "diff"},
        {"op": "check", "text": "x"},
    ],
)
def test_invalid_call_is_rejected_with_a_reason_and_changes_nothing(
    tmp_path: Path, call: dict[str, Any]
) -> None:
    async def scenario() -> None:
        async with service_with_control_socket(tmp_path) as (running, _, path), Peer(path) as peer:
            peer.writer.write(encode(call))
            response = await peer.read_response()
            assert response["ok"] is False
            assert response["text"]
            assert response["why"] != "internal"
            assert (await peer.call("status"))["ok"]  # the connection stays usable
            assert running.service.transactions.active.number == 1

    run(scenario())


@pytest.mark.parametrize(
    "malformed", [b"GET / HTTP/1.1\r\n\r\n", b"\x00\xff\n", b"[1]\n", b"5\n", b"[" * 9999 + b"\n"]
)
def test_malformed_input_gets_an_error_response_and_closes_the_connection(
    tmp_path: Path, malformed: bytes
) -> None:
    async def scenario() -> None:
        async with service_with_control_socket(tmp_path) as (_, _, path), Peer(path) as peer:
            peer.writer.write(malformed)
            response = await peer.read_response()
            assert response["ok"] is False
            assert response["why"] == "invalid"
            assert await peer.reader.read() == b""

    run(scenario())


def test_stalled_peer_is_disconnected_and_delays_no_other_peer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            service_with_control_socket(tmp_path, call_timeout_s=0.2) as (_, _, path),
            Peer(path) as stalled,
            Peer(path) as peer,
        ):
            stalled.writer.write(b'{"op": "status"')
            assert (await peer.call("status"))["ok"]
            assert await stalled.reader.read() == b""

    run(scenario())


def test_line_over_the_size_limit_is_rejected_and_not_buffered() -> None:
    reader = LineReader(1000)
    for _ in range(10):
        assert reader.feed(b"x" * 100) == []
    with pytest.raises(CallError, match="more than 1000 bytes"):
        reader.feed(b"x")
    assert reader.buffered_bytes == 0
    assert LineReader().feed(b'{"a":1}\n{"b":2}\n{"c"') == [{"a": 1}, {"b": 2}]


def test_line_received_byte_by_byte_occupies_about_the_counted_bytes() -> None:
    # Guards against a line in many small reads that takes many times the memory of its limit.
    received_bytes = 200_000
    reader = LineReader()
    tracemalloc.start()
    try:
        for number in range(received_bytes):
            reader.feed(b"%d" % (number % 10))
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert reader.buffered_bytes == received_bytes
    assert used_bytes < 1.5 * received_bytes


def test_exactly_one_of_two_hundred_concurrent_commits_succeeds(tmp_path: Path) -> None:
    """Each commit has its own connection and proposes a different value for the same key."""

    async def scenario() -> None:
        async with service_with_control_socket(tmp_path) as (running, fake_servers, path):

            async def propose_and_commit(number: int) -> dict[str, Any]:
                async with Peer(path) as peer:
                    text = changed_config(fake_servers, max_connections=50 + number)
                    proposed = await peer.call("propose", text=text, base=1)
                    if not proposed["ok"]:
                        return proposed
                    return await peer.call("commit", proposal=proposed["proposal"], wait=True)

            responses = await asyncio.gather(*(propose_and_commit(number) for number in range(200)))
            succeeded = [number for number, response in enumerate(responses) if response["ok"]]
            assert len(succeeded) == 1
            assert responses[succeeded[0]]["state"] == "confirmed"
            for response in responses:
                if not response["ok"]:
                    assert response["why"] == "conflict"
                    assert "pools.web.max_connections" in response["keys"]
            data = running.service.transactions.active.data
            assert data["pools"]["web"]["max_connections"] == 50 + succeeded[0]
            assert running.service.transactions.active.number == 2

    run(scenario())


def test_other_calls_get_responses_while_ten_thousand_routes_are_checked(tmp_path: Path) -> None:
    """A long configuration is checked on a thread, which leaves the event loop free; its commit succeeds."""

    async def scenario() -> None:
        async with (
            service_with_control_socket(tmp_path) as (running, fake_servers, path),
            Peer(path) as peer,
            Peer(path) as other,
        ):
            data = json.loads(changed_config(fake_servers))
            data["routes"] += [
                {"name": f"r{n}", "match": {"path": {"exact": f"/p/{n}"}}, "to": {"pool": "orders"}}
                for n in range(10_000)
            ]
            call = asyncio.create_task(peer.call("propose", text=json.dumps(data), base=1))
            for _ in range(5):
                await asyncio.sleep(0.01)
                assert (await other.call("status"))["ok"]
            assert not call.done()
            proposed = await call
            assert (await peer.call("commit", proposal=proposed["proposal"], wait=True))[
                "state"
            ] == "confirmed"
            async with HttpClient(running.port) as client:
                client.send_request(target="/p/9999")
                assert (await client.read_response()).body == b"o1"

    run(scenario())


def test_peer_of_another_user_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with service_with_control_socket(tmp_path) as (_, _, path):
            monkeypatch.setattr("sandhatch.control.server.peer_uid", lambda _socket: os.geteuid() + 4711)
            async with Peer(path) as peer:
                assert await peer.reader.read() == b""  # the server closes the connection without a response
            monkeypatch.undo()
            async with Peer(path) as peer:
                assert (await peer.call("status"))["ok"]

    run(scenario())


def test_start_does_not_replace_a_socket_in_use_or_another_file(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with service_with_control_socket(tmp_path) as (running, _, path):
            with pytest.raises(ControlError, match="another process listens"):
                await ControlServer(Calls(running.service), running.service.logger, path).start()
            (tmp_path / "file").write_text("mine")
            with pytest.raises(ControlError, match="another file"):
                await ControlServer(
                    Calls(running.service), running.service.logger, str(tmp_path / "file")
                ).start()
            assert (tmp_path / "file").read_text() == "mine"

    run(scenario())
    assert not (tmp_path / SOCKET_NAME).exists()


# ------------------------------------------------ the command line


class CommandResult(NamedTuple):
    """Exit code and output of one run of the command line."""

    code: int
    out: str
    err: str


def run_command(*arguments: str) -> CommandResult:
    out, err = io.StringIO(), io.StringIO()
    code = cli.main(arguments, out, err)
    return CommandResult(code, out.getvalue(), err.getvalue())


def test_check_reports_every_problem_and_verbs_return_their_error_codes(tmp_path: Path) -> None:
    good = Path(__file__).parent.parent.parent / "deploy" / "own-example.yaml"
    assert run_command("check", str(good)).code == 0
    bad = tmp_path / "bad.yaml"
    bad.write_text("format: 1\npools: 5\n")
    code, _, err = run_command("check", str(bad))
    assert code == 1
    assert f"{bad}:2: pools: expected a mapping, got 5" in err
    assert "classes: required key is missing" in err
    code, out, _ = run_command("check", "--json", str(bad))
    assert code == 1
    assert json.loads(out)["problems"][0]["line"] in (0, 2)
    assert run_command("check", str(tmp_path / "none")).code == 1
    assert run_command("nonsense").code == 2
    assert run_command("status", "--control", str(tmp_path / "no.sock")).code == 3


def test_file_that_is_not_utf8_is_rejected_with_an_error_message(tmp_path: Path) -> None:
    path = tmp_path / "wide.yaml"
    example = Path(__file__).parent.parent.parent / "deploy" / "own-example.yaml"
    path.write_text(example.read_text(), encoding="utf-16")
    code, _, err = run_command("propose", str(path))
    assert code == 1
    assert f"{path}: not UTF-8" in err


def test_verbs_make_their_calls_and_return_their_exit_codes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with service_with_control_socket(tmp_path) as (running, fake_servers, path):

            async def run_verb(*arguments: str) -> CommandResult:
                verb, *rest = arguments
                return await asyncio.to_thread(run_command, verb, "--control", path, *rest)

            first = tmp_path / "first.yaml"
            second = tmp_path / "second.yaml"
            first.write_text(changed_config(fake_servers, max_attempts=3))
            second.write_text(changed_config(fake_servers, max_attempts=4))
            assert (await run_verb("propose", str(first), "--base", "1")).out.startswith("proposal 1: 3 keys")
            assert (await run_verb("propose", str(second), "--base", "1")).code == 0
            assert "max_attempts" in (await run_verb("diff", "--proposal", "1")).out
            code, out, _ = await run_verb("commit", "1", "--confirm-within", "60")
            assert code == 0
            assert "version 2: in force" in out
            assert "rolled back unless confirmed" in out
            code, _, err = await run_verb("commit", "2")
            assert code == 4
            assert "pools.web.max_attempts" in err
            assert (await run_verb("status")).out.startswith("sandhatch: version 2 in force, 1 confirmed")
            assert (await run_verb("confirm"))[:2] == (0, "version 2: confirmed\n")
            assert (await run_verb("rollback")).code == 0
            await running.wait_until(lambda: running.service.transactions.active.number == 3)
            assert "confirmed" in (await run_verb("history")).out
            assert json.loads((await run_verb("status", "--json")).out)["in_force"] == 3
            assert (await run_verb("abort", "2")).code == 0
            assert (await run_verb("abort", "2")).code == 1
            assert "web:" in (await run_verb("show")).out
            assert running.service.lifecycle.versions[3].state is State.CONFIRMED

    run(scenario())
