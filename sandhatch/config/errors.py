"""Errors of a configuration, of a change to it, and of the directory that stores its versions.

Every error names its subject: file, line and key, or the version and the keys in conflict. The modules of
this package raise these errors; this one contains no checks.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_PROBLEMS_IN_MESSAGE = 3
MAX_KEYS_IN_MESSAGE = 5


@dataclass(slots=True, frozen=True)
class Problem:
    """One error in a configuration, or one warning.

    Attributes:
        file: File name as the user gave it.
        line: Line number, counted from 1; 0 if it is not known.
        key: Path of the key, such as `pools.web.servers[2]`; empty for the whole file.
        text: Description of the problem, with the expected value.
        warning: Whether the configuration may be used in spite of the problem.
    """

    file: str
    line: int
    key: str
    text: str
    warning: bool = False

    def __str__(self) -> str:
        """Format the problem as one line, `FILE:LINE: KEY: TEXT`."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        kind = "warning: " if self.warning else ""
        key = f"{self.key}: " if self.key else ""
        return f"{location}: {kind}{key}{self.text}"


class CheckError(ValueError):
    """The configuration has errors; `problems` holds all of them and the warnings, in the file's order."""

    def __init__(self, problems: list[Problem]) -> None:
        """Store all problems; the message shows the first ones."""
        super().__init__("; ".join(map(str, problems[:MAX_PROBLEMS_IN_MESSAGE])))
        self.problems = problems


class DocumentError(CheckError):
    """The text can't be read or parsed as a document; `problem` gives the place and the reason."""

    def __init__(self, problem: Problem) -> None:
        """Store the problem that ended parsing."""
        super().__init__([problem])
        self.problem = problem


class MergeError(ValueError):
    """Two changes of one base conflict; `keys` holds the keys in conflict."""

    def __init__(self, keys: list[str]) -> None:
        """Store the dotted paths of all keys in conflict."""
        super().__init__(f"both changes modify {', '.join(keys[:MAX_KEYS_IN_MESSAGE])}")
        self.keys = keys


class HistoryError(Exception):
    """The state directory can't be used, or none of its state files is intact."""


class RejectionReason(Enum):
    """The reason for which a call on the transactions was rejected.

    The values are part of the control protocol (`why` in a response) and are shown by the command line.
    """

    INVALID = "invalid"  # the configuration has errors
    CONFLICT = "conflict"  # the active version is no longer the proposal's base
    BUSY = "busy"  # another change is in progress
    UNKNOWN = "unknown"  # no such proposal or version
    NOTHING = "nothing to do"
    FULL = "too many proposals"
    STOPPING = "stopping"


class RejectedError(Exception):
    """A call on the transactions was rejected and changed nothing.

    Attributes:
        reason: Kind of rejection.
        text: Explanation for the user, in one line.
        keys: Dotted paths of the keys in conflict.
        problems: Errors of the configuration, one line each.
    """

    def __init__(
        self,
        reason: RejectionReason,
        text: str,
        keys: list[str] | None = None,
        problems: list[str] | None = None,
    ) -> None:
        """Store the kind of rejection, its explanation and its details."""
        super().__init__(text)
        self.reason = reason
        self.text = text
        self.keys = keys or []
        self.problems = problems or []
