"""The state directory: durable storage of the versions.

The directory holds `state.json`, the previous state (`state.json.old`) and one `NUMBER.json` per version.
Each file starts with a checksum of its content, which is verified on reading. A file is written under a
temporary name, flushed to the disk and renamed, so it is complete or absent. A version's content is written
before the state that references it. A process that is killed at any byte therefore leaves an intact state and
the versions that it needs, and a truncated or damaged file is recognised and never used.

A version that was pending when the process ended was never confirmed: it is reported as lost, and the
confirmed version is used. No other decision is taken here. The keys and the layout are those of stored data
and must not change; `tests/config/fixtures` holds a directory that an earlier version of the program wrote.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from pathlib import Path
from typing import Any

from sandhatch.config.errors import HistoryError
from sandhatch.config.history_record import HistoryRow, Record
from sandhatch.config.version import State

FORMAT = 1
STATE_FILE = "state.json"
PREVIOUS_STATE_FILE = "state.json.old"
SPARE_STATE_FILE = "state.json.spare"  # second hard link to the state, before it replaces the previous state
LOCK_FILE = "lock"
DIRECTORY_MODE = 0o700
FILE_MODE = 0o600
LOST_REASON = "the process ended before it was confirmed"


@dataclass(slots=True, frozen=True)
class StoredState:
    """The content of the state directory.

    Attributes:
        confirmed: Number of the last confirmed version, which is to be used.
        data: Content of the confirmed version.
        next_number: Number of the next version.
        lost_version: Number of the version that was pending when the process ended; 0 if no version was.
        rows: Rows of the history, oldest first.
        notes: Warnings about damaged files that were not used.
    """

    confirmed: int
    data: dict[str, Any]
    next_number: int
    lost_version: int = 0
    rows: tuple[HistoryRow, ...] = ()
    notes: tuple[str, ...] = ()


def seal(content: Any) -> bytes:
    """Return the bytes of a file: the checksum in one line, the content as JSON in the next."""
    body = json.dumps(content, sort_keys=True, separators=(",", ":")).encode()
    return sha256(body).hexdigest().encode() + b"\n" + body + b"\n"


def unseal(data: bytes) -> Any:
    """Verify a file's bytes and return the content; ValueError if they are truncated or damaged."""
    digest, _, body = data.partition(b"\n")
    if not body.endswith(b"\n") or sha256(body[:-1]).hexdigest().encode() != digest:
        raise ValueError("checksum mismatch: the file is truncated or damaged")
    return json.loads(body)


def _mark_lost(row: HistoryRow) -> HistoryRow:
    """Return the row of a version that was in progress when the process ended."""
    return replace(row, state=State.LOST, why=LOST_REASON)


def _ignore_step(name: str) -> None:
    """Do nothing; the default of `before_step`."""


class History:
    """The state directory of one process, locked against other processes."""

    def __init__(self, directory: str | Path, before_step: Callable[[str], None] = _ignore_step) -> None:
        """Create the directory if it does not exist, and lock it.

        Args:
            directory: Path of the directory.
            before_step: Callback that receives the name of each write, rename and flush before it happens;
                tests simulate the end of the process in it.

        Raises:
            HistoryError: The directory can't be used, or another process uses it.
        """
        self._directory = Path(directory)
        self._before_step = before_step
        try:
            self._directory.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
            flags = os.O_CREAT | os.O_RDWR | os.O_CLOEXEC
            self._lock = os.open(self._directory / LOCK_FILE, flags, FILE_MODE)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise HistoryError(f"{directory}: in use by another process") from None
        except OSError as problem:
            raise HistoryError(f"{directory}: {problem.strerror}") from None

    def close(self) -> None:
        """Release the lock."""
        os.close(self._lock)

    # -------------------------------------------- reading

    def load(self) -> StoredState | None:
        """Return the state to start from; None if nothing has been saved yet.

        Raises:
            HistoryError: State files exist, but none of them is intact.
        """
        notes: list[str] = []
        for name in (STATE_FILE, PREVIOUS_STATE_FILE):
            path = self._directory / name
            if not path.exists():
                continue
            try:
                return replace(self._read(path), notes=tuple(notes))
            except (OSError, ValueError, KeyError, TypeError) as problem:
                notes.append(f"{path}: not used: {problem}")
        if notes:
            raise HistoryError("; ".join(notes))
        return None

    def _read(self, path: Path) -> StoredState:
        """Read a state and the content of its confirmed version."""
        state = unseal(path.read_bytes())
        if state["format"] != FORMAT:
            raise ValueError(f"format {state['format']!r} is not the supported format {FORMAT}")
        number = int(state["confirmed"])
        data = self._read_content(number)
        if not isinstance(data, dict):
            raise ValueError(f"the content of version {number} is not a mapping")
        pending = int(state["pending"])
        stored_rows = [HistoryRow.from_data(row) for row in state["versions"]]
        rows = tuple(_mark_lost(row) if row.number == pending else row for row in stored_rows)
        return StoredState(number, data, int(state["next"]), pending, rows)

    def _read_content(self, number: int) -> Any:
        return unseal(self._content_path(number).read_bytes())

    def _content_path(self, number: int) -> Path:
        return self._directory / f"{number}.json"

    def content(self, number: int) -> dict[str, Any] | None:
        """Return a version's content; None if it is missing or damaged."""
        try:
            data = self._read_content(number)
        except (OSError, ValueError):
            return None
        return data if isinstance(data, dict) else None

    # -------------------------------------------- writing

    def save(self, record: Record, contents: Mapping[int, dict[str, Any]]) -> None:
        """Write the contents, then the state that references them; then remove contents not needed any more.

        Contents are needed if the new state file or the previous one references them.

        Args:
            record: State to write.
            contents: Contents of versions by number; those that are stored already are not written again.

        Raises:
            OSError: Writing to the disk failed.
        """
        for number, data in contents.items():
            path = self._content_path(number)
            if not path.exists():
                self._write(path, seal(data))
        state = {
            "format": FORMAT,
            "confirmed": record.confirmed,
            "pending": record.pending,
            "next": record.next_number,
            "versions": [row.to_data() for row in record.rows],
        }
        path = self._directory / STATE_FILE
        referenced_before = self._referenced_versions(path)
        self._retain_previous(path)
        self._write(path, seal(state))
        self._remove_contents_except(referenced_before | self._referenced_versions(path))

    @staticmethod
    def _referenced_versions(path: Path) -> set[int]:
        """Return the numbers of the versions whose content a state file references."""
        try:
            state = unseal(path.read_bytes())
        except (OSError, ValueError):
            return set()
        return {int(row["version"]) for row in state["versions"]} | {state["confirmed"], state["pending"]}

    def _retain_previous(self, path: Path) -> None:
        """Link the state file also as the previous state, so that one of the two files always exists."""
        if path.exists():
            self._before_step("link")
            spare = path.with_name(SPARE_STATE_FILE)
            spare.unlink(missing_ok=True)
            spare.hardlink_to(path)
            spare.replace(path.with_name(PREVIOUS_STATE_FILE))

    def _write(self, path: Path, data: bytes) -> None:
        """Write under a temporary name, flush to the disk, rename, and flush the directory."""
        part = path.with_name(path.name + ".part")
        self._before_step(f"write {path.name}")
        with os.fdopen(os.open(part, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, FILE_MODE), "wb") as file:
            middle = len(data) // 2  # writing in two halves lets tests end the process in between
            file.write(data[:middle])
            file.flush()
            self._before_step(f"half {path.name}")
            file.write(data[middle:])
            file.flush()
            os.fsync(file.fileno())
        self._before_step(f"rename {path.name}")
        part.replace(path)
        self._before_step(f"flush {path.name}")
        directory = os.open(self._directory, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def _remove_contents_except(self, needed: set[int]) -> None:
        for path in self._directory.glob("*.json"):
            if path.stem.isdigit() and int(path.stem) not in needed:
                path.unlink(missing_ok=True)
