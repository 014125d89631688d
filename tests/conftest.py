"""Support for KNOWN-RED.txt, the list of tests that fail because of a real fault that is not fixed yet.

The file has at most three lines of the form `test id | cause | issue`. A listed test runs and may fail: it is
reported as an expected failure and printed with its cause. A listed test that passes, a line whose test
doesn't exist, and a malformed line fail the run.
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
    """One line of KNOWN-RED.txt."""

    test_id: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRedTest]:
    """Parses the text of KNOWN-RED.txt; blank lines are skipped.

    Raises:
        ValueError: A line is malformed, there are too many lines, or a test is listed twice.
    """
    known: list[KnownRedTest] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(
                f"{KNOWN_RED_FILE}:{number}: malformed line {line!r}, expected `test id | cause | issue`"
            )
        known.append(KnownRedTest(*parts))
    if len(known) > MAX_KNOWN_RED:
        raise ValueError(f"{KNOWN_RED_FILE}: {len(known)} lines, at most {MAX_KNOWN_RED} allowed")
    test_ids = [entry.test_id for entry in known]
    if len(set(test_ids)) < len(test_ids):
        raise ValueError(f"{KNOWN_RED_FILE}: duplicate test id")
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
    """Returns whether all tests were selected; a listed test may be missing from a partial selection."""
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
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: {known.test_id} does not exist")


@pytest.hookimpl(wrapper=True)
def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> Iterator[None]:
    """Prints the expected failures with their causes."""
    for report in terminalreporter.getreports("xfailed"):
        cause = report.wasxfail.removeprefix("reason: ")
        terminalreporter.write_line(f"known red: {report.nodeid}: {cause}")
    return (yield)
