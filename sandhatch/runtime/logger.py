"""Log lines on standard error, limited in rate and length.

The logger never raises and buffers nothing: a line that cannot be written is lost.
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
    """Writes lines at a limited rate, so that a repeating fault can flood neither the log nor the process."""

    def __init__(self, name: str) -> None:
        """Creates a logger whose lines carry the instance's name."""
        self._name = name
        self._current_second = 0
        self._line_count = 0
        self._dropped_count = 0

    def write_line(self, text: str) -> None:
        """Writes one line, `sandhatch NAME: TEXT`, with the text truncated to `MAX_LINE_CHARS`.

        Only the first `MAX_LINES_PER_S` lines of a second are written; the number of dropped lines is logged
        before the first line of a later second. Errors in writing are ignored.

        Args:
            text: Text of the line, without a newline.
        """
        second = int(time.monotonic())
        if second != self._current_second:
            self._begin_second(second)
        if self._line_count >= MAX_LINES_PER_S:
            self._dropped_count += 1
            return
        self._line_count += 1
        self._write(text)

    def _begin_second(self, second: int) -> None:
        dropped = self._dropped_count
        self._dropped_count = 0
        self._current_second = second
        self._line_count = 0
        if dropped:
            self._write(f"{dropped} log lines dropped")

    def _write(self, text: str) -> None:
        with suppress(OSError):  # an unwritable log must not end the process
            print(f"sandhatch {self._name}: {text[:MAX_LINE_CHARS]}", file=sys.stderr, flush=True)


def report_loop_errors(loop: asyncio.AbstractEventLoop, logger: Logger) -> None:
    """Logs unhandled exceptions, one line each with the innermost frames; the loop continues."""

    def report(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs the error in the context that the loop passes to its exception handler."""
        error = context.get("exception")
        frames = ""
        if error is not None:
            frames = "".join(traceback.format_exception(error, limit=-MAX_TRACEBACK_FRAMES))
        logger.write_line(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

    loop.set_exception_handler(report)
