"""Runs work that is requested by signals: one run at a time, requests meanwhile coalesced into one more.

It knows nothing of the work, never runs it twice at a time, and never drops a request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


class CoalescingRunner:
    """Runs an asynchronous function; the last run begins no earlier than the last request."""

    def __init__(self, work: Callable[[], Awaitable[None]]) -> None:
        """Nothing runs until `trigger` is called."""
        self._work = work
        self._requested = False
        self._task: asyncio.Task[None] | None = None

    def trigger(self) -> None:
        """Request a run and return at once.

        If none is in progress, one is started on the running event loop. If one is, exactly one more follows
        it, however often this is called meanwhile. A run that follows the last call thus always takes place.
        """
        self._requested = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._requested:
            self._requested = False
            await self._work()
