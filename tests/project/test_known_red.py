"""The list of known red tests, tested by running pytest in a temporary project."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.conftest import KNOWN_RED_FILE, parse_known_red

CONFTEST = Path(__file__).parents[1] / "conftest.py"
TESTS = """
def test_passing():
    pass

def test_failing():
    assert 1 == 2

def test_also_failing():
    assert 1 == 2
"""


class PytestRun(NamedTuple):
    """Exit status and output of a pytest run."""

    exit_status: int
    output: str


def run_pytest(root: Path, lines: str | None, tests: str = TESTS) -> PytestRun:
    (root / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (root / "tests").mkdir()
    (root / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (root / "tests" / "test_some.py").write_text(tests)
    if lines is not None:
        (root / KNOWN_RED_FILE).write_text(lines)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    process = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=60, check=False)
    return PytestRun(process.returncode, process.stdout + process.stderr)


FAILING_LINE = "tests/test_some.py::test_failing | a fault | issue 7\n"
ALSO_FAILING_LINE = "tests/test_some.py::test_also_failing | another fault | issue 8\n"


def test_listed_tests_are_expected_failures_and_printed_with_their_cause(tmp_path: Path) -> None:
    exit_status, output = run_pytest(tmp_path, FAILING_LINE + "\n" + ALSO_FAILING_LINE)
    assert exit_status == 0
    assert "1 passed, 2 xfailed" in output
    assert "known red: tests/test_some.py::test_failing: a fault (issue 7)" in output


def test_failing_test_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    exit_status, output = run_pytest(tmp_path, FAILING_LINE)
    assert exit_status == 1
    assert "1 failed" in output


@pytest.mark.parametrize("lines", [None, "", "\n \n"])
def test_empty_or_absent_file_changes_nothing(lines: str | None, tmp_path: Path) -> None:
    exit_status, output = run_pytest(tmp_path, lines, "def test_passing():\n    pass\n")
    assert exit_status == 0
    assert "1 passed" in output


def test_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    exit_status, output = run_pytest(
        tmp_path, FAILING_LINE + ALSO_FAILING_LINE + "tests/test_some.py::test_passing | fixed | issue 9\n"
    )
    assert exit_status == 1
    assert "1 failed" in output


def test_line_without_an_existing_test_fails_the_run(tmp_path: Path) -> None:
    exit_status, output = run_pytest(
        tmp_path, FAILING_LINE + ALSO_FAILING_LINE + "tests/test_some.py::test_none | removed | issue 9\n"
    )
    assert exit_status != 0
    assert "tests/test_some.py::test_none does not exist" in output


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ("tests/test_some.py::test_failing\n", "malformed line"),
        ("tests/test_some.py::test_failing | a fault\n", "malformed line"),
        ("tests/test_some.py::test_failing | | issue 7\n", "malformed line"),
        ("a | b | c | d\n", "malformed line"),
        (FAILING_LINE + FAILING_LINE, "duplicate test id"),
        ("".join(f"t::{n} | a | b\n" for n in range(4)), "4 lines, at most 3 allowed"),
    ],
)
def test_malformed_duplicate_or_surplus_lines_fail_the_run(lines: str, message: str, tmp_path: Path) -> None:
    with pytest.raises(ValueError, match=message):
        parse_known_red(lines)
    exit_status, output = run_pytest(tmp_path, lines)
    assert exit_status != 0
    assert message in output
