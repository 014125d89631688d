"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each of its lines reads `test id | cause | issue`, three at the most. A listed test runs and may fail: it is
reported as an expected failure and printed with its cause. One that passes, a line that names no test, and a
line that can't be read fail the run.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownRedTest:
    """A line of the file."""

    test_id: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRedTest]:
    """The file's lines, without the blank ones.

    Raises:
        ValueError: names the line that is wrong.
    """
    known: list[KnownRedTest] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{KNOWN_RED_FILE}:{number}: {line!r} is not `test id | cause | issue`")
        known.append(KnownRedTest(*parts))
    if len(known) > MAX_KNOWN_RED:
        raise ValueError(f"{KNOWN_RED_FILE}: {len(known)} lines, {MAX_KNOWN_RED} at the most")
    test_ids = [entry.test_id for entry in known]
    if len(set(test_ids)) < len(test_ids):
        raise ValueError(f"{KNOWN_RED_FILE}: a test is named twice")
    return known


def _read_known_red(config: pytest.Config) -> list[KnownRedTest]:
    path = Path(config.rootpath) / KNOWN_RED_FILE
    if not path.exists():
        return []
    try:
        return parse_known_red(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def _runs_all_tests(config: pytest.Config) -> bool:
    """Whether all tests were requested: in a part of them a listed one may be absent."""
    if not config.args:
        return True
    return [Path(argument).name for argument in config.args] == list(config.getini("testpaths"))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures."""
    items_by_id = {item.nodeid: item for item in items}
    for known in _read_known_red(config):
        item = items_by_id.get(known.test_id)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=True))
        elif _runs_all_tests(config):
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: {known.test_id} names no test")


@pytest.hookimpl(wrapper=True)
def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> Iterator[None]:
    """Prints the expected failures with their causes."""
    for report in terminalreporter.getreports("xfailed"):
        cause = report.wasxfail.removeprefix("reason: ")
        terminalreporter.write_line(f"known red: {report.nodeid}: {cause}")
    return (yield)
