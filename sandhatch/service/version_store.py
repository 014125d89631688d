"""Saves versions to the state directory, one state after the other, on a thread.

`config.history` defines the records and files. Without a state directory nothing is written and every save
succeeds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from sandhatch.config.history import History, StoredState
from sandhatch.config.history_record import HistoryRow, Record
from sandhatch.config.version import State, Version
from sandhatch.config.version_lifecycle import MAX_RECORDS, VersionLifecycle
from sandhatch.runtime.shared_resources import SharedResources


@dataclass(slots=True, frozen=True)
class _QueuedSave:
    """One queued state of all versions.

    Attributes:
        save_number: Number by which the result is reported to the lifecycle.
        record: State of all versions.
        contents: Configurations, by version number.
    """

    save_number: int
    record: Record
    contents: dict[int, dict[str, Any]]


class VersionStore:
    """Queue of saves, and the history of versions of earlier processes."""

    def __init__(
        self,
        shared: SharedResources,
        lifecycle: VersionLifecycle,
        history: History | None,
        saved: StoredState | None,
    ) -> None:
        """Save into `history`, or nowhere if it is None; `saved` is what `history` held at the start."""
        self._shared = shared
        self._lifecycle = lifecycle
        self._history = history
        self._earlier_rows = saved.rows if saved else ()
        self._queue: deque[_QueuedSave] = deque()
        self._task: asyncio.Task[None] | None = None
        self.on_saved: Callable[[], None] = lambda: None  # called after each save, successful or failed

    def rows(self) -> tuple[HistoryRow, ...]:
        """Return the history of versions, oldest first."""
        rows = self._lifecycle.record().rows
        numbers = {row.number for row in rows}
        earlier = [row for row in self._earlier_rows if row.number not in numbers]
        return tuple(sorted([*earlier, *rows], key=lambda row: row.number)[-MAX_RECORDS:])

    def confirmed_content(self, number: int) -> dict[str, Any] | None:
        """Return the configuration of a version that an earlier process confirmed; None if not saved."""
        if self._history is None:
            return None
        if not any(row.number == number and row.state is State.CONFIRMED for row in self._earlier_rows):
            return None
        return self._history.content(number)

    def queue_save(self, save_number: int, version: Version | None) -> None:
        """Queue a save of the present state, with the configuration of `version` if one is given."""
        record = self._lifecycle.record()
        contents = {record.confirmed: self._lifecycle.versions[record.confirmed].data}
        if version is not None:
            contents[version.number] = version.data
        self._queue.append(_QueuedSave(save_number, record, contents))
        if self._task is None or self._task.done():
            self._task = self._shared.loop.create_task(self._save_queued())

    async def _save_queued(self) -> None:
        while self._queue:
            save = self._queue.popleft()
            try:
                await self._write(save)
            except OSError as problem:
                self._shared.logger.write_line(
                    f"versions can't be saved to the state directory: {problem.strerror}"
                )
                reason = problem.strerror or str(problem)
                self._lifecycle.save_failed(save.save_number, reason)
            else:
                self._lifecycle.saved(self._shared.clock.now_ms(), save.save_number)
            self.on_saved()

    async def _write(self, save: _QueuedSave) -> None:
        if self._history is None:
            return
        record = replace(save.record, rows=self.rows())
        await asyncio.to_thread(self._history.save, record, save.contents)

    async def close(self) -> None:
        """Wait for queued saves, and release the state directory."""
        if self._task is not None:
            await self._task
        if self._history is not None:
            self._history.close()
