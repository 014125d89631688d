"""What is stored of the versions of one process, as typed values.

A row says what became of one version; a record is the state of all of them at one moment. Never does I/O:
`history` writes records and reads them. Source: the state files; their keys must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sandhatch.config.version import State, Version


@dataclass(slots=True, frozen=True)
class HistoryRow:
    """What the history keeps and shows of one version.

    Attributes:
        number: Of the version.
        base: The version that was active when it was committed; 0 for the first.
        state: Where it stood.
        author: Who proposed it.
        comment: Free text of the author.
        made_ms: When it was committed.
        changes: How many keys differed from its base.
        why: The reason for its failure or rollback; empty otherwise.
    """

    number: int
    base: int
    state: State
    author: str = ""
    comment: str = ""
    made_ms: float = 0.0
    changes: int = 0
    why: str = ""

    @classmethod
    def of(cls, version: Version) -> HistoryRow:
        """Return the row of a version as it is now."""
        return cls(
            number=version.number,
            base=version.base,
            state=version.state,
            author=version.author,
            comment=version.comment,
            made_ms=version.made_ms,
            changes=version.changes,
            why=version.why,
        )

    @classmethod
    def from_data(cls, data: dict[str, Any]) -> HistoryRow:
        """Return the row that `to_data` made; KeyError or ValueError if it is none."""
        return cls(
            number=data["version"],
            base=data["base"],
            state=State(data["state"]),
            author=data["author"],
            comment=data["comment"],
            made_ms=data["made_ms"],
            changes=data["changes"],
            why=data["why"],
        )

    def to_data(self) -> dict[str, Any]:
        """Return it as plain data; the keys are those of stored data and of the control protocol."""
        return {
            "version": self.number,
            "base": self.base,
            "state": self.state.value,
            "author": self.author,
            "comment": self.comment,
            "made_ms": self.made_ms,
            "changes": self.changes,
            "why": self.why,
        }


@dataclass(slots=True, frozen=True)
class Record:
    """What must be on disk of all versions at one moment.

    Attributes:
        confirmed: The number of the version to use at the next start.
        pending: The number of the version that is not confirmed yet; 0 for none.
        next_number: The number of the next version.
        rows: One for each version, oldest first.
    """

    confirmed: int
    pending: int
    next_number: int
    rows: tuple[HistoryRow, ...] = ()
