"""Work that is asked for by a signal: one run at a time, and once more if it was asked for meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


class CoalescingRunner:
    """Of calls in a row, what the last one finds counts."""

    def __init__(self, work: Callable[[], Awaitable[None]]) -> None:
        self._work = work
        self._asked = False
        self._task: asyncio.Task[None] | None = None

    def trigger(self) -> None:
        self._asked = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._asked:
            self._asked = False
            await self._work()
