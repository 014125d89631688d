"""Output of verbs: results on standard output, problems on standard error.

Nothing is read from standard input. Tests pass streams of their own.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TextIO

from sandhatch.runtime.text_table import format_table


class ExitCode(IntEnum):
    """Exit code of a verb."""

    OK = 0
    FAILED = 1  # the configuration has errors, or the change failed or was rolled back
    USAGE = 2
    UNREACHABLE = 3  # no service responds at the control socket
    CONFLICT = 4  # the change conflicts with another change
    BUSY = 5  # another change is in progress, or too many proposals are stored; try again later


@dataclass(slots=True, frozen=True)
class Console:
    """The two streams of one run of the command line."""

    out: TextIO
    err: TextIO

    def line(self, text: str) -> None:
        """Print one line of the result."""
        print(text, file=self.out)

    def text(self, text: str) -> None:
        """Print text of the result that has its own line ends."""
        print(text, end="", file=self.out)

    def json(self, data: Mapping[str, Any]) -> None:
        """Print the result as one JSON object."""
        print(json.dumps(data), file=self.out)

    def table(self, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
        """Print rows under their columns."""
        print(format_table([dict(row) for row in rows], columns), file=self.out)

    def error(self, problem: object) -> None:
        """Print one line on standard error, with the program's name."""
        print(f"sandhatch: {problem}", file=self.err)

    def problems(self, problems: Iterable[object]) -> None:
        """Print problems or warnings on standard error, one per line, without the program's name."""
        for problem in problems:
            print(problem, file=self.err)


def warn(text: str) -> None:
    """Print a warning on standard error; for use before a `Console` exists."""
    Console(sys.stdout, sys.stderr).error(text)
