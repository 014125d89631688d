"""A wait for what sets no event: a condition is looked at until it holds.

It changes nothing that it looks at. Source: the project's own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from testkit.wire import RESPONSE_TIMEOUT_S

POLL_S = 0.005


async def wait_until(condition: Callable[[], object], timeout_s: float = RESPONSE_TIMEOUT_S) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: it did not hold within `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - the program sets no event for what a test looks at
            await asyncio.sleep(POLL_S)
