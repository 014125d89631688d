"""Versions on a disk that lasts: written whole or not at all, checked when read.

A directory holds `state.json`, the copy before it (`state.json.old`), and one `NUMBER.json` a version. A
file is written beside its place, flushed to the disk and renamed over it; each holds a checksum of its
content. The content of a version is there before a state names it. So a kill at any byte leaves a state that
is whole and versions that it can use; a torn or damaged file is told from a good one and never used.

A version that was pending when the process ended was never confirmed: it is told as lost, and the confirmed
one is used. It decides nothing else.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any

from sandhatch.config.errors import HistoryError

FORMAT = 1


@dataclass(slots=True)
class Saved:
    """What was found: the confirmed version and its content, what was lost, and the rows of the history."""

    confirmed: int
    data: dict[str, Any]
    next_number: int
    lost: int = 0
    rows: list[dict[str, Any]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


def seal(content: Any) -> bytes:
    body = json.dumps(content, sort_keys=True, separators=(",", ":")).encode()
    return sha256(body).hexdigest().encode() + b"\n" + body + b"\n"


def unseal(data: bytes) -> Any:
    """The content; ValueError if it is not whole."""
    digest, _, body = data.partition(b"\n")
    if not body.endswith(b"\n") or sha256(body[:-1]).hexdigest().encode() != digest:
        raise ValueError("the checksum does not fit")
    return json.loads(body)


class History:
    """One process's directory; a second process is refused it. `step` is called before each write and rename:
    tests end the process there.
    """

    def __init__(self, directory: str, step: Callable[[str], None] = lambda name: None) -> None:
        self._directory = Path(directory)
        self._step = step
        try:
            self._directory.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(self._directory / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise HistoryError(f"{directory}: in use by another process") from None
        except OSError as problem:
            raise HistoryError(f"{directory}: {problem.strerror}") from None

    def close(self) -> None:
        os.close(self._lock)

    def load(self) -> Saved | None:
        """What is to be used now; None where nothing was saved yet."""
        notes = []
        found = False
        for name in ("state.json", "state.json.old"):
            path = self._directory / name
            if not path.exists():
                continue
            found = True
            try:
                state = unseal(path.read_bytes())
                saved = self._saved(state)
            except (OSError, ValueError, KeyError, TypeError) as problem:
                notes.append(f"{path}: not used: {problem}")
                continue
            saved.notes = notes
            return saved
        if found:
            raise HistoryError("; ".join(notes))
        return None

    def _saved(self, state: dict[str, Any]) -> Saved:
        if state["format"] != FORMAT:
            raise ValueError(f"format {state['format']!r} is not {FORMAT}")
        number = int(state["confirmed"])
        data = self._content(number)
        if not isinstance(data, dict):
            raise ValueError(f"version {number} holds no mapping")
        rows = list(state["versions"])
        pending = int(state["pending"])
        for row in rows:
            if row["version"] == pending:
                row["state"], row["why"] = "lost", "the process ended before it was confirmed"
        return Saved(number, data, int(state["next"]), pending, rows)

    def _content(self, number: int) -> Any:
        return unseal((self._directory / f"{number}.json").read_bytes())

    def content(self, number: int) -> dict[str, Any] | None:
        """A version's content, None if it is not there or not whole."""
        try:
            data = self._content(number)
        except (OSError, ValueError):
            return None
        return data if isinstance(data, dict) else None

    def save(
        self,
        confirmed: int,
        pending: int,
        next_number: int,
        rows: list[dict[str, Any]],
        contents: dict[int, dict[str, Any]],
    ) -> None:
        """Contents first, then the state that names them; then what no state names any more goes."""
        for number, data in contents.items():
            path = self._directory / f"{number}.json"
            if not path.exists():
                self._write(path, seal(data))
        state = {
            "format": FORMAT,
            "confirmed": confirmed,
            "pending": pending,
            "next": next_number,
            "versions": rows,
        }
        path = self._directory / "state.json"
        before = self._named(path)
        self._keep_old(path)
        self._write(path, seal(state))
        self._sweep(before | self._named(path))

    @staticmethod
    def _named(path: Path) -> set[int]:
        """The versions whose content a state may need."""
        try:
            state = unseal(path.read_bytes())
        except (OSError, ValueError):
            return set()
        return {int(row["version"]) for row in state["versions"]} | {state["confirmed"], state["pending"]}

    def _keep_old(self, path: Path) -> None:
        old = path.with_name("state.json.old")
        if path.exists():
            self._step("link")
            spare = path.with_name("state.json.spare")
            spare.unlink(missing_ok=True)
            os.link(path, spare)
            spare.replace(old)

    def _write(self, path: Path, data: bytes) -> None:
        part = path.with_name(path.name + ".part")
        self._step(f"write {path.name}")
        with open(os.open(part, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o600), "wb") as file:
            half = len(data) // 2
            file.write(data[:half])
            file.flush()
            self._step(f"half {path.name}")
            file.write(data[half:])
            file.flush()
            os.fsync(file.fileno())
        self._step(f"rename {path.name}")
        part.replace(path)
        self._step(f"flush {path.name}")
        directory = os.open(self._directory, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def _sweep(self, kept: set[int]) -> None:
        for path in self._directory.glob("*.json"):
            if path.stem.isdigit() and int(path.stem) not in kept:
                path.unlink(missing_ok=True)
