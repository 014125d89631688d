"""Output and exit codes of the verbs for the responses of a service."""

from __future__ import annotations

import argparse
import io
from typing import Any

import pytest

from sandhatch.cli import changes, status
from sandhatch.cli.commands import main
from sandhatch.cli.console import Console, ExitCode
from sandhatch.cli.service_call import Response, call_service

STATUS: Response = {
    "ok": True,
    "name": "edge",
    "in_force": 2,
    "confirmed": 1,
    "pending": {"version": 2, "state": "in force", "why": "", "confirm_in_ms": 1500},
    "pools": {
        "0a1b": {"pool": "web", "versions": "2", "ready": 1, "servers": 1, "connections": 0, "requests": 0}
    },
    "listeners": [{"name": "front", "address": "127.0.0.1:8080 front", "connections": 0}],
    "bodies": {"open": 0, "most_open": 3, "bytes": 4096, "peak_bytes": 1024},
    "memory": {"held_bytes": 0, "most_bytes": 65536},
    "planning": None,
    "proposals": [],
}


@pytest.fixture
def console() -> Console:
    return Console(io.StringIO(), io.StringIO())


def printed(console: Console) -> str:
    assert isinstance(console.out, io.StringIO)
    return console.out.getvalue()


class FakeClient:
    """Gives every call the same response, in place of a control socket, and records the operations called."""

    def __init__(self, response: Response) -> None:
        self.response = response
        self.operations: list[str] = []
        self.connected_path = ""

    def connect(self, path: str, timeout_s: float) -> FakeClient:
        assert timeout_s > 0.0
        self.connected_path = path
        return self

    def __enter__(self) -> FakeClient:
        return self

    def __exit__(self, *_: object) -> None:
        return

    def call(self, operation: str) -> Response:
        self.operations.append(operation)
        return self.response


@pytest.mark.parametrize(
    ("verb", "response", "code"),
    [
        ("commit", {"ok": True, "state": "in force"}, ExitCode.OK),
        ("commit", {"ok": True, "state": "failed"}, ExitCode.FAILED),
        ("commit", {"ok": True, "state": "taken back"}, ExitCode.FAILED),
        ("confirm", {"ok": True, "state": "lost"}, ExitCode.FAILED),
        ("rollback", {"ok": True, "state": "taken back"}, ExitCode.OK),
        ("commit", {"ok": False, "why": "conflict"}, ExitCode.CONFLICT),
        ("commit", {"ok": False, "why": "busy"}, ExitCode.BUSY),
        ("propose", {"ok": False, "why": "too many proposals"}, ExitCode.BUSY),
        ("abort", {"ok": False, "why": "unknown"}, ExitCode.FAILED),
    ],
)
def test_each_response_leads_to_its_exit_code(
    verb: str, response: Response, code: ExitCode, monkeypatch: pytest.MonkeyPatch, console: Console
) -> None:
    service = FakeClient(response)
    monkeypatch.setattr("sandhatch.cli.service_call.Client", service.connect)
    args = argparse.Namespace(verb=verb, json=False, control="unused.sock")
    assert call_service(args, console, lambda _args: {}, lambda _response, _console: None) == code
    assert service.operations == [verb]
    assert service.connected_path == "unused.sock"


def test_exit_codes_match_the_help_text(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--help"]) == 0
    described = " ".join(capsys.readouterr().out.split())
    assert [int(code) for code in ExitCode] == [0, 1, 2, 3, 4, 5]
    for words in (
        "0 done",
        "1 the configuration has errors",
        "2 wrong usage",
        "3 no service",
        "4 the change",
    ):
        assert words in described


def test_status_shows_pending_version_and_remaining_time(console: Console) -> None:
    status._show_status(STATUS, console)
    lines = printed(console).splitlines()
    assert lines[0] == "edge: version 2 in force, 1 confirmed"
    assert lines[1] == "version 2: in force"
    assert lines[2] == "rolled back unless confirmed in 1.5 s"
    assert lines[-1].startswith("streamed bodies: 0 open, at most 3 at once, 4096 bytes so far")


@pytest.mark.parametrize(
    ("planning", "line"),
    [
        ({"lends_to": None, "own_parts_in_ms": 0}, "web-1: uses its own shares"),
        ({"lends_to": None, "own_parts_in_ms": 250}, "web-1: uses its own shares in 250 ms"),
        ({"lends_to": "p0", "own_parts_in_ms": 0}, "web-1: its shares are leased to planner p0"),
    ],
)
def test_status_shows_who_uses_the_forwarders_shares(
    planning: dict[str, Any], line: str, console: Console
) -> None:
    status._show_status(STATUS | {"planning": planning | {"forwarder": "web-1", "planners": []}}, console)
    assert line in printed(console).splitlines()


def test_diff_without_changes_prints_that_no_key_differs(console: Console) -> None:
    changes._show_diff({"ok": True, "changes": []}, console)
    assert printed(console) == "no key differs\n"
