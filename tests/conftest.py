"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each of its lines reads `test id | cause | issue`, three at the most. A listed test runs and may fail: it is
reported as an expected failure and printed with its cause. One that passes, a line that names no test, and a
line that can't be read fail the run.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


class Known(NamedTuple):
    test: str
    cause: str
    issue: str


def read_known(text: str) -> list[Known]:
    """The file's lines; ValueError names the one that is wrong. Blank lines don't count."""
    known: list[Known] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE}:{number}: {line!r} is not `test id | cause | issue`")
        known.append(Known(*parts))
    if len(known) > MOST:
        raise ValueError(f"{FILE}: {len(known)} lines, {MOST} at the most")
    names = [item.test for item in known]
    if len(set(names)) < len(names):
        raise ValueError(f"{FILE}: a test is named twice")
    return known


def _known(config: pytest.Config) -> list[Known]:
    path = Path(config.rootpath) / FILE
    if not path.exists():
        return []
    try:
        return read_known(path.read_text(encoding="utf-8"))
    except ValueError as problem:
        raise pytest.UsageError(str(problem)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_name = {item.nodeid: item for item in items}
    for known in _known(config):
        item = by_name.get(known.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=True))
        elif _whole(config):
            raise pytest.UsageError(f"{FILE}: {known.test} names no test")


def _whole(config: pytest.Config) -> bool:
    """Whether all tests were asked for: in a part of them a listed one may be absent."""
    return not config.args or [Path(arg).name for arg in config.args] == list(config.getini("testpaths"))


@pytest.hookimpl(wrapper=True)
def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> Iterator[None]:
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail.removeprefix('reason: ')}")
    return (yield)
