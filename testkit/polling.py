"""A wait for what sets no event: a condition is looked at until it holds.

It changes nothing that it looks at. Source: the project's own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from testkit.wire import RESPONSE_TIMEOUT_S

POLL_S = 0.001


async def wait_until(
    condition: Callable[[], object], state: str = "the condition", timeout_s: float = RESPONSE_TIMEOUT_S
) -> None:
    """Waits until a condition holds.

    Args:
        condition: looked at again and again.
        state: what it stands for, for the error.
        timeout_s: how long to wait for it.

    Raises:
        TimeoutError: it did not hold in time; names the state.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110 - the program sets no event for what a test looks at
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise TimeoutError(f"not within {timeout_s:g} s: {state}") from None
