"""The logger's limits on rate and length, and logging of unhandled errors."""

from __future__ import annotations

import asyncio
import sys

import pytest

from sandhatch.runtime import logger as logger_module
from sandhatch.runtime.logger import MAX_LINE_CHARS, MAX_LINES_PER_S, Logger, report_loop_errors


class SteppedTime:
    """A replacement for the `time` module whose monotonic time the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def stepped_time(monkeypatch: pytest.MonkeyPatch) -> SteppedTime:
    stepped = SteppedTime()
    monkeypatch.setattr(logger_module, "time", stepped)
    return stepped


def test_lines_beyond_the_limit_per_second_are_dropped_and_counted(
    stepped_time: SteppedTime, capsys: pytest.CaptureFixture[str]
) -> None:
    logger = Logger("a")
    for number in range(MAX_LINES_PER_S + 3):
        logger.write_line(f"line {number}")
    stepped_time.now_s += 1.0
    logger.write_line("next second")
    lines = capsys.readouterr().err.splitlines()
    assert lines[:MAX_LINES_PER_S] == [f"sandhatch a: line {number}" for number in range(MAX_LINES_PER_S)]
    assert lines[MAX_LINES_PER_S:] == ["sandhatch a: 3 log lines dropped", "sandhatch a: next second"]


def test_long_line_is_truncated(capsys: pytest.CaptureFixture[str]) -> None:
    Logger("a").write_line("x" * (MAX_LINE_CHARS + 1))
    assert capsys.readouterr().err == "sandhatch a: " + "x" * MAX_LINE_CHARS + "\n"


def test_errors_in_writing_the_log_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    class BrokenStream:
        def write(self, _text: str) -> int:
            raise OSError("scripted")

        def flush(self) -> None:
            raise OSError("scripted")

    monkeypatch.setattr(sys, "stderr", BrokenStream())
    Logger("a").write_line("lost")


def test_unhandled_error_is_logged_as_one_line_and_the_loop_continues(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        report_loop_errors(loop, Logger("a"))

        def fail() -> None:
            raise ValueError("scripted")

        loop.call_soon(fail)
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("sandhatch a: ")
    assert "ValueError: scripted" in line
