"""Log lines on standard error, bounded in rate and length.

It never raises, and keeps no line: one that can't be written is lost.
"""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from contextlib import suppress
from typing import Any

MAX_LINES_PER_S = 10
MAX_LINE_CHARS = 2000
MAX_TRACEBACK_FRAMES = 3


class Logger:
    """Writes lines at a limited rate: a fault that repeats can neither flood the log nor the process."""

    def __init__(self, name: str) -> None:
        """Log under the instance's name."""
        self._name = name
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def line(self, text: str) -> None:
        """Write one line, `sandhatch NAME: TEXT`, cut to `MAX_LINE_CHARS` of text.

        Of the lines in one second, those after the first `MAX_LINES_PER_S` are dropped; how many is logged
        before the first line of a later second. An error in writing is ignored.

        Args:
            text: The line, without a newline.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._begin_second(second)
        if self._lines >= MAX_LINES_PER_S:
            self._dropped += 1
            return
        self._lines += 1
        self._write(text)

    def _begin_second(self, second: int) -> None:
        dropped = self._dropped
        self._dropped = 0
        self._second = second
        self._lines = 0
        if dropped:
            self._write(f"{dropped} lines dropped")

    def _write(self, text: str) -> None:
        with suppress(OSError):  # a log that can't be written must not end the process
            print(f"sandhatch {self._name}: {text[:MAX_LINE_CHARS]}", file=sys.stderr, flush=True)


def report_loop_errors(loop: asyncio.AbstractEventLoop, logger: Logger) -> None:
    """Log exceptions that nothing else handles, one line each with the innermost frames; the loop goes on."""

    def report(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log what the loop's exception handler is given."""
        problem = context.get("exception")
        frames = ""
        if problem is not None:
            frames = "".join(traceback.format_exception(problem, limit=-MAX_TRACEBACK_FRAMES))
        logger.line(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

    loop.set_exception_handler(report)
