"""Stored information about the versions of one process, as typed values.

A row describes one version; a record is the state of all versions at one moment. No I/O: `history` reads and
writes records. The keys are those of the state files and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sandhatch.config.version import State, Version


@dataclass(slots=True, frozen=True)
class HistoryRow:
    """Information about one version that the history stores and shows.

    Attributes:
        number: Number of the version.
        base: Number of the version that was active at the commit; 0 for the first.
        state: State of the version when the row was made.
        author: Author of the change.
        comment: Free text of the author.
        made_ms: Time of the commit.
        changes: Number of keys that differed from the base.
        why: Reason for the failure or rollback; empty otherwise.
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
        """Return the row of a version in its current state."""
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
        """Return the row that `to_data` encoded; KeyError or ValueError if the data is no row."""
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
        """Return the row as plain data, with the keys of stored data and of the control protocol."""
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
    """State of all versions that must be on disk at one moment.

    Attributes:
        confirmed: Number of the version to use at the next start.
        pending: Number of the version that is not confirmed yet; 0 for none.
        next_number: Number of the next version.
        rows: One row per version, oldest first.
    """

    confirmed: int
    pending: int
    next_number: int
    rows: tuple[HistoryRow, ...] = ()
