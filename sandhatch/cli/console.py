"""What a verb prints: results on standard output, problems on standard error.

Never reads anything. Tests hand in streams of their own.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TextIO

from sandhatch.runtime.text_table import table


class ExitCode(IntEnum):
    """How a verb ended."""

    OK = 0
    FAILED = 1  # the configuration has errors, or the change failed or was rolled back
    USAGE = 2
    UNREACHABLE = 3  # no service answers at the control socket
    CONFLICT = 4  # the change conflicts with another
    BUSY = 5  # another change is in progress; try later


@dataclass(slots=True, frozen=True)
class Console:
    """The two streams of one run of the command line."""

    out: TextIO
    err: TextIO

    def line(self, text: str) -> None:
        """Print one line of the result."""
        print(text, file=self.out)

    def text(self, text: str) -> None:
        """Print text of the result that brings its own line ends."""
        print(text, end="", file=self.out)

    def json(self, data: Mapping[str, Any]) -> None:
        """Print the result as one JSON object."""
        print(json.dumps(data), file=self.out)

    def table(self, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
        """Print rows under their columns."""
        print(table([dict(row) for row in rows], columns), file=self.out)

    def error(self, problem: object) -> None:
        """Print one line on standard error, with the program's name."""
        print(f"sandhatch: {problem}", file=self.err)

    def problems(self, problems: Iterable[object]) -> None:
        """Print problems that name their file, or warnings, on standard error, one a line."""
        for problem in problems:
            print(problem, file=self.err)


def warn(text: str) -> None:
    """Print one warning on standard error, where there is no console yet."""
    Console(sys.stdout, sys.stderr).error(text)
