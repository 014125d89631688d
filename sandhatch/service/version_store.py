"""Saves versions to the state directory, one state after the other, on a thread.

What a version's record and the files look like is decided in `config.history`; without a state directory
nothing is written and every save succeeds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sandhatch.config.history import History, Saved
from sandhatch.config.transactions import MOST_RECORDS, Record, Transactions
from sandhatch.config.version import Version
from sandhatch.runtime.shared_resources import SharedResources


@dataclass(slots=True, frozen=True)
class _QueuedSave:
    """One state to be saved.

    Attributes:
        step: Number by which the transactions learn the result.
        record: What lasts of all versions.
        contents: Configurations by version number.
    """

    step: int
    record: Record
    contents: dict[int, Any]


class VersionStore:
    """Queue of saves, and the history of versions from before the process started."""

    def __init__(
        self,
        shared: SharedResources,
        transactions: Transactions,
        history: History | None,
        saved: Saved | None,
    ) -> None:
        """Save into `history`, None for nowhere; `saved` is what it held at the start."""
        self._shared = shared
        self._transactions = transactions
        self._history = history
        self._earlier_rows = saved.rows if saved else []
        self._queue: deque[_QueuedSave] = deque()
        self._task: asyncio.Task[None] | None = None
        self.on_saved: Callable[[], None] = lambda: None  # called after each save, also one that failed

    def rows(self) -> list[dict[str, Any]]:
        """The history of versions, oldest first."""
        rows = list(self._transactions.record().versions)
        numbers = {row["version"] for row in rows}
        earlier = [row for row in self._earlier_rows if row["version"] not in numbers]
        return sorted([*earlier, *rows], key=lambda row: int(row["version"]))[-MOST_RECORDS:]

    def confirmed_content(self, number: int) -> dict[str, Any] | None:
        """The configuration of a confirmed version from before this process, None if there is none."""
        if self._history is None:
            return None
        if not any(row["version"] == number and row["state"] == "confirmed" for row in self._earlier_rows):
            return None
        return self._history.content(number)

    def queue_save(self, step: int, version: Version | None) -> None:
        """Save the state of now, with the content of `version` if one is given."""
        record = self._transactions.record()
        contents = {record.confirmed: self._transactions.versions[record.confirmed].data}
        if version is not None:
            contents[version.number] = version.data
        self._queue.append(_QueuedSave(step, record, contents))
        if self._task is None or self._task.done():
            self._task = self._shared.loop.create_task(self._save_queued())

    async def _save_queued(self) -> None:
        while self._queue:
            save = self._queue.popleft()
            try:
                await self._write(save)
            except OSError as problem:
                self._shared.logger.line(f"versions can't be saved: {problem.strerror}")
                reason = problem.strerror or str(problem)
                self._transactions.save_failed(self._shared.clock.now_ms(), save.step, reason)
            else:
                self._transactions.saved(self._shared.clock.now_ms(), save.step)
            self.on_saved()

    async def _write(self, save: _QueuedSave) -> None:
        if self._history is None:
            return
        await asyncio.to_thread(
            self._history.save,
            save.record.confirmed,
            save.record.pending,
            save.record.next_number,
            self.rows(),
            save.contents,
        )

    async def close(self) -> None:
        """Wait for the saves in progress, and let go of the state directory."""
        if self._task is not None:
            await self._task
        if self._history is not None:
            self._history.close()
