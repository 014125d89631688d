"""Runs work requested by signals, one run at a time; requests during a run are coalesced into one more run.

The runner never runs the work twice concurrently, and never drops a request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


class CoalescingRunner:
    """Runs an asynchronous function on request; the last run begins no earlier than the last request."""

    def __init__(self, work: Callable[[], Awaitable[None]]) -> None:
        """Creates a runner; nothing runs until `trigger` is called."""
        self._work = work
        self._requested = False
        self._task: asyncio.Task[None] | None = None

    def trigger(self) -> None:
        """Requests a run and returns immediately.

        If no run is in progress, one is started on the running event loop. During a run, however often
        `trigger` is called, exactly one more run follows; calls before a requested run begins add no run.
        A run therefore always begins after the last call of `trigger`.
        """
        self._requested = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._requested:
            self._requested = False
            await self._work()
