"""What can be wrong with a configuration, a change to it, or the directory that stores its versions.

Every error names what it is about: file, line and key, or the version and the keys in conflict.
Nothing here decides; the modules of this package raise these errors.
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
        file: The file's name as the user gave it.
        line: Counted from 1; 0 where it is not known.
        key: The path of the key, such as `pools.web.servers[2]`; empty for the whole file.
        text: What is wrong and what would be right.
        warning: True where the configuration may be used all the same.
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
        """Take every problem that was found."""
        super().__init__("; ".join(map(str, problems[:MAX_PROBLEMS_IN_MESSAGE])))
        self.problems = problems


class DocumentError(CheckError):
    """The text can't be parsed as a document; `problem` says where and why."""

    def __init__(self, problem: Problem) -> None:
        """Take the one problem that ended parsing."""
        super().__init__([problem])
        self.problem = problem


class MergeError(ValueError):
    """Two changes of one base conflict; `keys` are those that both change."""

    def __init__(self, keys: list[str]) -> None:
        """Take the dotted paths of all keys in conflict."""
        super().__init__(f"both changes touch {', '.join(keys[:MAX_KEYS_IN_MESSAGE])}")
        self.keys = keys


class HistoryError(Exception):
    """The state directory can't be used, or none of its state files is intact."""


class RejectionReason(Enum):
    """Why a call on the transactions was rejected.

    The values are part of the control protocol (`why` in an answer) and are shown by the command line.
    """

    INVALID = "invalid"  # the configuration has errors
    CONFLICT = "conflict"  # its base is not the active version any more
    BUSY = "busy"  # another change is in progress
    UNKNOWN = "unknown"  # no such proposal or version
    NOTHING = "nothing to do"
    FULL = "too many proposals"
    STOPPING = "stopping"


class RejectedError(Exception):
    """A call on the transactions that changed nothing.

    Attributes:
        reason: The kind of rejection.
        text: One line for the user.
        keys: The dotted paths of the keys in conflict.
        problems: The errors of the configuration, one line each.
    """

    def __init__(
        self,
        reason: RejectionReason,
        text: str,
        keys: list[str] | None = None,
        problems: list[str] | None = None,
    ) -> None:
        """Take the kind of rejection, its one line of text and its details."""
        super().__init__(text)
        self.reason = reason
        self.text = text
        self.keys = keys or []
        self.problems = problems or []
