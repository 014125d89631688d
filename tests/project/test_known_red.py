"""The list of known red tests, tried in a project of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.conftest import KNOWN_RED_FILE, parse_known_red

CONFTEST = Path(__file__).parents[1] / "conftest.py"
TESTS = """
def test_sound():
    pass

def test_red():
    assert 1 == 2

def test_red_too():
    assert 1 == 2
"""


class PytestRun(NamedTuple):
    """Exit status and output of a run of all tests."""

    code: int
    out: str


def run_pytest(tmp: Path, lines: str | None, tests: str = TESTS) -> PytestRun:
    (tmp / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp / "tests").mkdir()
    (tmp / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (tmp / "tests" / "test_some.py").write_text(tests)
    if lines is not None:
        (tmp / KNOWN_RED_FILE).write_text(lines)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    process = subprocess.run(command, cwd=tmp, capture_output=True, text=True, timeout=60, check=False)
    return PytestRun(process.returncode, process.stdout + process.stderr)


RED = "tests/test_some.py::test_red | a fault | issue 7\n"
RED_TOO = "tests/test_some.py::test_red_too | another | issue 8\n"


def test_listed_tests_are_expected_failures_printed_with_their_cause(tmp_path: Path) -> None:
    code, out = run_pytest(tmp_path, RED + "\n" + RED_TOO)
    assert code == 0
    assert "1 passed, 2 xfailed" in out
    assert "known red: tests/test_some.py::test_red: a fault (issue 7)" in out


def test_a_red_test_that_is_not_listed_fails(tmp_path: Path) -> None:
    code, out = run_pytest(tmp_path, RED)
    assert code == 1
    assert "1 failed" in out


@pytest.mark.parametrize("lines", [None, "", "\n \n"])
def test_an_empty_or_absent_file_is_the_normal_state(lines: str | None, tmp_path: Path) -> None:
    code, out = run_pytest(tmp_path, lines, "def test_sound():\n    pass\n")
    assert code == 0
    assert "1 passed" in out


def test_a_listed_test_that_passes_fails(tmp_path: Path) -> None:
    code, out = run_pytest(tmp_path, RED + RED_TOO + "tests/test_some.py::test_sound | mended | issue 9\n")
    assert code == 1
    assert "1 failed" in out


def test_a_line_that_names_no_test_fails(tmp_path: Path) -> None:
    code, out = run_pytest(tmp_path, RED + RED_TOO + "tests/test_some.py::test_none | gone | issue 9\n")
    assert code != 0
    assert "test_none names no test" in out


@pytest.mark.parametrize(
    ("lines", "wrong"),
    [
        ("tests/test_some.py::test_red\n", "is not"),
        ("tests/test_some.py::test_red | a fault\n", "is not"),
        ("tests/test_some.py::test_red | | issue 7\n", "is not"),
        ("a | b | c | d\n", "is not"),
        (RED + RED, "named twice"),
        ("".join(f"t::{n} | a | b\n" for n in range(4)), "4 lines, 3 at the most"),
    ],
)
def test_a_line_that_cannot_be_read_or_is_too_many_fails(lines: str, wrong: str, tmp_path: Path) -> None:
    with pytest.raises(ValueError, match=wrong):
        parse_known_red(lines)
    code, out = run_pytest(tmp_path, lines)
    assert code != 0
    assert wrong in out
