"""The end of a process: accept while connections still come, serve what was taken, and end as soon as
nothing is owed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from larkweir.core.clock import Clock
from larkweir.listener import Listener

ACCEPT_MS = 550.0  # new connections go on coming for up to 400 ms after SIGTERM
LAST_MS = 100.0  # past the longest deadline, for the last answers to be read
STEP_S = 0.01


async def drain(
    clock: Clock, listeners: Sequence[Listener], owed: Callable[[], object], longest_ms: float
) -> None:
    """`owed`: whether requests still wait for their end; `longest_ms`: the longest deadline of any."""
    last = clock.now_ms() + ACCEPT_MS + LAST_MS + longest_ms
    for listener in listeners:
        listener.closing = True
    await asyncio.sleep(ACCEPT_MS / 1000.0)
    for listener in listeners:
        listener.stop_accepting()
    while clock.now_ms() < last:
        for listener in listeners:
            listener.end_idle()
        if not owed() and not any(listener.taking for listener in listeners):
            break
        await asyncio.sleep(STEP_S)
            # What it leaves open is owed something: a request that the system holds unread counts as taken.
