"""The state directory: what earlier versions of the program stored can be opened."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from sandhatch.config.check import check_text
from sandhatch.config.history import History, seal

STATE_BEFORE_RENAME = Path(__file__).parent / "fixtures" / "state-before-rename"


@pytest.fixture
def history_before_rename(tmp_path: Path) -> Iterator[History]:
    """A copy of the directory that the version before the rename of the package stored, opened."""
    directory = tmp_path / "state"
    shutil.copytree(STATE_BEFORE_RENAME, directory)
    history = History(str(directory))
    yield history
    history.close()


def test_a_state_directory_of_the_version_before_the_rename_is_opened(history_before_rename: History) -> None:
    saved = history_before_rename.load()
    assert saved is not None
    assert (saved.confirmed, saved.lost, saved.next_number, saved.notes) == (2, 4, 5, [])
    assert saved.data["pools"]["web"]["max_attempts"] == 3
    assert saved.data["classes"]["order"] == {
        "effect": "unsafe",
        "aim_ms": 4000,
        "deadline_ms": 8000,
        "worth": 5,
    }
    assert check_text(seal(saved.data).partition(b"\n")[2]).data == saved.data


def test_the_rows_stored_by_the_version_before_the_rename_are_kept(history_before_rename: History) -> None:
    saved = history_before_rename.load()
    assert saved is not None
    common = {"author": "anna", "changes": 1}
    made_ms = [row.pop("made_ms") for row in saved.rows]
    assert made_ms == [1796188917729.1335, 1796188917733.4277, 1796188917794.5588, 1796188917815.9807]
    assert saved.rows == [
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


def test_each_version_stored_before_the_rename_can_be_read_and_written_back_byte_for_byte(
    history_before_rename: History,
) -> None:
    for number, attempts in ((1, None), (2, 3), (3, 4), (4, 5)):
        data = history_before_rename.content(number)
        assert data is not None
        assert data["pools"]["web"].get("max_attempts") == attempts
        assert seal(data) == (STATE_BEFORE_RENAME / f"{number}.json").read_bytes()
    assert history_before_rename.content(5) is None
