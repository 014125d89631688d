"""The state directory: compatibility with stored directories, and durability if the process is killed."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from sandhatch.config.check import check_text
from sandhatch.config.errors import HistoryError
from sandhatch.config.history import History, seal, unseal
from sandhatch.config.history_record import HistoryRow, Record
from sandhatch.config.version import State

STATE_BEFORE_RENAME = Path(__file__).parent / "fixtures" / "state-before-rename"


@pytest.fixture
def history_before_rename(tmp_path: Path) -> Iterator[History]:
    """An opened copy of the state directory that the program stored before the package was renamed."""
    directory = tmp_path / "state"
    shutil.copytree(STATE_BEFORE_RENAME, directory)
    history = History(str(directory))
    yield history
    history.close()


def test_a_state_directory_from_before_the_rename_can_be_loaded(history_before_rename: History) -> None:
    saved = history_before_rename.load()
    assert saved is not None
    assert (saved.confirmed, saved.lost_version, saved.next_number, saved.notes) == (2, 4, 5, ())
    assert saved.data["pools"]["web"]["max_attempts"] == 3
    assert saved.data["classes"]["order"] == {
        "effect": "unsafe",
        "aim_ms": 4000,
        "deadline_ms": 8000,
        "worth": 5,
    }
    assert check_text(seal(saved.data).partition(b"\n")[2]).data == saved.data


def test_history_rows_from_before_the_rename_are_loaded_unchanged(history_before_rename: History) -> None:
    saved = history_before_rename.load()
    assert saved is not None
    rows = [row.to_data() for row in saved.rows]
    common = {"author": "anna", "changes": 1}
    made_ms = [row.pop("made_ms") for row in rows]
    assert made_ms == [1796188917729.1335, 1796188917733.4277, 1796188917794.5588, 1796188917815.9807]
    assert rows == [
        {"version": 1, "base": 0, "state": "confirmed", "why": "", "author": "", "changes": 0, "comment": ""},
        {"version": 2, "base": 1, "state": "confirmed", "why": "", "comment": "three attempts"} | common,
        {"version": 3, "base": 2, "state": "taken back", "why": "by hand, anna", "comment": "four attempts"}
        | common,
        {
            "version": 4,
            "base": 2,
            "state": "lost",
            "why": "the process ended before it was confirmed",
            "comment": "five attempts",
        }
        | common,
    ]


def test_a_state_from_before_the_rename_is_written_back_byte_for_byte(tmp_path: Path) -> None:
    stored = (STATE_BEFORE_RENAME / "state.json").read_bytes()
    state = unseal(stored)
    rows = tuple(HistoryRow.from_data(row) for row in state["versions"])
    history = History(tmp_path)
    history.save(Record(state["confirmed"], state["pending"], state["next"], rows), {})
    history.close()
    assert (tmp_path / "state.json").read_bytes() == stored


def test_versions_from_before_the_rename_are_read_and_written_back_byte_for_byte(
    history_before_rename: History,
) -> None:
    for number, attempts in ((1, None), (2, 3), (3, 4), (4, 5)):
        data = history_before_rename.content(number)
        assert data is not None
        assert data["pools"]["web"].get("max_attempts") == attempts
        assert seal(data) == (STATE_BEFORE_RENAME / f"{number}.json").read_bytes()
    assert history_before_rename.content(5) is None


class SimulatedCrash(BaseException):
    """Simulates the end of the process."""


class CrashInjector:
    """Raises SimulatedCrash before the nth step of writing to the disk, where 0 stands for never."""

    def __init__(self, at_step: int) -> None:
        self.steps_left = at_step
        self.steps: list[str] = []

    def __call__(self, name: str) -> None:
        self.steps.append(name)
        self.steps_left -= 1
        if self.steps_left == 0:
            raise SimulatedCrash


def save(history: History, confirmed: int, pending: int, contents: dict[int, Any]) -> None:
    rows = tuple(HistoryRow(number, 0, State.CONFIRMED) for number in (confirmed, pending) if number)
    history.save(Record(confirmed, pending, max(confirmed, pending) + 1, rows), contents)


# Saves in order: confirmed version, pending version or 0, and contents; behind each save, the operation that
# makes it.
STEPS: list[tuple[int, int, dict[int, Any]]] = [
    (1, 0, {1: {"v": 1}}),  # first start
    (1, 2, {1: {"v": 1}, 2: {"v": 2}}),  # commit of version 2, pending
    (2, 0, {2: {"v": 2}}),  # confirmation of version 2
    (2, 3, {2: {"v": 2}, 3: {"v": 3}}),  # commit of version 3, pending
    (2, 0, {2: {"v": 2}}),  # rollback of version 3
]


def test_a_kill_at_any_step_leaves_one_complete_version(tmp_path: Path) -> None:
    """The process is killed at every write, in the middle of a write, at every rename and flush of a first
    start, a commit, a confirmation and a rollback. The state loaded afterwards is that from before or after
    the interrupted save, never another state.
    """
    uninterrupted = CrashInjector(0)
    history = History(str(tmp_path / "complete"), uninterrupted)
    for step in STEPS:
        save(history, *step)
    history.close()
    assert len(uninterrupted.steps) > 25
    for crash_step, step_name in enumerate(uninterrupted.steps, start=1):
        directory = tmp_path / str(crash_step)
        crash_injector = CrashInjector(crash_step)
        history = History(str(directory), crash_injector)
        before = None
        try:
            for step in STEPS:
                after = step
                save(history, *step)
                before = step
        except SimulatedCrash:
            pass
        history.close()
        reopened = History(str(directory))
        saved = reopened.load()
        if before is None:
            assert saved is None or saved.data == {"v": 1}, step_name
        else:
            assert saved is not None, step_name
            assert (saved.confirmed, saved.lost_version) in (before[:2], after[:2]), step_name
            assert saved.data == {"v": saved.confirmed}
            save(reopened, *STEPS[-1])  # the reopened state directory can be written
        reopened.close()


def test_a_state_truncated_at_any_byte_is_not_used(tmp_path: Path) -> None:
    history = History(str(tmp_path))
    for step in STEPS[:3]:
        save(history, *step)
    path = tmp_path / "state.json"
    complete = path.read_bytes()
    for size in range(len(complete)):
        path.write_bytes(complete[:size])
        saved = history.load()
        assert saved is not None, size
        assert saved.data == {"v": 1}, size
        assert saved.lost_version == 2, size
        assert saved.notes, size
    flipped = bytearray(complete)
    flipped[len(complete) // 2] ^= 1
    path.write_bytes(flipped)
    saved = history.load()
    assert saved is not None
    assert saved.confirmed == 1
    (tmp_path / "state.json.old").write_bytes(b"")
    with pytest.raises(HistoryError, match="checksum"):
        history.load()
    history.close()


def test_a_version_that_was_never_confirmed_is_reported_as_lost(tmp_path: Path) -> None:
    history = History(str(tmp_path))
    for step in STEPS[:4]:
        save(history, *step)
    history.close()
    history = History(str(tmp_path))
    saved = history.load()
    assert saved is not None
    assert (saved.confirmed, saved.lost_version, saved.next_number) == (2, 3, 4)
    assert saved.rows[-1].state is State.LOST
    history.close()


def test_a_locked_or_unusable_directory_is_rejected(tmp_path: Path) -> None:
    history = History(str(tmp_path))
    with pytest.raises(HistoryError, match="in use"):
        History(str(tmp_path))
    history.close()
    History(str(tmp_path)).close()
    (tmp_path / "file").write_text("")
    with pytest.raises(HistoryError):
        History(str(tmp_path / "file"))


def test_contents_that_no_state_references_are_removed(tmp_path: Path) -> None:
    history = History(str(tmp_path))
    for step in STEPS:
        save(history, *step)
    for _ in range(2):  # the previous state still references the earlier contents
        save(history, 4, 0, {4: {"v": 4}})
    assert sorted(p.name for p in tmp_path.glob("[0-9]*.json")) == ["4.json"]
    assert history.content(4) == {"v": 4}
    assert history.content(2) is None
    assert (tmp_path / "4.json").stat().st_mode & 0o077 == 0
    history.close()


def test_a_truncated_or_damaged_file_fails_its_checksum() -> None:
    assert unseal(seal({"a": [1]})) == {"a": [1]}
    for broken in (b"", seal(1)[:-1], b"x" + seal(1)):
        with pytest.raises(ValueError, match="checksum"):
            unseal(broken)
