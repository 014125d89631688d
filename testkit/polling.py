"""Polling of a condition for which there is no event, until the condition holds.

Doesn't influence the condition. Source: none; written for this project.
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
        condition: Predicate that is polled.
        state: Description of the condition, for the error message.
        timeout_s: Maximum time to wait.

    Raises:
        TimeoutError: The condition did not hold in time; the message names the state.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110 - the program sets no event for the state that a test polls
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise TimeoutError(f"timed out after {timeout_s:g} s waiting for: {state}") from None
